-- Convergence time, control bytes, CPU time and memory for a number of nodes
-- and of table rows. The nodes are real processes on loopback.
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

-- RPC bytes of all nodes since they started.
local function sum_bytes()
	local sum = 0
	for _, n in ipairs(f.nodes) do
		sum = sum + fleet.metric(n, "ggs_rpc_bytes_total")
	end
	return sum
end

local function sum_cpu_ms(group)
	local sum = 0
	for _, p in ipairs(group) do
		sum = sum + process.usage(p.proc).cpu_ms
	end
	return sum
end

local function max_rss_kb(group)
	local max = 0
	for _, p in ipairs(group) do
		max = math.max(max, process.usage(p.proc).rss_kb)
	end
	return max
end

-- An idle fleet. Reading the metrics is HTTP and not counted as RPC traffic.
local bytes, start = sum_bytes(), sys.now_ms()
local node_cpu, control_cpu = sum_cpu_ms(f.nodes), sum_cpu_ms(f.controls)
sys.sleep(idle_s * 1000)
local seconds = (sys.now_ms() - start) / 1000
fleet.result("convergence", params, "idle_node_cpu",
	(sum_cpu_ms(f.nodes) - node_cpu) / nodes / seconds / 10, "% of a core")
fleet.result("convergence", params, "idle_control_cpu",
	(sum_cpu_ms(f.controls) - control_cpu) / 3 / seconds / 10,
	"% of a core")
fleet.result("convergence", params, "idle_bytes_node_s",
	(sum_bytes() - bytes) / nodes / seconds, "B/s")

-- Edits. Nodes and this script share one clock, so the wall time of a node's
-- switch event can be compared with the time of the edit.
bytes = sum_bytes()
node_cpu, control_cpu = sum_cpu_ms(f.nodes), sum_cpu_ms(f.controls)
start = sys.now_ms()
local sent_ns = {}
for i = 1, changes do
	local now_ns = sys.wall_ns()
	local r = f:ask_any("POST", "/v1/edit", {row = "kind-1",
		column = "weight", value = tostring(20 + i), base = version,
		key = fleet.key()})
	fleet.check(r.status == 200, "edit: %d %s", r.status, r.body)
	version = r.json.version
	sent_ns[version] = now_ns
	f:wait_version(version, 6000)
end
seconds = (sys.now_ms() - start) / 1000
local delta = sum_bytes() - bytes
fleet.result("convergence", params, "change_bytes_node",
	delta / nodes / changes, "B")
fleet.result("convergence", params, "change_node_cpu",
	(sum_cpu_ms(f.nodes) - node_cpu) / nodes / changes,
	"ms, status polls included")
fleet.result("convergence", params, "change_control_cpu",
	(sum_cpu_ms(f.controls) - control_cpu) / 3 / changes, "ms")

local delays_ms = {}
for _, n in ipairs(f.nodes) do
	for _, e in ipairs(fleet.events(n, "switch")) do
		if sent_ns[e.version] then
			delays_ms[#delays_ms + 1] =
				(e.wall_ns - sent_ns[e.version]) / 1e6
		end
	end
end
table.sort(delays_ms)
fleet.check(#delays_ms == nodes * changes, "%d switches of %d", #delays_ms,
	nodes * changes)
fleet.result("convergence", params, "p50", delays_ms[#delays_ms // 2], "ms")
fleet.result("convergence", params, "p99",
	delays_ms[math.ceil(#delays_ms * 0.99)], "ms")
fleet.result("convergence", params, "max", delays_ms[#delays_ms], "ms")
fleet.result("convergence", params, "node_rss", max_rss_kb(f.nodes), "KB")
fleet.result("convergence", params, "control_rss", max_rss_kb(f.controls), "KB")
f:stop()
