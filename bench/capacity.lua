-- Writes docs/CAPACITY.md from build/bench/results.jsonl: figures at the design
-- size, extrapolated with the slopes that the experiments measured.
-- usage: scenario bench/capacity.lua > docs/CAPACITY.md

local path = os.getenv("GGS_RESULTS") or BUILD .. "/bench/results.jsonl"

-- The design size.
local NODES, SERVICES, CALLS_S = 9200, 240, 1.2e6
local RELAYS, VOTERS = 12, 5
local CHANGES_DAY, RESTARTS_DAY, FAILURES_DAY = 17000, 570, 12
local PEAK_FACTOR = 20 -- busiest minute / mean of the day, assumed
local FOLLOWED_SERVICES = 20 -- services of a node's interest, assumed
local ROWS = 960 -- four rows a service, assumed
local DEPTH = 17
local CLAIMED_SHARE = 0.001 -- calls with repeat=no, which need a claim; assumed
local KEEP_S = 86400 -- retention of claims, assumed
local DAY = 86400
-- TCP and IP headers of an exchange: two messages and an acknowledgement.
local TCP_BYTES = 3 * 52

local results, commits = {}, {}
for line in assert(io.open(path)):lines() do
	local r = json.decode(line)
	if r then
		results[#results + 1] = r
		commits[r.commit] = true
	end
end

local function get_param(params, name)
	return type(params) == "table" and params[name] or nil
end

-- All values of a metric as {x, y}, sorted by x: x is the value of a parameter,
-- fixed gives the values of others.
local function get_points(experiment, metric, x, fixed)
	local out = {}
	for _, r in ipairs(results) do
		local ok = r.experiment == experiment and r.metric == metric
		for k, v in pairs(fixed or {}) do
			ok = ok and get_param(r.params, k) == v
		end
		if ok then
			out[#out + 1] = {x and get_param(r.params, x) or 0, r.value}
		end
	end
	table.sort(out, function(a, b) return a[1] < b[1] end)
	return out
end

-- Fits a line by least squares; returns intercept, slope, first and last x.
local function fit_line(list)
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

-- The largest value of a list of points.
local function max_value(list)
	local v
	for _, p in ipairs(list) do
		v = math.max(v or p[2], p[2])
	end
	return assert(v, "no results; run make bench first")
end

-- The first value of a metric whose parameters match; nil if there is none.
local function find_value(experiment, metric, match)
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

local function print_row(...)
	print("| " .. table.concat({...}, " | ") .. " |")
end

local function f(fmt, ...) return string.format(fmt, ...) end

-- Prints a figure with its budget and margin; red if it exceeds the budget.
local function print_budget(what, value, budget, unit, how)
	local fits = value <= budget
	print_row(what, f("%.4g %s", value, unit), f("%.4g %s", budget, unit),
		fits and f("%.1fx", budget / value) or
		f("**red: %.1fx over**", value / budget), how)
end

local names = {}
for c in pairs(commits) do names[#names + 1] = c end
table.sort(names)

-- Intercepts (base) and slopes over the number of nodes or rows
local rows_20 = {rows = 20}
local relay_change_base, relay_change_slope, nodes_lo, nodes_hi =
	fit_line(get_points("convergence", "change_control_cpu", "nodes",
	rows_20))
local node_change_base, node_change_slope, rows_lo, rows_hi =
	fit_line(get_points("convergence", "change_node_cpu", "rows",
	{nodes = 100}))
local node_rss_base, node_rss_slope =
	fit_line(get_points("convergence", "node_rss", "rows", {nodes = 100}))
local control_rss_base, control_rss_slope =
	fit_line(get_points("convergence", "control_rss", "nodes", rows_20))
local p99_base, p99_slope =
	fit_line(get_points("convergence", "p99", "nodes", rows_20))
local max_base, max_slope =
	fit_line(get_points("convergence", "max", "nodes", rows_20))
local idle_bytes = max_value(get_points("convergence", "idle_bytes_node_s"))
local idle_cpu = max_value(get_points("convergence", "idle_node_cpu"))
local relay_idle_base, relay_idle_slope =
	fit_line(get_points("convergence", "idle_control_cpu", "nodes",
	rows_20))
local change_bytes = max_value(get_points("convergence", "change_bytes_node"))
local restart_bytes = max_value(get_points("churn", "restart_bytes_follower"))
local restart_cpu_base, restart_cpu_slope =
	fit_line(get_points("failover", "herd_control_cpu", "nodes"))
local failover_ms =
	max_value(get_points("failover", "convergence_max", "nodes"))
local accept_ms = max_value(get_points("failover", "accept_max", "nodes"))

local changes_per_s = CHANGES_DAY / DAY
local restarts_per_s = (RESTARTS_DAY + FAILURES_DAY) / DAY
local nodes_per_relay = NODES / RELAYS
-- A restart is sent to the nodes that follow its service.
local churn_per_s = restarts_per_s * FOLLOWED_SERVICES / SERVICES
-- B/s of one node; an idle node makes one exchange in each 10 s heartbeat.
local bytes_mean = idle_bytes + TCP_BYTES / 10 +
	changes_per_s * (change_bytes + TCP_BYTES) +
	churn_per_s * (restart_bytes + 4 * TCP_BYTES)
local bytes_peak = idle_bytes + TCP_BYTES / 10 +
	PEAK_FACTOR * (changes_per_s * (change_bytes + TCP_BYTES) +
	churn_per_s * (restart_bytes + 4 * TCP_BYTES))
local node_change_ms = node_change_base + node_change_slope * ROWS
local node_cpu = idle_cpu + PEAK_FACTOR * changes_per_s * node_change_ms / 10
local relay_change_ms = relay_change_base + relay_change_slope * nodes_per_relay
local relay_cpu = relay_idle_base + relay_idle_slope * nodes_per_relay +
	PEAK_FACTOR * changes_per_s * relay_change_ms / 10

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
	RESTARTS_DAY, FAILURES_DAY, VOTERS, RELAYS, nodes_per_relay))
print()
print(f("Assumed, not measured: the busiest minute has %dx the mean rate of " ..
	"changes and restarts; a node follows %d services; the table has %d " ..
	"rows; %.1f%% of the calls must not be repeated and their claims are " ..
	"kept for %d h.", PEAK_FACTOR, FOLLOWED_SERVICES, ROWS,
	CLAIMED_SHARE * 100, KEEP_S / 3600))
print()
print("## Against the budget")
print()
print_row("what", "at the design size", "budget", "margin",
	"mechanism and source")
print_row("---", "---", "---", "---", "---")
print_budget("node: control bytes, mean", bytes_mean, 3000, "B/s",
	"one long poll with 10 s heartbeat, deltas; convergence, churn")
print_budget("node: control bytes, busiest minute", bytes_peak, 3000, "B/s",
	"the same")
print_budget("node: CPU for control, busiest minute", node_cpu, 2.8,
	"% of a core", f("delta applied, digest checked: %.2f ms a change at " ..
	"%d rows; convergence", node_change_ms, ROWS))
print_budget("node: memory, all of the process",
	(node_rss_base + node_rss_slope * ROWS) / 1024, 128, "MB",
	f("table of %d rows; convergence", ROWS))
print_budget("VMs set aside", VOTERS + RELAYS, 17, "VMs", "voters and relays")
print_budget("relay: CPU, busiest minute", relay_cpu, 100, "% of a core",
	f("%.1f ms a change for %.0f nodes, one encoded reply shared; " ..
	"convergence", relay_change_ms, nodes_per_relay))
print_budget("convergence, p99, without network",
	p99_base + p99_slope * nodes_per_relay, 6000, "ms",
	"20 rows; the slope over the nodes of one fleet, taken to one relay's nodes")
print_budget("convergence, max, without network",
	max_base + max_slope * nodes_per_relay, 6000, "ms",
	"the same; add two distances between regions and one relay hop")
print_budget("convergence, max, 100 nodes, 960 rows",
	max_value(get_points("convergence", "max", nil, {nodes = 100,
	rows = 960})), 6000, "ms",
	"measured, not extrapolated: 100 nodes share 10 cores")
print_budget("convergence with the leader killed, 200 nodes",
	failover_ms, 6000, "ms",
	f("accepted after %.0f ms, then reconnects with jitter up to 2 s; " ..
	"failover", accept_ms))
-- What two nodes add to a quantile (such as p99) of direct calls: the median of
-- the rounds, and the sorted values.
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
local hop_p99, rounds = get_hop("p99")
if hop_p99 then
	print_budget("latency added by two nodes at moderate load, p99",
		hop_p99, 1.6, "ms",
		f("median of %d rounds, %.2f to %.2f ms; p50 %.2f ms; hop", #rounds,
		rounds[1], rounds[#rounds], get_hop("p50")))
end
local commits_per_s = find_value("replica", "commits", function(p)
	return get_param(p, "outstanding") == 64 end)
local claims_per_s = CALLS_S * CLAIMED_SHARE
if commits_per_s then
	print_budget("claims: log entries", 2 * claims_per_s, commits_per_s, "1/s",
		"group commit, 64 outstanding, members in one process; replica")
end
print_budget("claims: kept", claims_per_s * KEEP_S, 131072, "claims",
	"one group keeps at most 131,072; when full, new claims are refused " ..
	"as not run. To be carried by several groups split by key and shorter " ..
	"retention")
print()
print("## Roles")
print()
print_row("role", "state", "messages", "CPU", "memory")
print_row("---", "---", "---", "---", "---")
print_row("node",
	f("table of %d rows; endpoint sets of %d services, about %.0f " ..
	"endpoints", ROWS, FOLLOWED_SERVICES,
	FOLLOWED_SERVICES * NODES / SERVICES),
	f("%.0f B/s mean, %.0f B a change, %.0f B a restart of a followed " ..
	"endpoint", bytes_mean, change_bytes, restart_bytes),
	f("%.3f%% idle + %.2f ms a change", idle_cpu, node_change_ms),
	f("%.0f MB", (node_rss_base + node_rss_slope * ROWS) / 1024))
print_row("relay",
	f("table, encoded replies, %.0f held watches, %d endpoint " ..
	"records", nodes_per_relay, NODES),
	f("%.0f replies a change", nodes_per_relay),
	f("%.1f ms a change; %.0f ms when its %.0f nodes restart at once",
	relay_change_ms, restart_cpu_base + restart_cpu_slope * nodes_per_relay,
	nodes_per_relay),
	f("%.0f MB + %.1f KB a node", control_rss_base / 1024, control_rss_slope))
print_row("voter",
	"the relay's, and log, 1,024 versions, answers to 4,096 keys, " ..
	"claims", f("2 messages a follower and commit; claims %.0f/s", claims_per_s),
	"as a relay", "as a relay, and 0.3 KB a claim")
print()
print("## Slopes")
print()
print_row("figure", "experiment", "range", "intercept", "slope",
	"weakest assumption")
print_row("---", "---", "---", "---", "---", "---")
print_row("control CPU of a change", "convergence",
	f("%d to %d nodes, 3 control " ..
	"processes", nodes_lo, nodes_hi), f("%.2f ms", relay_change_base),
	f("%.4f ms a node of the fleet", relay_change_slope),
	"taken as the slope of one process; a third of the nodes hang on each")
print_row("node CPU of a change", "convergence", f("%d to %d rows", rows_lo,
	rows_hi), f("%.2f ms", node_change_base),
	f("%.5f ms a row", node_change_slope),
	"includes the status polls of the experiment")
print_row("node memory", "convergence", f("%d to %d rows", rows_lo, rows_hi),
	f("%.0f KB", node_rss_base), f("%.2f KB a row", node_rss_slope),
	"no calls, few endpoint sets")
print_row("control memory", "convergence",
	f("%d to %d nodes", nodes_lo, nodes_hi),
	f("%.0f KB", control_rss_base), f("%.2f KB a node", control_rss_slope),
	"few endpoint records, no claims")
print_row("convergence p99", "convergence",
	f("%d to %d nodes", nodes_lo, nodes_hi),
	f("%.1f ms", p99_base), f("%.3f ms a node", p99_slope),
	"200 processes share 10 cores; on VMs of their own the slope is lower")
print_row("control CPU of a herd restart", "failover", "25 to 200 nodes",
	f("%.0f ms", restart_cpu_base), f("%.2f ms a node", restart_cpu_slope),
	"small table; whole tables are admitted at a bounded rate")
print()
print("## Calls")
print()
print("Reading A of the 1.6 ms (docs/design.md, section 2.2) is the budget: " ..
	"a hop, whatever the depth. A chain of 17 hops meets the hop's p99 " ..
	"with probability 0.99^17 = 84%, so that its own p99 is close to the " ..
	"hop's p99.94.")
print()
print_row("experiment", "case", "metric", "value")
print_row("---", "---", "---", "---")
for _, r in ipairs(results) do
	local short = r.metric:match("^read%.(p%d+)$")
	if r.experiment == "hop" and (short or r.metric:match("cpu") or
	    r.metric:match("core")) then
		print_row("hop", tostring(r.params), r.metric, f("%.4g %s", r.value,
			r.unit))
	end
end
for _, r in ipairs(results) do
	if r.experiment == "flood" and (r.metric:match("in_target$") or
	    r.metric:match("goodput$") or r.metric == "duplicate_runs" or
	    r.metric == "false_not_run") and r.params:match("10x") then
		print_row("flood", r.params, r.metric, f("%.4g %s", r.value, r.unit))
	end
end
for _, r in ipairs(results) do
	if r.experiment == "chain" then
		print_row("chain", f("depth %d, failing leaf",
			get_param(r.params, "depth")),
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
