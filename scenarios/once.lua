-- Guards against a second run of a call that must not be repeated. Causes:
-- answers lost after the run, entry and serving nodes killed before, during and
-- after dispatch, resends through other nodes, table changes, a lost zone.
local fleet = require "fleet"

local f = fleet.new("once")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
f:add_deployment(fleet.grants, {server_args = {"--service-ms=30"}})
f:wait_version(version)

local KIND = "award-payment"

-- Returns the number of runs of each key at all stand-ins, ended runs included.
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

local function build_request(n, key)
	return {url = "http://" .. n.address .. "/call/" .. KIND .. "/",
		method = "POST", body = "amount=100", timeout_ms = 8000,
		headers = {"Idempotency-Key: " .. key}}
end

local function running_nodes()
	local out = {}
	for _, n in ipairs(f.nodes) do
		if n.running then
			out[#out + 1] = n
		end
	end
	return out
end

local outcomes = {}

-- Sends every key through two nodes at the same time and counts the outcomes.
-- offset selects the nodes; before_send, if given, injects a fault once the
-- requests are prepared.
local function send(keys, offset, before_send)
	local requests, request_keys = {}, {}
	local list = running_nodes()
	for i, k in ipairs(keys) do
		for copy = 0, 1 do
			requests[#requests + 1] = build_request(
				list[(i + offset + copy * 3) % #list + 1], k)
			request_keys[#request_keys + 1] = k
		end
	end
	if before_send then
		before_send()
	end
	for i, r in ipairs(http.parallel(requests)) do
		local o = outcomes[request_keys[i]] or {}
		local v = r.headers["x-ggs-outcome"] or "none"
		o[v] = (o[v] or 0) + 1
		outcomes[request_keys[i]] = o
	end
end

local function new_keys(count)
	local keys = {}
	for i = 1, count do
		keys[i] = fleet.key()
	end
	return keys
end

-- Checks that no key ran twice, and that a key answered as ran has one run.
local function check_run_counts(what)
	local runs = count_runs()
	for key, n in pairs(runs) do
		fleet.check(n == 1, "%s: key %s ran %d times", what, key, n)
	end
	for key, o in pairs(outcomes) do
		if o.ran then
			fleet.check(runs[key] == 1, "%s: key %s answered " ..
				"ran, %d runs", what, key, runs[key] or 0)
		end
	end
	print(what .. ": no second run")
end

-- Duplicate sends without a fault.
local keys = new_keys(20)
send(keys, 0)
send(keys, 1)
check_run_counts("resends through other nodes")

-- Each serving node is frozen right before calls are sent, then killed and
-- restarted; the keys are sent again after each step.
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
	check_run_counts("serving node killed, round " .. round)
end

-- A table change and a drain between the sends.
keys = new_keys(20)
send(keys, 0, function()
	version = f:set_cell(KIND, "queue_max", 150)
end)
local drained = f:node("erogazioni-2")
process.kill(drained.proc, "TERM")
send(keys, 2)
drained.running = false
fleet.check(process.wait(drained.proc, 30000) == 0, "drain did not end")
f:start(drained)
f:wait_version(version, 30000)
send(keys, 4)
check_run_counts("table change and drain")

-- The leader is killed right before calls are sent; then all control processes
-- are killed.
keys = new_keys(20)
local leader = f:wait_leader()
send(keys, 1, function()
	f:kill(leader)
end)
f:start(leader)
f:wait_leader()
send(keys, 3)
check_run_counts("control leader killed")
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
check_run_counts("no quorum, then resend")
f:stop()
print("ok: no call that must not be repeated ran twice")
