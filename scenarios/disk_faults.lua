-- Guards against a core that stays without a quorum, loses an acknowledged
-- configuration or answers with silence while or after disks have refused
-- writes, creations, renames or syncs, or have hung, and work again. Five control
-- processes and three nodes in the platform role, disks behind faulty_disk.c;
-- nothing is restarted but processes that end by themselves or are killed here.
-- usage: disk_faults.lua SEED [KIND PATTERN EXTRA FOR_MS]
-- Without further arguments, SEED draws them.
local fleet = require "fleet"
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local ACK_MS = 4000 -- ack-s: a change is acknowledged within it
local CATCH_UP_MS = 4000 -- catch-up-s: a machine is back in service within it
-- After it, the operator leaves a call without an answer and goes elsewhere.
local SILENCE_MS = 1000
-- A core that has been without a quorum for LOST_MS knows it and answers at
-- once; the bound leaves half of SILENCE_MS to a busy machine.
local LOST_MS, AT_ONCE_MS = 1500, 500

local kinds = {
	none = "", -- for extras without a fault of the disk
	write = "write", part = "part write", name = "name", sync = "sync",
	write_eio = "write errno=5", sync_eio = "sync errno=5",
	readonly = "write name sync errno=30",
	full = "write name", all = "write part name sync",
	hang = "hang_ms=30000", slow = "hang_ms=700",
	hang_sync = "hang_ms=2500 sync errno=5",
	hang_write = "hang_ms=2500 write errno=5",
}
local patterns = {"turn", "pair", "three", "every", "leader", "start"}
local extras = {"none", "kill", "pause", "stop", "kill_all"}
local durations = {500, 2000, 4500, 7000}

