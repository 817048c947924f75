/*
 * An operator's configuration grows in steps to more than a MiB of text and is
 * changed some dozen times; then all core processes are killed at once and
 * started again. Exits with 1 if the acknowledged configuration does not come
 * back.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define ROUTES_FIRST 300
#define ROUTES_STEP 1400 /* of one order that adds routes */
#define STEPS 4
#define CHANGES 40 /* further orders, which change time-outs */
#define TEXT_MAX (3 * 1024 * 1024)
#define RECOVERY_MS 20000
#define CORES 3

static char *text;

/* Writes a configuration as indented JSON. */
static const char *
render(int version, int routes, int timeout_ms)
{
	size_t n = (size_t)sprintf(text,
	    "{\n  \"version\": \"r%d\",\n  \"routes\": {\n    \"columns\": [\n"
	    "      \"name\",\n      \"host\",\n      \"path-prefix\",\n"
	    "      \"kind\",\n      \"timeout-s\",\n"
	    "      \"target-latency-s\",\n      \"priority\",\n"
	    "      \"service\",\n      \"max-attempts\",\n"
	    "      \"weighted-services\"\n    ],\n    \"rows\": [\n",
	    version);

	for (int i = 0; i < routes; i++)
		n += (size_t)sprintf(text + n,
		    "      [\n        \"r-route%d\",\n"
		    "        \"host%d.example\",\n        \"/path%d/part/\",\n"
		    "        \"%s\",\n        %d.%03d,\n        0.8,\n"
		    "        %d,\n        \"status\",\n        2,\n"
		    "        null\n      ]%s\n",
		    i, i % 40, i, i % 3 == 1 ? "unsafe" : "safe",
		    timeout_ms / 1000, timeout_ms % 1000, i % 3,
		    i + 1 < routes ? "," : "");
	n += (size_t)sprintf(text + n,
	    "    ]\n  },\n  \"services\": {\n    \"columns\": [\n"
	    "      \"name\",\n      \"health-path\",\n"
	    "      \"max-connections\",\n      \"protocol\",\n      \"tls\"\n"
	    "    ],\n    \"rows\": [\n      [\n        \"status\",\n"
	    "        \"/health\",\n        110,\n        \"h1\",\n"
	    "        false\n      ]\n    ]\n  },\n  \"limits\": {\n"
	    "    \"max-header-bytes\": 16384,\n"
	    "    \"max-body-bytes\": 67108864,\n"
	    "    \"header-timeout-s\": 3,\n    \"idle-timeout-s\": 15\n  }\n"
	    "}\n");
	return text;
}

/* Sends an order until it has a clear response; its status. */
static int
order(int base, const char *body)
{
	char number[16];
	int status = 0;

	snprintf(number, sizeof(number), "r%d", base);
	for (int i = 0; i < 10 && (status == 0 || status >= 500); i++) {
		status = put_config(&mesh.machines[i % CORES], number, body);
		if (status != 200)
			sleep_ms(100);
	}
	return status;
}

int
main(void)
{
	int version = 1, routes = ROUTES_FIRST, acknowledged = 0, got = -1;
	size_t len = 0, sent = 0;
	int64_t end;

	open_mesh("1", CORES);
	add_sidecar("status", 18);
	text = malloc(TEXT_MAX);
	start_mesh(render(1, routes, 1500), "host0.example",
	    "/path0/part/x?w=1&b=10");
	for (int i = 0; i < STEPS + CHANGES && now_ms() < 75000; i++) {
		const char *body;

		if (i < STEPS)
			routes += ROUTES_STEP;
		body = render(version + 2, routes, 1500 + i);
		if (order(version, body) != 200) {
			record("operator: version %d was not acknowledged",
			    version + 2);
			break;
		}
		version += 2;
		sent = strlen(body);
		acknowledged++;
	}
	record("operator: version %d of %d routes and %zu bytes is "
	       "acknowledged, %d orders",
	    version, routes, sent, acknowledged);
	if (acknowledged < STEPS)
		finish(CASE_NOT_RUN, "the orders were not acknowledged");
	if (has_trouble()) {
		for (int i = 0; i < CORES; i++)
			signal_machine(&mesh.machines[i], SIGKILL);
		for (int i = 0; i < CORES; i++)
			wait_end(&mesh.machines[i], 2000);
		sleep_ms(500);
		for (int i = 0; i < CORES; i++)
			start_machine(&mesh.machines[i]);
	}
	end = now_ms() + RECOVERY_MS;
	for (int i = 0; got < version && now_ms() < end; i++) {
		/* The platform starts ended processes again. */
		for (int k = 0; k < CORES; k++) {
			if (wait_end(&mesh.machines[k], 0) &&
			    mesh.machines[k].pid == 0)
				start_machine(&mesh.machines[k]);
		}
		got = get_config(&mesh.machines[i % CORES], &len);
		sleep_ms(300);
	}
	/* An order without a clear response may be in force, too. */
	if (got < version || (got == version && len != sent))
		finish(CASE_BROKEN,
		    "version %d was acknowledged; %d s after the start of the "
		    "core the read gives %d",
		    version, RECOVERY_MS / 1000, got);
	finish(CASE_HELD, "version %d of %zu bytes was read back", got, len);
}
