/*
 * Which other gateways there are: each writes its address and zone in a row
 * of the store, and reads the rows of all.
 */
#include "talk_core.h"

#include <stdlib.h>
#include <string.h>

#define TABLE "pimentoford"
#define PART "gateways"
/* Work at an endpoint is told to those that are likely to use it, too: often
 * within the zone, less often within the region and beyond, where each byte
 * is paid for. */
#define DIGEST_REGION_MS 240
#define DIGEST_FAR_MS 720
/* So many gateways of a region follow the store closely; the others hear
 * from them when there is something to read. */
#define READERS 3
/* They count while the store answers them: a feed without news takes 2.5 s. */
#define STORE_FRESH_MS 3000
#define FRESH_MIN 2
/* A gateway that was not heard for so long does not count. */
#define MEMBER_SILENT_MS 2000
/* Rows are read again so often: gateways that came tell the others, and one
 * that was not known is a reason to read at once. */
#define MEMBERS_EVERY_MS 20000
#define MEMBERS_RETRY_MS 500

static void read_later(struct talk *t, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(t->members_timer, &tv);
}

/* A gateway whose row was not read yet. */
static void add_unknown(struct talk *t, const struct sockaddr_in *from,
			uint64_t id)
{
	struct member *m = &t->members[t->n_members];

	if (t->n_members >= MEMBERS_MAX)
		return;
	*m = (struct member){ .addr = *from,
			      .id = id,
			      .heard_at = pf_clock_now(),
			      .every = DIGEST_FAR_MS };
	t->n_members++;
	read_later(t, MEMBERS_RETRY_MS);
}

void members_heard(struct talk *t, const struct sockaddr_in *from, uint64_t id,
		   pf_ms store_age)
{
	uint32_t i;

	for (i = 0; i < t->n_members; i++) {
		struct member *m = &t->members[i];

		if (!pf_talk_same_addr(&m->addr, from))
			continue;
		/* One that has started anew was told nothing. */
		if (m->id && m->id != id)
			m->told = (struct pf_gate_peer_cursor){ m->told.region,
								0, 0 };
		m->id = id;
		m->heard_at = pf_clock_now();
		m->store_at = m->heard_at - store_age;
		return;
	}
	add_unknown(t, from, id);
}

bool members_alive(const struct member *m, pf_ms now)
{
	return m->id && now - m->heard_at < MEMBER_SILENT_MS;
}

static bool near(const struct talk *t, const struct member *m)
{
	return m->told.region == pf_id(pf_str_c(t->g->set.common.region));
}

bool talk_follows_closely(const struct gateway *g)
{
	const struct talk *t = g->talk;
	pf_ms now = pf_clock_now();
	uint32_t lower = 0;
	uint32_t i;

	for (i = 0; i < t->n_members; i++) {
		const struct member *m = &t->members[i];

		lower += near(t, m) && members_alive(m, now) && m->id < g->self;
	}
	return lower < READERS;
}

bool talk_others_follow(const struct gateway *g)
{
	const struct talk *t = g->talk;
	pf_ms now = pf_clock_now();
	uint32_t fresh = 0;
	uint32_t i;

	for (i = 0; i < t->n_members; i++) {
		const struct member *m = &t->members[i];

		fresh += near(t, m) && members_alive(m, now) && m->store_at &&
			 now - m->store_at < STORE_FRESH_MS;
	}
	return fresh >= FRESH_MIN;
}

/* What is known of a member whose row is read again is kept. */
static void keep_known(struct member *m, const struct member *old, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (!pf_talk_same_addr(&old[i].addr, &m->addr))
			continue;
		m->id = old[i].id;
		m->heard_at = old[i].heard_at;
		m->told_at = old[i].told_at;
		m->told.prefixes = old[i].told.prefixes;
		m->told.crashes = old[i].told.crashes;
		m->store_at = old[i].store_at;
	}
}

/* IP:PORT ZONE */
static void add_member(struct talk *t, struct pf_str row,
		       const struct member *old, uint32_t n_old)
{
	struct member *m = &t->members[t->n_members];
	uint64_t here = pf_id(pf_str_c(t->g->set.common.zone));
	char *s = pf_str_dup(row);
	char *space = s ? strchr(s, ' ') : NULL;
	uint64_t zone;

	if (!space || t->n_members >= MEMBERS_MAX)
		goto out;
	*space = '\0';
	memset(m, 0, sizeof(*m));
	if (strcmp(s, t->g->set.talk) == 0 || pf_talk_addr(s, &m->addr) < 0)
		goto out;
	zone = pf_id(pf_str_c(space + 1));
	m->told.region = talk_region_of(t->g, zone);
	m->every = zone == here ? 0
		   : near(t, m) ? DIGEST_REGION_MS
				: DIGEST_FAR_MS;
	keep_known(m, old, n_old);
	t->n_members++;
out:
	free(s);
}

static void on_members(void *ctx, const struct pf_store_answer *a)
{
	struct pf_plan_msg known = { .type = PF_PLAN_MEMBERS_READ };
	struct member old[MEMBERS_MAX];
	struct talk *t = ctx;
	uint32_t n_old = t->n_members;
	size_t i;

	if (a->status != PF_STORE_OK) {
		read_later(t, MEMBERS_RETRY_MS);
		return;
	}
	memcpy(old, t->members, n_old * sizeof(*old));
	t->n_members = 0;
	for (i = 0; i < a->n; i++)
		add_member(t, a->rows[i].value, old, n_old);
	talk_plan_step(t, &known);
	read_later(t, MEMBERS_EVERY_MS);
}

static void on_written(void *ctx, const struct pf_store_answer *a)
{
	struct talk *t = ctx;

	t->written = a->status == PF_STORE_OK;
	read_later(t, t->written ? 0 : MEMBERS_RETRY_MS);
}

/* Writes this gateway's row, then reads all of them. */
static void on_members_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct talk *t = ctx;
	struct gateway *g = t->g;
	struct pf_store_put put = {
		.place = { PF_STR(TABLE), PF_STR(PART),
			   pf_str_c(g->set.common.name) },
	};
	struct pf_store_txn txn = { .puts = &put, .n_puts = 1 };
	struct pf_text row = { 0 };
	int ret = -1;

	(void)fd;
	(void)what;
	pf_text_printf(&row, "%s %s", g->set.talk, g->set.common.zone);
	put.value = pf_text_str(&row);
	if (!t->written && !row.failed)
		ret = pf_store_commit(g->store, &txn, on_written, t);
	else if (t->written)
		ret = pf_store_read(g->store, PF_STR(TABLE), PF_STR(PART),
				    PF_STR(""), PF_STR(""), MEMBERS_MAX,
				    on_members, t);
	pf_text_free(&row);
	if (ret < 0)
		read_later(t, MEMBERS_RETRY_MS);
}

int members_start(struct talk *t)
{
	t->members_timer = event_new(t->g->base, -1, 0, on_members_timer, t);
	if (!t->members_timer)
		return -1;
	read_later(t, 0);
	return 0;
}

void members_stop(struct talk *t)
{
	if (t->members_timer)
		event_free(t->members_timer);
}
