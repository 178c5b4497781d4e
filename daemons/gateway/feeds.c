/*
 * Reads the configuration and the endpoints from the store: all rows at the
 * start and when the change history was trimmed, otherwise feeds of changes at
 * a limited rate.
 */
#include "gateway.h"

#include "pimentoford/counters.h"

#include <stdlib.h>
#include <string.h>

#define READ_PAGE_ROWS 500
/* A feed call returns at the next change, or after this time. Short, so that a
 * dead connection is noticed early. That of the configuration tells the others
 * too whether the store answers this gateway (PF_STORE_AGE_FRESH_MS). */
#define CONFIG_WAIT_MS 1000
#define ENDPOINTS_WAIT_MS 2500
/* Pause after an answer with changes, so that the next ones come in a batch.
 * Loaders report loaded models and draining endpoints sooner. */
#define CONFIG_INTERVAL_MS 250
#define ENDPOINTS_INTERVAL_MS 1000
/* Pause in gateways that are not readers: while digests of readers announce
 * changes, and otherwise. */
#define NOTIFIED_INTERVAL_MS 12000
#define UNNOTIFIED_INTERVAL_MS 3000
/* A reader whose next call is later than this after its interval has become one
 * in the meantime. */
#define READER_MARGIN_MS 250
/* A call in flight this long should have returned an announced change; its
 * connection may be dead. Also the minimum interval of calls on such news. */
#define EXTRA_CALL_INTERVAL_MS 300
/* While no other gateway is heard, the store is asked this often whether the
 * endpoints are the same; without an answer for so long, they may not be. */
#define CONFIRM_INTERVAL_MS 500
#define UNCONFIRMED_MS 1000
#define RETRY_MIN_MS 150
#define RETRY_JITTER_MS 250
/* The jitter grows with each consecutive failure, up to this many. */
#define RETRY_JITTER_STEPS_MAX 5
#define CALL_TIMEOUT_MS 900
#define CALLS_MAX 16
#define ANSWER_BYTES_MAX ((size_t)4 << 20)
/* Reported if the store has never answered. */
#define STORE_AGE_UNKNOWN_MS 3600000
/* After an outage, live endpoints have rewritten expired rows by then. */
#define ROW_REWRITE_GRACE_MS 2200

/* In flight per table; restores add abandoned ones until they end. */
#define FEED_CALLS_MAX 6

/** A call in flight. */
struct feed_call {
	struct feed *feed;
	bool in_flight;
	bool abandoned; /* sent before a restore: its answer is dropped */
};

/** A table of the store that is kept up to date. */
struct feed {
	struct feeds *feeds;
	struct pf_str table;
	pf_ms interval; /* pause after an answer with changes */
	pf_ms wait; /* of a call, for a change */
	void (*on_row)(struct gateway *g, const struct pf_store_row *row);
	void (*on_read_done)(struct feed *f);
	struct event *timer;
	struct feed_call calls[FEED_CALLS_MAX];
	struct feed_call *call; /* a feed call or a read; NULL: none */
	pf_ms call_sent_at;
	struct feed_call *extra; /* a second one, for an announced change */
	pf_ms extra_sent_at;
	bool full_read; /* a read of all rows is due or in progress */
	char *next_page_key; /* of that read; NULL: the first page */
	uint64_t cursor; /* revision up to which changes are known */
	uint64_t read_revision; /* of the first page */
	pf_ms answered_at;
	uint32_t consecutive_failures;
	bool unavailable; /* the last call failed */
	pf_ms recovered_at; /* end of the last outage or restore; 0: none */
	uint64_t read_number; /* counts reads of all rows */
};

struct feeds {
	struct gateway *gateway;
	struct feed config;
	struct feed endpoints;
	struct pf_rng rng;
	struct pf_version told_endpoints; /* newest that a peer stated */
	bool endpoints_behind; /* as the core was told */
};

static void send_call(struct feed *f);

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_call(ctx);
}

static void schedule_call(struct feed *f, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(f->timer, &tv);
}

/* Returns NULL if too many calls are in flight. */
static struct feed_call *take_call(struct feed *f)
{
	size_t i;

	for (i = 0; i < FEED_CALLS_MAX; i++) {
		if (!f->calls[i].in_flight)
			return &f->calls[i];
	}
	return NULL;
}

static struct feed_call *mark_sent(struct feed *f, struct feed_call *c)
{
	*c = (struct feed_call){ .feed = f, .in_flight = true };
	return c;
}

/* Returns its feed, or NULL if its answer must be dropped. */
static struct feed *end_call(struct feed_call *c)
{
	struct feed *f = c->feed;

	c->in_flight = false;
	if (c->abandoned)
		return NULL;
	if (c == f->call)
		f->call = NULL;
	else
		f->extra = NULL;
	return f;
}

