-- Guards against nodes that return to an older table version, or never reach
-- the newest one, when control processes and nodes die together and reconnect
-- at once.
local fleet = require "fleet"

local f = fleet.new("herd")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
f:add_deployment(fleet.grants)
f:wait_version(version)

local function kill_all(group)
	for _, p in ipairs(group) do
		f:kill(p)
	end
end

local function start_all(group)
	for _, p in ipairs(group) do
		f:start(p)
	end
end

for round = 1, 2 do
	local accepted = f:set_cell("dossier-status", "weight", 300 + round)

	kill_all(f.controls)
	local current = f:versions()
	for name, v in pairs(current) do
		fleet.check(v >= version, "%s fell back to %d", name, v)
	end
	start_all(f.controls)
	kill_all(f.nodes)
	start_all(f.nodes)
	f:wait_leader()
	f:wait_version(accepted, 30000)
	local r = f:ask_any("GET", "/v1/table?format=json")
	fleet.check(r.json.version == accepted, "version %s after restart, " ..
		"%d was acknowledged", tostring(r.json.version), accepted)
	version = accepted
end

-- The leader dies and a node is frozen while an edit is made.
local leader = f:wait_leader()
f:kill(leader)
f:freeze(f.nodes[1])
local accepted = f:set_cell("dossier-status", "weight", 400)
f:thaw(f.nodes[1])
f:start(leader)
f:wait_version(accepted, 30000)
f:stop()
print("ok: every acknowledged version survived, and every node is current")
