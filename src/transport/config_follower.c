/* Runs the spread core on the event loop, sessions and the table. */
#include "pimentoford/config_follower.h"

#include "pimentoford/clock.h"
#include "pimentoford/rows.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_ROWS 500
/* Attempts to read a consistent set while commits change it. */
#define SET_ATTEMPTS_MAX 3

/* A read of the table, requested by the core. */
struct table_read {
	enum pf_spread_act_type type;
	uint64_t seq; /* of the core's request */
	uint64_t after; /* READ_CHANGES: revision before the first change */
	uint64_t revision; /* READ_CHANGES: the last change; READ_SET: head */
};

struct pf_config_follower {
	struct pf_config_follower_opts opts;
	struct pf_spread *core;
	struct event *timer;
	struct table_read current; /* in flight or last answered */
	struct table_read pending; /* requested later; seq 0: none */
	bool in_flight; /* a request to the table is in flight */
	struct pf_records set; /* records read so far */
	bool confirming; /* set complete; checking that the head is the same */
	uint32_t set_attempts;
	char last_key[PF_ROW_KEY_MAX + 1];
	struct pf_config *built_config; /* for `adopt` after the step */
	const struct pf_records *built_set; /* of built_config; borrowed */
};

static void start_read(struct pf_config_follower *f);

static void arm_timer(struct pf_config_follower *f)
{
	pf_ms wait = pf_spread_next(f->core) - pf_clock_now();
	struct timeval tv;

	if (wait < 1)
		wait = 1;
	tv = pf_clock_timeval(wait);
	event_add(f->timer, &tv);
}

static void send_act(struct pf_config_follower *f,
		     const struct pf_spread_act *a)
{
	struct pf_wire_msg m = { 0 };

	if (a->type == PF_SPREAD_SEND_HEAD) {
		m.type = PF_WIRE_CONFIG_HEAD;
		m.u.config.revision = a->u.head.revision;
		m.u.config.region = a->u.head.region;
		m.u.config.age = a->u.head.table_age;
	} else if (a->type == PF_SPREAD_SEND_PULL) {
		m.type = PF_WIRE_CONFIG_PULL;
		m.u.config.revision = a->u.revision;
	} else {
		m.type = PF_WIRE_CONFIG;
		m.u.config.revision = a->u.config.revision;
		m.u.config.base = a->u.config.base;
		m.u.config.digest = a->u.config.digest;
		m.u.config.text = a->u.config.text;
	}
	f->opts.send(f->opts.ctx, a->peer, &m);
}

static void build_config(struct pf_config_follower *f,
			 const struct pf_spread_act *a)
{
	struct pf_findings found = { 0 };
	struct pf_config *c = NULL;

	if (pf_records_build(a->u.adopt.set, a->u.adopt.revision, &found, &c) <
	    0) {
		f->opts.refused(f->opts.ctx, a->u.adopt.revision, &found);
	} else {
		pf_config_free(f->built_config);
		f->built_config = c;
		f->built_set = a->u.adopt.set;
	}
	pf_findings_clear(&found);
}

static void queue_read(struct pf_config_follower *f,
		       const struct pf_spread_act *a)
{
	f->pending = (struct table_read){ .type = a->type, .seq = a->seq };
	if (a->type == PF_SPREAD_READ_CHANGES) {
		f->pending.after = a->u.changes.after;
		f->pending.revision = a->u.changes.revision;
	}
}

static void on_act(void *ctx, const struct pf_spread_act *a)
{
	struct pf_config_follower *f = ctx;

	switch (a->type) {
	case PF_SPREAD_SEND_HEAD:
	case PF_SPREAD_SEND_PULL:
	case PF_SPREAD_SEND_CONFIG:
		send_act(f, a);
		break;
	case PF_SPREAD_READ_HEAD:
	case PF_SPREAD_READ_CHANGES:
	case PF_SPREAD_READ_SET:
		queue_read(f, a);
		break;
	case PF_SPREAD_ADOPT:
		build_config(f, a);
		break;
	}
}

