/*
 * HTTP requests and JSON for scenario scripts.
 */
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>
#include <lauxlib.h>

#include "scenario.h"

#define PARALLEL_MAX 1024 /* requests sent at once */
#define SENT_MAX 512 /* requests of http.send without an answer */

/* One request, with the answer as far as it has been received. */
struct transfer {
	CURL *handle;
	struct curl_slist *headers;
	struct buf body;
	struct buf head; /* header lines of the answer */
};

static struct transfer sent[SENT_MAX]; /* free without a handle */
static CURLM *sent_multi;

static size_t append_bytes(char *data, size_t size, size_t count, void *arg);
static void load_transfer(lua_State *l, int at, struct transfer *t);
static void push_answer(lua_State *l, struct transfer *t, CURLcode rc);
static void push_headers(lua_State *l, const struct buf *head);
static void unload_transfer(struct transfer *t);
static int lua_request(lua_State *l);
static int lua_parallel(lua_State *l);
static int lua_send(lua_State *l);
static int lua_step(lua_State *l);
static void perform_all(struct transfer *list, int count, CURLcode *codes);
static int lua_decode(lua_State *l);
static int lua_encode(lua_State *l);
static void push_json(lua_State *l, const json_t *v);
static json_t *build_json(lua_State *l, int at);

/*
 * http.request{url=, method=, body=, headers={...}, timeout_ms=} returns
 * {status=, body=, headers=, ms=, error=}; the status is 0 if no answer came.
 * http.parallel{request, ...} sends all requests at once and returns the list
 * of their answers. http.send(request) returns the id of a request under way,
 * http.step(ms) waits up to that long for answers and returns them as {id =
 * answer}. json.decode(text) returns nil for invalid JSON;
 * json.encode(value) returns a text.
 */
void
load_http_library(lua_State *l)
{
	static const luaL_Reg functions[] = {
	    {"request", lua_request},
	    {"parallel", lua_parallel},
	    {"send", lua_send},
	    {"step", lua_step},
	    {NULL, NULL},
	};
	static const luaL_Reg json_functions[] = {
	    {"decode", lua_decode},
	    {"encode", lua_encode},
	    {NULL, NULL},
	};

	luaL_newlib(l, functions);
	lua_setglobal(l, "http");
	luaL_newlib(l, json_functions);
	lua_setglobal(l, "json");
}

/*
 * Appends received bytes to the buffer arg; returns 0, which ends the transfer,
 * when out of memory.
 */
static size_t
append_bytes(char *data, size_t size, size_t count, void *arg)
{
	return append_buf(arg, data, size * count) == 0 ? size * count : 0;
}

/*
 * Prepares a transfer from the request table at stack index at; the time-out is
 * 5000 ms by default. curl copies the strings.
 */
static void
load_transfer(lua_State *l, int at, struct transfer *t)
{
	size_t len;
	const char *body;

	t->handle = curl_easy_init();
	lua_getfield(l, at, "url");
	curl_easy_setopt(t->handle, CURLOPT_URL, luaL_checkstring(l, -1));
	lua_getfield(l, at, "method");
	curl_easy_setopt(
	    t->handle, CURLOPT_CUSTOMREQUEST, luaL_optstring(l, -1, "GET"));
	lua_getfield(l, at, "timeout_ms");
	curl_easy_setopt(
	    t->handle, CURLOPT_TIMEOUT_MS, (long)luaL_optinteger(l, -1, 5000));
	lua_getfield(l, at, "body");
	body = lua_tolstring(l, -1, &len);
	if (body != NULL) {
		curl_easy_setopt(t->handle, CURLOPT_POSTFIELDSIZE, (long)len);
		curl_easy_setopt(t->handle, CURLOPT_COPYPOSTFIELDS, body);
	}
	lua_getfield(l, at, "headers");
	if (lua_istable(l, -1)) {
		for (int i = 1; lua_geti(l, -1, i) == LUA_TSTRING; i++) {
			t->headers =
			    curl_slist_append(t->headers, lua_tostring(l, -1));
			lua_pop(l, 1);
		}
		lua_pop(l, 1);
	}
	t->headers = curl_slist_append(t->headers, "Expect:");
	curl_easy_setopt(t->handle, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->handle, CURLOPT_PROXY, "");
	curl_easy_setopt(t->handle, CURLOPT_WRITEFUNCTION, append_bytes);
	curl_easy_setopt(t->handle, CURLOPT_WRITEDATA, &t->body);
	curl_easy_setopt(t->handle, CURLOPT_HEADERFUNCTION, append_bytes);
	curl_easy_setopt(t->handle, CURLOPT_HEADERDATA, &t->head);
	lua_pop(l, 5);
}

