#!/bin/sh
# Installs the Debian packages that the build, the tests and the tools need.
# Does nothing when all of them are installed, so repeated runs need no network.
set -eu

PACKAGES="gcc g++ make cmake pkg-config clang-format clang-tidy cppcheck
libck-dev libtirpc-dev rpcsvc-proto libmicrohttpd-dev libcurl4-gnutls-dev
libhttp-parser-dev libjansson-dev libcsv-dev libxxhash-dev zlib1g-dev libsodium-dev
libgnutls28-dev liblua5.4-dev check curl gnuplot-nox
clang-14 libclang-rt-14-dev"

missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
SUDO=""
[ "$(id -u)" -eq 0 ] || SUDO=sudo
$SUDO apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -y -q $missing
