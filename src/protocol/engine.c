/* JSON bodies sent to an engine, and its inventory. */
#include "pimentoford/engine.h"

#include "pimentoford/openai.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void add_string_member(struct pf_text *out, const char *key,
			      struct pf_str s)
{
	pf_text_printf(out, "\"%s\":\"", key);
	pf_json_escape(out, s);
	pf_text_add(out, PF_STR("\","));
}

void pf_engine_run_body(const struct pf_engine_run *r, struct pf_text *out)
{
	pf_text_add(out, PF_STR("{"));
	add_string_member(out, "run", pf_str_c(r->name));
	add_string_member(out, "model", pf_str_c(r->model));
	add_string_member(out, "adapter", pf_str_c(r->adapter));
	add_string_member(out, "prompt", r->prompt);
	add_string_member(out, "prior", r->prior);
	pf_text_printf(out, "\"offset\":%u,\"limit\":%u,\"priority\":%u}",
		       r->offset, r->limit, r->priority);
}

void pf_engine_order_body(const struct pf_engine_order *o, struct pf_text *out)
{
	pf_text_add(out, PF_STR("{"));
	add_string_member(out, "op", pf_str_c(o->load ? "load" : "unload"));
	add_string_member(out, "item", pf_str_c(o->item));
	pf_text_printf(out, "\"fence\":%llu,\"order\":%llu,\"bytes\":%lld}",
		       (unsigned long long)o->fence,
		       (unsigned long long)o->order, (long long)o->bytes);
}

static json_t *load_json(struct pf_str body)
{
	return json_loadb(body.p ? body.p : "", body.n, 0, NULL);
}

void pf_engine_error_code(struct pf_str body, char *out, size_t cap)
{
	json_t *root = load_json(body);
	const char *s = json_string_value(json_object_get(root, "error"));

	snprintf(out, cap, "%s", s ? s : "");
	json_decref(root);
}

static int parse_state(const char *s, enum pf_item_state *out)
{
	static const struct {
		const char *name;
		enum pf_item_state state;
	} states[] = { { "resident", PF_ITEM_RESIDENT },
		       { "loading", PF_ITEM_LOADING },
		       { "unloading", PF_ITEM_UNLOADING } };
	size_t i;

	for (i = 0; s && i < sizeof(states) / sizeof(states[0]); i++) {
		if (strcmp(s, states[i].name) == 0) {
			*out = states[i].state;
			return 0;
		}
	}
	return -1;
}

static int get_count(const json_t *obj, const char *key, int64_t *out)
{
	const json_t *v = json_object_get(obj, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return -1;
	*out = json_integer_value(v);
	return 0;
}

static char *dup_string(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? strdup(s) : NULL;
}

static int parse_items(const json_t *arr, struct pf_engine_inventory *inv)
{
	const json_t *v;
	size_t i;

	if (!json_is_array(arr))
		return -1;
	inv->items = calloc(json_array_size(arr) + 1, sizeof(*inv->items));
	if (!inv->items)
		return -1;
	json_array_foreach(arr, i, v)
	{
		struct pf_engine_item *it = &inv->items[i];
		const char *state =
			json_string_value(json_object_get(v, "state"));

		inv->n_items = i + 1;
		it->name = dup_string(v, "item");
		if (!it->name || parse_state(state, &it->state) < 0 ||
		    get_count(v, "bytes", &it->bytes) < 0)
			return -1;
	}
	return 0;
}

static int parse_runs(const json_t *arr, struct pf_engine_inventory *inv)
{
	const json_t *v;
	size_t i;

	if (!json_is_array(arr))
		return -1;
	inv->runs = calloc(json_array_size(arr) + 1, sizeof(*inv->runs));
	if (!inv->runs)
		return -1;
	json_array_foreach(arr, i, v)
	{
		inv->n_runs = i + 1;
		inv->runs[i] = dup_string(v, "run");
		if (!inv->runs[i])
			return -1;
	}
	return 0;
}

int pf_engine_inventory_parse(struct pf_str body,
			      struct pf_engine_inventory *out)
{
	json_t *root = load_json(body);
	int ret = -1;

	memset(out, 0, sizeof(*out));
	out->boot_id = dup_string(root, "boot");
	if (!out->boot_id ||
	    get_count(root, "memory", &out->memory_bytes) < 0 ||
	    get_count(root, "used", &out->used_bytes) < 0 ||
	    parse_items(json_object_get(root, "items"), out) < 0 ||
	    parse_runs(json_object_get(root, "runs"), out) < 0)
		goto out;
	ret = 0;
out:
	json_decref(root);
	if (ret < 0)
		pf_engine_inventory_free(out);
	return ret;
}

void pf_engine_inventory_free(struct pf_engine_inventory *inv)
{
	size_t i;

	for (i = 0; i < inv->n_items; i++)
		free(inv->items[i].name);
	for (i = 0; i < inv->n_runs; i++)
		free(inv->runs[i]);
	free(inv->items);
	free(inv->runs);
	free(inv->boot_id);
	memset(inv, 0, sizeof(*inv));
}
