/*
 * The other gateways. Each gateway writes its address and zone to a row of the
 * store and reads the rows of all, page by page.
 */
#include "talk_core.h"

#include "pimentoford/store_readers.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_TABLE "pimentoford"
#define MEMBERS_PART "gateways"
/* Digests go to gateways of the same zone with each tick, less often to others:
 * they rarely use the same endpoints, and far traffic is paid by the byte. */
#define REGION_DIGEST_INTERVAL_MS 240
#define REMOTE_DIGEST_INTERVAL_MS 720
#define FRESH_MEMBERS_MIN 2
#define MEMBERS_PAGE_ROWS 500
/* Gateways without a row are not added beyond this many in all. */
#define UNKNOWN_MAX 4096
/* A gateway without a digest for this long counts as down. */
#define MEMBER_TIMEOUT_MS 2000
/* Even between regions, one of several digests comes within this time. */
#define HEARD_MS 1000
/* New gateways need no short interval: a digest from an unknown one triggers a
 * read. */
#define MEMBERS_READ_INTERVAL_MS 20000
#define MEMBERS_RETRY_INTERVAL_MS 500
/* While a gateway that sends digests has no row. */
#define MEMBERS_MISSING_INTERVAL_MS 3000
/* Spreads the writes of all gateways after a restore of the store. */
#define REWRITE_JITTER_MS 1000

static void schedule_members_timer(struct talk *t, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(t->members_timer, &tv);
}

static void list_clear(struct member_list *l)
{
	free(l->v);
	*l = (struct member_list){ 0 };
}

/* Returns 0, or -1 without memory. */
static int list_add(struct member_list *l, const struct member *m)
{
	uint32_t cap = l->cap ? 2 * l->cap : 16;
	struct member *v = l->v;

	if (!v || l->n == l->cap) {
		v = realloc(v, cap * sizeof(*v));
		if (!v)
			return -1;
		l->v = v;
		l->cap = cap;
	}
	v[l->n++] = *m;
	return 0;
}

static struct member *list_find(const struct member_list *l,
				const struct sockaddr_in *addr)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		if (pf_talk_same_addr(&l->v[i].addr, addr))
			return &l->v[i];
	}
	return NULL;
}

/* Adds a gateway whose row was not read yet. */
static void add_unknown(struct talk *t, const struct sockaddr_in *from,
			uint64_t id)
{
	struct member m = { .addr = *from,
			    .id = id,
			    .last_seen_at = pf_clock_now(),
			    .digest_interval = REMOTE_DIGEST_INTERVAL_MS };

	if (t->members.n >= UNKNOWN_MAX || list_add(&t->members, &m) < 0)
		return;
	schedule_members_timer(t, MEMBERS_RETRY_INTERVAL_MS);
}

void members_digest_received(struct talk *t, const struct sockaddr_in *from,
			     uint64_t id, pf_ms store_age)
{
	struct member *m = list_find(&t->members, from);

	allowances_member(t->gateway, from, id);
	if (!m) {
		add_unknown(t, from, id);
		return;
	}
	/* It has restarted and lost what it was sent. */
	if (m->id && m->id != id)
		m->digest_cursor = (struct pf_gate_peer_cursor){
			.region = m->digest_cursor.region
		};
	m->id = id;
	m->last_seen_at = pf_clock_now();
	m->store_answered_at = m->last_seen_at - store_age;
}

bool member_is_live(const struct member *m, pf_ms now)
{
	return m->id && now - m->last_seen_at < MEMBER_TIMEOUT_MS;
}

static bool in_own_region(const struct talk *t, const struct member *m)
{
	return m->digest_cursor.region ==
	       pf_id(pf_str_c(t->gateway->settings.common.region));
}

