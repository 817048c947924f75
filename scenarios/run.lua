-- Starts both deployments small on loopback, edits a cell, shows every node
-- following and calls answered by rank, and prints convergence time and
-- control bytes. Ends with status 0 only if all of that held.
local fleet = require "fleet"

local CONTROLS = 3
local CONVERGENCE_TARGET_MS = 6000
local CALLS_A_ROW = 40

local plans = {
	{d = fleet.grants, edit = {"dossier-status", "weight", 210},
		urgent = "award-payment", patient = "payment-status"},
	{d = fleet.workshop, edit = {"repair-status", "weight", 110},
		urgent = "book-bay", patient = "booking-list"},
}

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

local function control_bytes(f)
	local sum = 0
	for _, n in ipairs(f.nodes) do
		sum = sum + fleet.metric(n, "ggs_rpc_bytes_total")
	end
	return sum
end

local function edit(f, plan)
	local row, column, value = table.unpack(plan.edit)
	local bytes = control_bytes(f)
	local start = sys.now_ms()
	local version = f:set(row, column, value)
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
		"control bytes a node", plan.d.table, row, column,
		tostring(value), accepted, count, #f.nodes, ms, bytes))
	fleet.result("run", plan.d.table, "convergence", ms, "ms")
	fleet.result("run", plan.d.table, "change_bytes_node", bytes, "B")
end

-- Offers more calls at once than the servers have slots, the less urgent ones
-- first, and compares when each row's calls were answered.
local function call_by_rank(f, plan)
	local entry = f:node(plan.d.services[1][1] .. "-1")
	local requests, kinds = {}, {}
	for _, kind in ipairs{plan.patient, plan.urgent} do
		for i = 1, CALLS_A_ROW * 3 do
			kinds[#kinds + 1] = kind
			requests[#requests + 1] = {method = "POST", body = "x",
				url = "http://" .. entry.address .. "/call/" ..
				kind .. "/", timeout_ms = 15000, headers = {
				"Idempotency-Key: " .. fleet.key()}}
		end
	end
	local sums, counts = {}, {}
	for i, r in ipairs(http.parallel(requests)) do
		local k = kinds[i]
		local outcome = r.headers["x-ggs-outcome"]
		fleet.check(r.status == 200 and outcome == "ran" or
			outcome == "not-run", "%s: status %d, outcome %s, %s",
			k, r.status, tostring(outcome), r.error or r.body)
		if r.status == 200 then
			sums[k] = (sums[k] or 0) + r.ms
			counts[k] = (counts[k] or 0) + 1
		end
	end
	for _, k in ipairs{plan.urgent, plan.patient} do
		print(string.format("%s: %s: %d of %d calls answered, mean %.0f ms",
			plan.d.table, k, counts[k] or 0, CALLS_A_ROW * 3,
			(sums[k] or 0) / (counts[k] or 1)))
	end
	fleet.check(counts[plan.urgent] == CALLS_A_ROW * 3,
		"only %d urgent calls answered", counts[plan.urgent] or 0)
	fleet.check(sums[plan.urgent] / counts[plan.urgent] <
		sums[plan.patient] / counts[plan.patient],
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
