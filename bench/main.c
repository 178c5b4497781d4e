/* Runs every policy on a deployment and prints one line of results each. */
#include "bench/bench.h"
#include "bench/capacity.h"
#include "bench/spread.h"
#include "pimentoford/records.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static const struct policy policies[] = {
#define POLICY(n, r, k, q, p, h, c, d) \
	{ n, PF_ROUTE_##r, PF_KV_##k, PF_QUEUE_##q, p, PLACEMENT_##h, c, d },
#include "bench/policies.def"
#undef POLICY
};

/* Output limits are far above the mean output; lengths are heavy-tailed. */
static const struct demand_class sylvacarb[] = {
	{ "foresters", 0.3, 1500, 600, 4000, 16000 },
	{ "verifiers", 0.3, 1000, 300, 3000, 8000 },
	{ "buyers", 0.4, 300, 100, 1000, 4000 },
	{ 0 },
};

static const struct demand_class norrvarme[] = {
	{ "engineers", 0.3, 5000, 400, 3000, 8000 },
	{ "dispatchers", 0.5, 400, 80, 800, 4000 },
	{ "reports", 0.2, 2000, 600, 4000, 16000 },
	{ 0 },
};

struct deployment {
	const char *name;
	const struct demand_class *classes;
	pf_ms zone_latency_ms, region_latency_ms, client_latency_ms;
};

static const struct deployment deployments[] = {
	{ "sylvacarb", sylvacarb, 1, 12, 1 },
	{ "norrvarme", norrvarme, 1, 12, 3 },
};

static struct pf_config *read_config(const char *name)
{
	struct pf_records set = { 0 };
	struct pf_findings f = { 0 };
	struct pf_config *c = NULL;
	char path[256];
	gchar *text;
	gsize n;

	snprintf(path, sizeof(path), "deployments/%s/records.toml", name);
	if (!g_file_get_contents(path, &text, &n, NULL)) {
		fprintf(stderr, "bench: cannot read records file %s\n", path);
		return NULL;
	}
	if (pf_records_parse((struct pf_str){ text, n }, path, &set, &f) == 0)
		pf_records_build(&set, 1, &f, &c);
	for (size_t i = 0; i < f.n; i++)
		fprintf(stderr, "%s: %s\n", f.v[i].place, f.v[i].text);
	pf_findings_clear(&f);
	pf_records_free(&set);
	g_free(text);
	return c;
}

static void print_result(const struct bench_opts *o,
			 const struct bench_result *r)
{
	printf("bench: deployment=%s seed=%llu faults=%d load=%.2f policy=%s "
	       "attainment_per_accelerator=%.5f attained=%.4f moves=%llu "
	       "adapter_moves=%llu requests=%llu whole=%llu late=%llu "
	       "refused=%llu failed=%llu unended=%llu first_p95_ms=%lld "
	       "tokens=%llu pauses=%llu resumes=%llu missed_first=%llu "
	       "missed_between=%llu missed_whole=%llu incomplete=%llu "
	       "crossed=%llu overcommit=%llu",
	       o->deployment, (unsigned long long)o->seed, o->faults,
	       o->load_factor, o->policy->name, r->attainment,
	       (double)r->attained / (double)r->requests,
	       (unsigned long long)r->model_loads,
	       (unsigned long long)r->adapter_loads,
	       (unsigned long long)r->requests,
	       (unsigned long long)r->completed, (unsigned long long)r->late,
	       (unsigned long long)r->refused, (unsigned long long)r->failed,
	       (unsigned long long)r->unfinished,
	       (long long)r->first_token_p95_ms, (unsigned long long)r->tokens,
	       (unsigned long long)r->pauses, (unsigned long long)r->resumes,
	       (unsigned long long)r->missed_first_token,
	       (unsigned long long)r->missed_token_gap,
	       (unsigned long long)r->missed_answer_time,
	       (unsigned long long)r->incomplete,
	       (unsigned long long)r->stream_errors,
	       (unsigned long long)r->memory_overcommits);
	for (size_t i = 0; i < o->config->n_callers && i < 8; i++)
		printf(" %s=%.3f", o->config->callers[i].name,
		       r->requests_by_caller[i]
			       ? (double)r->attained_by_caller[i] /
					 (double)r->requests_by_caller[i]
			       : 0);
	printf("\n");
	fflush(stdout);
}

