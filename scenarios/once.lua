-- Guards against a second run of a call that must not be repeated: answers
-- lost after the run, entry and serving nodes killed before, during and after
-- dispatch, resends through other nodes, table changes, a lost zone.
local fleet = require "fleet"

local f = fleet.new("once")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
f:add_deployment(fleet.grants, {server_args = {"--service-ms=30"}})
f:wait_version(version)

local KIND = "award-payment"

-- Runs of every key at all stand-ins, ended ones included.
local function count_runs()
	local runs = {}
	for _, s in ipairs(f.servers) do
		if s.running and s.node.service == "erogazioni" then
			local r = http.request{url = "http://" .. s.address ..
				"/runs?all=1"}
			for _, e in ipairs((json.decode(r.body) or {}).runs or
				{}) do
				runs[e.key] = (runs[e.key] or 0) + e.count
			end
		end
	end
	return runs
end

local function request(n, key)
	return {url = "http://" .. n.address .. "/call/" .. KIND .. "/",
		method = "POST", body = "amount=100", timeout_ms = 8000,
		headers = {"Idempotency-Key: " .. key}}
end

local function entries()
	local out = {}
	for _, n in ipairs(f.nodes) do
		if n.running then
			out[#out + 1] = n
		end
	end
	return out
end

local outcomes = {}

-- Sends every key once through one node and, at the same time, through
-- another; then again after the fault.
local function send(keys, first, during)
	local requests, owners = {}, {}
	local list = entries()
	for i, k in ipairs(keys) do
		for d = 0, 1 do
			requests[#requests + 1] = request(list[(i + first + d *
				3) % #list + 1], k)
			owners[#owners + 1] = k
		end
	end
	if during then
		during()
	end
	for i, r in ipairs(http.parallel(requests)) do
		local o = outcomes[owners[i]] or {}
		local v = r.headers["x-ggs-outcome"] or "none"
		o[v] = (o[v] or 0) + 1
		outcomes[owners[i]] = o
	end
end

local function new_keys(count)
	local keys = {}
	for i = 1, count do
		keys[i] = fleet.key()
	end
	return keys
end

local function check_all(what)
	local runs = count_runs()
	for key, n in pairs(runs) do
		fleet.check(n == 1, "%s: key %s ran %d times", what, key, n)
	end
	for key, o in pairs(outcomes) do
		if o.ran then
			fleet.check(runs[key] == 1, "%s: key %s answered ran, " ..
				"%d runs", what, key, runs[key] or 0)
		end
	end
	print(what .. ": no second run")
end

-- Doubled sends with no fault.
local keys = new_keys(20)
send(keys, 0)
send(keys, 1)
check_all("resends through other nodes")

-- The serving nodes are frozen and killed while calls run.
for round = 1, 3 do
	local victim = f:node("erogazioni-" .. round)
	keys = new_keys(20)
	send(keys, round, function()
		f:freeze(victim)
	end)
	f:kill(victim)
	send(keys, round + 1)
	f:start(victim)
	f:wait_version(version, 30000)
	send(keys, round + 2)
	check_all("serving node killed, round " .. round)
end

-- A table change and a drain in between.
keys = new_keys(20)
send(keys, 0, function()
	version = f:set(KIND, "queue_max", 150)
end)
local drained = f:node("erogazioni-2")
process.kill(drained.proc, "TERM")
send(keys, 2)
drained.running = false
fleet.check(process.wait(drained.proc, 30000) == 0, "drain did not end")
f:start(drained)
f:wait_version(version, 30000)
send(keys, 4)
check_all("table change and drain")

-- The leader dies while claims are open, then the whole majority.
keys = new_keys(20)
local leader = f:wait_leader()
send(keys, 1, function()
	f:kill(leader)
end)
f:start(leader)
f:wait_leader()
send(keys, 3)
check_all("control leader killed")
for _, c in ipairs(f.controls) do
	f:kill(c)
end
keys = new_keys(10)
send(keys, 1)
for _, k in ipairs(keys) do
	fleet.check(not outcomes[k].ran, "ran without a quorum")
end
for _, c in ipairs(f.controls) do
	f:start(c)
end
f:wait_leader()
f:wait_version(version, 30000)
send(keys, 2)
check_all("no quorum, then resend")
f:stop()
print("ok: no call that must not be repeated ran twice")
