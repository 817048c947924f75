-- Guards against a core that loses or changes an acknowledged configuration, or
-- stays without some of its members, after disks have returned damaged data or
-- have refused reads. Five control processes and three nodes in the platform
-- role; in each round one or two control processes are killed, their files are
-- damaged, and they are started again as the platform does it. With three, which
-- the group does not bear, the files must stay for an operator, who puts sound
-- ones in their place.
-- With "running", they are not killed: their disks refuse writes, and the files
-- are damaged before they are opened again.
-- usage: damaged_disks.lua SEED [DAMAGE [VICTIMS [ROUNDS [running]]]]
-- Without further arguments, SEED draws them.
local fleet = require "fleet"
local operator = dofile(ROOT .. "/platform/tests/operator.lua")
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local BACK_MS = 20000 -- a damaged member is back, or replaced, within it

local seed = math.tointeger(tonumber(arg[1] or "1"))
math.randomseed(seed)
local function pick(list)
	return list[math.random(#list)]
end

local function read_file(path)
	local f = io.open(path, "rb")
	if not f then
		return nil
	end
	local text = f:read("a")
	f:close()
	return text
end

local function write_file(path, text)
	local f = assert(io.open(path, "wb"))
	f:write(text)
	f:close()
end

-- Returns the newest file of that kind in the folder of a core, or nil.
local function newest(m, prefix)
	for n = 200, 0, -1 do
		local path = string.format("%s/%s-%016x", m.data, prefix, n)
		if read_file(path) then
			return path
		end
	end
end

local function flip(path)
	local text = path and read_file(path)
	if not text or #text == 0 then
		return false
	end
	local at = math.random(#text)
	write_file(path, text:sub(1, at - 1) ..
		string.char(text:byte(at) ~ (1 << math.random(0, 7))) ..
		text:sub(at + 1))
	return true
end

local function cut(path, count)
	local text = path and read_file(path)
	if not text or #text <= count then
		return false
	end
	write_file(path, text:sub(1, #text - count))
	return true
end

local function zero(path, at, count)
	local text = path and read_file(path)
	if not text then
		return false
	end
	at = math.max(0, math.min(at, #text))
	count = math.min(count, #text - at)
	write_file(path, text:sub(1, at) .. string.rep("\0", count) ..
		text:sub(at + count + 1))
	return count > 0
end

local function gone(path)
	return path and os.remove(path) or false
end

-- Each returns whether it found something to damage.
local damages = {
	flip_log = function(m) return flip(newest(m, "log")) end,
	zero_log = function(m)
		local path = newest(m, "log")
		return zero(path, math.random(0, #read_file(path) // 512) * 512,
			512)
	end,
	zero_end = function(m)
		local path = newest(m, "log")
		return zero(path, (#read_file(path) - 1) // 512 * 512, 512)
	end,
	cut_log = function(m)
		return cut(newest(m, "log"), math.random(1, 2000))
	end,
	gone_log = function(m) return gone(newest(m, "log")) end,
	flip_state = function(m) return flip(m.data .. "/state") end,
	gone_state = function(m) return gone(m.data .. "/state") end,
	empty_state = function(m) return zero(m.data .. "/state", 0, 40) end,
	flip_snapshot = function(m) return flip(newest(m, "snapshot")) end,
	gone_snapshot = function(m) return gone(newest(m, "snapshot")) end,
	flip_identity = function(m) return flip(m.data .. "/identity") end,
	gone_identity = function(m) return gone(m.data .. "/identity") end,
	read = function(m)
		fleet.set_disk(m, "read errno=5")
		return true
	end,
}
local names = {}
for name in pairs(damages) do
	names[#names + 1] = name
end
table.sort(names)

local damage = arg[2] or pick(names)
local victims = tonumber(arg[3]) or math.random(2)
local rounds = tonumber(arg[4] or "2")
local running = arg[5] == "running"
local title = string.format("damaged_disks seed %d %s %d", seed, damage, victims)

local p = deployment.new("damaged-" .. seed .. "-" .. damage, 5, 3)
local op = operator.new(p)
p.change = function(_, _, limit_ms)
	return op:change(limit_ms) and 200 or 503
end
p:start_all()

local function count_voters()
	for _, m in ipairs(p.cores) do
		local r = m.running and http.request{timeout_ms = 1000,
			url = m.control .. "/v1/status"}
		local s = r and r.status == 200 and json.decode(r.body)
		if s and s.group and s.group.role == "leader" then
			local voters = 0
			for _, member in ipairs(s.group.members or {}) do
				voters = voters + (member.voter and 1 or 0)
			end
			return voters
		end
	end
	return 0
end
fleet.wait_until("five voters", 30000, function()
	return count_voters() == 5
end)

local function go_on(until_ms)
	while sys.now_ms() < until_ms do
		p:watch()
		op:change()
		op:read()
		op:probe()
		sys.sleep(math.random(20, 150))
	end
end

-- What an operator has kept of the folder of a core.
local function keep(m)
	sys.remove(m.data .. ".kept")
	assert(os.execute("cp -r " .. m.data .. " " .. m.data .. ".kept"))
end

local function restore(m)
	sys.remove(m.data)
	assert(os.execute("cp -r " .. m.data .. ".kept " .. m.data))
end

local done = 0
for round = 1, rounds do
	go_on(sys.now_ms() + 1500)
	local list = {}
	for i, m in ipairs(p.cores) do
		list[i] = m
	end
	for i = #list, 2, -1 do
		local k = math.random(i)
		list[i], list[k] = list[k], list[i]
	end
	op:disturb()
	for i = 1, victims do
		if running then
			fleet.set_disk(list[i], "write name")
		else
			p:signal(list[i], "KILL")
		end
	end
	if running then
		go_on(sys.now_ms() + 600)
	end
	p:watch()
	for i = 1, victims do
		local m = list[i]
		fleet.wait_until("an end", 2000, function()
			p:watch()
			return running or not m.running
		end)
		if victims == 3 then
			keep(m)
		end
		local found = damages[damage](m)
		done = done + (found and 1 or 0)
		if running and damage ~= "read" then
			fleet.set_disk(m, "")
		end
		print(string.format("round %d: %s, %s", round, m.name,
			found and damage or "nothing to damage"))
	end
	go_on(sys.now_ms() + 4000)
	for i = 1, victims do
		if damage == "read" then
			fleet.set_disk(list[i], "")
		end
	end
	if victims == 3 then
		for i = 1, victims do
			fleet.check(not read_file(list[i].data ..
				"/damaged.state"), "%s: %s has set its data " ..
				"aside without a quorum", title, list[i].name)
			p:signal(list[i], "KILL")
		end
		-- The platform starts them again half a second later or more.
		sys.sleep(100)
		for i = 1, victims do
			restore(list[i])
		end
		go_on(sys.now_ms() + 4000)
	end
	-- All of them serve again: each reads back the newest configuration.
	local start = sys.now_ms()
	while true do
		p:watch()
		op:change()
		local behind
		for _, r in ipairs(p:read()) do
			if r.version < op.version then
				behind = r.core.name .. " " .. r.status
			end
		end
		for _, m in ipairs(p.cores) do
			if not m.running then
				behind = m.name .. " is down"
			end
		end
		local voters = count_voters()
		if not behind and voters == 5 then
			break
		end
		if sys.now_ms() - start > BACK_MS then
			op:note("a member stays away", "%s, %d voters",
				behind or "none behind", voters)
			break
		end
		sys.sleep(100)
	end
	print(string.format("round %d: back after %.0f ms", round,
		sys.now_ms() - start))
end
op:change_within(4000)
op:finish()
local ok = op:report(title)
p:stop()
fleet.check(ok, "%s: rule CONFIG is broken, or a member stays away", title)
fleet.check(done > 0, "%s: nothing was damaged", title)
-- The platform counts the ends; each member needs one, to take another id.
fleet.check(p.own_ends <= (victims == 3 and 0 or done), "%s: %d own ends", title,
	p.own_ends)
