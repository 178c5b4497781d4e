/*
 * Follows the configuration and the endpoints' entries in the store: a full
 * read at the start and when the history is gone, then paced feeds.
 */
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

#define PAGE 500
/* A feed answers at once when there is a change, or after this. Short enough
 * that a connection that fell silent is noticed in time. */
#define WAIT_MS 2500
/* Between two calls of a feed: what changes meanwhile comes in one answer.
 * Loaders tell sooner what an endpoint holds and that it leaves. */
#define PACE_CONFIG_MS 250
#define PACE_ENDPOINTS_MS 1000
/* Where others follow closely and tell when there is something to read, as
 * long as the store answers them; and else. */
#define PACE_TOLD_MS 12000
#define PACE_RELAXED_MS 3000
/* A call in flight for so long does not see what is news: it may be silent. */
#define NEWS_MS 300
#define RETRY_MIN_MS 150
#define RETRY_SPAN_MS 250
/* The span grows with each failure in a row, up to so many. */
#define RETRY_GROWS 5
#define TIMEOUT_MS 900
#define CALLS_MAX 16
#define BODY_MAX ((size_t)4 << 20)
/* Since the store answered, when it never did. */
#define AGE_UNKNOWN_MS 3600000
/* Endpoints whose entries lapsed with the store away are back by then. */
#define RETURN_MS 2200

struct feed {
	struct follow *f;
	struct pf_str table;
	pf_ms pace;
	void (*row)(struct gateway *g, const struct pf_store_row *row);
	void (*read_over)(struct feed *d);
	struct event *timer;
	bool asking; /* a call of the feed is in flight */
	pf_ms asked_at;
	bool extra; /* one beside it, for news, is in flight */
	pf_ms extra_at;
	bool full; /* a full read is due or under way */
	char *page; /* key at which the next page begins; NULL: the first */
	uint64_t after;
	uint64_t read_at; /* revision of the first page */
	pf_ms ended_at; /* the last call was answered */
	uint32_t failures; /* calls in a row */
	bool away; /* the last call failed */
	pf_ms back_at; /* the store answered again */
	uint64_t mark; /* of the full read under way */
};

struct follow {
	struct gateway *g;
	struct feed config;
	struct feed endpoints;
	struct pf_rng rng;
};

static void run(struct feed *d);

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	run(ctx);
}

static void after(struct feed *d, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(d->timer, &tv);
}

static void failed(struct feed *d, enum pf_store_status status)
{
	struct follow *f = d->f;
	pf_ms span;

	if (!d->away)
		PF_LOG(&f->g->log, PF_LOG_WARN, "store_away",
		       PF_KV_TEXT("table", d->table),
		       PF_KV_INT("status", status));
	d->away = true;
	/* Without a configuration nothing can be served. */
	span = f->g->routes ? RETRY_SPAN_MS * (1 + d->failures) : RETRY_SPAN_MS;
	if (d->failures < RETRY_GROWS)
		d->failures++;
	after(d, RETRY_MIN_MS + pf_rng_below(&f->rng, (uint32_t)span));
}

static void answers(struct feed *d)
{
	d->ended_at = pf_clock_now();
	d->failures = 0;
	if (!d->away)
		return;
	d->away = false;
	d->back_at = pf_clock_now();
	PF_LOG(&d->f->g->log, PF_LOG_INFO, "store_back",
	       PF_KV_TEXT("table", d->table));
}

static void take_rows(struct feed *d, const struct pf_store_answer *a)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		d->row(d->f->g, &a->rows[i]);
	if (a->revision > d->after)
		d->after = a->revision;
}

/* How long to wait until the next call. */
static pf_ms pace_of(const struct feed *d, bool rows)
{
	if (talk_follows_closely(d->f->g))
		return rows ? d->pace : 0;
	return talk_others_follow(d->f->g) ? PACE_TOLD_MS : PACE_RELAXED_MS;
}

static void on_feed(void *ctx, const struct pf_store_answer *a)
{
	struct feed *d = ctx;

	d->asking = false;
	if (a->status == PF_STORE_TRIMMED) {
		PF_LOG(&d->f->g->log, PF_LOG_INFO, "history_gone",
		       PF_KV_TEXT("table", d->table),
		       PF_KV_INT("after", d->after));
		answers(d);
		d->full = true;
		after(d, 0);
		return;
	}
	if (a->status != PF_STORE_OK) {
		failed(d, a->status);
		return;
	}
	answers(d);
	take_rows(d, a);
	after(d, pace_of(d, a->n > 0));
}

static void on_extra(void *ctx, const struct pf_store_answer *a)
{
	struct feed *d = ctx;

	d->extra = false;
	if (a->status == PF_STORE_OK && !d->full)
		take_rows(d, a);
}

/* Another gateway has read what is not known here. */
static void news(struct feed *d)
{
	pf_ms now = pf_clock_now();

	if (d->full || d->extra || now - d->extra_at < NEWS_MS)
		return;
	if (d->asking && now - d->asked_at < NEWS_MS)
		return;
	d->extra_at = now;
	if (!d->asking) {
		after(d, 0);
		return;
	}
	d->extra = pf_store_feed(d->f->g->store, d->table, d->after, 0,
				 on_extra, d) == 0;
}

void follow_news(struct gateway *g, uint64_t config, uint64_t endpoints)
{
	if (config > (g->routes ? g->routes->version : 0))
		news(&g->follow->config);
	if (endpoints > g->follow->endpoints.after)
		news(&g->follow->endpoints);
}

