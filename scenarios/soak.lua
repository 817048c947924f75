-- Randomized soak test: injects a seeded series of overlapping faults into real
-- processes from outside, while operators edit and callers send calls. Checks,
-- from what operators, callers and backend servers observe, that
--   an accepted edit is never lost, and no confirmed read is older than an edit
--   accepted before it;
--   no call that must not be repeated runs twice; "ran" means one run and
--   "not-run" means none;
--   a call is answered within its time limit unless its own node was disturbed;
--   after the last fault all processes reach the newest table, and calls run.
-- usage: scenario scenarios/soak.lua SEED [SECONDS [CONTROLS NODES]]
local fleet = require "fleet"

local seed = math.tointeger(tonumber(arg[1] or "1"))
local seconds = tonumber(arg[2] or "20")
local control_count = math.tointeger(tonumber(arg[3] or "3"))
local node_count = math.tointeger(tonumber(arg[4] or "5"))
math.randomseed(seed)

local KIND_ONCE, KIND_READ = "award-payment", "dossier-status"
local RECOVERY_MS = 30000 -- after the last fault; as after a restart of all
local CALL_TIMEOUT_MS = 6000 -- caller timeout: the row's deadline plus 1 s

local f = fleet.new("soak-" .. seed, {links = true, faulty_disks = true})
f:add_controls(control_count, fleet.grants.zones)
f:wait_leader()
local newest = f:import(ROOT .. "/examples/grants.csv")
for i = 1, node_count do
	local service = i % 2 == 0 and "erogazioni" or "fascicoli"
	f:add_node{name = "node-" .. i, service = service, slots = 8,
		zone = fleet.grants.zones[i % 3 + 1],
		server_args = {"--service-ms=20"}}
end
f:wait_version(newest)

local start = sys.now_ms()
local active_faults = {} -- faults to end: {at, undo, what}; at in ms
local disturbed = {} -- by process: time in ms until which its calls may fail
local counts = {faults = 0, edits = 0, calls = 0, answered = 0}
local outcomes = {} -- by key: the outcome that the caller got
local trace = {}

-- Adds a line with the time to the trace, which is printed on a failure.
local function add_trace(fmt, ...)
	trace[#trace + 1] = string.format("%6.2f s  " .. fmt,
		(sys.now_ms() - start) / 1000, ...)
end

local function check(ok, fmt, ...)
	if not ok then
		print(table.concat(trace, "\n"))
		fleet.check(false, "seed " .. seed .. ": " .. fmt, ...)
	end
end