local kind_names = {}
for name in pairs(kinds) do
	kind_names[#kind_names + 1] = name
end
table.sort(kind_names)

local seed = math.tointeger(tonumber(arg[1] or "1"))
math.randomseed(seed)
local function pick(list)
	return list[math.random(#list)]
end
local kind = arg[2] or pick(kind_names)
local pattern = arg[3] or pick(patterns)
local extra = arg[4] or pick(extras)
local for_ms = tonumber(arg[5]) or pick(durations)
local title = string.format("seed %d, %s %s %s %d", seed, kind, pattern, extra,
	for_ms)

local p = deployment.new("disk-" .. seed .. "-" .. kind .. "-" .. pattern .. "-" ..
	extra, 5, 3)
local slowest, slow = 0, {} -- of the answers of cores that are not disturbed
local refused, answered = 0, 0

-- Notes an answer, or none, that came after limit_ms.
local function note(what, core, status, ms, limit_ms)
	slowest = math.max(slowest, ms)
	if ms > limit_ms then
		slow[#slow + 1] = string.format("%s at %s: %d after %.0f ms",
			what, core.name, status, ms)
	end
end

-- Sends one change and reads at all cores, and checks what they answer. With
-- lost, there has been no quorum for LOST_MS.
local function probe(lost)
	p:watch()
	local acknowledged = p.version
	local core = p:pick_core()
	if not core then
		return
	end
	local status, ms = p:change(core, SILENCE_MS)
	if lost then
		note("change", core, status, ms, AT_ONCE_MS)
	end
	answered = answered + (status == 200 and 1 or 0)
	fleet.check(status ~= 412 and status ~= 400, "%s: a change of version " ..
		"%d on %d is answered with %d", title, p.sending or p.version,
		acknowledged, status)
	local at_least = p.version
	for _, r in ipairs(p:read()) do
		if r.status == 200 then
			fleet.check(r.version >= at_least, "%s: %s reads %d " ..
				"after %d was acknowledged", title,
				r.core.name, r.version, at_least)
		elseif r.status ~= 0 then
			refused = refused + 1
		end
		note("read", r.core, r.status, r.ms,
			lost and AT_ONCE_MS or SILENCE_MS)
	end
end

local function shuffle(list)
	local out = {table.unpack(list)}
	for i = #out, 2, -1 do
		local k = math.random(i)
		out[i], out[k] = out[k], out[i]
	end
	return out
end

local function wait_leader()
	return (fleet.wait_until("a leader", ACK_MS, function()
		return p:leader()
	end))
end

-- Returns the groups of cores that are hit one after the other. An empty one
-- stands for the leader at that time.
local function choose_victims()
	local leader = wait_leader()
	local others = {}
	for _, m in ipairs(shuffle(p.cores)) do
		if m ~= leader then
			others[#others + 1] = m
		end
	end
	if pattern == "turn" then
		return {{others[1]}, {leader}, {others[3]}}
	elseif pattern == "pair" then
		return {{others[1], leader}, {others[2], others[3]}}
	elseif pattern == "three" then
		return {{others[1], others[2], leader}}
	elseif pattern == "every" then
		return {p.cores}
	end
	return {{}, {}, {}}
end

-- Disturbs a core whose disk has a fault; the platform starts it again.
local function disturb(m)
	if extra == "kill" or extra == "kill_all" then
		p:signal(m, "KILL")
	elseif extra == "stop" then
		p:signal(m, "TERM")
	elseif extra == "pause" then
		p:signal(m, "STOP")
	end
end

-- Lets the disks of some cores refuse for a while, then ends that and checks
-- that everything comes back.
local function strike(victims)
	local before = math.random(2) == 1
	for _, m in ipairs(victims) do
		fleet.set_disk(m, kinds[kind])
	end
	if before then
		sys.sleep(math.random(0, 300))
	end
	local start, disturbed_at = sys.now_ms(), nil
	while sys.now_ms() - start < for_ms do
		probe(extra == "pause" and #victims >= 3 and disturbed_at and
			sys.now_ms() - disturbed_at > LOST_MS)
		if not disturbed_at and sys.now_ms() - start > for_ms / 3 then
			disturbed_at = sys.now_ms()
			for _, m in ipairs(victims) do
				disturb(m)
			end
			if extra == "kill_all" then
				for _, m in ipairs(p.cores) do
					p:signal(m, "KILL")
				end
			end
		end
		sys.sleep(math.random(0, 200))
	end
	for _, m in ipairs(victims) do
		fleet.set_disk(m, "")
		if m.paused then
			p:signal(m, "CONT")
		end
	end
	-- A restart after an end is the platform's; its delay is not ours.
	fleet.wait_until("the platform's restarts", 20000, function()
		p:watch()
		for _, m in ipairs(p.cores) do
			if not m.running then
				return false
			end
		end
		return true
	end)
	local came_back = p:wait_in_force(CATCH_UP_MS)
	local acked = p:wait_change(ACK_MS)
	local in_force = p:wait_in_force(CATCH_UP_MS)
	print(string.format("%s: %d cores: back after %.0f ms, a change after " ..
		"%.0f ms, in force after %.0f ms more", title, #victims, came_back,
		acked, in_force))
end

if pattern == "start" then
	-- Disks that refuse from the first start on: of one that joins as a
	-- learner, and of one of the first voters.
	fleet.set_disk(p.cores[5], kinds[kind])
	fleet.set_disk(p.cores[3], kinds[kind])
	local start = sys.now_ms()
	for _, list in ipairs{p.cores, p.nodes} do
		for _, m in ipairs(list) do
			p:start(m)
		end
	end
	while sys.now_ms() - start < for_ms do
		p:watch()
		sys.sleep(20)
	end
	fleet.set_disk(p.cores[5], "")
	fleet.set_disk(p.cores[3], "")
	fleet.wait_until("the first configuration", 20000, function()
		p:watch()
		return p:change() == 200
	end)
	p.first_start = false
	p:wait_in_force(20000)
	strike{p.cores[3], p.cores[5]}
else
	p:start_all()
	p:wait_voters()
	for _, victims in ipairs(choose_victims()) do
		strike(#victims > 0 and victims or {wait_leader()})
	end
end
p:stop()
fleet.check(p.own_ends == 0, "%s: %d processes ended by themselves", title,
	p.own_ends)
fleet.check(#slow == 0, "%s: %d late answers, such as %s", title, #slow,
	slow[1])
print(string.format("ok: %s: %d changes acknowledged, %d reads refused, " ..
	"slowest answer %.0f ms, %d ends", title, answered, refused, slowest,
	p.ends))
