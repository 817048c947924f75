-- Guards against a control process that is cut off from the others and accepts
-- edits, serves its old table as current, or sends it to a node that restarted
-- without a table.
local fleet = require "fleet"

local f = fleet.new("partition", {links = true})
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/workshop.csv")
local entry = f:add_node{name = "entry-1", zone = "odense-a"}
local entry_2 = f:add_node{name = "entry-2", zone = "odense-b"}
f:wait_version(version)

-- Restricts a node to one control process.
local function connect_only(node, to)
	for i, l in ipairs(node.links) do
		link.refuse(l, i ~= to.id)
		link.break_now(l)
	end
end

-- Lets a node reach every control process again.
local function connect_all(node)
	for _, l in ipairs(node.links) do
		link.refuse(l, false)
	end
end

for _, direction in ipairs{"both", "in", "out"} do
	local isolated = f:wait_leader()
	f:cut(isolated, direction ~= "both" and direction or nil)
	local new_leader = fleet.wait_until("a new leader among the others",
		20000, function()
		for _, c in ipairs(f.controls) do
			if c ~= isolated then
				local s = fleet.ask(c, "GET", "/v1/status", nil,
					{timeout_ms = 1000})
				if s.json and s.json.group and
				    s.json.group.role == "leader" then
					return c
				end
			end
		end
	end)

	-- One operator edits on each side: only the majority accepts the edit.
	local minority_reply = fleet.ask(isolated, "POST", "/v1/edit", {
		row = "photo-set", column = "weight", value = "77",
		base = version, key = fleet.key()}, {timeout_ms = 8000})
	fleet.check(minority_reply.status ~= 200,
		"%s: cut-off process accepted an edit", direction)
	local majority_reply = fleet.wait_until(
		"an edit on the majority's side", 20000, function()
		local r = fleet.ask(new_leader, "POST", "/v1/edit", {
			row = "photo-set", column = "weight", value = "33",
			base = version, key = "majority-" .. direction})
		return r.status == 200 and r
	end)
	version = majority_reply.json.version

	-- A node that has the new version restarts and reaches only the cut-off
	-- process: it must get no table rather than an older one.
	connect_only(entry, new_leader)
	f:wait_version(version, 30000)
	f:kill(entry)
	connect_only(entry, isolated)
	f:start(entry)
	for _ = 1, 40 do
		local s = fleet.node_status(entry)
		fleet.check(not s or s.version == 0 or s.version >= version,
			"%s: node went back to version %s", direction,
			tostring(s and s.version))
		sys.sleep(50)
	end
	connect_all(entry)
	f:heal(isolated)
	f:wait_version(version, 30000)
	local r = f:ask_any("GET", "/v1/table?format=json")
	fleet.check(r.json.version >= version, "%s: version %d after healing",
		direction, r.json.version)
	version = f:set_cell("photo-set", "weight", 20)
	f:wait_version(version, 30000)
end

-- A follower that has just been cut off has not detected it yet. A node that
-- starts without a table and reaches only this follower must get no table
-- rather than an older one.
for round = 1, 3 do
	local leader = f:wait_leader()
	local follower
	for _, c in ipairs(f.controls) do
		if c ~= leader then
			follower = c
		end
	end
	f:cut(follower)
	local r = fleet.ask(leader, "POST", "/v1/edit", {row = "photo-set",
		column = "weight", value = tostring(50 + round), base = version,
		key = fleet.key()})
	fleet.check(r.status == 200, "edit: %d %s", r.status, r.body)
	version = r.json.version
	local new_node = f:add_node{name = "new-node-" .. round,
		zone = "odense-a", controls = {follower}}
	for _ = 1, 40 do
		local s = fleet.node_status(new_node)
		fleet.check(not s or s.version == 0 or s.version >= version,
			"a new node got the old version %s", tostring(s and
			s.version))
		sys.sleep(25)
	end
	f:kill(new_node)
	f:heal(follower)
	f:wait_version(version, 30000)
end
f:stop()
print("ok: a cut-off control process neither accepts edits nor serves old " ..
	"tables")
