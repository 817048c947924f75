-- Writes data files and gnuplot scripts from build/bench/results.jsonl.
local path = os.getenv("GGS_RESULTS") or BUILD .. "/bench/results.jsonl"

local series = {}
for line in assert(io.open(path)):lines() do
	local r = json.decode(line)
	if r and type(r.params) == "table" and r.params.nodes and
	    (r.params.rows or 20) == 20 then
		local key = r.experiment .. "." .. r.metric
		series[key] = series[key] or {}
		table.insert(series[key], {r.params.nodes, r.value})
	end
end

-- Writes the values of a series by number of nodes; returns the file name.
local function write_data(key)
	local list = series[key] or {}
	table.sort(list, function(a, b) return a[1] < b[1] end)
	local name = BUILD .. "/bench/" .. key .. ".dat"
	local text = ""
	for _, p in ipairs(list) do
		text = text .. string.format("%g %g\n", p[1], p[2])
	end
	sys.write(name, text)
	return name
end

-- Writes a gnuplot script; lines are {series, title}.
local function write_plot(name, label, lines)
	local plots = {}
	for _, l in ipairs(lines) do
		plots[#plots + 1] = string.format('"%s" with linespoints title "%s"',
			write_data(l[1]), l[2])
	end
	sys.write(BUILD .. "/bench/" .. name .. ".gp", string.format([[
set terminal svg size 720,420 noenhanced
set output "%s/docs/plots/%s.svg"
set xlabel "nodes"
set ylabel "%s"
set yrange [0:*]
set key left top
plot %s
]], ROOT, name, label, table.concat(plots, ", ")))
end

write_plot("convergence", "ms", {{"convergence.p50", "p50"},
	{"convergence.p99", "p99"}, {"convergence.max", "max"},
	{"baseline_push.convergence_max", "baseline, max"}})
write_plot("bytes", "bytes a node and change", {
	{"convergence.change_bytes_node", "delta by watch"},
	{"baseline_push.change_bytes_node", "baseline: whole table"}})
write_plot("cpu", "control CPU a change, ms", {
	{"convergence.change_control_cpu", "each of 3 control processes"}})
