-- Control bytes caused by endpoint churn: nodes with backend servers restart
-- while other nodes (followers) are subscribed to their service.
-- usage: scenario bench/churn.lua FOLLOWERS ROUNDS
local fleet = require "fleet"

local followers = tonumber(arg[1] or 50)
local rounds = tonumber(arg[2] or 4)
local params = {followers = followers}
local ENDPOINTS = 5

local f = fleet.new("churn")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local restarted = {}
for i = 1, ENDPOINTS do
	restarted[i] = f:add_node{name = "fascicoli-" .. i, slots = 20,
		service = "fascicoli", zone = fleet.grants.zones[i % 3 + 1]}
end
local follower_nodes = {}
for i = 1, followers do
	follower_nodes[i] = f:add_node{name = "follower-" .. i, interest =
		"fascicoli", zone = fleet.grants.zones[i % 3 + 1]}
end
f:wait_version(version, 60000)


-- RPC bytes of all followers since they started.
local function sum_bytes()
	local sum = 0
	for _, n in ipairs(follower_nodes) do
		sum = sum + fleet.metric(n, "ggs_rpc_bytes_total")
	end
	return sum
end

sys.sleep(2000)
local bytes, start = sum_bytes(), sys.now_ms()
sys.sleep(10000)
local idle_rate = (sum_bytes() - bytes) / (sys.now_ms() - start)

bytes, start = sum_bytes(), sys.now_ms()
for i = 1, rounds do
	local n = restarted[i % ENDPOINTS + 1]
	fleet.check(f:kill(n, "TERM") == 0, "%s did not drain", n.name)
	f:start(n)
	fleet.wait_until("ready again", 20000, function()
		local s = fleet.node_status(n)
		return s and s.version >= version
	end)
	sys.sleep(1000)
end
local churn_bytes = sum_bytes() - bytes - idle_rate * (sys.now_ms() - start)
fleet.result("churn", params, "restart_bytes_follower",
	churn_bytes / followers / rounds, "B")
f:stop()
