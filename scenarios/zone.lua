-- Guards against an outage of the whole service when one availability zone is
-- lost: its control process, nodes and backend servers die, and calls and edits
-- must go on in the other zones.
local fleet = require "fleet"

local f = fleet.new("zone")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
f:add_deployment(fleet.grants, {server_args = {"--service-ms=20"}})
f:wait_version(version)

local lost = fleet.grants.zones[1]
local entry
for _, n in ipairs(f.nodes) do
	if n.zone ~= lost then
		entry = n
	end
end
fleet.wait_until("answered call", 20000, function()
	return fleet.call(entry, "award-payment", {key = fleet.key()}).status ==
		200
end)
for _, group in ipairs{f.nodes, f.servers, f.controls} do
	for _, p in ipairs(group) do
		if (p.node and p.node.zone or p.zone) == lost then
			f:kill(p)
		end
	end
end
f:wait_leader(20000)
for _, kind in ipairs{"award-payment", "dossier-status"} do
	fleet.wait_until(kind .. " answered in the other zones", 20000,
		function()
		return fleet.call(entry, kind, {key = fleet.key()}).status ==
			200
	end)
end
version = f:set_cell("dossier-status", "weight", 222)
f:wait_version(version, 20000)
for _, group in ipairs{f.controls, f.servers, f.nodes} do
	for _, p in ipairs(group) do
		if not p.running then
			f:start(p)
		end
	end
end
f:wait_version(version, 30000)
f:stop()
print("ok: the other zones keep serving")
