-- Guards against nodes that have an acknowledged configuration in force later
-- than config-apply-s because the disk of their control process hangs. A change
-- is sent just as the disks of two of five control processes begin to hang, and
-- each node is asked from config-apply-s after the acknowledgement on.
-- usage: hung_disk.lua SEED [ROUNDS [NODES [FAULT [leader]]]]
-- With "leader", the leader is one of the two. FAULT is one of faulty_disk.c.
local fleet = require "fleet"
local operator = dofile(ROOT .. "/platform/tests/operator.lua")
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local APPLY_MS = 2000 -- config-apply-s
local ASK_MS = 500 -- time after it in which the nodes are asked

local seed = math.tointeger(tonumber(arg[1] or "1"))
local rounds = tonumber(arg[2] or "2")
local fault = arg[4] or "hang_ms=30000"
math.randomseed(seed)

local p = deployment.new("hung-" .. seed, 5, tonumber(arg[3] or "10"))
local op = operator.new(p)
p.change = function(_, _, limit_ms)
	return op:change(limit_ms) and 200 or 503
end
p:start_all()
p:wait_voters()

for round = 1, rounds do
	local leader = p:leader()
	local others = {}
	for _, m in ipairs(p.cores) do
		if m ~= leader then
			others[#others + 1] = m
		end
	end
	local first = math.random(#others)
	local victims = {others[first], others[first % #others + 1]}
	local sound = leader
	if arg[5] == "leader" then
		victims[2], sound = leader, others[first % #others + 1]
	end
	local pick = p.pick_core
	p.pick_core = function() return sound end
	op:change_within(4000)
	sys.sleep(math.random(1000, 1300))
	for _, m in ipairs(victims) do
		fleet.set_disk(m, fault)
	end
	local ms = op:change_within(4000)
	p.pick_core = pick
	local acked = sys.now_ms()
	while sys.now_ms() - acked < APPLY_MS do
		p:watch()
		sys.sleep(5)
	end
	local before, latest = #op.broken, 0
	while sys.now_ms() - acked < APPLY_MS + ASK_MS do
		local count = #op.broken
		op:probe()
		if #op.broken > count then
			latest = sys.now_ms() - acked
		end
		sys.sleep(5)
	end
	print(string.format("round %d: %s and %s hang, acknowledged after " ..
		"%.0f ms, %d late answers, the last one %.0f ms after it",
		round, victims[1].name, victims[2].name, ms,
		#op.broken - before, latest))
	for _, m in ipairs(victims) do
		fleet.set_disk(m, "")
	end
	p:wait_in_force(4000)
end
op:finish()
local ok = op:report(string.format("hung_disk seed %d \"%s\" %s",
	seed, fault, arg[5] or ""))
p:stop()
fleet.check(ok, "rule CONFIG is broken")
