-- Guards against faults of relays (control processes without a data folder):
-- edits do not reach the nodes attached to a relay; nodes do not leave a dead
-- relay; a relay that is cut off from the voters serves its old table as
-- current or sends it to a node without a table; a restarted relay fetches more
-- than one full table.
local fleet = require "fleet"

local f = fleet.new("relay", {links = true})
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local relays = {f:plan_control(11, "milano-a", true),
	f:plan_control(12, "verona-b", true)}
for _, r in ipairs(relays) do
	f:join_control(r)
end
local nodes = {}
for i = 1, 4 do
	nodes[i] = f:add_node{name = "entry-" .. i, zone = "milano-a",
		controls = relays}
end

-- Restricts a node to one relay; without a relay, lets it reach both again.
local function attach(node, relay)
	for i, r in ipairs(relays) do
		local refused = relay ~= nil and r ~= relay
		link.refuse(node.links[i], refused)
		if refused then
			link.break_now(node.links[i])
		end
	end
end

-- Waits until all these nodes are attached to this relay.
local function wait_attached(list, relay)
	fleet.wait_until("nodes at " .. relay.name, 30000, function()
		for _, n in ipairs(list) do
			local at = n.control_addrs[relay == relays[1] and 1 or
				2]
			local s = (fleet.node_status(n) or {}).agent
			if not s or not s.attached or s.control ~= at then
				return false
			end
		end
		return true
	end)
end

-- Returns the events of a kind whose table version is above the given one.
local function events(p, kind, after_version)
	local list = {}
	for _, e in ipairs(fleet.events(p, kind)) do
		if e.version > after_version then
			list[#list + 1] = e
		end
	end
	return list
end

local function edit(value)
	version = f:set_cell("laser-scan", "weight", value)
	return version
end

-- Nodes whose settings name only relays receive every edit.
for i = 1, 10 do
	edit(10 + i)
end
f:wait_version(version, 20000)

-- One relay dies: its nodes move to the other one, keep their table and receive
-- the next edit.
for _, n in ipairs(nodes) do
	attach(n, relays[1])
end
wait_attached(nodes, relays[1])
for _, n in ipairs(nodes) do
	attach(n)
end
f:kill(relays[1])
edit(31)
f:wait_version(version, 30000)
wait_attached(nodes, relays[2])

-- A restarted relay fetches one full table, however many versions it missed.
for i = 1, 20 do
	edit(40 + i)
end
f:start(relays[1])
fleet.wait_until("the table on the restarted relay", 20000, function()
	local r = fleet.ask(relays[1], "GET",
		"/v1/table?format=json&consistency=local")
	return r.json and r.json.version == version
end)
local fetched = fleet.events(relays[1], "version")
fleet.check(#fetched == 1 and fetched[1].version == version,
	"%d versions fetched after the restart", #fetched)
edit(61)
f:wait_version(version, 20000)

-- A relay that reaches no voter answers "stale". A node that has a table keeps
-- it; a node that restarts without a table gets none from this relay.
local isolated, kept_node, restarted_node = relays[2], nodes[1], nodes[2]
attach(kept_node, isolated)
attach(restarted_node, isolated)
wait_attached({kept_node, restarted_node}, isolated)
local known_version = version
for _, l in pairs(isolated.links) do
	link.set(l, "hold", "hold")
end
fleet.wait_until("stale answers", 20000, function()
	return fleet.metric(isolated, "ggs_control_stale_total") > 0
end)
local r = fleet.ask(isolated, "GET", "/v1/table?format=json")
fleet.check(r.status == 503, "the cut-off relay confirms a read: %d", r.status)
edit(71)
local full_tables = fleet.metric(isolated, "ggs_control_whole_total")
f:kill(restarted_node)
f:start(restarted_node)
local before = fleet.metric(isolated, "ggs_control_stale_total")
fleet.wait_until("stale answers to the node without a table", 20000, function()
	local s = fleet.node_status(restarted_node)
	fleet.check(not s or s.version == 0, "the node got version %s",
		tostring(s and s.version))
	return fleet.metric(isolated, "ggs_control_stale_total") >= before + 1
end)
fleet.check(fleet.metric(isolated, "ggs_control_whole_total") == full_tables,
	"the cut-off relay sent a full table")
fleet.check(fleet.node_status(kept_node).version == known_version,
	"the node has version %d", fleet.node_status(kept_node).version)

for _, l in pairs(isolated.links) do
	link.set(l, "pass", "pass")
	link.break_now(l)
end
f:wait_version(version, 30000)
edit(81)
f:wait_version(version, 30000)
for _, n in ipairs(f.nodes) do
	local last = 0
	for _, e in ipairs(events(n, "switch", 0)) do
		fleet.check(e.version > last, "%s went from %d to %d", n.name,
			last, e.version)
		last = e.version
	end
end
f:stop()
print("ok: nodes follow relays, leave a dead one and get no old table")
