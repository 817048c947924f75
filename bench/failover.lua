-- Time from the kill of the control leader until the next edit is accepted and
-- until every node has switched to it; and the time until all nodes have the
-- current table again after they were killed and started at once.
-- usage: scenario bench/failover.lua NODES ROUNDS
local fleet = require "fleet"

local nodes = tonumber(arg[1] or 25)
local rounds = tonumber(arg[2] or 5)
local params = {nodes = nodes}

local f = fleet.new("failover")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
for i = 1, nodes do
	f:add_node{name = "node-" .. i, zone = fleet.grants.zones[i % 3 + 1],
		args = {"--event-ring=256"}}
end
f:wait_version(version, 60000)

-- Retries an edit with one idempotency key until a control process accepts it.
local function edit(value)
	local key = fleet.key()
	local r = fleet.wait_until("an accepted edit", 20000, function()
		for _, c in ipairs(f.controls) do
			if c.running then
				local r = fleet.ask(c, "POST", "/v1/edit", {
					row = "laser-scan", column = "weight",
					value = tostring(value), base = version,
					key = key}, {timeout_ms = 2000})
				if r.status == 200 then
					return r
				end
			end
		end
	end)
	version = r.json.version
end

local accept_max_ms, convergence_max_ms = 0, 0
for i = 1, rounds do
	local leader = f:wait_leader()
	local start = sys.now_ms()
	f:kill(leader)
	edit(100 + i)
	accept_max_ms = math.max(accept_max_ms, sys.now_ms() - start)
	f:wait_version(version, 30000)
	convergence_max_ms = math.max(convergence_max_ms, sys.now_ms() - start)
	f:start(leader)
	f:wait_version(version, 30000)
	sys.sleep(1000)
end
fleet.result("failover", params, "accept_max", accept_max_ms, "ms")
fleet.result("failover", params, "convergence_max", convergence_max_ms, "ms")

local before = 0
for _, c in ipairs(f.controls) do
	before = before + process.usage(c.proc).cpu_ms
end
for _, n in ipairs(f.nodes) do
	f:kill(n)
end
local start = sys.now_ms()
for _, n in ipairs(f.nodes) do
	f:start(n)
end
f:wait_version(version, 60000)
fleet.result("failover", params, "herd_restart", sys.now_ms() - start, "ms")
local after = 0
for _, c in ipairs(f.controls) do
	after = after + process.usage(c.proc).cpu_ms
end
fleet.result("failover", params, "herd_control_cpu", after - before, "ms")
f:stop()