/*
 * Pushes the answer table of a transfer that ended with rc.
 */
static void
push_answer(lua_State *l, struct transfer *t, CURLcode rc)
{
	curl_off_t us = 0;
	long status = 0;

	if (rc == CURLE_OK)
		curl_easy_getinfo(t->handle, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->handle, CURLINFO_TOTAL_TIME_T, &us);
	lua_createtable(l, 0, 5);
	lua_pushinteger(l, status);
	lua_setfield(l, -2, "status");
	lua_pushlstring(
	    l, t->body.data != NULL ? t->body.data : "", t->body.len);
	lua_setfield(l, -2, "body");
	lua_pushnumber(l, (double)us / 1000.0);
	lua_setfield(l, -2, "ms");
	if (rc != CURLE_OK) {
		lua_pushstring(l, curl_easy_strerror(rc));
		lua_setfield(l, -2, "error");
	}
	push_headers(l, &t->head);
	lua_setfield(l, -2, "headers");
}

/*
 * Pushes a table of header values by lower-case name.
 */
static void
push_headers(lua_State *l, const struct buf *head)
{
	const char *at = head->data, *end = at + head->len;

	lua_newtable(l);
	while (at != NULL && at < end) {
		size_t n = strcspn(at, "\r\n");
		const char *colon = memchr(at, ':', n);
		char name[128];
		size_t len;

		if (colon != NULL && (size_t)(colon - at) < sizeof(name)) {
			len = (size_t)(colon - at);
			for (size_t i = 0; i < len; i++)
				name[i] = (char)(at[i] >= 'A' && at[i] <= 'Z' ?
						     at[i] + 32 :
						     at[i]);
			name[len] = '\0';
			colon++;
			colon += strspn(colon, " ");
			lua_pushlstring(l, colon, (size_t)(at + n - colon));
			lua_setfield(l, -2, name);
		}
		at += n;
		at += strspn(at, "\r\n");
	}
}

static void
unload_transfer(struct transfer *t)
{
	curl_easy_cleanup(t->handle);
	curl_slist_free_all(t->headers);
	unload_buf(&t->body);
	unload_buf(&t->head);
}

static int
lua_request(lua_State *l)
{
	struct transfer t = {0};

	luaL_checktype(l, 1, LUA_TTABLE);
	load_transfer(l, 1, &t);
	push_answer(l, &t, curl_easy_perform(t.handle));
	unload_transfer(&t);
	return 1;
}

static int
lua_parallel(lua_State *l)
{
	static struct transfer list[PARALLEL_MAX];
	static CURLcode codes[PARALLEL_MAX];
	int n = (int)luaL_len(l, 1);

	if (n > PARALLEL_MAX)
		return luaL_error(l,
		    "http.parallel: at most %d requests at once", PARALLEL_MAX);
	memset(list, 0, sizeof(list));
	for (int i = 0; i < n; i++) {
		lua_geti(l, 1, i + 1);
		load_transfer(l, lua_gettop(l), &list[i]);
		lua_pop(l, 1);
	}
	perform_all(list, n, codes);
	lua_createtable(l, n, 0);
	for (int i = 0; i < n; i++) {
		push_answer(l, &list[i], codes[i]);
		lua_seti(l, -2, i + 1);
		unload_transfer(&list[i]);
	}
	return 1;
}

static int
lua_send(lua_State *l)
{
	int at = 0, running;

	luaL_checktype(l, 1, LUA_TTABLE);
	while (at < SENT_MAX && sent[at].handle != NULL)
		at++;
	if (at == SENT_MAX)
		return luaL_error(
		    l, "http.send: at most %d requests at once", SENT_MAX);
	if (sent_multi == NULL)
		sent_multi = curl_multi_init();
	load_transfer(l, 1, &sent[at]);
	curl_multi_add_handle(sent_multi, sent[at].handle);
	curl_multi_perform(sent_multi, &running);
	lua_pushinteger(l, at);
	return 1;
}

