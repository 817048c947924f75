-- Guards against a node that, after it was frozen or restarted, applies
-- hundreds of missed changes one by one, and against a snapshot or delta that
-- produces different content.
local fleet = require "fleet"

local CHANGES = tonumber(arg[1]) or 500

local f = fleet.new("catchup")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local frozen = f:add_node{name = "frozen", zone = "milano-a"}
local restarted = f:add_node{name = "restarted", zone = "verona-b"}
f:wait_version(version)

f:freeze(frozen)
f:kill(restarted)
for i = 1, CHANGES do
	local r = f:ask_any("POST", "/v1/edit", {row = "laser-scan",
		column = "weight", value = tostring(1 + i % 1000),
		base = version, key = fleet.key()})
	fleet.check(r.status == 200, "edit %d: %d %s", i, r.status, r.body)
	version = r.json.version
end
f:thaw(frozen)
f:start(restarted)
local ms = f:wait_version(version, 30000)
for _, n in ipairs(f.nodes) do
	local switches = 0
	for _, e in ipairs(fleet.events(n, "switch")) do
		if e.version > version - CHANGES then
			switches = switches + 1
		end
	end
	fleet.check(switches >= 1 and switches <= 3,
		"%s: %d switches for %d missed changes", n.name, switches,
		CHANGES)
end
fleet.result("catchup", CHANGES, "time", ms, "ms")
f:stop()
print("ok: " .. CHANGES .. " missed changes arrive in one exchange")