bool members_is_store_reader(const struct gateway *g)
{
	const struct talk *t = g->talk;
	struct pf_store_reader *v = calloc(t->members.n + 1, sizeof(*v));
	pf_ms now = pf_clock_now();
	bool reads = true;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; v && i < t->members.n; i++) {
		const struct member *m = &t->members.v[i];

		if (in_own_region(t, m) && member_is_live(m, now))
			v[n++] = (struct pf_store_reader){
				m->id, now - m->store_answered_at
			};
	}
	/* Without memory, one reader too many does no harm. */
	if (v)
		reads = pf_is_store_reader(g->self, v, n);
	free(v);
	return reads;
}

bool members_have_store_readers(const struct gateway *g)
{
	const struct talk *t = g->talk;
	pf_ms now = pf_clock_now();
	uint32_t n_fresh = 0;
	uint32_t i;

	for (i = 0; i < t->members.n; i++) {
		const struct member *m = &t->members.v[i];

		n_fresh += in_own_region(t, m) && member_is_live(m, now) &&
			   m->store_answered_at &&
			   now - m->store_answered_at < PF_STORE_AGE_FRESH_MS;
	}
	return n_fresh >= FRESH_MEMBERS_MIN;
}

bool members_hear_nobody(const struct gateway *g)
{
	const struct talk *t = g->talk;
	pf_ms now = pf_clock_now();
	uint32_t i;

	for (i = 0; i < t->members.n; i++) {
		if (now - t->members.v[i].last_seen_at < HEARD_MS)
			return false;
	}
	return t->members.n > 0;
}

/* Copies the state of a member that was known before its row was reread. */
static void copy_known_state(struct member *m, const struct member *old)
{
	uint64_t region = m->digest_cursor.region;

	m->id = old->id;
	m->last_seen_at = old->last_seen_at;
	m->digest_sent_at = old->digest_sent_at;
	m->digest_cursor = old->digest_cursor;
	m->digest_cursor.region = region;
	m->store_answered_at = old->store_answered_at;
}

/* Adds the member in @row, which is IP:PORT ZONE. */
static void add_member(struct talk *t, struct pf_str row)
{
	uint64_t own_zone = pf_id(pf_str_c(t->gateway->settings.common.zone));
	struct member m = { .row_known = true };
	char *s = pf_str_dup(row);
	char *space = s ? strchr(s, ' ') : NULL;
	uint64_t zone;

	if (!space)
		goto out;
	*space = '\0';
	if (strcmp(s, t->gateway->settings.datagrams) == 0 ||
	    pf_talk_addr(s, &m.addr) < 0 || list_find(&t->read, &m.addr))
		goto out;
	zone = pf_id(pf_str_c(space + 1));
	m.digest_cursor.region = talk_zone_region(t->gateway, zone);
	m.digest_interval = zone == own_zone       ? 0
			    : in_own_region(t, &m) ? REGION_DIGEST_INTERVAL_MS
						   : REMOTE_DIGEST_INTERVAL_MS;
	(void)list_add(&t->read, &m);
out:
	free(s);
}

/*
 * Replaces the members by those that were read. Keeps gateways that send digests
 * but have no row: the store may have lost it. Returns whether one of them never
 * had a row.
 */
static bool use_read_members(struct talk *t)
{
	struct member_list old = t->members;
	pf_ms now = pf_clock_now();
	bool unknown = false;
	uint32_t i;

	t->members = t->read;
	t->read = (struct member_list){ 0 };
	for (i = 0; i < old.n; i++) {
		struct member *m = list_find(&t->members, &old.v[i].addr);

		if (m) {
			copy_known_state(m, &old.v[i]);
		} else if (member_is_live(&old.v[i], now)) {
			(void)list_add(&t->members, &old.v[i]);
			unknown |= !old.v[i].row_known;
		}
	}
	list_clear(&old);
	for (i = 0; i < t->members.n; i++)
		allowances_member(t->gateway, &t->members.v[i].addr, 0);
	allowances_members_read(t->gateway);
	return unknown;
}

static bool is_own_row(const struct gateway *g, const struct pf_store_row *row)
{
	return pf_str_eq(row->key, pf_str_c(g->settings.common.name));
}

static void end_read(struct talk *t)
{
	free(t->next_page_key);
	t->next_page_key = NULL;
	list_clear(&t->read);
	t->own_row_read = false;
}

