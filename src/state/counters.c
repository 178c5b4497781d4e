/* Writes counters and histograms as Prometheus text. */
#include "pimentoford/counters.h"

#include <inttypes.h>

struct counter_def {
	const char *name;
	const char *type;
	const char *help;
};

#define DEF(sym, name, type, help) { name, type, help },
static const struct counter_def entry_counters[] = { PF_ENTRY_COUNTERS(DEF) };
static const struct counter_def gateway_counters[] = { PF_GATEWAY_COUNTERS(
	DEF) };
static const struct counter_def agent_counters[] = { PF_AGENT_COUNTERS(DEF) };
#undef DEF

static void render_counters(const char *prefix, const struct counter_def *d,
			    const uint64_t *v, size_t n, struct pf_text *t)
{
	for (size_t i = 0; i < n; i++) {
		pf_text_printf(t, "# HELP %s_%s %s\n", prefix, d[i].name,
			       d[i].help);
		pf_text_printf(t, "# TYPE %s_%s %s\n", prefix, d[i].name,
			       d[i].type);
		pf_text_printf(t, "%s_%s %" PRIu64 "\n", prefix, d[i].name,
			       v[i]);
	}
}

void pf_entry_counters_text(const struct pf_entry_counters *c,
			    struct pf_text *t)
{
	render_counters("pimento_entry", entry_counters, c->v, PF_EC_COUNT, t);
}

void pf_agent_counters_text(const struct pf_agent_counters *c,
			    struct pf_text *t)
{
	render_counters("pimento_agent", agent_counters, c->v, PF_AC_COUNT, t);
}

static const pf_ms histogram_bounds[] = PF_HISTOGRAM_BOUNDS;

void pf_histogram_add(struct pf_histogram *h, pf_ms ms)
{
	size_t i = 0;

	while (i < PF_HISTOGRAM_BUCKETS - 1 && ms > histogram_bounds[i])
		i++;
	h->counts[i]++;
	h->sum_ms += ms > 0 ? (uint64_t)ms : 0;
}

void pf_histogram_text(const struct pf_histogram *h, const char *name,
		       const char *help, struct pf_text *t)
{
	uint64_t n = 0;

	pf_text_printf(t, "# HELP %s %s\n# TYPE %s histogram\n", name, help,
		       name);
	for (size_t i = 0; i < PF_HISTOGRAM_BUCKETS; i++) {
		n += h->counts[i];
		if (i < PF_HISTOGRAM_BUCKETS - 1)
			pf_text_printf(t, "%s_bucket{le=\"%d\"} %" PRIu64 "\n",
				       name, (int)histogram_bounds[i], n);
	}
	pf_text_printf(t,
		       "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %" PRIu64
		       "\n%s_count %" PRIu64 "\n",
		       name, n, name, h->sum_ms, name, n);
}

void pf_gateway_counters_text(const struct pf_gateway_counters *c,
			      struct pf_text *t)
{
	render_counters("pimento_gateway", gateway_counters, c->v, PF_GC_COUNT,
			t);
	pf_histogram_text(&c->first_event_ms, "pimento_gateway_first_event_ms",
			  "Time to the first event of a stream", t);
	pf_histogram_text(&c->answer_ms, "pimento_gateway_answer_ms",
			  "Time to the end of an answer", t);
}
