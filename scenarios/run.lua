-- Demonstration: starts small versions of both deployments on loopback, edits a
-- cell, waits until every node has the new table, sends calls of two ranks, and
-- prints the convergence time and the control bytes. Exits with status 0 only
-- if all checks pass.
local fleet = require "fleet"

local CONTROLS = 3
local CONVERGENCE_TARGET_MS = 6000
local CALLS_PER_SERVER = 40

local plans = {
	{d = fleet.grants, edit = {"dossier-status", "weight", 210},
		urgent = "award-payment", less_urgent = "payment-status"},
	{d = fleet.workshop, edit = {"repair-status", "weight", 110},
		urgent = "book-bay", less_urgent = "booking-list"},
}

-- Starts a deployment and waits until its table is in force on every node.
local function start(plan)
	local f = fleet.new("run-" .. plan.d.table)
	f:add_controls(CONTROLS, plan.d.zones)
	f:wait_leader()
	local version = f:import(ROOT .. "/examples/" .. plan.d.table .. ".csv")
	f:add_deployment(plan.d, {server_args = {"--service-ms=20"}})
	f:wait_version(version)
	print(string.format("%s: %d control processes, %d nodes with backend " ..
		"servers, version %d in force everywhere", plan.d.table,
		#f.controls, #f.nodes, version))
	return f
end

-- Returns the RPC bytes of all nodes so far.
local function control_bytes(f)
	local sum = 0
	for _, n in ipairs(f.nodes) do
		sum = sum + fleet.metric(n, "ggs_rpc_bytes_total")
	end
	return sum
end

-- Edits one cell and measures the time and the control bytes per node until it
-- is in force on every node.
local function edit(f, plan)
	sys.sleep(2000) -- lets the endpoint changes of the start settle
	local row, column, value = table.unpack(plan.edit)
	local bytes = control_bytes(f)
	local start = sys.now_ms()
	local version = f:set_cell(row, column, value)
	local accepted = sys.now_ms() - start
	f:wait_version(version, CONVERGENCE_TARGET_MS)
	local ms = sys.now_ms() - start
	local count = 0
	for name, v in pairs(f:versions()) do
		fleet.check(v >= version, "%s has version %d", name, v)
		count = count + 1
	end
	fleet.check(count == #f.nodes, "%d nodes answer", count)
	bytes = (control_bytes(f) - bytes) / #f.nodes
	print(string.format("%s: %s %s=%s accepted after %.0f ms, in force " ..
		"on %d of %d nodes after %.0f ms (request included), %.0f " ..
		"control bytes per node", plan.d.table, row, column,
		tostring(value), accepted, count, #f.nodes, ms, bytes))
	fleet.result("run", plan.d.table, "convergence", ms, "ms")
	fleet.result("run", plan.d.table, "change_bytes_node", bytes, "B")
end

-- Sends more calls at once than the servers have slots, the less urgent ones
-- first, and checks that all urgent ones are answered, and sooner on average.
local function call_by_rank(f, plan)
	local entry = f:node(plan.d.services[1][1] .. "-1")
	local requests, kinds = {}, {}
	for _, kind in ipairs{plan.less_urgent, plan.urgent} do
		for i = 1, CALLS_PER_SERVER * 3 do
			kinds[#kinds + 1] = kind
			requests[#requests + 1] = {method = "POST", body = "x",
				url = "http://" .. entry.address .. "/call/" ..
				kind .. "/", timeout_ms = 15000, headers = {
				"Idempotency-Key: " .. fleet.key()}}
		end
	end
	local sums, counts = {}, {}
	for i, r in ipairs(http.parallel(requests)) do
		local kind = kinds[i]
		local outcome = r.headers["x-ggs-outcome"]
		fleet.check(r.status == 200 and outcome == "ran" or
			outcome == "not-run", "%s: status %d, outcome %s, %s",
			kind, r.status, tostring(outcome), r.error or r.body)
		if r.status == 200 then
			sums[kind] = (sums[kind] or 0) + r.ms
			counts[kind] = (counts[kind] or 0) + 1
		end
	end
	for _, kind in ipairs{plan.urgent, plan.less_urgent} do
		print(string.format("%s: %s: %d of %d calls answered, mean %.0f ms",
			plan.d.table, kind, counts[kind] or 0,
			CALLS_PER_SERVER * 3,
			(sums[kind] or 0) / (counts[kind] or 1)))
	end
	fleet.check(counts[plan.urgent] == CALLS_PER_SERVER * 3,
		"only %d urgent calls answered", counts[plan.urgent] or 0)
	fleet.check(sums[plan.urgent] / counts[plan.urgent] <
		sums[plan.less_urgent] / counts[plan.less_urgent],
		"urgent calls were answered later than the others")
end

local fleets = {}
for i, plan in ipairs(plans) do
	fleets[i] = start(plan)
end
for i, plan in ipairs(plans) do
	edit(fleets[i], plan)
	call_by_rank(fleets[i], plan)
end
for i, plan in ipairs(plans) do
	fleets[i]:stop()
	for _, p in ipairs(fleets[i].nodes) do
		fleet.check(p.status == 0, "%s ended with %s", p.name,
			tostring(p.status))
	end
	print(plan.d.table .. ": all processes stopped")
end
