-- Guards against a log that grows beyond the disk over a day of large changes,
-- and against nodes that fall behind. Changes a configuration of many routes
-- again and again, with reads, requests and resent orders in between; the disks
-- of two control processes have little room for a while.
-- usage: large_changes.lua SEED [CHANGES [ROUTES [NODES [ROOM_BYTES]]]]
local fleet = require "fleet"
local operator = dofile(ROOT .. "/platform/tests/operator.lua")
local deployment = dofile(ROOT .. "/platform/tests/deployment.lua")

local DISK_BYTES = 256 * 1024 * 1024 -- disk-mb

local seed = math.tointeger(tonumber(arg[1] or "1"))
local changes = tonumber(arg[2] or "300")
local routes = tonumber(arg[3] or "2000")
local room = tonumber(arg[5] or "0")
math.randomseed(seed)

local p = deployment.new("large-" .. seed, 5, tonumber(arg[4] or "5"))
local op = operator.new(p, 0)
p.change = function(_, _, limit_ms)
	return op:change(limit_ms) and 200 or 503
end

-- Names that do not deflate well, a tenth of them new in each version.
local names = {}
for i = 1, routes do
	names[i] = string.format("%x", math.random(1 << 60))
end
local build = op.build
op.build = function(self, version, list, edit)
	return build(self, version, list, function(c)
		for _ = 1, routes // 10 do
			names[math.random(routes)] = string.format("%x",
				math.random(1 << 60))
		end
		for i = 1, routes do
			c.routes.rows[#c.routes.rows + 1] = {"r-n" .. i,
				names[i] .. ".example", "/" .. names[i] .. "/",
				"safe", 1.5, 0.5, 0, "status", 2}
		end
		if edit then
			edit(c)
		end
	end)
end
p:start_all()

local function folder_bytes(m)
	local pipe, sum = io.popen("ls -l " .. m.data), 0
	for line in pipe:lines() do
		sum = sum + (tonumber(line:match("^%S+%s+%S+%s+%S+%s+%S+%s+(%d+)")) or 0)
	end
	pipe:close()
	return sum
end

local most, tight = 0, {p.cores[2], p.cores[4]}
for i = 1, changes do
	p:watch()
	op:change_within(4000)
	if i % 5 == 0 then
		op:read()
		op:probe()
		op:resend()
		for _, m in ipairs(p.cores) do
			most = math.max(most, folder_bytes(m))
		end
	end
	if room > 0 and i == changes * 9 // 20 then
		for _, m in ipairs(tight) do
			fleet.set_disk(m, "room=" .. room)
		end
	elseif room > 0 and i == changes * 4 // 5 then
		for _, m in ipairs(tight) do
			fleet.set_disk(m, "")
		end
		p:wait_in_force(8000)
	end
end
op:finish()
p:wait_in_force(8000)
local ok = op:report(string.format("large_changes seed %d, %d changes of %d " ..
	"routes, room %d: at most %.1f MB in a folder", seed, changes, routes,
	room, most / 1e6))
p:stop()
fleet.check(ok and p.own_ends == 0, "rule CONFIG is broken")
fleet.check(most < DISK_BYTES, "%d bytes in a folder", most)
