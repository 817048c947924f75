-- Guards against a fleet key that cannot be replaced without an interruption,
-- and against a process with a wrong key that gets a table or takes part.
-- Follows the three steps of docs/operators.md with rolling restarts.
local fleet = require "fleet"

local f = fleet.new("rotate")
f:add_controls(3, fleet.workshop.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/workshop.csv")
for i = 1, 2 do
	f:add_node{name = "status-" .. i, service = "status", zone = "odense-a",
		server_args = {"--service-ms=2"}}
end
f:add_node{name = "entry-1", zone = "nyborg", interest = "status"}
f:wait_version(version)
-- A node refuses calls until it holds the endpoint set of the service.
for _, n in ipairs(f.nodes) do
	fleet.wait_until("a call through " .. n.name, 20000, function()
		return fleet.call(n, "repair-status").status == 200
	end)
end

local new_key = f.dir .. "/key-new"
sys.write(new_key, "second-fleet-key-" .. sys.pid() .. "\n",
	tonumber("600", 8))

local calls, edits = 0, 0

-- Edits once and calls through every running node but those restarting; each
-- call must run.
local function work(skip)
	version = f:set("photo-set", "weight", 1 + version % 900)
	edits = edits + 1
	for _, n in ipairs(f.nodes) do
		if n.running and n ~= skip then
			local r = fleet.call(n, "repair-status")
			fleet.check(r.status == 200, "%s: call %d of this " ..
				"run: %d, %s; status %s", n.name, calls,
				r.status, tostring(r.headers["x-ggs-reason"]),
				json.encode(fleet.node_status(n)))
			calls = calls + 1
		end
	end
end

local function set_keys(p, key, next_key)
	local args = {}
	for _, a in ipairs(p.args) do
		if not a:find("^%-%-key%-file=") and
		    not a:find("^%-%-next%-key%-file=") then
			args[#args + 1] = a
		end
	end
	args[#args + 1] = "--key-file=" .. key
	if next_key then
		args[#args + 1] = "--next-key-file=" .. next_key
	end
	p.args = args
end

-- Restarts every process, one after the other, with calls and edits between.
local function roll(key, next_key)
	for _, c in ipairs(f.controls) do
		f:kill(c, "TERM")
		set_keys(c, key, next_key)
		work()
		f:start(c)
		fleet.wait_until(c.name .. " to follow", 20000, function()
			local r = fleet.ask(c, "GET", "/v1/table?format=json")
			return r.status == 200 and r.json.version == version
		end)
		work()
	end
	for _, n in ipairs(f.nodes) do
		f:kill(n, "TERM")
		set_keys(n, key, next_key)
		work(n)
		f:start(n)
		f:wait_version(version, 20000)
		fleet.wait_until("a call through " .. n.name, 20000, function()
			return fleet.call(n, "repair-status").status == 200
		end)
	end
end

roll(f.key_file, new_key)
roll(new_key, f.key_file)
roll(new_key)

-- The old key is now a wrong key: a node with it gets no table, and a control
-- process with it joins nothing; both are counted.
local function refusals()
	local sum = 0
	for _, c in ipairs(f.controls) do
		if c.running and not c.wrong then
			sum = sum + fleet.metric(c, "ggs_rpc_refused_auth_total")
		end
	end
	return sum
end

local before = refusals()
local late = f:add_node{name = "late-1", zone = "nyborg"}
fleet.wait_until("refusals of the node", 20000, function()
	local s = fleet.node_status(late)
	fleet.check(not s or s.version == 0, "a node with a wrong key has " ..
		"version %s", tostring(s and s.version))
	return refusals() >= before + 5
end)
f:kill(late)
work()

local c = f.controls[3]
f:kill(c, "TERM")
set_keys(c, f.key_file)
c.wrong = true
before = refusals()
f:start(c)
fleet.wait_until("refusals of the control process", 20000, function()
	local r = fleet.ask(c, "GET", "/v1/table?format=json", nil,
		{timeout_ms = 500})
	fleet.check(r.status ~= 200, "a control process with a wrong key " ..
		"confirms a read")
	return refusals() >= before + 5
end)
work()
f:kill(c, "TERM")
set_keys(c, new_key)
c.wrong = nil
f:start(c)
work()
f:wait_version(version, 20000)
f:stop()
print("ok: the fleet key changes under " .. calls .. " calls and " .. edits ..
	" edits; a wrong key gets nothing")