static int
lua_step(lua_State *l)
{
	int running, left;
	CURLMsg *msg;

	lua_newtable(l);
	if (sent_multi == NULL)
		return 1;
	curl_multi_poll(
	    sent_multi, NULL, 0, (int)luaL_checkinteger(l, 1), NULL);
	curl_multi_perform(sent_multi, &running);
	while ((msg = curl_multi_info_read(sent_multi, &left)) != NULL) {
		CURL *handle = msg->easy_handle;
		CURLcode rc = msg->data.result;
		int at = 0;

		while (sent[at].handle != handle)
			at++;
		curl_multi_remove_handle(sent_multi, handle);
		push_answer(l, &sent[at], rc);
		lua_seti(l, -2, at);
		unload_transfer(&sent[at]);
		memset(&sent[at], 0, sizeof(sent[at]));
	}
	return 1;
}

/*
 * Runs the transfers at the same time and stores their results in codes.
 */
static void
perform_all(struct transfer *list, int count, CURLcode *codes)
{
	CURLM *m = curl_multi_init();
	int running = count, left;
	CURLMsg *msg;

	for (int i = 0; i < count; i++) {
		codes[i] = CURLE_GOT_NOTHING;
		curl_multi_add_handle(m, list[i].handle);
	}
	while (running > 0) {
		if (curl_multi_perform(m, &running) != CURLM_OK)
			break;
		if (running > 0)
			curl_multi_poll(m, NULL, 0, 1000, NULL);
	}
	while ((msg = curl_multi_info_read(m, &left)) != NULL) {
		for (int i = 0; i < count; i++) {
			if (list[i].handle == msg->easy_handle)
				codes[i] = msg->data.result;
		}
	}
	for (int i = 0; i < count; i++)
		curl_multi_remove_handle(m, list[i].handle);
	curl_multi_cleanup(m);
}

static int
lua_decode(lua_State *l)
{
	size_t len;
	const char *text = luaL_checklstring(l, 1, &len);
	json_t *v = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	if (v == NULL)
		lua_pushnil(l);
	else
		push_json(l, v);
	json_decref(v);
	return 1;
}

static int
lua_encode(lua_State *l)
{
	json_t *v = build_json(l, 1);
	char *text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);

	json_decref(v);
	lua_pushstring(l, text != NULL ? text : "null");
	free(text);
	return 1;
}

/*
 * Pushes a JSON value: an object or array as a table, null as nil.
 */
static void
push_json(lua_State *l, const json_t *v)
{
	const char *key;
	json_t *m;
	size_t i;

	switch (json_typeof(v)) {
	case JSON_OBJECT:
		lua_newtable(l);
		json_object_foreach ((json_t *)(uintptr_t)v, key, m) {
			push_json(l, m);
			lua_setfield(l, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_newtable(l);
		json_array_foreach (v, i, m) {
			push_json(l, m);
			lua_seti(l, -2, (lua_Integer)i + 1);
		}
		break;
	case JSON_STRING:
		lua_pushlstring(l, json_string_value(v), json_string_length(v));
		break;
	case JSON_INTEGER:
		lua_pushinteger(l, json_integer_value(v));
		break;
	case JSON_REAL:
		lua_pushnumber(l, json_real_value(v));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		lua_pushboolean(l, json_is_true(v));
		break;
	default:
		lua_pushnil(l);
		break;
	}
}

/*
 * Builds JSON from the value at stack index at: a table with element 1 becomes
 * an array, any other table an object with its string keys. The caller releases
 * the result.
 */
static json_t *
build_json(lua_State *l, int at)
{
	json_t *v;

	at = lua_absindex(l, at);
	if (lua_isinteger(l, at))
		return json_integer(lua_tointeger(l, at));
	if (lua_type(l, at) == LUA_TNUMBER)
		return json_real(lua_tonumber(l, at));
	if (lua_type(l, at) == LUA_TSTRING)
		return json_string(lua_tostring(l, at));
	if (lua_isboolean(l, at))
		return json_boolean(lua_toboolean(l, at));
	if (!lua_istable(l, at))
		return json_null();
	if (luaL_len(l, at) > 0) {
		v = json_array();
		for (int i = 1; i <= luaL_len(l, at); i++) {
			lua_geti(l, at, i);
			json_array_append_new(v, build_json(l, -1));
			lua_pop(l, 1);
		}
		return v;
	}
	v = json_object();
	for (lua_pushnil(l); lua_next(l, at) != 0; lua_pop(l, 1)) {
		if (lua_type(l, -2) == LUA_TSTRING)
			json_object_set_new(
			    v, lua_tostring(l, -2), build_json(l, -1));
	}
	return v;
}