/* The next page begins with the last row of this one. Returns 0 or -1. */
static int set_next_page(struct talk *t, const struct pf_store_answer *a)
{
	free(t->next_page_key);
	t->next_page_key = pf_str_dup(a->rows[a->n - 1].key);
	return t->next_page_key ? 0 : -1;
}

static void on_rows_read(void *ctx, const struct pf_store_answer *a)
{
	struct pf_plan_msg members_read = { .type = PF_PLAN_MEMBERS_READ };
	struct pf_gate_msg members = { .type = PF_GATE_MEMBERS };
	struct talk *t = ctx;
	bool unknown;
	size_t i;

	t->reading = false;
	if (a->status != PF_STORE_OK) {
		end_read(t);
		schedule_members_timer(t, MEMBERS_RETRY_INTERVAL_MS);
		return;
	}
	for (i = 0; i < a->n; i++) {
		t->own_row_read |= is_own_row(t->gateway, &a->rows[i]);
		add_member(t, a->rows[i].value);
	}
	if (a->more && a->n > 1 && set_next_page(t, a) == 0) {
		schedule_members_timer(t, 0);
		return;
	}
	unknown = use_read_members(t);
	talk_plan_step(t, &members_read);
	for (i = 0; i < t->members.n; i++)
		members.u.members += t->members.v[i].row_known;
	core_step(t->gateway, &members);
	if (!t->own_row_read)
		t->row_written = false;
	end_read(t);
	schedule_members_timer(t, !t->row_written ? MEMBERS_RETRY_INTERVAL_MS
				  : unknown       ? MEMBERS_MISSING_INTERVAL_MS
						  : MEMBERS_READ_INTERVAL_MS);
}

void members_on_restore(struct gateway *g)
{
	struct talk *t = g->talk;

	t->row_written = false;
	schedule_members_timer(t, pf_rng_below(&t->rng, REWRITE_JITTER_MS));
}

static void on_row_written(void *ctx, const struct pf_store_answer *a)
{
	struct talk *t = ctx;

	t->row_written = a->status == PF_STORE_OK;
	schedule_members_timer(t,
			       t->row_written ? 0 : MEMBERS_RETRY_INTERVAL_MS);
}

/* Writes this gateway's row, or reads all rows once that is done. */
static void on_members_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct talk *t = ctx;
	struct gateway *g = t->gateway;
	struct pf_store_put put = {
		.place = { PF_STR(MEMBERS_TABLE), PF_STR(MEMBERS_PART),
			   pf_str_c(g->settings.common.name) },
	};
	struct pf_store_txn txn = { .puts = &put, .n_puts = 1 };
	struct pf_text row = { 0 };
	int ret = -1;

	(void)fd;
	(void)what;
	pf_text_printf(&row, "%s %s", g->settings.datagrams,
		       g->settings.common.zone);
	put.value = pf_text_str(&row);
	if (!t->row_written && !row.failed)
		ret = pf_store_commit(g->store, &txn, on_row_written, t);
	else if (t->row_written && t->reading)
		ret = 0; /* its answer schedules the next one */
	else if (t->row_written)
		ret = pf_store_read(g->store, PF_STR(MEMBERS_TABLE),
				    PF_STR(MEMBERS_PART),
				    pf_str_c(t->next_page_key), PF_STR(""),
				    MEMBERS_PAGE_ROWS, on_rows_read, t);
	t->reading |= t->row_written && ret == 0;
	pf_text_free(&row);
	if (ret < 0)
		schedule_members_timer(t, MEMBERS_RETRY_INTERVAL_MS);
}

int members_start(struct talk *t)
{
	t->members_timer =
		event_new(t->gateway->base, -1, 0, on_members_timer, t);
	if (!t->members_timer)
		return -1;
	pf_rng_seed(&t->rng, t->gateway->self);
	schedule_members_timer(t, 0);
	return 0;
}

void members_stop(struct talk *t)
{
	if (t->members_timer)
		event_free(t->members_timer);
	end_read(t);
	list_clear(&t->members);
}
