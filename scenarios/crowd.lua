-- Guards against complete answers that are classified as damaged when many
-- calls wait for connections: without a fault, every call ends as ran or
-- not-run.
local fleet = require "fleet"

local ROUNDS, CALLS = 6, 1000

local d = fleet.grants
local f = fleet.new("crowd")
f:add_controls(3, d.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
for i = 1, 3 do
	f:add_node{name = "rilievi-" .. i, service = "rilievi", slots = d.slots,
		zone = d.zones[i], server_args = {"--service-ms=50"}}
end
f:wait_version(version)
fleet.wait_until("answered call", 20000, function()
	return fleet.call(f.nodes[1], "survey-index").status == 200
end)

local counts = {ran = 0}
for _ = 1, ROUNDS do
	local requests = {}
	for i = 1, CALLS do
		requests[i] = {url = "http://" .. f.nodes[i % 3 + 1].address ..
			"/call/laser-scan/", method = "POST",
			body = "0123456789abcdef", timeout_ms = 30000}
	end
	for _, r in ipairs(http.parallel(requests)) do
		local outcome = r.headers["x-ggs-outcome"] or "none"
		counts[outcome] = (counts[outcome] or 0) + 1
		fleet.check(outcome == "ran" or outcome == "not-run",
			"status %d, outcome %s, %s", r.status, outcome,
			r.headers["x-ggs-reason"] or r.error or "")
	end
end
fleet.check(counts.ran > 0, "no call ran")
f:stop()
print(string.format("ok: %d calls ran, %d not run, none unknown", counts.ran,
	counts["not-run"] or 0))
