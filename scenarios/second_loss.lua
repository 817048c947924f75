-- Guards against the loss of acknowledged edits or claims when a second voter
-- and its disk are lost right after the first one was replaced; against the
-- promotion of a new voter that does not have the log yet; and against a voter
-- that was added later, lost its disk and returns under its old id. Two rounds.
local fleet = require "fleet"

local EDITS = 30

local f = fleet.new("second-loss")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
for id = 4, 7 do
	f:plan_control(id, fleet.grants.zones[id % 3 + 1])
end
local version = f:import(ROOT .. "/examples/grants.csv")
for _, s in ipairs{"fascicoli", "erogazioni"} do
	f:add_node{name = s .. "-1", service = s, zone = "milano-a",
		server_args = {"--service-ms=5"}}
end
f:wait_version(version)
local entry = f:node("fascicoli-1")
local acked, keys = {}, {}

local function edit(value)
	version = f:set_cell("laser-scan", "weight", value)
	acked[#acked + 1] = version
end

local function claim()
	local key = fleet.key()
	fleet.wait_until("call " .. key, 20000, function()
		local r = fleet.call(entry, "award-payment", {key = key})
		return r.status == 200 and r.headers["x-ggs-outcome"] == "ran"
	end)
	keys[#keys + 1] = key
end

-- Checks that every acknowledged edit is in the history and that a resend of
-- each key gets the response of its single run.
local function check_nothing_lost(what)
	local present, runs = {}, {}
	for _, v in ipairs(f:ask_any("GET", "/v1/history").json.versions) do
		present[v.version] = true
	end
	for _, v in ipairs(acked) do
		fleet.check(present[v], "%s: version %d is lost", what, v)
	end
	for _, k in ipairs(keys) do
		fleet.wait_until("resend of " .. k, 20000, function()
			return fleet.call(entry, "award-payment", {key = k})
				.status == 200
		end)
	end
	local server = f:node("erogazioni-1").server
	for _, e in ipairs(json.decode(http.request{url = "http://" ..
		server.address .. "/runs?all=1"}.body).runs) do
		runs[e.key] = (runs[e.key] or 0) + e.count
	end
	for _, k in ipairs(keys) do
		fleet.check(runs[k] == 1, "%s: %s ran %s times", what, k,
			tostring(runs[k]))
	end
end

-- Kills a voter and deletes its disk. Edits and claims must go on, and the
-- voter must not start again under its id with an empty folder.
local function lose_voter(c, what)
	f:kill(c)
	sys.remove(c.data)
	edit(500 + #acked)
	claim()
	check_nothing_lost(what)
	sys.folder(c.data)
	f:start(c)
	f:check_start_refused(c)
end

-- Replaces a lost voter with the control process c, which has a new id. While c
-- is frozen it cannot catch up, so its promotion must be refused.
local function replace_voter(lost, c)
	f:join_control(c)
	local status, text = f:member("add", c)
	fleet.check(status == 0, "add %d: %d %s", c.id, status, text)
	f:freeze(c)
	for i = 1, EDITS do
		edit(i)
	end
	status, text = f:member("promote", c)
	fleet.check(status == 3, "promote %d before it has caught up: %d %s",
		c.id, status, text)
	f:thaw(c)
	fleet.wait_until("promotion of " .. c.name, 20000, function()
		return f:member("promote", c) == 0
	end)
	fleet.wait_until("removal of " .. lost.name, 20000, function()
		return f:member("remove", lost) == 0
	end)
end

local function pick_follower()
	local leader = f:wait_leader()
	for _, c in ipairs(f.controls) do
		if c.running and c ~= leader then
			return c
		end
	end
end

for round = 1, 2 do
	local new = {f.controls[2 + 2 * round], f.controls[3 + 2 * round]}
	local first = round == 1 and pick_follower() or f:wait_leader()
	lose_voter(first, "round " .. round .. ", first loss")
	replace_voter(first, new[1])
	-- The second loss follows at once: the leader in round 1, the new voter
	-- in round 2.
	local second = round == 1 and f:wait_leader() or new[1]
	lose_voter(second, "round " .. round .. ", second loss")
	replace_voter(second, new[2])
	edit(700 + round)
	claim()
	check_nothing_lost("round " .. round .. ", repaired")
	f:wait_version(version, 30000)
end

local members = f:ask_any("GET", "/v1/status").json.group.members
fleet.check(#members == 3, "%d members", #members)
for _, m in ipairs(members) do
	fleet.check(m.voter and (m.id > 3 or f.controls[m.id].running),
		"member %d", m.id)
end
f:stop()
print("ok: " .. #acked .. " edits and " .. #keys ..
	" claims survive a second loss after each repair")
