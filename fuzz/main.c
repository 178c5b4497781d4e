/* Runs the fuzz targets; prints the seed, steps and violations. */
#include "fuzz/fuzz.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_STEPS 400

struct target {
	const char *name;
	void (*run)(uint64_t seed, uint32_t steps_max, struct fuzz_result *r);
};

static const struct target targets[] = {
#define TARGET(name) { #name, fuzz_##name },
#include "fuzz/targets.def"
#undef TARGET
	{ NULL, NULL },
};

void fuzz_violation(struct fuzz_result *r, const char *fmt, ...)
{
	va_list ap;

	if (r->violations++)
		return;
	va_start(ap, fmt);
	vsnprintf(r->first_violation, sizeof(r->first_violation), fmt, ap);
	va_end(ap);
}

/* Bisects for a shorter prefix of the failing sequence that still fails. */
static uint32_t shortest_failing_prefix(const struct target *t, uint64_t seed,
					uint32_t failing)
{
	uint32_t lo = 0, hi = failing;

	while (lo + 1 < hi) {
		uint32_t mid = lo + (hi - lo) / 2;
		struct fuzz_result r = { 0 };

		t->run(seed, mid, &r);
		if (r.violations)
			hi = mid;
		else
			lo = mid;
	}
	return hi;
}

static uint64_t run_target(const struct target *t, uint64_t seed, int runs,
			   uint32_t steps_max, uint64_t *steps)
{
	uint64_t violations = 0;

	for (int i = 0; i < runs; i++) {
		uint64_t s = pf_id2(seed, (uint64_t)i);
		struct fuzz_result r = { 0 };

		t->run(s, steps_max, &r);
		*steps += r.steps;
		if (!r.violations)
			continue;
		if (violations++ == 0)
			printf("fuzz: core=%s sequence=%llu steps=%u "
			       "what=\"%s\" repeat=\"build/pf-fuzz --core %s "
			       "--sequence %llu --steps %u\"\n",
			       t->name, (unsigned long long)s,
			       shortest_failing_prefix(t, s, steps_max),
			       r.first_violation, t->name,
			       (unsigned long long)s,
			       shortest_failing_prefix(t, s, steps_max));
	}
	return violations;
}

int main(int argc, char **argv)
{
	gint64 seed = 1;
	gint runs = 200;
	gint steps_max = DEFAULT_STEPS;
	gchar *core = NULL, *sequence = NULL;
	GOptionEntry opts[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed", "N" },
		{ "runs", 0, 0, G_OPTION_ARG_INT, &runs, "Runs per core", "N" },
		{ "steps", 0, 0, G_OPTION_ARG_INT, &steps_max,
		  "Commands per run", "N" },
		{ "core", 0, 0, G_OPTION_ARG_STRING, &core, "Only this core",
		  "NAME" },
		{ "sequence", 0, 0, G_OPTION_ARG_STRING, &sequence,
		  "Repeat one sequence", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new("- stateful fuzzing");
	GError *err = NULL;
	uint64_t steps = 0, violations = 0;
	unsigned int cores = 0;

	g_option_context_add_main_entries(ctx, opts, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "fuzz: %s\n", err->message);
		return 2;
	}
	g_option_context_free(ctx);
	for (const struct target *t = targets; t->name; t++) {
		if (core && strcmp(core, t->name) != 0)
			continue;
		cores++;
		if (sequence) {
			struct fuzz_result r = { 0 };

			t->run(g_ascii_strtoull(sequence, NULL, 10),
			       (uint32_t)steps_max, &r);
			steps += r.steps;
			violations += r.violations;
			if (r.violations)
				printf("fuzz: core=%s what=\"%s\"\n", t->name,
				       r.first_violation);
			continue;
		}
		violations += run_target(t, (uint64_t)seed, runs,
					 (uint32_t)steps_max, &steps);
	}
	g_free(core);
	g_free(sequence);
	printf("fuzz: seed=%lld cores=%u steps=%llu violations=%llu\n",
	       (long long)seed, cores, (unsigned long long)steps,
	       (unsigned long long)violations);
	return violations ? 1 : 0;
}
