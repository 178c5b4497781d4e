/*
 * The history of software versions in the store: one row that all gateways
 * read at their start and every 20 s, and write on the condition that nobody
 * else has when a version comes or has gone.
 */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/version_row.h"

#include <stdlib.h>

#define VERSIONS_TABLE "pimentoford"
#define VERSIONS_PART "versions"
#define VERSIONS_KEY "all"
#define RETRY_INTERVAL_MS 500
/* Spreads the calls of gateways that a write of another one has overtaken, and
 * those of all gateways after a restore. */
#define CONFLICT_JITTER_MS 20
#define RESTORE_JITTER_MS 300

struct versions {
	struct gateway *gateway;
	struct event *timer;
	struct pf_rng rng;
	struct pf_version_row row; /* as read or written last */
	struct pf_version_row sent; /* in the write in flight */
	uint64_t revision; /* of the row; 0: there is none */
	bool known; /* `row` is what the store has, as far as is known */
	bool had_row; /* a read or write has shown one */
	bool in_flight; /* a read or a write */
	bool failing; /* the last call failed */
	pf_ms read_at; /* last read */
	pf_ms endpoints_read_at; /* first full read; 0: not yet */
	pf_ms clock_ahead; /* store's clock less this process's */
};

static void schedule(struct versions *v, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(v->timer, &tv);
}

static int64_t era(const struct versions *v)
{
	return pf_store_eras(v->gateway->store)->newest;
}

static pf_ms store_now(const struct versions *v)
{
	return pf_clock_now() + v->clock_ahead;
}

static void set_clock(struct versions *v, const struct pf_store_answer *a)
{
	v->clock_ahead = (a->now ? a->now : pf_clock_wall()) - pf_clock_now();
}

static void pass_history(struct versions *v)
{
	struct pf_gate_software software[PF_GATE_SOFTWARE_MAX];
	struct pf_gate_msg m = { .type = PF_GATE_HISTORY };

	pf_version_row_history(&v->row, era(v), store_now(v), software,
			       &m.u.history);
	core_step(v->gateway, &m);
}

/* Takes over the row as the store has it; @a may have none. */
static void take_row(struct versions *v, const struct pf_store_answer *a)
{
	v->row = (struct pf_version_row){ 0 };
	v->revision = 0;
	v->known = true;
	if (a->n == 0)
		return;
	v->had_row = true;
	v->revision = a->rows[0].revision;
	if (pf_version_row_decode(a->rows[0].value, &v->row) < 0)
		PF_LOG(&v->gateway->log, PF_LOG_WARN, "versions_unreadable",
		       PF_KV_INT("revision", v->revision));
}

static void on_call_failed(struct versions *v, enum pf_store_status status)
{
	if (!v->failing)
		PF_LOG(&v->gateway->log, PF_LOG_WARN, "versions_away",
		       PF_KV_INT("status", status));
	v->failing = true;
	v->known = false; /* a write may have taken effect */
	schedule(v, RETRY_INTERVAL_MS);
}

static void on_row_read(void *ctx, const struct pf_store_answer *a)
{
	struct versions *v = ctx;

	v->in_flight = false;
	if (a->status != PF_STORE_OK) {
		on_call_failed(v, a->status);
		return;
	}
	v->failing = false;
	v->read_at = pf_clock_now();
	set_clock(v, a);
	take_row(v, a);
	pass_history(v);
	schedule(v, 0);
}

static void on_row_written(void *ctx, const struct pf_store_answer *a)
{
	struct versions *v = ctx;

	v->in_flight = false;
	switch (a->status) {
	case PF_STORE_OK:
		v->failing = false;
		v->row = v->sent;
		v->revision = a->revision;
		v->had_row = true;
		pass_history(v);
		schedule(v, 0);
		return;
	case PF_STORE_CONFLICT:
		take_row(v, a);
		pass_history(v);
		schedule(v, pf_rng_below(&v->rng, CONFLICT_JITTER_MS));
		return;
	case PF_STORE_REFUSED:
	case PF_STORE_TRIMMED:
	case PF_STORE_UNKNOWN:
		on_call_failed(v, a->status);
		return;
	}
}