static void abandon_calls(struct feed *f)
{
	if (f->call)
		f->call->abandoned = true;
	if (f->extra)
		f->extra->abandoned = true;
	f->call = NULL;
	f->extra = NULL;
}

static void on_call_failed(struct feed *f, enum pf_store_status status)
{
	struct feeds *fs = f->feeds;
	pf_ms span;

	if (!f->unavailable)
		PF_LOG(&fs->gateway->log, PF_LOG_WARN, "store_away",
		       PF_KV_TEXT("table", f->table),
		       PF_KV_INT("status", status));
	f->unavailable = true;
	/* No backoff without a configuration: nothing can be served. */
	span = fs->gateway->routes
		       ? RETRY_JITTER_MS * (1 + f->consecutive_failures)
		       : RETRY_JITTER_MS;
	if (f->consecutive_failures < RETRY_JITTER_STEPS_MAX)
		f->consecutive_failures++;
	schedule_call(f, RETRY_MIN_MS + pf_rng_below(&fs->rng, (uint32_t)span));
}

static void on_call_answered(struct feed *f)
{
	f->answered_at = pf_clock_now();
	f->consecutive_failures = 0;
	if (!f->unavailable)
		return;
	f->unavailable = false;
	f->recovered_at = pf_clock_now();
	PF_LOG(&f->feeds->gateway->log, PF_LOG_INFO, "store_back",
	       PF_KV_TEXT("table", f->table));
}

static struct pf_version own_endpoints(const struct feeds *fs)
{
	return (struct pf_version){
		pf_store_eras(fs->gateway->store)->newest,
		fs->endpoints.cursor,
	};
}

/* Without news of the store or of other gateways, rows may be newer. */
static bool is_out_of_step(const struct feeds *fs)
{
	return members_hear_nobody(fs->gateway) &&
	       pf_clock_now() - fs->endpoints.answered_at > UNCONFIRMED_MS;
}

/* Compares the rows read with what other gateways stated. */
static void compare_endpoints(struct feeds *fs)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINTS_BEHIND };

	m.u.behind = pf_version_newer(fs->told_endpoints, own_endpoints(fs)) ||
		     is_out_of_step(fs);
	if (m.u.behind == fs->endpoints_behind)
		return;
	fs->endpoints_behind = m.u.behind;
	fs->gateway->counters->v[PF_GC_BEHIND] = m.u.behind;
	core_step(fs->gateway, &m);
}

static void apply_rows(struct feed *f, const struct pf_store_answer *a)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		f->on_row(f->feeds->gateway, &a->rows[i]);
	if (a->revision > f->cursor)
		f->cursor = a->revision;
	compare_endpoints(f->feeds);
}

/* Reads all rows next, from the first page. */
static void start_full_read(struct feed *f)
{
	f->full_read = true;
	f->read_number++;
	free(f->next_page_key);
	f->next_page_key = NULL;
	schedule_call(f, 0);
}

/* Time until the next feed call. @rows: the last one returned changes. */
static pf_ms next_interval(const struct feed *f, bool rows)
{
	if (members_is_store_reader(f->feeds->gateway))
		return rows ? f->interval : 0;
	return members_have_store_readers(f->feeds->gateway)
		       ? NOTIFIED_INTERVAL_MS
		       : UNNOTIFIED_INTERVAL_MS;
}

static void on_feed(void *ctx, const struct pf_store_answer *a)
{
	struct feed *f = end_call(ctx);

	if (!f)
		return;
	if (a->status == PF_STORE_TRIMMED) {
		PF_LOG(&f->feeds->gateway->log, PF_LOG_INFO, "history_gone",
		       PF_KV_TEXT("table", f->table),
		       PF_KV_INT("after", f->cursor));
		on_call_answered(f);
		start_full_read(f);
		return;
	}
	if (a->status != PF_STORE_OK) {
		on_call_failed(f, a->status);
		return;
	}
	on_call_answered(f);
	apply_rows(f, a);
	schedule_call(f, next_interval(f, a->n > 0));
}

static void on_extra(void *ctx, const struct pf_store_answer *a)
{
	struct feed *f = end_call(ctx);

	if (!f || a->status != PF_STORE_OK || f->full_read)
		return;
	f->answered_at = pf_clock_now();
	apply_rows(f, a);
}

/* Calls soon, since another gateway knows a newer revision. */
static void call_soon(struct feed *f)
{
	struct feed_call *c = take_call(f);
	pf_ms now = pf_clock_now();

	if (f->full_read || f->extra || !c ||
	    now - f->extra_sent_at < EXTRA_CALL_INTERVAL_MS)
		return;
	if (f->call && now - f->call_sent_at < EXTRA_CALL_INTERVAL_MS)
		return;
	f->extra_sent_at = now;
	if (!f->call) {
		schedule_call(f, 0);
		return;
	}
	if (pf_store_feed(f->feeds->gateway->store, f->table, f->cursor, 0,
			  on_extra, c) == 0)
		f->extra = mark_sent(f, c);
}