/* Callbacks may reenter the follower, so they run after the core's step. */
static void step_core(struct pf_config_follower *f,
		      const struct pf_spread_msg *m)
{
	struct pf_spread_sink sink = { on_act, f };
	struct pf_config *c;

	pf_spread_step(f->core, pf_clock_now(), m, &sink);
	arm_timer(f);
	c = f->built_config;
	f->built_config = NULL;
	if (c)
		f->opts.adopt(f->opts.ctx, c, f->built_set);
	if (f->pending.seq && !f->in_flight)
		start_read(f);
}

static void fail_read(struct pf_config_follower *f)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_TABLE_HEAD,
				   .seq = f->current.seq };

	pf_records_free(&f->set);
	m.u.table.status = PF_TABLE_UNKNOWN;
	step_core(f, &m);
}

/* Whether a newer request of the core replaced the current read; starts it. */
static bool superseded(struct pf_config_follower *f)
{
	f->in_flight = false;
	if (!f->pending.seq)
		return false;
	pf_records_free(&f->set);
	start_read(f);
	return true;
}

static void read_page(struct pf_config_follower *f);
static void read_head(struct pf_config_follower *f);

static void deliver_set(struct pf_config_follower *f)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_TABLE_SET,
				   .seq = f->current.seq };

	m.u.table.status = PF_TABLE_OK;
	m.u.table.revision = f->current.revision;
	m.u.table.set = &f->set;
	step_core(f, &m);
	if (!f->in_flight)
		pf_records_free(&f->set);
}

/* The set is consistent if the head is the same before and after reading. */
static void on_set_head(struct pf_config_follower *f, uint64_t revision)
{
	if (f->confirming && revision == f->current.revision) {
		deliver_set(f);
		return;
	}
	if (f->set_attempts++ >= SET_ATTEMPTS_MAX) {
		fail_read(f);
		return;
	}
	pf_records_free(&f->set);
	f->confirming = false;
	f->current.revision = revision;
	f->last_key[0] = '\0';
	read_page(f);
}

static void on_head(void *ctx, const struct pf_table_rows *rows)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_TABLE_HEAD };
	struct pf_config_follower *f = ctx;
	struct pf_head head = { 0 };

	if (superseded(f))
		return;
	if (rows->status != PF_TABLE_OK ||
	    (rows->n > 0 &&
	     pf_row_head_parse(rows->rows[0].value, &head) < 0)) {
		fail_read(f);
		return;
	}
	if (f->current.type == PF_SPREAD_READ_SET) {
		on_set_head(f, head.revision);
		return;
	}
	m.seq = f->current.seq;
	m.u.table.status = PF_TABLE_OK;
	m.u.table.revision = head.revision;
	step_core(f, &m);
}

static void read_head(struct pf_config_follower *f)
{
	f->in_flight = true;
	if (pf_table_get(f->opts.table, PF_STR(PF_ROW_HEAD), on_head, f) == 0)
		return;
	f->in_flight = false;
	fail_read(f);
}

static int add_row(struct pf_config_follower *f, const struct pf_table_row *row)
{
	struct pf_record rec = { 0 };
	int rc = 0;

	if (row->key.n >= sizeof(f->last_key) ||
	    pf_row_record_parse(row, &rec) < 0)
		return -1;
	memcpy(f->last_key, row->key.p, row->key.n);
	f->last_key[row->key.n] = '\0';
	/* An empty text is a tombstone. */
	if (rec.text && rec.text[0])
		rc = pf_records_put(&f->set, &rec);
	pf_record_clear(&rec);
	return rc;
}

static void on_page(void *ctx, const struct pf_table_rows *rows)
{
	struct pf_config_follower *f = ctx;

	if (superseded(f))
		return;
	if (rows->status != PF_TABLE_OK) {
		fail_read(f);
		return;
	}
	for (size_t i = 0; i < rows->n; i++) {
		if (add_row(f, &rows->rows[i]) < 0) {
			fail_read(f);
			return;
		}
	}
	f->confirming = rows->n < PAGE_ROWS;
	if (f->confirming)
		read_head(f);
	else
		read_page(f);
}