local function pick(list)
	return list[math.random(#list)]
end

-- Schedules the end of a fault, or the restart of a process, after ms.
local function schedule_undo(ms, what, undo)
	active_faults[#active_faults + 1] = {at = sys.now_ms() + ms,
		what = what, undo = undo}
end

-- Allows calls through a process to fail for the next ms and 3 s of recovery.
local function disturb(p, ms)
	disturbed[p] = math.max(disturbed[p] or 0, sys.now_ms() + ms + 3000)
end

-- Draws from 1 to n for faults of disks. Its own generator keeps the other
-- faults of a seed as they were without them.
local disk_draws = seed
local function draw_disk(n)
	disk_draws = (disk_draws * 6364136223846793005 + 1442695040888963407)
	return (disk_draws >> 33) % n + 1
end

local disk_faults = {"write", "part write", "name", "sync", "sync errno=5",
	"write name sync errno=30", "hang_ms=30000", "hang_ms=700"}

-- Picks a process to freeze, kill or stop, whose disk stays: any that is
-- running and not frozen, also one whose links have a fault. Returns nil if
-- there is none.
local function pick_process()
	local list = {}
	for _, group in ipairs{f.controls, f.nodes} do
		for _, p in ipairs(group) do
			if p.running and not p.frozen then
				list[#list + 1] = p
			end
		end
	end
	return #list > 0 and pick(list) or nil
end

local function restart(p)
	if not p.running then
		f:start(p)
		disturb(p, 2000)
	end
end

-- Each fault hits a random process or its links, for ms unless it is
-- instantaneous. It returns the name of the process, or nil if none was found.
local actions = {
	freeze = function(ms)
		local p = pick_process()
		if not p then return end
		f:freeze(p)
		p.frozen = true
		disturb(p, ms)
		schedule_undo(ms, "resumes " .. p.name, function()
			p.frozen = nil
			f:thaw(p)
			disturb(p, 0)
		end)
		return p.name
	end,
	kill = function(ms)
		local p = pick_process()
		if not p then return end
		f:kill(p)
		disturb(p, ms)
		schedule_undo(ms, "starts " .. p.name, function()
			restart(p)
		end)
		return p.name
	end,
	stop = function(ms)
		local p = pick_process()
		if not p then return end
		process.kill(p.proc, "TERM")
		p.running = false
		disturb(p, ms)
		schedule_undo(ms, "starts " .. p.name, function()
			process.wait(p.proc, 30000)
			restart(p)
		end)
		return p.name
	end,
	cut = function(ms)
		local c = pick(f.controls)
		f:cut(c, pick{"both", "in", "out"})
		schedule_undo(ms, "heals " .. c.name, function() f:heal(c) end)
		return c.name
	end,
	slow = function(ms)
		local c = pick(f.controls)
		for _, l in pairs(c.links) do
			link.set(l, "pass", "pass", math.random(5, 150))
		end
		schedule_undo(ms, "ends the delay of " .. c.name, function()
			f:heal(c)
		end)
		return c.name
	end,
	silence = function()
		local n = pick(f.nodes)
		for _, l in pairs(n.links) do
			link.silence(l)
		end
		return n.name
	end,
	reset = function()
		local n = pick(f.nodes)
		for _, l in pairs(n.links) do
			link.break_now(l)
		end
		return n.name
	end,
	refuse = function(ms)
		local n = pick(f.nodes)
		for _, l in pairs(n.links) do
			link.refuse(l, true)
			link.break_now(l)
		end
		schedule_undo(ms, "reconnects " .. n.name, function()
			for _, l in pairs(n.links) do
				link.refuse(l, false)
			end
		end)
		return n.name
	end,
}
local names = {}
for name in pairs(actions) do
	names[#names + 1] = name
end
table.sort(names) -- the order of pairs() differs between runs

-- Lets the disk of a control process refuse operations or hang. Overlapping
-- faults of one disk end together.
local function disturb_disk()
	local c = f.controls[draw_disk(#f.controls)]
	local fault = disk_faults[draw_disk(#disk_faults)]
	local ms = 100 + draw_disk(4400)
	fleet.set_disk(c, fault)
	schedule_undo(ms, "ends the fault of the disk of " .. c.name, function()
		fleet.set_disk(c, "")
	end)
	counts.faults = counts.faults + 1
	add_trace("disk: %s, %s, %d ms", fault, c.name, ms)
end

-- Ends the faults that are due, or all of them.
local function undo_faults(undo_all)
	local remaining = {}
	for _, fault in ipairs(active_faults) do
		if undo_all or fault.at <= sys.now_ms() then
			add_trace("%s", fault.what)
			fault.undo()
		else
			remaining[#remaining + 1] = fault
		end
	end
	active_faults = remaining
end

local function running_controls()
	local list = {}
	for _, c in ipairs(f.controls) do
		if c.running then
			list[#list + 1] = c
		end
	end
	return list
end

-- Sends one edit of the newest known version to one control process, and again
-- with the same key to another when the answer is lost. Each edit changes the
-- value, since setting a cell to its current value creates no version.
local value = 0
local function edit()
	local list = running_controls()
	if #list == 0 then return end
	value = value % 900 + 1
	local body = {row = KIND_READ, column = "weight", base = newest,
		value = tostring(value), key = fleet.key()}
	for _ = 1, 2 do
		local r = fleet.ask(pick(list), "POST", "/v1/edit", body,
			{timeout_ms = 1500})
		if r.status == 200 then
			check(r.json.version > newest, "edit on version %d " ..
				"accepted as %d", newest, r.json.version)
			newest = r.json.version
			counts.edits = counts.edits + 1
			add_trace("edit accepted as version %d", newest)
			return
		end
		if r.status == 409 then
			-- An earlier edit whose answer was lost was accepted,
			-- so newest is out of date.
			local now = fleet.ask(pick(list), "GET",
				"/v1/table?format=json", nil,
				{timeout_ms = 1500})
			if now.status == 200 then
				newest = math.max(newest, now.json.version)
			end
			return
		end
	end
end

-- Reads the table and checks that it is at least as new as every accepted edit.
local function read()
	local list = running_controls()
	if #list == 0 then return end
	local before = newest
	local c = pick(list)
	local r = fleet.ask(c, "GET", "/v1/table?format=json", nil,
		{timeout_ms = 1500})
	if r.status == 200 then
		check(r.json.version >= before, "%s confirms version %d after " ..
			"%d was accepted", c.name, r.json.version, before)
		newest = math.max(newest, r.json.version)
	end
end

-- Sends one call of each kind through every running node and records outcomes.
local function send_calls()
	local requests, origins = {}, {}
	local sent_ms = sys.now_ms()
	for _, n in ipairs(f.nodes) do
		if n.running and not n.frozen then
			for _, kind in ipairs{KIND_ONCE, KIND_READ} do
				local key = fleet.key()
				requests[#requests + 1] = {method = "POST",
					url = "http://" .. n.address ..
					"/call/" .. kind .. "/", body = "x",
					timeout_ms = CALL_TIMEOUT_MS, headers =
					{"Idempotency-Key: " .. key}}
				origins[#origins + 1] = {node = n,
					key = kind == KIND_ONCE and key}
			end
		end
	end
	for i, r in ipairs(http.parallel(requests)) do
		local o = origins[i]
		local outcome = r.headers["x-ggs-outcome"] or "none"
		counts.calls = counts.calls + 1
		if r.status == 200 then
			counts.answered = counts.answered + 1
		end
		check(r.status ~= 0 or (disturbed[o.node] or 0) > sent_ms,
			"no answer from %s, which was not disturbed",
			o.node.name)
		if o.key then
			outcomes[o.key] = outcome
		end
	end
end

-- Compares the outcomes with the runs that the backend servers report.
local function check_runs()
	local runs = {}
	for _, s in ipairs(f.servers) do
		local r = http.request{url = "http://" .. s.address ..
			"/runs?all=1"}
		for _, e in ipairs((json.decode(r.body) or {}).runs or {}) do
			runs[e.key] = (runs[e.key] or 0) + e.count
		end
	end
	for key, outcome in pairs(outcomes) do
		local n = runs[key] or 0
		check(n <= 1, "key %s ran %d times", key, n)
		check(outcome ~= "ran" or n == 1, "key %s: ran, %d runs", key,
			n)
		check(outcome ~= "not-run" or n == 0,
			"key %s: not-run, %d runs", key, n)
	end
end

while sys.now_ms() - start < seconds * 1000 do
	undo_faults(false)
	if math.random() < 0.5 then
		local name = pick(names)
		local ms = math.random(100, 3000)
		local target = actions[name](ms)
		if target then
			counts.faults = counts.faults + 1
			add_trace("%s %s, %d ms", name, target, ms)
		end
	end
	if draw_disk(4) == 1 then
		disturb_disk()
	end
	edit()
	read()
	send_calls()
	sys.sleep(math.random(0, 200))
end

undo_faults(true)
for _, group in ipairs{f.controls, f.nodes} do
	for _, p in ipairs(group) do
		restart(p)
	end
end
f:wait_leader(RECOVERY_MS)
-- Retries, since an earlier edit whose answer was lost may still be accepted.
fleet.wait_until("a last edit", RECOVERY_MS, function()
	return pcall(f.set_cell, f, KIND_READ, "weight", 901)
end)
local last = f:ask_any("GET", "/v1/table?format=json").json.version
check(last > newest, "version %d after %d", last, newest)
f:wait_version(last, RECOVERY_MS)
for _, n in ipairs(f.nodes) do
	fleet.wait_until("a call through " .. n.name, RECOVERY_MS, function()
		return fleet.call(n, KIND_READ).status == 200
	end)
end
check_runs()
f:stop()
for _, n in ipairs(f.nodes) do
	check(n.status == 0, "%s ended with %s", n.name, tostring(n.status))
end
print(string.format("ok: seed %d, %d faults, %d edits, %d of %d calls " ..
	"answered with 200", seed, counts.faults, counts.edits,
	counts.answered, counts.calls))
