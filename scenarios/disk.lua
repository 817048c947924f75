-- Guards against a voter that goes on after its disk is full, that stops for
-- good or serves different content after its last log record was torn, and that
-- starts on damaged data. In each case the group must go on, and after the
-- repair all voters must have the same table. usage: disk.lua [SEED]
local fleet = require "fleet"

local SEED = tonumber(arg[1]) or 1
local TRUNCATIONS, FLIPS = 6, 24

math.randomseed(SEED)
local f = fleet.new("disk")
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local replacement = f:plan_control(4, fleet.workshop.zones[1])
local version = f:import(ROOT .. "/examples/workshop.csv")
local node = f:add_node{name = "entry-1", zone = "odense-a"}

local function edit()
	version = f:set_cell("photo-set", "weight", 1 + version % 900)
end

local function read(path)
	local file = assert(io.open(path, "rb"))
	local data = file:read("a")
	file:close()
	return data
end

-- Returns the group part of a control process's status, or nil.
local function group_status(c)
	local s = fleet.ask(c, "GET", "/v1/status", nil, {timeout_ms = 1000})
	return s.status == 200 and s.json.group or nil
end

-- Waits until every running voter has the newest version; the tables must be
-- equal byte for byte.
local function check_same_table(what)
	fleet.wait_until(what .. ": same table on all voters", 20000, function()
		local first
		for _, c in ipairs(f.controls) do
			if c.running then
				local s = fleet.ask(c, "GET", "/v1/table?" ..
					"format=json&consistency=local")
				local r = fleet.ask(c, "GET", "/v1/table?" ..
					"format=csv&consistency=local")
				if s.status ~= 200 or not s.json or
				    s.json.version ~= version then
					return false
				end
				first = first or r.body
				fleet.check(#r.body > 100 and r.body == first,
					"%s: %s has a different table", what,
					c.name)
			end
		end
		return true
	end)
	f:wait_version(version, 20000)
end

-- Returns the path of the newest segment of a voter's log.
local function newest_segment(c)
	for n = 99, 1, -1 do
		local path = string.format("%s/log-%016x", c.data, n)
		local file = io.open(path, "rb")
		if file then
			file:close()
			return path
		end
	end
	error("no segment in " .. c.data)
end

local function pick_follower()
	local leader = f:wait_leader()
	for _, c in ipairs(f.controls) do
		if c.running and c ~= leader then
			return c
		end
	end
end

-- Freezes one leader after the other until this voter is the leader.
local function make_leader(c)
	fleet.wait_until(c.name .. " to become the leader", 40000, function()
		local old = f:wait_leader()
		if old == c then
			return true
		end
		f:freeze(old)
		fleet.wait_until("another leader", 20000, function()
			local g = group_status(c)
			return g and g.leader ~= old.id and g.leader ~= 0
		end)
		f:thaw(old)
	end)
end

-- The disk runs full, first on a follower, then on the leader: a file size
-- limit 1500 bytes above the newest segment stands in for a full disk.
for round = 1, 2 do
	local c = pick_follower()
	f:kill(c)
	f:start(c, #read(newest_segment(c)) + 1500)
	check_same_table("limited disk " .. round)
	if round == 2 then
		make_leader(c)
	end
	-- The member comes back when the disk takes writes again, and fails again.
	local g
	fleet.wait_until("a full disk", 30000, function()
		edit()
		g = group_status(c)
		return g and g.failed
	end)
	-- Log lines are written by a thread of their own.
	fleet.wait_until(c.name .. " to log the disk error", 10000, function()
		return f:log(c):find("disk", 1, true) ~= nil
	end)
	fleet.check(g.role == "follower" and g.leader == 0,
		"%s is %s after the fault", c.name, g.role)
	if round == 1 then
		-- Without its storage it refuses edits at once.
		local r = fleet.ask(c, "POST", "/v1/edit", {row = "photo-set",
			column = "weight", value = "5", base = version,
			key = fleet.key()}, {timeout_ms = 15000})
		fleet.check(r.status == 503, "%s answers an edit with %d",
			c.name, r.status)
	end
	edit()
	f:wait_version(version, 20000)
	f:kill(c)
	f:start(c)
	check_same_table("disk freed " .. round)
end

-- The last log record of a stopped voter is truncated at a random offset.
for i = 1, TRUNCATIONS do
	local c = pick_follower()
	edit()
	check_same_table("before cut " .. i)
	f:kill(c)
	local path = newest_segment(c)
	local data = read(path)
	local last_record = 0
	for offset in data:gmatch("()GGSW") do
		last_record = offset - 1
	end
	local new_size = math.random(last_record + 1, #data - 1)
	sys.truncate(path, new_size)
	edit()
	f:start(c)
	check_same_table(string.format("seed %d, cut %d at %d of %d", SEED, i,
		new_size, #data))
	fleet.check(group_status(c).torn_records == 1,
		"seed %d, cut %d: %d torn", SEED, i,
		group_status(c).torn_records)
	fleet.check(#fleet.events(c, "torn") == 1,
		"no event of the torn record")
end

-- A random bit of a byte before the last record is flipped: the voter refuses
-- to start and names the remedy.
local c = pick_follower()
edit()
check_same_table("before the flips")
f:kill(c)
edit()
local path = newest_segment(c)
local data = read(path)
local last_record = 0
for offset in data:gmatch("()GGSW") do
	last_record = offset - 1
end
for i = 1, FLIPS do
	local offset = math.random(1, last_record)
	local bit = 1 << math.random(0, 7)
	sys.write(path, data:sub(1, offset - 1) ..
		string.char(data:byte(offset) ~ bit) .. data:sub(offset + 1),
		tonumber("600", 8))
	f:start(c)
	local status = process.wait(c.proc, 5000)
	c.running = status == nil
	fleet.check(status == 1, "seed %d, flip %d of bit %d at %d of %d: " ..
		"ended with %s", SEED, i, bit, offset - 1, #data,
		tostring(status))
end
local log = f:log(c)
fleet.check(log:find("is damaged", 1, true) and
	log:find("wipe the data directory and rejoin as a new member", 1, true),
	"%s does not name the remedy", c.name)
edit()
f:join_control(replacement)
fleet.check(f:member("add", replacement) == 0, "add")
fleet.wait_until("promotion", 20000, function()
	return f:member("promote", replacement) == 0
end)
fleet.wait_until("removal", 20000, function()
	return f:member("remove", c) == 0
end)
edit()
check_same_table("after the replacement")
f:stop()
print(string.format("ok: the group survives full disks, %d torn records " ..
	"and %d flipped bits (seed %d)", TRUNCATIONS, FLIPS, SEED))
