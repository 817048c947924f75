-- Guards against a core that has no leader for as long as its disks are slow:
-- five control processes and three nodes in the platform role, disks whose
-- writes and syncs take SLOW_MS, and a leader that is killed or paused
-- meanwhile.
-- usage: slow_disks.lua SEED [SLOW_MS SLOW HOW]
-- SLOW: how many of the other disks are slow; HOW: kill or pause
local fleet = require "fleet"
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local CONTACT_MS = 3000 -- contact-s: the core is stable again after it
local ACK_MS = 4000 -- ack-s: a change is acknowledged within it then
local APPLY_MS = 2000 -- config-apply-s: and is in force at all nodes
local SLOW_FOR_MS = 12000 -- longer than the bounds together

local seed = math.tointeger(tonumber(arg[1] or "1"))
math.randomseed(seed)
local slow_ms = tonumber(arg[2]) or ({100, 150, 200, 300})[math.random(4)]
local slow = tonumber(arg[3]) or ({2, 3, 4})[math.random(3)]
local how = arg[4] or ({"kill", "pause"})[math.random(2)]
local title = string.format("seed %d, %d of 4 disks at %d ms, %s", seed, slow,
	slow_ms, how)

local p = deployment.new("slow-" .. seed .. "-" .. slow .. "-" .. how, 5, 3)
p:start_all()
p:wait_voters()

local function wait_leader()
	return (fleet.wait_until("a leader", ACK_MS, function()
		return p:leader()
	end))
end

local leader = wait_leader()
local slowed = 0
for _, m in ipairs(p.cores) do
	if m ~= leader and slowed < slow then
		slowed = slowed + 1
		fleet.set_disk(m, "hang_ms=" .. slow_ms)
	end
end
local start = sys.now_ms()
for _ = 1, 3 do
	p:wait_change(ACK_MS)
end
-- The slow disks may have led to another leader.
leader = wait_leader()
p:signal(leader, how == "kill" and "KILL" or "STOP")
local lost_at, changes, worst = sys.now_ms(), 0, 0
local answered_at = lost_at
while sys.now_ms() - start < SLOW_FOR_MS do
	local bound = answered_at == lost_at and CONTACT_MS + ACK_MS or ACK_MS
	p:watch()
	if p:change() == 200 then
		worst = math.max(worst, sys.now_ms() - answered_at)
		answered_at = sys.now_ms()
		changes = changes + 1
	end
	fleet.check(sys.now_ms() - answered_at < bound,
		"%s: no change acknowledged for %d ms, after %d since the " ..
		"leader was lost", title, bound, changes)
	sys.sleep(50)
end
for _, m in ipairs(p.cores) do
	fleet.set_disk(m, "")
	if m.paused then
		p:signal(m, "CONT")
	end
end
fleet.wait_until("the platform's restarts", 20000, function()
	p:watch()
	for _, m in ipairs(p.cores) do
		if not m.running then
			return false
		end
	end
	return true
end)
p:wait_in_force(CONTACT_MS + APPLY_MS)
p:stop()
fleet.check(p.own_ends == 0, "%s: %d processes ended by themselves", title,
	p.own_ends)
print(string.format("ok: %s: %d changes acknowledged, at most %.0f ms apart",
	title, changes, worst))
