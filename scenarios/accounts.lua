-- Guards against accounts that operators cannot edit, against a key that the
-- tool shows twice or sends to control, and against a node that serves a table
-- whose accounts it does not enforce.
local fleet = require "fleet"

local f = fleet.new("accounts")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local n = f:add_node{name = "entry-1", zone = "milano-a"}
f:wait_version(version)

local function ctl(want, ...)
	local status, text = f:ctl("account", ...)
	fleet.check(status == want, "account %s: exit status %d: %s",
		table.concat({...}, " "), status, text)
	return text
end

local CTL_INVALID, CTL_USAGE = 6, 2
ctl(0, "add", "acme")
ctl(0, "add", "beta")
ctl(CTL_INVALID, "add", "acme")
ctl(CTL_INVALID, "add", "No Name")
ctl(0, "set", "acme", "rate_per_s", "640")
ctl(0, "set", "acme", "rank", "2")
ctl(CTL_INVALID, "set", "acme", "rank", "10")
ctl(CTL_USAGE, "set", "acme", "keys", "x")

local made = ctl(0, "add-key", "acme")
local key = made:match("key: (%S+) %(not shown again%)")
local print_made = made:match("fingerprint: (%x+)")
fleet.check(key and #key >= 32 and #print_made == 8, "add-key: %s", made)
local path = f.dir .. "/key"
sys.write(path, "given-secret-key\n", tonumber("600", 8))
local given = ctl(0, "add-key", "beta", path)
local print_given = given:match("fingerprint: (%x+)")
fleet.check(not given:find("given-secret", 1, true), "shown: %s", given)
ctl(CTL_INVALID, "add-key", "acme", path) -- beta has it
ctl(CTL_INVALID, "add-key", "gamma")

local list = ctl(0, "list")
for _, text in ipairs{"acme", "beta", "640", print_made, print_given} do
	fleet.check(list:find(text, 1, true), "'%s' is not listed: %s", text,
		list)
end

-- The table and the history show fingerprints, never a key; --role=node refuses
-- the calls of this table.
local texts = {list}
for _, url in ipairs{"/v1/table?format=json", "/v1/table?format=csv",
    "/v1/history"} do
	local r = f:ask_any("GET", url)
	fleet.check(r.status == 200 and r.body:find(print_given, 1, true),
		"%s: status %d", url, r.status)
	texts[#texts + 1] = r.body
end
fleet.wait_until("the refusal of calls", 10000, function()
	return fleet.call(n, "dossier-status").status == 503
end)

ctl(CTL_INVALID, "take-key", "acme", print_given)
ctl(0, "take-key", "beta", print_given)
list = ctl(0, "list")
fleet.check(not list:find(print_given, 1, true), "still listed: %s", list)
ctl(0, "add-key", "acme", path)
ctl(0, "remove", "acme")
ctl(CTL_INVALID, "remove", "acme")
ctl(0, "remove", "beta")

-- Guards against review 11: taking the last account away opened all rows.
fleet.check(f:ask_any("GET", "/v1/table?format=json").body:find(
	'"accounts":[]', 1, true), "the list of accounts is gone")
sys.sleep(500)
fleet.check(fleet.call(n, "dossier-status").status == 503,
	"the last account was removed, and a call without a key runs")
ctl(CTL_USAGE, "require", "maybe")
ctl(0, "require", "no")
fleet.check(not f:ask_any("GET", "/v1/table?format=json").body:find(
	'"accounts"', 1, true), "the list of accounts is still there")

for _, p in ipairs(f.controls) do
	texts[#texts + 1] = f:log(p)
end
texts[#texts + 1] = f:log(n)
for _, text in ipairs(texts) do
	fleet.check(not text:find("given-secret", 1, true) and
		not text:find(key, 1, true), "a key is shown: %s", text)
end
f:stop()
