-- Guards against processes of another build that end, refuse or keep an older
-- configuration: a deployment of the build BEFORE (a path; DAEMON is the other
-- one) whose processes are replaced one by one, with changes, reads and requests
-- going on, and back again.
-- usage: BEFORE=PATH mixed_builds.lua SEED [ROUTES]
local fleet = require "fleet"
local operator = dofile(ROOT .. "/platform/tests/operator.lua")
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local CATCH_UP_MS = 4000 -- catch-up-s
local before = assert(os.getenv("BEFORE"), "BEFORE is not set")

local seed = math.tointeger(tonumber(arg[1] or "1"))
math.randomseed(seed)
local p = deployment.new("mixed-" .. seed, 5, 8)
local op = operator.new(p, tonumber(arg[2] or "300"))
p.change = function(_, _, limit_ms)
	return op:change(limit_ms) and 200 or 503
end

-- The build of a machine is in its environment only through DAEMON, so the
-- start replaces it for the machines that are still on the other build.
local getenv = os.getenv
local start = p.start
p.start = function(self, m)
	os.getenv = function(name)
		if name == "DAEMON" then
			return m.after and getenv("DAEMON") or
				(not m.after and before) or nil
		end
		return getenv(name)
	end
	start(self, m)
	m.up_at = sys.now_ms()
	os.getenv = getenv
end

local function go_on(for_ms)
	local until_ms = sys.now_ms() + for_ms
	while sys.now_ms() < until_ms do
		p:watch()
		op:change()
		if math.random(6) == 1 then
			op:resend()
		elseif math.random(6) == 1 then
			op:send_invalid()
		elseif math.random(10) == 1 then
			op:race()
		end
		op:read()
		op:probe()
		sys.sleep(math.random(20, 120))
	end
end

p:start_all()
go_on(3000)

local function replace_all(after)
	local list = {}
	for _, m in ipairs(p.cores) do
		list[#list + 1] = m
	end
	for _, m in ipairs(p.nodes) do
		list[#list + 1] = m
	end
	for i = #list, 2, -1 do
		local k = math.random(i)
		list[i], list[k] = list[k], list[i]
	end
	for _, m in ipairs(list) do
		op:disturb()
		m.after = after
		m.ends = 0
		p:signal(m, math.random(2) == 1 and "TERM" or "KILL")
		go_on(m.core and 2500 or 400)
		fleet.wait_until("a restart", 10000, function()
			p:watch()
			return m.running
		end)
	end
	op:change_within(4000)
	p:wait_in_force(CATCH_UP_MS)
	print(string.format("all on the %s build: version %d, %d own ends",
		after and "second" or "first", op.version, p.own_ends))
end

replace_all(true)
go_on(3000)
replace_all(false)
go_on(3000)
op:finish()
local ok = op:report("mixed_builds seed " .. seed .. " " .. before)
p:stop()
fleet.check(ok and p.own_ends == 0, "rule CONFIG is broken, or %d own ends",
	p.own_ends)