pf_ms follow_age(const struct gateway *g, pf_ms now)
{
	const struct follow *f = g->follow;
	pf_ms at = f->config.ended_at > f->endpoints.ended_at
			   ? f->config.ended_at
			   : f->endpoints.ended_at;

	return at ? now - at : AGE_UNKNOWN_MS;
}

/* The wait at hand was chosen when others followed. */
static void check(struct feed *d, pf_ms now)
{
	if (!d->asking && !d->away && !d->full &&
	    now - d->ended_at >= PACE_RELAXED_MS)
		after(d, 0);
}

void follow_check(struct gateway *g)
{
	pf_ms now = pf_clock_now();

	if (talk_follows_closely(g) || talk_others_follow(g))
		return;
	check(&g->follow->config, now);
	check(&g->follow->endpoints, now);
}

/* The key of the last row, at which the next page begins. */
static int next_page(struct feed *d, const struct pf_store_answer *a)
{
	free(d->page);
	d->page = pf_str_dup(a->rows[a->n - 1].key);
	return d->page ? 0 : -1;
}

static void on_page(void *ctx, const struct pf_store_answer *a)
{
	struct feed *d = ctx;
	size_t i;

	d->asking = false;
	if (a->status != PF_STORE_OK) {
		failed(d, a->status);
		return;
	}
	answers(d);
	if (!d->page)
		d->read_at = a->revision;
	for (i = 0; i < a->n; i++)
		d->row(d->f->g, &a->rows[i]);
	/* A page of one row repeats the one before it: the end. */
	if (a->more && a->n > 1 && next_page(d, a) == 0) {
		after(d, 0);
		return;
	}
	free(d->page);
	d->page = NULL;
	d->full = false;
	d->after = d->read_at;
	if (d->read_over)
		d->read_over(d);
	after(d, 0);
}

static void run(struct feed *d)
{
	struct pf_store *s = d->f->g->store;
	int ret;

	if (d->asking)
		return;

	if (d->full)
		ret = pf_store_read(s, d->table, PF_STR(""), pf_str_c(d->page),
				    PF_STR(""), PAGE, on_page, d);
	else
		ret = pf_store_feed(s, d->table, d->after, WAIT_MS, on_feed, d);
	d->asking = ret == 0;
	d->asked_at = pf_clock_now();
	if (ret < 0)
		failed(d, PF_STORE_REFUSED);
}

static void on_config(struct gateway *g, const struct pf_store_row *row)
{
	struct pf_routes *r;
	const char *why;

	if (!pf_str_eq(row->key, platform_config_place.key) || row->deleted)
		return;
	r = platform_routes(row->value, &why);
	if (!r) {
		PF_LOG(&g->log, PF_LOG_ERROR, "configuration_unreadable",
		       PF_KV_STR("why", why),
		       PF_KV_INT("revision", row->revision));
		return;
	}
	gateway_adopt(g, r);
}

/* When to believe that a vanished entry means a gone endpoint. */
static pf_ms lapse_of(const struct follow *f)
{
	const struct feed *d = &f->endpoints;

	return d->back_at ? d->back_at + RETURN_MS : 0;
}

static void on_endpoint(struct gateway *g, const struct pf_store_row *row)
{
	struct follow *f = g->follow;
	struct target *t;

	if (!row->deleted)
		target_listed(g, row->key, row->value, row->revision);
	t = target_find(g, pf_id(row->key));
	if (!t)
		return;
	t->mark = f->endpoints.mark;
	if (row->deleted && row->revision > t->revision)
		target_unlisted(t, row->revision, lapse_of(f));
}

/* What the full read did not show is gone. */
static void endpoints_read(struct feed *d)
{
	struct gateway *g = d->f->g;
	struct target *t;

	LIST_FOREACH(t, &g->targets, next)
	{
		if (!t->gone && !t->lapsed && t->mark != d->mark)
			target_unlisted(t, d->read_at, lapse_of(d->f));
	}
	d->mark++;
}

static int feed_start(struct follow *f, struct feed *d)
{
	d->f = f;
	d->full = true;
	d->mark = 1;
	d->timer = event_new(f->g->base, -1, 0, on_timer, d);
	if (!d->timer)
		return -1;
	after(d, 0);
	return 0;
}

int follow_start(struct gateway *g)
{
	struct pf_store_opts so = {
		.base = g->base,
		.addr = g->set.common.platform,
		.calls_max = CALLS_MAX,
		.timeout = TIMEOUT_MS,
		.body_max = BODY_MAX,
	};
	struct follow *f = calloc(1, sizeof(*f));

	g->follow = f;
	g->store = pf_store_new(&so);
	if (!f || !g->store)
		return -1;
	f->g = g;
	pf_rng_seed(&f->rng, g->self);
	f->config.table = platform_config_place.table;
	f->config.row = on_config;
	f->config.pace = PACE_CONFIG_MS;
	f->endpoints.table = platform_endpoints_place.table;
	f->endpoints.row = on_endpoint;
	f->endpoints.read_over = endpoints_read;
	f->endpoints.pace = PACE_ENDPOINTS_MS;
	return feed_start(f, &f->config) < 0 ? -1
					     : feed_start(f, &f->endpoints);
}

static void feed_stop(struct feed *d)
{
	if (d->timer)
		event_free(d->timer);
	free(d->page);
}

void follow_stop(struct gateway *g)
{
	pf_store_free(g->store);
	if (!g->follow)
		return;
	feed_stop(&g->follow->config);
	feed_stop(&g->follow->endpoints);
	free(g->follow);
}
