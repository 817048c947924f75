#!/bin/sh
# Guards against a daemon that starts with invalid settings, whose message names
# no remedy, or that does not name its build. usage: check_settings.sh DAEMON
set -u
daemon=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
printf 'a-fleet-key-of-20-bytes\n' >"$dir/key"
chmod 600 "$dir/key"
printf 'x\n' >"$dir/open-key"
chmod 644 "$dir/open-key"
node="--role=node --name=n1 --zone=z1 --key-file=$dir/key
    --controls=127.0.0.1:7401 --listen=127.0.0.1:7500"
control="--role=control --name=c1 --zone=z1 --key-file=$dir/key --id=1
    --peers=1=127.0.0.1:7401 --rpc-listen=127.0.0.1:7401
    --http-listen=127.0.0.1:7400"
failed=0

# expect STATUS TEXT FLAGS...: checks the exit status and part of the output
expect() {
	status=$1 text=$2
	shift 2
	out=$("$daemon" "$@" --check-settings 2>&1)
	got=$?
	case $out in
	*"$text"*) ;;
	*) got="$got without '$text'" ;;
	esac
	[ "$got" = "$status" ] && return
	echo "FAILED: $* gave $got: $out"
	failed=$((failed + 1))
}

# shellcheck disable=SC2086
{
	expect 0 "n1" $node
	expect 0 "c1" $control
	expect 2 "set --role=node or --role=control"
	expect 2 "needs --name" --role=node
	expect 2 "needs --zone" --role=node --name=n1
	expect 2 "unrecognized option" $node --bogus
	expect 2 "'nowhere' is not accepted" $node --controls=nowhere
	expect 2 "'7401' is not an address" $node --listen=7401
	expect 2 "KB, MB or GB" $node --body-memory=64mb
	expect 2 "ms, s or m" $node --drain-timeout=5
	expect 2 "go together" $node --service=status
	expect 2 "integer from 1 to 10000" $node --slots=0
	expect 2 "not a readable file" $node --key-file="$dir/none"
	expect 2 "use id=IP:port" $control --peers=127.0.0.1:7401
	expect 2 "use id=IP:port" $control --peers=x=127.0.0.1:7401
	expect 2 "not a writable folder" $control --data-dir="$dir/none"
	expect 2 "go together" $control --tls-cert="$dir/key"
}
"$daemon" $node --key-file="$dir/open-key" 2>&1 | grep -q "chmod 600" || {
	echo "FAILED: a key file that others can read was accepted"
	failed=$((failed + 1))
}
"$daemon" --version | grep -Eq '\((src-)?[0-9a-f]{10}\+?\)$' || {
	echo "FAILED: --version names no commit and no hash of the sources"
	failed=$((failed + 1))
}
[ "$failed" -eq 0 ]
