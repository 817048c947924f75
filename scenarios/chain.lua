-- Guards against retries that multiply along a chain of calls: with a leaf
-- service that always fails, each call of the caller causes at most 1.2 runs at
-- the leaf on average, at every depth up to 17. Also against chains that lose
-- the call's id or outlive its deadline.
local fleet = require "fleet"

local AMPLIFICATION_MAX = 1.2 -- leaf runs per call, docs/design.md 1.8
local DEPTHS = {1, 5, 9, 17}
local CALLS, BATCH = 400, 20

local d = fleet.workshop
local f = fleet.new("chain")
f:add_controls(3, d.zones)
f:wait_leader()

-- Kind hop-0 is served by the leaf; the server of hop-N calls hop-(N-1).
local csv = {"kind,service,rank,weight,floor_pct,limit_pct,target_ms," ..
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s," ..
	"body_max_kb,drain_s"}
local chain = {}
for i = 0, DEPTHS[#DEPTHS] - 1 do
	csv[#csv + 1] = string.format("hop-%d,%s,1,10,0,100,2000,10000,1000,2," ..
		"10,0,yes,0,16,10", i, i == 0 and "leaf" or "inner")
	if i > 0 then
		chain[#chain + 1] = string.format("hop-%d=hop-%d", i, i - 1)
	end
end
local path = f.dir .. "/table.csv"
sys.write(path, table.concat(csv, "\n") .. "\n")
local version = f:import(path)

for i = 1, 3 do
	f:add_node{name = "leaf-" .. i, service = "leaf", slots = 100,
		zone = d.zones[i], server_args = {"--service-ms=1",
		"--fault=fail"}}
	f:add_node{name = "inner-" .. i, service = "inner", slots = 1000,
		zone = d.zones[i], server_args = {"--service-ms=1", "--next=" ..
		table.concat(chain, ","), "--node=NODE"}}
end
f:wait_version(version)
local entry = f:node("inner-1")

-- Changes the behaviour of a stand-in server; returns the HTTP status.
local function configure_server(s, query)
	return http.request{url = "http://" .. s.address .. "/control?" ..
		query, method = "POST", body = ""}.status
end

-- Returns the number of calls that the leaf servers have run so far.
local function count_leaf_runs()
	local sum = 0
	for _, s in ipairs(f.servers) do
		if s.node.service == "leaf" then
			local r = http.request{url = "http://" .. s.address ..
				"/runs"}
			sum = sum + json.decode(r.body).total
		end
	end
	return sum
end

-- Sends count calls at once to a chain of this depth; returns the responses.
local function send(depth, count)
	local requests = {}
	for i = 1, count do
		requests[i] = {url = string.format("http://%s/call/hop-%d/",
			entry.address, depth - 1), method = "POST", body = "x",
			timeout_ms = 20000}
	end
	return http.parallel(requests)
end

-- With a healthy leaf, every chain runs to its end.
for _, s in ipairs(f.servers) do
	if s.node.service == "leaf" then
		configure_server(s, "fault=none")
	end
end
for _, depth in ipairs(DEPTHS) do
	fleet.wait_until("a healthy chain of depth " .. depth, 20000, function()
		return send(depth, 1)[1].status == 200
	end)
end

for _, s in ipairs(f.servers) do
	if s.node.service == "leaf" then
		configure_server(s, "fault=fail")
	end
end
for _, depth in ipairs(DEPTHS) do
	local before = count_leaf_runs()
	for _ = 1, CALLS / BATCH do
		for _, r in ipairs(send(depth, BATCH)) do
			fleet.check(r.status ~= 200, "depth %d: a call with a " ..
				"failing leaf ended with 200", depth)
		end
	end
	local amplification = (count_leaf_runs() - before) / CALLS
	fleet.result("chain", {depth = depth}, "amplification", amplification,
		"runs/call")
	fleet.check(amplification <= AMPLIFICATION_MAX,
		"depth %d: %.2f runs per call", depth, amplification)
end
f:stop()
print("ok: retries do not multiply over chains")