static void read_page(struct pf_config_follower *f)
{
	f->in_flight = true;
	if (pf_table_scan(f->opts.table, PF_STR(PF_ROW_RECORDS),
			  pf_str_c(f->last_key), PAGE_ROWS, on_page, f) == 0)
		return;
	f->in_flight = false;
	fail_read(f);
}

static void on_changes(void *ctx, const struct pf_table_rows *rows)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_TABLE_CHANGES };
	struct pf_config_follower *f = ctx;

	if (superseded(f))
		return;
	if (rows->status != PF_TABLE_OK) {
		fail_read(f);
		return;
	}
	m.seq = f->current.seq;
	m.u.table.status = PF_TABLE_OK;
	m.u.table.rows = rows->rows;
	m.u.table.n_rows = rows->n;
	step_core(f, &m);
}

static void read_changes(struct pf_config_follower *f)
{
	char key[PF_ROW_KEY_MAX];

	f->in_flight = true;
	if (pf_table_scan(f->opts.table, PF_STR(PF_ROW_AUDITS),
			  pf_row_audit_key(key, f->current.after),
			  (uint32_t)(f->current.revision - f->current.after),
			  on_changes, f) == 0)
		return;
	f->in_flight = false;
	fail_read(f);
}

static void start_read(struct pf_config_follower *f)
{
	f->current = f->pending;
	f->pending.seq = 0;
	f->confirming = false;
	f->set_attempts = 0;
	if (f->current.type == PF_SPREAD_READ_CHANGES)
		read_changes(f);
	else
		read_head(f);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_TICK };

	(void)fd;
	(void)what;
	step_core(ctx, &m);
}

struct pf_config_follower *
pf_config_follower_new(const struct pf_config_follower_opts *o)
{
	struct pf_config_follower *f = calloc(1, sizeof(*f));
	struct pf_spread_msg m = { .type = PF_SPREAD_TICK };

	if (!f)
		return NULL;
	f->opts = *o;
	f->core = pf_spread_new(&o->core, pf_clock_now());
	f->timer = evtimer_new(o->base, on_timer, f);
	if (!f->core || !f->timer) {
		pf_config_follower_free(f);
		return NULL;
	}
	step_core(f, &m);
	return f;
}

void pf_config_follower_free(struct pf_config_follower *f)
{
	if (!f)
		return;
	pf_spread_free(f->core);
	if (f->timer)
		event_free(f->timer);
	pf_records_free(&f->set);
	pf_config_free(f->built_config);
	free(f);
}

void pf_config_follower_peer_up(struct pf_config_follower *f, uint64_t peer,
				bool entry)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_PEER_UP, .peer = peer };

	m.u.is_entry = entry;
	if (f)
		step_core(f, &m);
}

void pf_config_follower_peer_down(struct pf_config_follower *f, uint64_t peer)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_PEER_DOWN, .peer = peer };

	if (f)
		step_core(f, &m);
}

void pf_config_follower_message(struct pf_config_follower *f, uint64_t peer,
				const struct pf_wire_msg *w)
{
	struct pf_spread_msg m = { .peer = peer };

	switch (w->type) {
	case PF_WIRE_CONFIG_HEAD:
		m.type = PF_SPREAD_HEAD;
		m.u.head.revision = w->u.config.revision;
		m.u.head.region = w->u.config.region;
		m.u.head.table_age = w->u.config.age;
		break;
	case PF_WIRE_CONFIG_PULL:
		m.type = PF_SPREAD_PULL;
		m.u.revision = w->u.config.revision;
		break;
	case PF_WIRE_CONFIG:
		m.type = PF_SPREAD_CONFIG;
		m.u.config.base = w->u.config.base;
		m.u.config.revision = w->u.config.revision;
		m.u.config.digest = w->u.config.digest;
		m.u.config.text = w->u.config.text;
		break;
	default:
		return;
	}
	if (f)
		step_core(f, &m);
}

void pf_config_follower_committed(struct pf_config_follower *f,
				  uint64_t revision)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_COMMITTED };

	m.u.revision = revision;
	if (f)
		step_core(f, &m);
}

void pf_config_follower_stats(const struct pf_config_follower *f,
			      struct pf_spread_stats *s)
{
	pf_spread_stats(f->core, s);
}
