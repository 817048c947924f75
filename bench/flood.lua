-- Service by rank under overload: one row of a service is offered several times
-- the capacity of its servers, the others a tenth to a third of the capacity.
-- usage: scenario bench/flood.lua grants|workshop least|most FACTOR SECONDS
local fleet = require "fleet"

local name, which = arg[1] or "grants", arg[2] or "least"
local factor, seconds = tonumber(arg[3] or 10), tonumber(arg[4] or 8)
local SERVICE_MS = 100
local WARMUP_S = 12 -- nodes treat a new backend server as cold for 10 s

-- Rows of the overloaded service: kind, share of the capacity (nil: FACTOR
-- times the capacity), target in ms, true if calls must run only once.
local overloads = {
	grants = {
		least = {service = "rilievi", overloaded = "laser-scan", rows = {
			{"laser-scan", nil, 30000}, {"survey-photos", 0.2, 5000},
			{"survey-index", 0.2, 200}}, urgent = "survey-index"},
		most = {service = "erogazioni", overloaded = "award-payment", rows = {
			{"award-payment", nil, 300, true},
			{"payment-status", 0.15, 200}}, urgent = "award-payment"},
	},
	workshop = {
		least = {service = "photos", overloaded = "photo-set", rows = {
			{"photo-set", nil, 10000}, {"inspection-history", 0.3,
			400}}, urgent = "inspection-history"},
		most = {service = "booking", overloaded = "book-bay", rows = {
			{"book-bay", nil, 400, true},
			{"order-fabric", 0.1, 600, true},
			{"booking-list", 0.3, 500}}, urgent = "book-bay"},
	},
}
local deployment, overload = fleet[name], overloads[name][which]

local f = fleet.new("flood-" .. name)
f:add_controls(3, deployment.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/" .. name .. ".csv")
local servers, entries = {}, {}
for _, s in ipairs(deployment.services) do
	if s[1] == overload.service then
		for i = 1, s[2] do
			local n = f:add_node{name = s[1] .. "-" .. i,
				service = s[1], slots = deployment.slots, zone =
				deployment.zones[i], server_args =
				{"--service-ms=" ..
				SERVICE_MS, "--shape=fixed"}}
			entries[#entries + 1] = n.address
			servers[#servers + 1] = n.server.address
		end
	end
end
f:wait_version(version)
fleet.wait_until("answered call", 20000, function()
	local r = fleet.call(f.nodes[1], overload.urgent, {key = fleet.key()})
	return r.status == 200
end)

local capacity = #servers * deployment.slots * 1000 / SERVICE_MS
local out = f.dir .. "/load.out"
local args = {BUILD .. "/bench/load", "--entry=" .. table.concat(entries, ","),
	"--servers=" .. table.concat(servers, ","), "--seconds=" .. seconds,
	"--warm=" .. WARMUP_S, "--seed=7", "--resends=" ..
	(os.getenv("GGS_RESENDS") or 0), "--experiment=flood", "--params=" ..
	string.format("%s %s %gx", name, which, factor),
	"--commit=" .. (os.getenv("GGS_COMMIT") or "unknown")}
for _, r in ipairs(overload.rows) do
	local rate = capacity * (r[1] == overload.overloaded and factor or r[2])
	args[#args + 1] = string.format("--row=%s:%g:16:0:%d%s", r[1], rate,
		r[3], r[4] and ":once" or "")
end
local id = process.start{args = args, log = out}
local status = process.wait(id, (seconds + WARMUP_S + 60) * 1000)
local file = assert(io.open(out))
local text = file:read("a")
file:close()
for line in text:gmatch("[^\n]+") do
	print(line)
	if line:sub(1, 1) == "{" and os.getenv("GGS_RESULTS") then
		sys.append(os.getenv("GGS_RESULTS"), line .. "\n")
	end
end
if os.getenv("GGS_DEBUG") then
	for _, n in ipairs(f.nodes) do
		local r = http.request{url = "http://" .. n.admin .. "/metrics"}
		sys.write(f.dir .. "/" .. n.name .. ".metrics", r.body)
	end
end
fleet.check(status == 0, "load exited with %s", tostring(status))
f:stop()
