/* Reads a load scenario from TOML. */
#include "load/scenario.h"

#include "pimentoford/toml.h"

#include <string.h>

static char *dup_str(struct pf_str s)
{
	return g_strndup(s.p, s.n);
}

static bool key_is(struct pf_str key, const char *name)
{
	return pf_str_eq(key, pf_str_c(name));
}

static void model_free(void *p)
{
	struct target_model *m = p;

	g_free(m->requested_name);
	g_free(m->name);
	g_strfreev(m->versions);
	g_free(m->adapter);
	g_free(m);
}

static struct target_model *model_new(struct pf_str text)
{
	struct target_model *m = g_new0(struct target_model, 1);
	char *all = dup_str(text);
	char *colon = strchr(all, ':');
	char *at = strchr(all, '@');

	if (colon)
		*colon++ = '\0';
	if (at)
		*at++ = '\0';
	m->name = g_strdup(all);
	m->versions = g_strsplit(at ? at : "1", ",", 0);
	m->adapter =
		colon ? g_strdup_printf("%s:%s", all, colon) : g_strdup("");
	m->requested_name = g_strdup(colon ? m->adapter : m->name);
	g_free(all);
	return m;
}

static void caller_free(void *p)
{
	struct caller *c = p;

	g_free(c->name);
	g_free(c->key);
	g_free(c->service);
	g_free(c->path);
	g_ptr_array_free(c->models, TRUE);
	g_free(c);
}

static void add_finding(struct pf_findings *f, const struct pf_toml_node *n,
			struct pf_str key, const char *text)
{
	char place[128];

	g_snprintf(place, sizeof(place), "scenario:%u %.*s", pf_toml_line(n),
		   (int)key.n, key.p);
	pf_findings_add(f, place, "%s", text);
}

static void read_strings(GPtrArray *to, const struct pf_toml_node *n,
			 struct pf_str key, struct pf_findings *f)
{
	struct pf_str s;

	for (size_t i = 0; i < pf_toml_count(n); i++) {
		if (pf_toml_str(pf_toml_at(n, i, NULL), &s))
			add_finding(f, n, key, "must be a list of strings");
		else
			g_ptr_array_add(to, dup_str(s));
	}
}

static void read_models(struct caller *c, const struct pf_toml_node *n,
			struct pf_str key, struct pf_findings *f)
{
	struct pf_str s;

	for (size_t i = 0; i < pf_toml_count(n); i++) {
		if (pf_toml_str(pf_toml_at(n, i, NULL), &s))
			add_finding(f, n, key, "must be a list of strings");
		else
			g_ptr_array_add(c->models, model_new(s));
	}
}

static double *find_number(struct caller *c, struct pf_str key)
{
#define DEF(name, first)        \
	if (key_is(key, #name)) \
		return &c->name;
	CALLER_NUMBERS(DEF)
#undef DEF
	return NULL;
}

static char **find_text(struct caller *c, struct pf_str key)
{
	if (key_is(key, "name"))
		return &c->name;
	if (key_is(key, "key"))
		return &c->key;
	if (key_is(key, "service"))
		return &c->service;
	if (key_is(key, "path"))
		return &c->path;
	return NULL;
}

static void read_kind(struct caller *c, const struct pf_toml_node *n,
		      struct pf_str key, struct pf_findings *f)
{
	static const char *const kinds[] = { "model", "lookup", "once" };
	struct pf_str s = { 0 };

	pf_toml_str(n, &s);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (key_is(s, kinds[i])) {
			c->kind = (enum call_kind)i;
			return;
		}
	}
	add_finding(f, n, key, "must be model, lookup or once");
}

static void read_field(struct caller *c, struct pf_str key,
		       const struct pf_toml_node *n, struct pf_findings *f)
{
	double *number = find_number(c, key);
	char **text = find_text(c, key);
	struct pf_str s;

	if (number) {
		if (pf_toml_real(n, number) || *number < 0)
			add_finding(f, n, key, "must be a number >= 0");
	} else if (text) {
		g_free(*text);
		*text = NULL;
		if (pf_toml_str(n, &s))
			add_finding(f, n, key, "must be a string");
		else
			*text = dup_str(s);
	} else if (key_is(key, "kind")) {
		read_kind(c, n, key, f);
	} else if (key_is(key, "models")) {
		read_models(c, n, key, f);
	} else {
		add_finding(f, n, key, "unknown key");
	}
}

static void read_caller(struct scenario *s, const struct pf_toml_node *n,
			struct pf_findings *f)
{
	struct caller *c = g_new0(struct caller, 1);
	struct pf_str key;

#define DEF(name, first) c->name = first;
	CALLER_NUMBERS(DEF)
#undef DEF
	c->models = g_ptr_array_new_with_free_func(model_free);
	for (size_t i = 0; i < pf_toml_count(n); i++) {
		const struct pf_toml_node *v = pf_toml_at(n, i, &key);

		read_field(c, key, v, f);
	}
	if (!c->name || !c->key)
		add_finding(f, n, PF_STR("caller"), "requires name and key");
	if (c->kind == CALL_MODEL ? !c->models->len : !c->service || !c->path)
		add_finding(f, n, PF_STR("caller"),
			    "requires models, or service and path");
	if (c->burst < 1)
		add_finding(f, n, PF_STR("burst"), "must be a number >= 1");
	g_ptr_array_add(s->callers, c);
}

static void read_root(struct scenario *s, const struct pf_toml_node *root,
		      struct pf_findings *f)
{
	struct pf_str key;

	for (size_t i = 0; i < pf_toml_count(root); i++) {
		const struct pf_toml_node *n = pf_toml_at(root, i, &key);

		if (key_is(key, "entries"))
			read_strings(s->entries, n, key, f);
		else if (key_is(key, "services"))
			read_strings(s->services, n, key, f);
		else if (key_is(key, "engines"))
			read_strings(s->engines, n, key, f);
		else if (key_is(key, "caller"))
			for (size_t j = 0; j < pf_toml_count(n); j++)
				read_caller(s, pf_toml_at(n, j, NULL), f);
		else
			add_finding(f, n, key, "unknown key");
	}
	if (!s->entries->len)
		pf_findings_add(f, "scenario", "requires entries");
	if (!s->callers->len)
		pf_findings_add(f, "scenario", "requires a caller");
}

struct scenario *scenario_read(const char *path, struct pf_findings *f)
{
	struct scenario *s;
	struct pf_toml *t;
	char *text = NULL;
	gsize n = 0;

	if (!g_file_get_contents(path, &text, &n, NULL)) {
		pf_findings_add(f, path, "cannot be read");
		return NULL;
	}
	t = pf_toml_parse((struct pf_str){ text, n }, path, f);
	if (!t) {
		g_free(text);
		return NULL;
	}
	s = g_new0(struct scenario, 1);
	s->entries = g_ptr_array_new_with_free_func(g_free);
	s->services = g_ptr_array_new_with_free_func(g_free);
	s->engines = g_ptr_array_new_with_free_func(g_free);
	s->callers = g_ptr_array_new_with_free_func(caller_free);
	read_root(s, pf_toml_root(t), f);
	pf_toml_free(t);
	g_free(text);
	if (!pf_findings_any(f))
		return s;
	scenario_free(s);
	return NULL;
}

void scenario_free(struct scenario *s)
{
	g_ptr_array_free(s->entries, TRUE);
	g_ptr_array_free(s->services, TRUE);
	g_ptr_array_free(s->engines, TRUE);
	g_ptr_array_free(s->callers, TRUE);
	g_free(s);
}