static const struct deployment *find_deployment(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++)
		if (strcmp(deployments[i].name, name) == 0)
			return &deployments[i];
	return NULL;
}

/* Whether the comma-separated @list has @name; a NULL list has all names. */
static bool list_contains(const char *list, const char *name)
{
	gchar **names;
	bool found;

	if (!list)
		return true;
	names = g_strsplit(list, ",", -1);
	found = g_strv_contains((const gchar *const *)names, name);
	g_strfreev(names);
	return found;
}

/* Runs a bench that needs no deployment; returns the exit status. */
static int run_named_bench(const char *what, uint64_t seed)
{
	if (strcmp(what, "spread") == 0) {
		bench_spread(seed);
		return 0;
	}
	if (strcmp(what, "members") == 0) {
		bench_members(seed);
		return 0;
	}
	fprintf(stderr, "bench: unknown bench \"%s\" in --what\n", what);
	return 2;
}

int main(int argc, char **argv)
{
	gchar *name = NULL, *only = NULL, *what = NULL;
	gint64 seed = 1;
	gint faults = -1, seconds = 600;
	gdouble load = 0.5;
	gboolean capacity = FALSE;
	GOptionEntry entries[] = {
		{ "deployment", 0, 0, G_OPTION_ARG_STRING, &name,
		  "sylvacarb or norrvarme", "NAME" },
		{ "what", 0, 0, G_OPTION_ARG_STRING, &what,
		  "Instead of the policies: spread, members or recovery",
		  "NAME" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed", "N" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &only,
		  "Comma-separated policies; default: all", "NAMES" },
		{ "faults", 0, 0, G_OPTION_ARG_INT, &faults,
		  "0 or 1; default: both", "N" },
		{ "load", 0, 0, G_OPTION_ARG_DOUBLE, &load,
		  "Demand relative to the total decode rate", "X" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Virtual time during which requests arrive", "N" },
		{ "capacity", 0, 0, G_OPTION_ARG_NONE, &capacity,
		  "Measure the capacity model instead", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *ctx =
		g_option_context_new("- compare policies in a simulation");
	const struct deployment *d;
	struct bench_opts o = { 0 };
	struct pf_config *c;
	GError *err = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "bench: %s\n", err->message);
		return 2;
	}
	g_option_context_free(ctx);
	if (what && strcmp(what, "recovery") != 0)
		return run_named_bench(what, (uint64_t)seed);
	if (capacity)
		return capacity_main();
	d = find_deployment(name ? name : "sylvacarb");
	c = d ? read_config(d->name) : NULL;
	if (!c) {
		fprintf(stderr,
			"bench: unknown deployment or invalid records\n");
		return 2;
	}
	o = (struct bench_opts){ .deployment = d->name,
				 .classes = d->classes,
				 .config = c,
				 .seed = (uint64_t)seed,
				 .duration_ms = (pf_ms)seconds * 1000,
				 .load_factor = load,
				 .zone_latency_ms = d->zone_latency_ms,
				 .region_latency_ms = d->region_latency_ms,
				 .client_latency_ms = d->client_latency_ms };
	if (what) {
		recovery_run(d->name, c, (uint64_t)seed);
		pf_config_free(c);
		return 0;
	}
	for (int f = 0; f < 2; f++) {
		if (faults >= 0 && f != faults)
			continue;
		o.faults = f;
		for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
			struct bench_result r;

			if (!list_contains(only, policies[i].name))
				continue;
			o.policy = &policies[i];
			bench_run(&o, &r);
			print_result(&o, &r);
		}
	}
	pf_config_free(c);
	return 0;
}
