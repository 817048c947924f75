-- Guards against calls that a graceful shutdown cuts off, and against new calls
-- that are sent to a backend server while it drains.
local fleet = require "fleet"

local f = fleet.new("drain")
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/workshop.csv")
f:add_deployment(fleet.workshop, {server_args = {"--service-ms=200"}})
local entry = f:add_node{name = "entry-1", zone = "odense-a"}
f:wait_version(version)
fleet.wait_until("answered call", 20000, function()
	return fleet.call(entry, "repair-status").status == 200
end)

for round = 1, 2 do
	local draining = f:node("status-" .. round)
	local requests = {}
	for i = 1, 60 do
		local n = i % 2 == 0 and draining or entry
		requests[i] = {url = "http://" .. n.address ..
			"/call/repair-status/", method = "POST", body = "x",
			timeout_ms = 20000, headers = {}}
	end
	-- The calls are in flight when the shutdown begins.
	local stop = {url = "http://" .. draining.admin .. "/drain",
		method = "POST", body = "", timeout_ms = 5000}
	requests[#requests + 1] = stop
	local answers = http.parallel(requests)
	for i = 1, 60 do
		local r = answers[i]
		local outcome = r.headers["x-ggs-outcome"]
		fleet.check(outcome == "ran" or outcome == "not-run",
			"call %d: status %d, outcome %s, %s", i, r.status,
			tostring(outcome), r.error or "")
		fleet.check(i % 2 == 0 or outcome == "ran",
			"call %d through another node was refused", i)
	end
	local status = process.wait(draining.proc, 30000)
	draining.running = false
	fleet.check(status == 0, "%s ended with %s", draining.name,
		tostring(status))
	for i = 1, 20 do
		local r = fleet.call(entry, "repair-status")
		fleet.check(r.status == 200, "after the drain: %d %s",
			r.status, r.body)
	end
end
f:stop()
print("ok: a drain cuts off no call and new calls go to other servers")
