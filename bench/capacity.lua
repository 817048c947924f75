-- Writes docs/CAPACITY.md from build/bench/results.jsonl: figures at the design
-- size, worked out from slopes that the committed experiments measured.
-- usage: scenario bench/capacity.lua > docs/CAPACITY.md

local path = os.getenv("GGS_RESULTS") or BUILD .. "/bench/results.jsonl"

-- The design size.
local NODES, SERVICES, CALLS_S = 9200, 240, 1.2e6
local RELAYS, VOTERS = 12, 5
local CHANGES_DAY, RESTARTS_DAY, FAILURES_DAY = 17000, 570, 12
local PEAK = 20 -- busiest minute over the mean of the day, assumed
local FOLLOWED = 20 -- services that a node routes to, assumed
local ROWS = 960 -- four rows a service, assumed
local DEPTH = 17
local ONCE_SHARE = 0.001 -- calls with repeat=no, assumed
local KEEP_S = 86400 -- their retention, assumed
local DAY = 86400
-- What TCP and IP add to an exchange of two messages and an acknowledgement.
local TCP_BYTES = 3 * 52

local results, commits = {}, {}
for line in assert(io.open(path)):lines() do
	local r = json.decode(line)
	if r then
		results[#results + 1] = r
		commits[r.commit] = true
	end
end

local function get(params, name)
	return type(params) == "table" and params[name] or nil
end

-- All values of a metric as {x, y}, x from a parameter, others fixed.
local function points(experiment, metric, x, fixed)
	local out = {}
	for _, r in ipairs(results) do
		local ok = r.experiment == experiment and r.metric == metric
		for k, v in pairs(fixed or {}) do
			ok = ok and get(r.params, k) == v
		end
		if ok then
			out[#out + 1] = {x and get(r.params, x) or 0, r.value}
		end
	end
	table.sort(out, function(a, b) return a[1] < b[1] end)
	return out
end

-- Least squares: intercept, slope, first and last x.
local function fit(list)
	assert(#list > 0, "no results; run make bench first")
	local n, sx, sy, sxx, sxy = #list, 0, 0, 0, 0
	for _, p in ipairs(list) do
		sx, sy = sx + p[1], sy + p[2]
		sxx, sxy = sxx + p[1] * p[1], sxy + p[1] * p[2]
	end
	local d = n * sxx - sx * sx
	local slope = d ~= 0 and (n * sxy - sx * sy) / d or 0
	return (sy - slope * sx) / n, slope, list[1][1], list[n][1]
end

local function top(list)
	local v
	for _, p in ipairs(list) do
		v = math.max(v or p[2], p[2])
	end
	return assert(v, "no results; run make bench first")
end

local function find(experiment, metric, match)
	for _, r in ipairs(results) do
		local ok = r.experiment == experiment and r.metric == metric
		if ok and match then
			ok = match(r.params)
		end
		if ok then
			return r.value
		end
	end
end

local function row(...)
	print("| " .. table.concat({...}, " | ") .. " |")
end

local function f(fmt, ...) return string.format(fmt, ...) end

-- A figure beside its budget with the margin; red when it does not fit.
local function judge(what, value, budget, unit, how)
	local fits = value <= budget
	row(what, f("%.4g %s", value, unit), f("%.4g %s", budget, unit),
		fits and f("%.1fx", budget / value) or
		f("**red: %.1fx over**", value / budget), how)
end

local names = {}
for c in pairs(commits) do names[#names + 1] = c end
table.sort(names)

-- Slopes
local base = {rows = 20}
local nodes_a, nodes_b, nodes_lo, nodes_hi =
	fit(points("convergence", "change_control_cpu", "nodes", base))
local rows_a, rows_b, rows_lo, rows_hi =
	fit(points("convergence", "change_node_cpu", "rows", {nodes = 100}))
local rss_rows_a, rss_rows_b =
	fit(points("convergence", "node_rss", "rows", {nodes = 100}))
local control_rss_a, control_rss_b =
	fit(points("convergence", "control_rss", "nodes", base))
local p99_a, p99_b = fit(points("convergence", "p99", "nodes", base))
local max_a, max_b = fit(points("convergence", "max", "nodes", base))
local idle_bytes = top(points("convergence", "idle_bytes_node_s"))
local idle_cpu = top(points("convergence", "idle_node_cpu"))
local idle_a, idle_b =
	fit(points("convergence", "idle_control_cpu", "nodes", base))
local change_bytes = top(points("convergence", "change_bytes_node"))
local restart_bytes = top(points("churn", "restart_bytes_follower"))
local herd_a, herd_b =
	fit(points("failover", "herd_control_cpu", "nodes"))
local failover = top(points("failover", "convergence_max", "nodes"))
local accept = top(points("failover", "accept_max", "nodes"))

local changes_s = CHANGES_DAY / DAY
local restarts_s = (RESTARTS_DAY + FAILURES_DAY) / DAY
local a_relay = NODES / RELAYS
-- A restart reaches the nodes that follow its service.
local churn_s = restarts_s * FOLLOWED / SERVICES
local bytes_mean = idle_bytes + TCP_BYTES / 10 +
	changes_s * (change_bytes + TCP_BYTES) +
	churn_s * (restart_bytes + 4 * TCP_BYTES)
local bytes_peak = idle_bytes + TCP_BYTES / 10 +
	PEAK * (changes_s * (change_bytes + TCP_BYTES) +
	churn_s * (restart_bytes + 4 * TCP_BYTES))
local node_change_ms = rows_a + rows_b * ROWS
local node_cpu = idle_cpu + PEAK * changes_s * node_change_ms / 10
local relay_change_ms = nodes_a + nodes_b * a_relay
local relay_cpu = idle_a + idle_b * a_relay +
	PEAK * changes_s * relay_change_ms / 10

print("# Capacity at the design size")
print()
print("Written by `make capacity` from the results of `make bench` (commits " ..
	table.concat(names, ", ") .. "); do not edit it by hand. All processes " ..
	"of an experiment ran on one machine with 10 cores over loopback, so " ..
	"latencies hold no network distance and CPU times include contention.")
print()
print(f("Design size: %d nodes and backend servers, %d services, %.3g " ..
	"calls/s up to %d deep, 7 regions with 15 availability zones, %d " ..
	"changes of the table a day, %d restarts and %d failed VMs a day. %d " ..
	"voters and %d relays are the 17 VMs set aside; %.0f nodes are " ..
	"attached to a relay.", NODES, SERVICES, CALLS_S, DEPTH, CHANGES_DAY,
	RESTARTS_DAY, FAILURES_DAY, VOTERS, RELAYS, a_relay))
print()
print(f("Assumed, not measured: the busiest minute has %dx the mean rate of " ..
	"changes and restarts; a node follows %d services; the table has %d " ..
	"rows; %.1f%% of the calls must not be repeated and their claims are " ..
	"kept for %d h.", PEAK, FOLLOWED, ROWS, ONCE_SHARE * 100,
	KEEP_S / 3600))
print()
print("## Against the budget")
print()
row("what", "at the design size", "budget", "margin", "mechanism and source")
row("---", "---", "---", "---", "---")
judge("node: control bytes, mean", bytes_mean, 3000, "B/s",
	"one long poll with 10 s heartbeat, deltas; convergence, churn")
judge("node: control bytes, busiest minute", bytes_peak, 3000, "B/s",
	"the same")
judge("node: CPU for control, busiest minute", node_cpu, 2.8,
	"% of a core", f("delta applied, digest checked: %.2f ms a change at " ..
	"%d rows; convergence", node_change_ms, ROWS))
judge("node: memory, all of the process", (rss_rows_a + rss_rows_b * ROWS) /
	1024, 128, "MB", f("table of %d rows; convergence", ROWS))
judge("VMs set aside", VOTERS + RELAYS, 17, "VMs", "voters and relays")
judge("relay: CPU, busiest minute", relay_cpu, 100, "% of a core",
	f("%.1f ms a change for %.0f nodes, one encoded reply shared; " ..
	"convergence", relay_change_ms, a_relay))
judge("convergence, p99, without network", p99_a + p99_b * a_relay, 6000, "ms",
	"20 rows; the slope over the nodes of one fleet, taken to one relay's nodes")
judge("convergence, max, without network", max_a + max_b * a_relay, 6000, "ms",
	"the same; add two distances between regions and one relay hop")
judge("convergence, max, 100 nodes, 960 rows", top(points("convergence", "max",
	nil, {nodes = 100, rows = 960})), 6000, "ms",
	"measured, not extrapolated: 100 nodes share 10 cores")
judge("convergence with the leader killed, 200 nodes", failover, 6000, "ms",
	f("accepted after %.0f ms, then reconnects with jitter up to 2 s; " ..
	"failover", accept))
-- What two nodes add to the p99 of a direct call, the median of the rounds.
local function get_hop(metric)
	local direct, added = {}, {}
	for _, r in ipairs(results) do
		local path, round = tostring(r.params):match("^path=(%S+) " ..
			"rate=500 round=(%d+)$")
		if r.experiment == "hop" and r.metric == "read." .. metric and
		    path == "direct" then
			direct[round] = r.value
		elseif r.experiment == "hop" and r.metric == "read." .. metric and
		    path == "hop" and direct[round] then
			added[#added + 1] = r.value - direct[round]
		end
	end
	table.sort(added)
	return added[(#added + 1) // 2], added
end
local hop, hops = get_hop("p99")
if hop then
	judge("latency added by two nodes at moderate load, p99", hop, 1.6, "ms",
		f("median of %d rounds, %.2f to %.2f ms; p50 %.2f ms; hop", #hops,
		hops[1], hops[#hops], get_hop("p50")))
end
local commits_s = find("replica", "commits", function(p)
	return get(p, "outstanding") == 64 end)
local claims_s = CALLS_S * ONCE_SHARE
if commits_s then
	judge("claims: log entries", 2 * claims_s, commits_s, "1/s",
		"group commit, 64 outstanding, members in one process; replica")
end
judge("claims: kept", claims_s * KEEP_S, 131072, "claims",
	"one group keeps at most 131,072; when full, new claims are refused " ..
	"as not run. To be carried by several groups split by key and shorter " ..
	"retention")
print()
print("## Roles")
print()
row("role", "state", "messages", "CPU", "memory")
row("---", "---", "---", "---", "---")
row("node", f("table of %d rows; endpoint sets of %d services, about %.0f " ..
	"endpoints", ROWS, FOLLOWED, FOLLOWED * NODES / SERVICES),
	f("%.0f B/s mean, %.0f B a change, %.0f B a restart of a followed " ..
	"endpoint", bytes_mean, change_bytes, restart_bytes),
	f("%.3f%% idle + %.2f ms a change", idle_cpu, node_change_ms),
	f("%.0f MB", (rss_rows_a + rss_rows_b * ROWS) / 1024))
row("relay", f("table, encoded replies, %.0f held watches, %d endpoint " ..
	"records", a_relay, NODES), f("%.0f replies a change", a_relay),
	f("%.1f ms a change; %.0f ms when its %.0f nodes restart at once",
	relay_change_ms, herd_a + herd_b * a_relay, a_relay),
	f("%.0f MB + %.1f KB a node", control_rss_a / 1024, control_rss_b))
row("voter", "the relay's, and log, 1,024 versions, answers to 4,096 keys, " ..
	"claims", f("2 messages a follower and commit; claims %.0f/s", claims_s),
	"as a relay", "as a relay, and 0.3 KB a claim")
print()
print("## Slopes")
print()
row("figure", "experiment", "range", "intercept", "slope",
	"weakest assumption")
row("---", "---", "---", "---", "---", "---")
row("control CPU of a change", "convergence", f("%d to %d nodes, 3 control " ..
	"processes", nodes_lo, nodes_hi), f("%.2f ms", nodes_a),
	f("%.4f ms a node of the fleet", nodes_b),
	"taken as the slope of one process; a third of the nodes hang on each")
row("node CPU of a change", "convergence", f("%d to %d rows", rows_lo,
	rows_hi), f("%.2f ms", rows_a), f("%.5f ms a row", rows_b),
	"includes the status polls of the experiment")
row("node memory", "convergence", f("%d to %d rows", rows_lo, rows_hi),
	f("%.0f KB", rss_rows_a), f("%.2f KB a row", rss_rows_b),
	"no calls, few endpoint sets")
row("control memory", "convergence", f("%d to %d nodes", nodes_lo, nodes_hi),
	f("%.0f KB", control_rss_a), f("%.2f KB a node", control_rss_b),
	"few endpoint records, no claims")
row("convergence p99", "convergence", f("%d to %d nodes", nodes_lo, nodes_hi),
	f("%.1f ms", p99_a), f("%.3f ms a node", p99_b),
	"200 processes share 10 cores; on VMs of their own the slope is lower")
row("control CPU of a herd restart", "failover", "25 to 200 nodes",
	f("%.0f ms", herd_a), f("%.2f ms a node", herd_b),
	"small table; whole tables are admitted at a bounded rate")
print()
print("## Calls")
print()
print("Reading A of the 1.6 ms (docs/design.md, section 2.2) is the budget: " ..
	"a hop, whatever the depth. A chain of 17 hops meets the hop's p99 " ..
	"with probability 0.99^17 = 84%, so that its own p99 is close to the " ..
	"hop's p99.94.")
print()
row("experiment", "case", "metric", "value")
row("---", "---", "---", "---")
for _, r in ipairs(results) do
	local short = r.metric:match("^read%.(p%d+)$")
	if r.experiment == "hop" and (short or r.metric:match("cpu") or
	    r.metric:match("core")) then
		row("hop", tostring(r.params), r.metric, f("%.4g %s", r.value,
			r.unit))
	end
end
for _, r in ipairs(results) do
	if r.experiment == "flood" and (r.metric:match("in_target$") or
	    r.metric:match("goodput$") or r.metric == "duplicate_runs" or
	    r.metric == "false_not_run") and r.params:match("10x") then
		row("flood", r.params, r.metric, f("%.4g %s", r.value, r.unit))
	end
end
for _, r in ipairs(results) do
	if r.experiment == "chain" then
		row("chain", f("depth %d, failing leaf", get(r.params, "depth")),
			r.metric, f("%.4g %s", r.value, r.unit))
	end
end
print()
print("## Not measured")
print()
print("- Distance between VMs, availability zones and regions; all figures " ..
	"are of loopback.")
print("- Relays under load: the experiments attach nodes to voters, which " ..
	"serve watches with the same code.")
print("- 9,200 endpoint records in one registry, and 17 control processes in " ..
	"one mesh.")
print(f("- Calls at the design size: %.0f calls/s a node on average.",
	CALLS_S / NODES))