void feeds_on_peer_view(struct gateway *g, const struct sockaddr_in *from,
			const struct pf_talk_store_view *view)
{
	int64_t era = pf_store_eras(g->store)->newest;
	struct pf_version peer = { view->era, view->endpoints_revision };
	struct feeds *fs = g->feeds;

	/* A peer that states no era is compared as before there were eras. */
	if (peer.era == PF_ERA_UNKNOWN)
		peer.era = era;
	if (config_on_peer_view(g, from, view->config_version))
		call_soon(&fs->config);
	if (pf_version_newer(peer, fs->told_endpoints))
		fs->told_endpoints = peer;
	compare_endpoints(fs);
	if (pf_version_newer(peer, own_endpoints(fs)))
		call_soon(&fs->endpoints);
}

/* Of the feed of the configuration, since its changes must be in force soonest:
 * an answer of the other one tells nothing of them. Others take over at once
 * from a reader whose call has failed. */
pf_ms feeds_store_age(const struct gateway *g, pf_ms now)
{
	const struct feed *f = &g->feeds->config;

	return f->answered_at && !f->unavailable ? now - f->answered_at
						 : STORE_AGE_UNKNOWN_MS;
}

bool feeds_config_away(const struct gateway *g)
{
	return g->feeds->config.unavailable;
}

/* Cuts short an interval that was set while other gateways were readers. */
static void call_if_overdue(struct feed *f, pf_ms now, pf_ms interval)
{
	if (!f->call && !f->unavailable && !f->full_read &&
	    now - f->answered_at >= interval)
		schedule_call(f, 0);
}

void feeds_poll_if_overdue(struct gateway *g)
{
	struct feeds *fs = g->feeds;
	pf_ms now = pf_clock_now();

	if (members_hear_nobody(g) &&
	    now - fs->endpoints.answered_at > CONFIRM_INTERVAL_MS)
		call_soon(&fs->endpoints);
	compare_endpoints(fs);
	if (members_is_store_reader(g)) {
		call_if_overdue(&fs->config, now,
				fs->config.interval + READER_MARGIN_MS);
		call_if_overdue(&fs->endpoints, now,
				fs->endpoints.interval + READER_MARGIN_MS);
	} else if (!members_have_store_readers(g)) {
		call_if_overdue(&fs->config, now, UNNOTIFIED_INTERVAL_MS);
		call_if_overdue(&fs->endpoints, now, UNNOTIFIED_INTERVAL_MS);
	}
}

/* The next page begins with the last row of this one. Returns 0 or -1. */
static int set_next_page(struct feed *f, const struct pf_store_answer *a)
{
	free(f->next_page_key);
	f->next_page_key = pf_str_dup(a->rows[a->n - 1].key);
	return f->next_page_key ? 0 : -1;
}

static void on_page(void *ctx, const struct pf_store_answer *a)
{
	struct feed *f = end_call(ctx);
	size_t i;

	if (!f)
		return;
	if (a->status != PF_STORE_OK) {
		on_call_failed(f, a->status);
		return;
	}
	on_call_answered(f);
	if (!f->next_page_key)
		f->read_revision = a->revision;
	for (i = 0; i < a->n; i++)
		f->on_row(f->feeds->gateway, &a->rows[i]);
	/* A single row only repeats the last page: the end. */
	if (a->more && a->n > 1 && set_next_page(f, a) == 0) {
		schedule_call(f, 0);
		return;
	}
	free(f->next_page_key);
	f->next_page_key = NULL;
	f->full_read = false;
	f->cursor = f->read_revision;
	if (f->on_read_done)
		f->on_read_done(f);
	compare_endpoints(f->feeds);
	schedule_call(f, 0);
}

static void send_call(struct feed *f)
{
	struct pf_store *s = f->feeds->gateway->store;
	struct feed_call *c = take_call(f);
	int ret = -1;

	if (f->call)
		return;
	if (c && f->full_read)
		ret = pf_store_read(s, f->table, PF_STR(""),
				    pf_str_c(f->next_page_key), PF_STR(""),
				    READ_PAGE_ROWS, on_page, c);
	else if (c)
		ret = pf_store_feed(s, f->table, f->cursor, f->wait, on_feed,
				    c);
	if (ret == 0)
		f->call = mark_sent(f, c);
	f->call_sent_at = pf_clock_now();
	if (ret < 0)
		on_call_failed(f, PF_STORE_REFUSED);
}