/* Returns 0, or -1 if it was not sent. */
static int write_row(struct versions *v)
{
	const struct pf_store_place place = { PF_STR(VERSIONS_TABLE),
					      PF_STR(VERSIONS_PART),
					      PF_STR(VERSIONS_KEY) };
	struct pf_store_check check = { place, v->revision };
	struct pf_store_put put = { .place = place };
	struct pf_store_txn txn = {
		.checks = &check, .n_checks = 1, .puts = &put, .n_puts = 1
	};
	struct pf_text text = { 0 };
	int ret = -1;

	pf_version_row_encode(&v->sent, &text);
	put.value = pf_text_str(&text);
	if (!text.failed)
		ret = pf_store_commit(v->gateway->store, &txn, on_row_written,
				      v);
	pf_text_free(&text);
	if (ret == 0)
		v->gateway->counters->v[PF_GC_VERSION_WRITES]++;
	return ret;
}

static int read_row(struct versions *v)
{
	return pf_store_read(v->gateway->store, PF_STR(VERSIONS_TABLE),
			     PF_STR(VERSIONS_PART), PF_STR(VERSIONS_KEY),
			     PF_STR(""), 1, on_row_read, v);
}

/* Whether the row must be written; it is then in v->sent. */
static bool row_changes(struct versions *v)
{
	struct pf_gate_software listed[PF_GATE_SOFTWARE_MAX];
	pf_ms now = pf_clock_now();
	struct pf_version_view w = {
		.listed = listed,
		.n_listed =
			pf_gate_listed_software(v->gateway->core, now, listed),
		.era = era(v),
		.now = store_now(v),
		.read_for =
			v->endpoints_read_at ? now - v->endpoints_read_at : -1,
		.had_row = v->had_row,
	};

	v->sent = v->row;
	/* Without a version there is nothing to begin a row with. */
	return pf_version_row_update(&v->sent, &w) && v->sent.n > 0;
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct versions *v = ctx;
	pf_ms now = pf_clock_now();
	int ret;

	(void)fd;
	(void)what;
	if (v->in_flight)
		return;
	if (!v->known || now - v->read_at >= PF_VERSION_CHECK_MS) {
		ret = read_row(v);
	} else if (row_changes(v)) {
		ret = write_row(v);
	} else {
		schedule(v, v->read_at + PF_VERSION_CHECK_MS - now);
		return;
	}
	v->in_flight = ret == 0;
	if (ret < 0)
		schedule(v, RETRY_INTERVAL_MS);
}

void versions_record(struct gateway *g)
{
	/* Its answer looks again, and a failed call is not repeated at once. */
	if (g->versions && !g->versions->in_flight && !g->versions->failing)
		schedule(g->versions, 0);
}

void versions_endpoints_read(struct gateway *g)
{
	static const struct pf_gate_msg m = { .type = PF_GATE_ENDPOINTS_READ };

	if (!g->versions->endpoints_read_at)
		g->versions->endpoints_read_at = pf_clock_now();
	core_step(g, &m);
}

void versions_on_restore(struct gateway *g)
{
	struct versions *v = g->versions;

	if (!v)
		return;
	v->known = false;
	if (!v->in_flight)
		schedule(v, pf_rng_below(&v->rng, RESTORE_JITTER_MS));
}

int versions_start(struct gateway *g)
{
	struct versions *v = calloc(1, sizeof(*v));

	g->versions = v;
	if (!v)
		return -1;
	v->gateway = g;
	pf_rng_seed(&v->rng, g->self);
	v->timer = event_new(g->base, -1, 0, on_timer, v);
	if (!v->timer)
		return -1;
	schedule(v, 0);
	return 0;
}

void versions_stop(struct gateway *g)
{
	if (!g->versions)
		return;
	if (g->versions->timer)
		event_free(g->versions->timer);
	free(g->versions);
}
