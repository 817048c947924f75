-- Plays a day like review/2 with real processes: the disks of three of five
-- control processes refuse for FOR_MS, one after the other, with changes, reads
-- and requests in between; prints what breaks rule CONFIG, by its words.
-- usage: disk_day.lua SEED [NODES [FAULT [FOR_MS [GAP_MS [IDLE_ROUTES]]]]]
local fleet = require "fleet"
local operator = dofile(ROOT .. "/platform/tests/operator.lua")
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local seed = math.tointeger(tonumber(arg[1] or "1"))
local nodes = tonumber(arg[2] or "11")
local fault = arg[3] or "write name"
local for_ms, gap_ms = tonumber(arg[4] or "4500"), tonumber(arg[5] or "7500")
local idle = tonumber(arg[6] or "0")
local name = arg[7] or "day"
math.randomseed(seed)

local p = deployment.new("disk-day-" .. name .. "-" .. seed, 5, nodes)
local op = operator.new(p, idle)
p.change = function(_, core, limit_ms)
	return op:change(limit_ms) and 200 or 503
end
p:start_all()
p:wait_voters()

-- The changes of the day, its reads and requests, until a moment.
local next_change = 0
local function go_on(until_ms)
	while sys.now_ms() < until_ms do
		p:watch()
		if sys.now_ms() >= next_change and not op.order then
			op:change()
			next_change = sys.now_ms() + 1000
		elseif op.order then
			op:change()
		end
		if math.random(8) == 1 then
			op:resend()
		elseif math.random(8) == 1 then
			op:send_invalid()
		end
		op:read()
		op:probe()
		sys.sleep(math.random(50, 200))
	end
end

local start = sys.now_ms()
go_on(start + 3000)
local hit = {}
for turn = 1, 3 do
	-- Those that were hit least often first, the leader among them.
	local left = {}
	for _, m in ipairs(p.cores) do
		if not hit[m] then
			left[#left + 1] = m
		end
	end
	local m = left[math.random(#left)]
	hit[m] = true
	print(string.format("%.1f s: %s has \"%s\"", (sys.now_ms() - start) /
		1000, m.name, fault))
	fleet.set_disk(m, fault)
	go_on(sys.now_ms() + for_ms)
	fleet.set_disk(m, "")
	go_on(sys.now_ms() + gap_ms)
end
if op.order then
	op:change_within(4000)
else
	op:change_within(4000)
end
op:finish(20000)
local ok = op:report(string.format("disk_day %s seed %d nodes %d \"%s\" %d/%d",
	os.getenv("DAEMON") or "today", seed, nodes, fault, for_ms, gap_ms))
p:stop()
fleet.check(ok, "rule CONFIG is broken")