int feeds_read_config(struct gateway *g, struct pf_str value)
{
	const struct platform_config in_force = { .routes = g->routes,
						  .keys = g->keys };
	struct platform_config c;
	const char *why;

	if (platform_decode_config(value, &g->key_seeds, &in_force, &c, &why) <
	    0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "configuration_unreadable",
		       PF_KV_STR("why", why));
		return -1;
	}
	if (gateway_set_config(g, &c) < 0)
		return -1;
	config_in_force(g, value);
	return 0;
}

static void on_config(struct gateway *g, const struct pf_store_row *row)
{
	if (pf_str_eq(row->key, platform_config_place.key) && !row->deleted)
		(void)feeds_read_config(g, row->value);
}

/*
 * When to remove an endpoint whose row disappeared. Rows may expire while the
 * store is unavailable, or be missing in a copy, though their endpoints run.
 */
static pf_ms row_removal_time(const struct feeds *fs)
{
	const struct feed *f = &fs->endpoints;

	return f->recovered_at ? f->recovered_at + ROW_REWRITE_GRACE_MS : 0;
}

static void on_endpoint(struct gateway *g, const struct pf_store_row *row)
{
	struct feeds *fs = g->feeds;
	struct endpoint *e;

	if (!row->deleted)
		endpoint_update(g, row->key, row->value, row->revision);
	e = endpoint_find(g, pf_id(row->key));
	if (!e)
		return;
	e->seen_in_read = fs->endpoints.read_number;
	if (row->deleted && row->revision > e->revision)
		endpoint_row_deleted(e, row->revision, row_removal_time(fs));
}

/* Removes the endpoints whose rows were not among all rows. */
static void on_endpoints_read(struct feed *f)
{
	struct gateway *g = f->feeds->gateway;
	struct endpoint *e;

	LIST_FOREACH(e, &g->endpoints, next)
	{
		if (!e->removed && !e->remove_at &&
		    e->seen_in_read != f->read_number)
			endpoint_row_deleted(e, f->read_revision,
					     row_removal_time(f->feeds));
	}
	versions_endpoints_read(g);
}

/*
 * Revisions of the old copy mean nothing in the new one. Calls in flight are
 * abandoned: a feed from a revision that is given out again misses changes.
 */
static void restart_feed(struct feed *f)
{
	abandon_calls(f);
	f->cursor = 0;
	f->recovered_at = pf_clock_now();
	start_full_read(f);
}

static void on_store_restored(void *ctx, int64_t old_era, int64_t era)
{
	struct gateway *g = ctx;

	(void)old_era;
	(void)era;
	restart_feed(&g->feeds->config);
	restart_feed(&g->feeds->endpoints);
	endpoints_on_restore(g, row_removal_time(g->feeds));
	members_on_restore(g);
	streams_on_restore(g);
	versions_on_restore(g);
}

static int feed_start(struct feeds *fs, struct feed *f)
{
	f->feeds = fs;
	f->timer = event_new(fs->gateway->base, -1, 0, on_timer, f);
	if (!f->timer)
		return -1;
	start_full_read(f);
	return 0;
}

int feeds_start(struct gateway *g)
{
	struct pf_store_opts so = {
		.base = g->base,
		.addr = g->settings.common.platform,
		.calls_max = CALLS_MAX,
		.timeout = CALL_TIMEOUT_MS,
		.body_max = ANSWER_BYTES_MAX,
		.log = &g->log,
		.on_restore = on_store_restored,
		.ctx = g,
	};
	struct feeds *fs = calloc(1, sizeof(*fs));

	g->feeds = fs;
	g->store = pf_store_new(&so);
	if (!fs || !g->store)
		return -1;
	fs->gateway = g;
	pf_rng_seed(&fs->rng, g->self);
	fs->config.table = platform_config_place.table;
	fs->config.on_row = on_config;
	fs->config.interval = CONFIG_INTERVAL_MS;
	fs->config.wait = CONFIG_WAIT_MS;
	fs->endpoints.table = platform_endpoints_place.table;
	fs->endpoints.on_row = on_endpoint;
	fs->endpoints.on_read_done = on_endpoints_read;
	fs->endpoints.interval = ENDPOINTS_INTERVAL_MS;
	fs->endpoints.wait = ENDPOINTS_WAIT_MS;
	fs->told_endpoints.era = PF_ERA_UNKNOWN;
	return feed_start(fs, &fs->config) < 0 ? -1
					       : feed_start(fs, &fs->endpoints);
}

static void feed_stop(struct feed *f)
{
	if (f->timer)
		event_free(f->timer);
	free(f->next_page_key);
}

void feeds_stop(struct gateway *g)
{
	pf_store_free(g->store);
	if (!g->feeds)
		return;
	feed_stop(&g->feeds->config);
	feed_stop(&g->feeds->endpoints);
	free(g->feeds);
}
