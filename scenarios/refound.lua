-- Guards against a voter that lost its disk and votes twice in one term, and
-- against a second group with a separate history: a process with an empty data
-- folder must not bootstrap a group that exists already.
local fleet = require "fleet"

local f = fleet.new("refound")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local node = f:add_node{name = "entry-1", zone = "milano-a"}
version = f:set_cell("laser-scan", "weight", 11)
f:wait_version(version)

-- One initial voter loses its disk while the others run. It exits with an error
-- that names the remedy, and the group keeps accepting edits.
for round = 1, 3 do
	local lost = f.controls[round]
	f:kill(lost)
	f:wipe_disk(lost)
	f:start(lost)
	f:check_start_refused(lost)
	version = f:set_cell("laser-scan", "weight", 20 + round)
	f:wait_version(version)
	-- The next round needs all three voters: restore the old disk.
	f:restore_disk(lost)
	f:start(lost)
	fleet.wait_until(lost.name .. " to follow", 20000, function()
		local s = fleet.ask(lost, "GET", "/v1/table?format=json" ..
			"&consistency=local")
		return s.json and s.json.version == version
	end)
end

-- A majority loses its disks while no process runs. It must not bootstrap a
-- second group, whose versions would start again at 1.
for _, c in ipairs(f.controls) do
	f:kill(c)
end
f:wipe_disk(f.controls[1])
f:wipe_disk(f.controls[2])
f:start(f.controls[1])
f:start(f.controls[2])
fleet.wait_until("both to wait for the third voter", 20000, function()
	for i = 1, 2 do
		local s = fleet.ask(f.controls[i], "GET", "/v1/status")
		local g = s.json and s.json.group
		fleet.check(not g or g.term == 0,
			"a second group was bootstrapped: term %d",
			g and g.term or 0)
		if not g or #fleet.events(f.controls[i], "founding") == 0 then
			return false
		end
	end
	return true
end)
for _ = 1, 40 do
	for i = 1, 2 do
		local s = fleet.ask(f.controls[i], "GET", "/v1/status")
		fleet.check(s.json.group.term == 0 and s.json.version == 0,
			"%s bootstrapped a second group", f.controls[i].name)
	end
	sys.sleep(100)
end
f:start(f.controls[3])
f:check_start_refused(f.controls[1])
f:check_start_refused(f.controls[2])
fleet.check(fleet.node_status(node).version == version,
	"the node changed its version")

-- With its old disks the group recovers everything that it acknowledged.
for i = 1, 2 do
	f:restore_disk(f.controls[i])
	f:start(f.controls[i])
end
local r = f:ask_any("GET", "/v1/table?format=json")
fleet.check(r.json.version == version, "version %s instead of %d",
	tostring(r.json.version), version)
f:wait_version(f:set_cell("laser-scan", "weight", 30))
f:stop()
print("ok: a process with an empty data folder bootstraps no second group")
