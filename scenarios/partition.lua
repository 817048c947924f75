-- Guards against a cut-off control process that accepts edits, serves its old
-- table as current, or hands it to a node that restarted without one.
local fleet = require "fleet"

local f = fleet.new("partition", {links = true})
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/workshop.csv")
local a = f:add_node{name = "entry-1", zone = "odense-a"}
local b = f:add_node{name = "entry-2", zone = "odense-b"}
f:wait_version(version)

-- Lets a node reach one control process only.
local function attach_only(node, to)
	for i, l in ipairs(node.links) do
		link.refuse(l, i ~= to.id)
		link.break_now(l)
	end
end

local function attach_any(node)
	for _, l in ipairs(node.links) do
		link.refuse(l, false)
	end
end

for _, way in ipairs{"both", "in", "out"} do
	local old = f:wait_leader()
	f:cut(old, way ~= "both" and way or nil)
	local current = fleet.wait_until("a leader of the others", 20000,
		function()
		for _, c in ipairs(f.controls) do
			if c ~= old then
				local s = fleet.ask(c, "GET", "/v1/status", nil,
					{timeout_ms = 1000})
				if s.json and s.json.group and
				    s.json.group.role == "leader" then
					return c
				end
			end
		end
	end)

	-- An operator on each side: only the majority's edit is accepted.
	local lost = fleet.ask(old, "POST", "/v1/edit", {row = "photo-set",
		column = "weight", value = "77", base = version,
		key = fleet.key()}, {timeout_ms = 8000})
	fleet.check(lost.status ~= 200, "%s: cut-off process accepted an edit",
		way)
	local won = fleet.wait_until("an edit on the majority's side", 20000,
		function()
		local r = fleet.ask(current, "POST", "/v1/edit", {
			row = "photo-set", column = "weight", value = "33",
			base = version, key = "majority-" .. way})
		return r.status == 200 and r
	end)
	version = won.json.version

	-- A node that has the new version restarts and reaches only the cut-off
	-- process: no table is right, an older one is not.
	attach_only(a, current)
	f:wait_version(version, 30000)
	f:kill(a)
	attach_only(a, old)
	f:start(a)
	for _ = 1, 40 do
		local s = fleet.node_status(a)
		fleet.check(not s or s.version == 0 or s.version >= version,
			"%s: node went back to version %s", way,
			tostring(s and s.version))
		sys.sleep(50)
	end
	attach_any(a)
	f:heal(old)
	f:wait_version(version, 30000)
	local r = f:ask_any("GET", "/v1/table?format=json")
	fleet.check(r.json.version >= version, "%s: version %d after healing",
		way, r.json.version)
	version = f:set("photo-set", "weight", 20)
	f:wait_version(version, 30000)
end

-- A follower that was cut off a moment ago does not know it yet. A node that
-- starts there without a table must get none rather than an older one.
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
	local probe = f:add_node{name = "probe-" .. round, zone = "odense-a",
		controls = {follower}}
	for _ = 1, 40 do
		local s = fleet.node_status(probe)
		fleet.check(not s or s.version == 0 or s.version >= version,
			"a new node got the old version %s", tostring(s and
			s.version))
		sys.sleep(25)
	end
	f:kill(probe)
	f:heal(follower)
	f:wait_version(version, 30000)
end
f:stop()
print("ok: a cut-off control process neither accepts edits nor serves old " ..
	"tables")
