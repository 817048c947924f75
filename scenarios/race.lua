-- Guards against two tables with the same version, against an edit that is
-- applied twice, and against a conflict response that lacks the winning value.
-- Two operators edit the same cell at the same time, one with resends.
local fleet = require "fleet"

local f = fleet.new("race")
f:add_controls(3, fleet.grants.zones)
f:wait_leader()
local version = f:import(ROOT .. "/examples/grants.csv")
local n = f:add_node{name = "entry-1", zone = "milano-a"}
f:wait_version(version)

local function edit_request(c, token, row, column, value, base, key)
	return {url = "http://" .. c.http .. "/v1/edit", method = "POST",
		timeout_ms = 10000, headers = {"Authorization: Bearer " ..
		token}, body = json.encode{row = row, column = column,
		value = value, base = base, key = key}}
end

for round = 1, 10 do
	local base = version
	local x, y = tostring(100 + 2 * round), tostring(101 + 2 * round)
	local key_x, key_y = fleet.key(), fleet.key()
	local requests = {
		edit_request(f.controls[1], "operator-token-anna-1", "dossier-status",
			"weight", x, base, key_x),
		edit_request(f.controls[2], "operator-token-bruno-2",
			"dossier-status", "weight", y, base, key_y),
		-- The first operator resends, as after a lost answer.
		edit_request(f.controls[3], "operator-token-anna-1", "dossier-status",
			"weight", x, base, key_x),
		edit_request(f.controls[2], "operator-token-anna-1", "dossier-status",
			"weight", x, base, key_x),
	}
	local answers = http.parallel(requests)
	local winners, versions = {}, {}
	for i, r in ipairs(answers) do
		local body = json.decode(r.body) or {}
		if r.status == 200 then
			winners[i == 2 and "bruno" or "anna"] = true
			versions[body.version] = true
		else
			fleet.check(r.status == 409, "status %d: %s", r.status,
				r.body)
			fleet.check(r.body:find(i == 2 and x or y, 1, true),
				"the conflict does not show the winning " ..
				"cell: %s", r.body)
		end
	end
	fleet.check((winners.anna and 1 or 0) + (winners.bruno and 1 or 0) ==
		1, "round %d: not exactly one winner", round)
	local count = 0
	for v in pairs(versions) do
		count = count + 1
		version = v
	end
	fleet.check(count == 1 and version == base + 1,
		"round %d: resends created further versions", round)
end

-- Edits of different cells on the same base version do not conflict.
local r = http.parallel{
	edit_request(f.controls[1], "operator-token-anna-1", "laser-scan", "weight",
		"11", version, fleet.key()),
	edit_request(f.controls[2], "operator-token-bruno-2", "survey-photos",
		"weight", "21", version, fleet.key()),
}
fleet.check(r[1].status == 200 and r[2].status == 200,
	"edits of different cells: %d and %d", r[1].status, r[2].status)
f:wait_version(version + 2, 20000)
fleet.check(f:ask_any("GET", "/v1/table?format=json").json.version ==
	version + 2, "edits of different cells created further versions")
f:stop()
print("ok: one winner in each race, and resends change nothing")
