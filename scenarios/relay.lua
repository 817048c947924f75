-- Guards against a relay (a control process without a data folder) that does
-- not pass on edits, that keeps its nodes when it dies, that serves its old
-- table as current or hands it to a node without one while it is cut off, and
-- that comes back in more steps than one whole table.
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

-- Lets a node reach one relay only, or both without a relay.
local function attach(node, relay)
	for i, r in ipairs(relays) do
		local refused = relay ~= nil and r ~= relay
		link.refuse(node.links[i], refused)
		if refused then
			link.break_now(node.links[i])
		end
	end
end

-- Waits until these nodes are attached to one relay.
local function wait_attached(list, relay)
	fleet.wait_until("nodes at " .. relay.name, 30000, function()
		for _, n in ipairs(list) do
			local at = n.at[relay == relays[1] and 1 or 2]
			local s = (fleet.node_status(n) or {}).agent
			if not s or not s.attached or s.control ~= at then
				return false
			end
		end
		return true
	end)
end

local function events(p, kind, above)
	local list = {}
	for _, e in ipairs(fleet.events(p, kind)) do
		if e.version > above then
			list[#list + 1] = e
		end
	end
	return list
end

local function edit(value)
	version = f:set("laser-scan", "weight", value)
	return version
end

-- Nodes whose settings name relays only follow edits.
for i = 1, 10 do
	edit(10 + i)
end
f:wait_version(version, 20000)

-- One relay dies: its nodes go to the other one and keep their table.
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

-- A restarted relay takes one whole table, however many versions it missed.
for i = 1, 20 do
	edit(40 + i)
end
f:start(relays[1])
fleet.wait_until("the table on the restarted relay", 20000, function()
	local r = fleet.ask(relays[1], "GET",
		"/v1/table?format=json&consistency=local")
	return r.json and r.json.version == version
end)
local taken = fleet.events(relays[1], "version")
fleet.check(#taken == 1 and taken[1].version == version,
	"%d versions taken after the restart", #taken)
edit(61)
f:wait_version(version, 20000)

-- A relay without its voters answers stale. A node with a table keeps it; one
-- that restarts without a table gets none from it.
local cut, kept, lost = relays[2], nodes[1], nodes[2]
attach(kept, cut)
attach(lost, cut)
wait_attached({kept, lost}, cut)
local held = version
for _, l in pairs(cut.links) do
	link.set(l, "hold", "hold")
end
fleet.wait_until("stale answers", 20000, function()
	return fleet.metric(cut, "ggs_control_stale_total") > 0
end)
local r = fleet.ask(cut, "GET", "/v1/table?format=json")
fleet.check(r.status == 503, "the cut-off relay confirms a read: %d", r.status)
edit(71)
local whole = fleet.metric(cut, "ggs_control_whole_total")
f:kill(lost)
f:start(lost)
local before = fleet.metric(cut, "ggs_control_stale_total")
fleet.wait_until("stale answers to the node without a table", 20000, function()
	local s = fleet.node_status(lost)
	fleet.check(not s or s.version == 0, "the node got version %s",
		tostring(s and s.version))
	return fleet.metric(cut, "ggs_control_stale_total") >= before + 1
end)
fleet.check(fleet.metric(cut, "ggs_control_whole_total") == whole,
	"the cut-off relay handed out a table")
fleet.check(fleet.node_status(kept).version == held, "the node has version %d",
	fleet.node_status(kept).version)

for _, l in pairs(cut.links) do
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
