/* The report: counters, latency quantiles, attainment of expectations. */
#include "load/load.h"

#include <inttypes.h>
#include <stdio.h>

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(GArray *v, double q)
{
	guint i = (guint)(q * v->len);

	if (!v->len)
		return 0;
	g_array_sort(v, compare_doubles);
	return g_array_index(v, double, MIN(i, v->len - 1));
}

static json_t *quantiles(GArray *v)
{
	return json_pack("{sfsfsf}", "p50", quantile(v, 0.5), "p95",
			 quantile(v, 0.95), "p99", quantile(v, 0.99));
}

static double attainment(const struct load *l)
{
	return l->count.requests
		       ? (double)l->count.within / (double)l->count.requests
		       : 0;
}

json_t *report_json(const struct load *l, double seconds)
{
	json_t *j = json_pack("{sIsfsfsoso}", "seed", (json_int_t)l->seed,
			      "seconds", seconds, "attainment", attainment(l),
			      "first_ms", quantiles(l->first_ms), "whole_ms",
			      quantiles(l->whole_ms));
	json_t *codes = json_object();
	GHashTableIter it;
	void *code;
	void *n;

#define DEF(name) \
	json_object_set_new(j, #name, json_integer((json_int_t)l->count.name));
	LOAD_COUNTERS(DEF)
#undef DEF
	g_hash_table_iter_init(&it, l->error_codes);
	while (g_hash_table_iter_next(&it, &code, &n))
		json_object_set_new(codes, code,
				    json_integer(GPOINTER_TO_UINT(n)));
	json_object_set_new(j, "codes", codes);
	return j;
}

void report_print(const struct load *l, const char *name)
{
	printf("%s: seed=%" PRIu64, name, l->seed);
#define DEF(counter) printf(" " #counter "=%" PRIu64, l->count.counter);
	LOAD_COUNTERS(DEF)
#undef DEF
	printf(" attainment=%.3f first_ms_p50=%.1f first_ms_p95=%.1f"
	       " whole_ms_p50=%.1f whole_ms_p95=%.1f\n",
	       attainment(l), quantile(l->first_ms, 0.5),
	       quantile(l->first_ms, 0.95), quantile(l->whole_ms, 0.5),
	       quantile(l->whole_ms, 0.95));
	fflush(stdout);
}
