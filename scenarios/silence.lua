-- Guards against a node that waits forever on a connection whose state a
-- middlebox has dropped, so that no data and no error arrives, while new
-- connections work.
local fleet = require "fleet"

local f = fleet.new("silence", {links = true})
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/workshop.csv")
for i = 1, 4 do
	f:add_node{name = "entry-" .. i, zone = "odense-a"}
end
f:wait_version(version)
for round = 1, 2 do
	for _, n in ipairs(f.nodes) do
		for _, l in ipairs(n.links) do
			link.silence(l)
		end
	end
	for _, c in ipairs(f.controls) do
		for _, l in pairs(c.links) do
			link.silence(l)
		end
	end
	version = f:set_cell("photo-set", "weight", 40 + round)
	f:wait_version(version, 40000)
end
f:stop()
print("ok: unresponsive connections are replaced")
