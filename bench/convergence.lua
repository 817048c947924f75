-- Convergence time, control bytes, CPU time and memory against the number of
-- nodes and the rows of the table: nodes as real processes on loopback.
-- usage: scenario bench/convergence.lua NODES ROWS CHANGES IDLE_S
local fleet = require "fleet"

local nodes = tonumber(arg[1] or 25)
local rows = tonumber(arg[2] or 20)
local changes = tonumber(arg[3] or 20)
local idle_s = tonumber(arg[4] or 20)
local params = {nodes = nodes, rows = rows}

local f = fleet.new("convergence")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()

local csv = {"kind,service,rank,weight,floor_pct,limit_pct,target_ms," ..
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s," ..
	"body_max_kb,drain_s"}
for i = 1, rows do
	csv[#csv + 1] = string.format("kind-%d,service-%d,%d,10,5,100,100," ..
		"1000,100,1,10,0,yes,0,16,10", i, math.floor(i / 4), i % 9 + 1)
end
local path = f.dir .. "/table.csv"
sys.write(path, table.concat(csv, "\n") .. "\n")
local version = f:import(path)
for i = 1, nodes do
	f:add_node{name = "node-" .. i, zone = fleet.grants.zones[i % 3 + 1],
		args = {"--event-ring=256"}}
end
f:wait_version(version, 60000)

local function sum_bytes()
	local sum = 0
	for _, n in ipairs(f.nodes) do
		sum = sum + fleet.metric(n, "ggs_rpc_bytes_total")
	end
	return sum
end

local function cpu(group)
	local sum = 0
	for _, p in ipairs(group) do
		sum = sum + process.usage(p.proc).cpu_ms
	end
	return sum
end

local function peak_kb(group)
	local top = 0
	for _, p in ipairs(group) do
		top = math.max(top, process.usage(p.proc).rss_kb)
	end
	return top
end

-- Idle traffic. The queries for the metrics are not control traffic.
local bytes, start = sum_bytes(), sys.now_ms()
local node_cpu, control_cpu = cpu(f.nodes), cpu(f.controls)
sys.sleep(idle_s * 1000)
local seconds = (sys.now_ms() - start) / 1000
fleet.result("convergence", params, "idle_node_cpu",
	(cpu(f.nodes) - node_cpu) / nodes / seconds / 10, "% of a core")
fleet.result("convergence", params, "idle_control_cpu",
	(cpu(f.controls) - control_cpu) / 3 / seconds / 10, "% of a core")
fleet.result("convergence", params, "idle_bytes_node_s",
	(sum_bytes() - bytes) / nodes / seconds, "B/s")

-- Changes; the stamps of the nodes' events are of the same machine's clock.
bytes = sum_bytes()
node_cpu, control_cpu = cpu(f.nodes), cpu(f.controls)
start = sys.now_ms()
local sent = {}
for i = 1, changes do
	local at = sys.wall_ns()
	local r = f:ask_any("POST", "/v1/edit", {row = "kind-1",
		column = "weight", value = tostring(20 + i), base = version,
		key = fleet.key()})
	fleet.check(r.status == 200, "edit: %d %s", r.status, r.body)
	version = r.json.version
	sent[version] = at
	f:wait_version(version, 6000)
end
seconds = (sys.now_ms() - start) / 1000
local delta = sum_bytes() - bytes
fleet.result("convergence", params, "change_bytes_node",
	delta / nodes / changes, "B")
fleet.result("convergence", params, "change_node_cpu",
	(cpu(f.nodes) - node_cpu) / nodes / changes, "ms, status polls included")
fleet.result("convergence", params, "change_control_cpu",
	(cpu(f.controls) - control_cpu) / 3 / changes, "ms")

local times = {}
for _, n in ipairs(f.nodes) do
	for _, e in ipairs(fleet.events(n, "switch")) do
		if sent[e.version] then
			times[#times + 1] = (e.wall_ns - sent[e.version]) / 1e6
		end
	end
end
table.sort(times)
fleet.check(#times == nodes * changes, "%d switches of %d", #times,
	nodes * changes)
fleet.result("convergence", params, "p50", times[#times // 2], "ms")
fleet.result("convergence", params, "p99", times[math.ceil(#times * 0.99)],
	"ms")
fleet.result("convergence", params, "max", times[#times], "ms")
fleet.result("convergence", params, "node_rss", peak_kb(f.nodes), "KB")
fleet.result("convergence", params, "control_rss", peak_kb(f.controls), "KB")
f:stop()
