/* Counters as Prometheus text. */
#include "pimentoford/counters.h"

#include <inttypes.h>

struct counter {
	const char *name;
	const char *type;
	const char *help;
};

#define DEF(sym, name, type, help) { name, type, help },
static const struct counter entry_counters[] = { PF_ENTRY_COUNTERS(DEF) };
static const struct counter gateway_counters[] = { PF_GATEWAY_COUNTERS(DEF) };
static const struct counter agent_counters[] = { PF_AGENT_COUNTERS(DEF) };
#undef DEF

static void render(const char *prefix, const struct counter *d,
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
	render("pimento_entry", entry_counters, c->v, PF_EC_COUNT, t);
}

void pf_agent_counters_text(const struct pf_agent_counters *c,
			    struct pf_text *t)
{
	render("pimento_agent", agent_counters, c->v, PF_AC_COUNT, t);
}

void pf_gateway_counters_text(const struct pf_gateway_counters *c,
			      struct pf_text *t)
{
	render("pimento_gateway", gateway_counters, c->v, PF_GC_COUNT, t);
}
