/*
 * Records of which software began a stream: exchanged with other gateways, and
 * kept in a row of the store while a service has several versions.
 */
#include "talk_core.h"

#include "pimentoford/counters.h"
#include "pimentoford/stream_row.h"

#include <stdlib.h>

#define STREAMS_TABLE "pimentoford"
#define STREAMS_PART "streams"
#define WRITE_INTERVAL_MS 300
/* All gateways together write this often at most, whatever their number. */
#define WRITES_PER_S_MAX 100
#define RETRY_INTERVAL_MS 500
#define READ_PAGE_ROWS 500

struct streams {
	struct gateway *gateway;
	struct event *timer;
	struct sockaddr_in note_from; /* the sender of the note in this step */
	bool read_due; /* of all rows */
	bool reading; /* perhaps between two pages */
	bool read; /* once, since the start */
	char *next_page_key; /* owned; NULL: the first page */
	uint32_t n_read; /* records */
	uint64_t written_serial;
	uint64_t sent_serial; /* of the write in flight */
	bool in_flight; /* a read or a write */
	struct pf_stream_row row; /* for one message at a time */
};

static void schedule(struct streams *s, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(s->timer, &tv);
}

static pf_ms write_interval(const struct streams *s)
{
	pf_ms all = (pf_ms)1000 * (s->gateway->talk->members.n + 1) /
		    WRITES_PER_S_MAX;

	return all > WRITE_INTERVAL_MS ? all : WRITE_INTERVAL_MS;
}

/* Passes a row on to the core; with @text empty, only that all were read. */
static void pass_row(struct streams *s, struct pf_str key, struct pf_str text,
		     bool last)
{
	struct gateway *g = s->gateway;
	struct pf_gate_msg m = { .type = PF_GATE_STORED };

	if (text.n &&
	    pf_stream_row_decode(text, pf_clock_wall(), &s->row) < 0) {
		PF_LOG(&g->log, PF_LOG_WARN, "streams_unreadable",
		       PF_KV_TEXT("gateway", key));
		return;
	}
	m.u.stored.last = last;
	if (text.n) {
		/* Later, the core knows better which ones are complete. */
		m.u.stored.own =
			!s->read &&
			pf_str_eq(key, pf_str_c(g->settings.common.name));
		m.u.stored.streams = s->row.streams;
		m.u.stored.n_streams = s->row.n_streams;
		m.u.stored.software = s->row.software;
		m.u.stored.n_software = s->row.n_software;
		s->n_read += s->row.n_streams;
	}
	core_step(g, &m);
}

static void end_read(struct streams *s)
{
	free(s->next_page_key);
	s->next_page_key = NULL;
	s->reading = false;
}

static void log_first_read(struct streams *s)
{
	if (s->read)
		return;
	s->read = true;
	PF_LOG(&s->gateway->log, PF_LOG_INFO, "streams_read",
	       PF_KV_INT("records", s->n_read),
	       PF_KV_INT("ms", pf_clock_now() - s->gateway->started_at));
}

static void on_rows_read(void *ctx, const struct pf_store_answer *a)
{
	struct streams *s = ctx;
	size_t i;

	s->in_flight = false;
	if (a->status != PF_STORE_OK) {
		end_read(s);
		s->read_due = !s->read;
		schedule(s, RETRY_INTERVAL_MS);
		return;
	}
	for (i = 0; i < a->n; i++) {
		if (!a->rows[i].unreadable)
			pass_row(s, a->rows[i].key, a->rows[i].value, false);
	}
	if (a->more && a->n > 1) {
		free(s->next_page_key);
		s->next_page_key = pf_str_dup(a->rows[a->n - 1].key);
		s->reading = s->next_page_key != NULL;
		schedule(s, s->reading ? 0 : RETRY_INTERVAL_MS);
		return;
	}
	end_read(s);
	/* All that wait for a read are decided by this one. */
	s->read_due = false;
	pass_row(s, PF_STR(""), PF_STR(""), true);
	log_first_read(s);
	schedule(s, write_interval(s));
}

static void on_row_written(void *ctx, const struct pf_store_answer *a)
{
	struct streams *s = ctx;

	s->in_flight = false;
	if (a->status == PF_STORE_OK)
		s->written_serial = s->sent_serial;
	schedule(s, s->read_due ? 0 : write_interval(s));
}

/* Returns 0, or -1 if it was not sent. */
static int write_row(struct streams *s)
{
	struct gateway *g = s->gateway;
	struct pf_store_put put = {
		.place = { PF_STR(STREAMS_TABLE), PF_STR(STREAMS_PART),
			   pf_str_c(g->settings.common.name) },
	};
	struct pf_store_txn txn = { .puts = &put, .n_puts = 1 };
	struct pf_text text = { 0 };
	pf_ms now = pf_clock_now();
	int ret = -1;

	s->row.written_at = pf_clock_wall();
	s->row.n_streams = pf_gate_open_streams(g->core, now, s->row.streams,
						PF_GATE_STORED_MAX);
	s->row.n_software =
		pf_gate_recent_software(g->core, now, s->row.software);
	pf_stream_row_encode(&s->row, &text);
	put.value = pf_text_str(&text);
	s->sent_serial = pf_gate_streams_serial(g->core);
	if (!text.failed)
		ret = pf_store_commit(g->store, &txn, on_row_written, s);
	pf_text_free(&text);
	if (ret == 0)
		g->counters->v[PF_GC_STREAM_WRITES]++;
	return ret;
}

static int read_rows(struct streams *s)
{
	s->read_due = false;
	s->reading = true;
	return pf_store_read(s->gateway->store, PF_STR(STREAMS_TABLE),
			     PF_STR(STREAMS_PART), pf_str_c(s->next_page_key),
			     PF_STR(""), READ_PAGE_ROWS, on_rows_read, s);
}

/* Reads all rows if that is due, else writes this gateway's if it changed. */
static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct streams *s = ctx;
	struct gateway *g = s->gateway;

	(void)fd;
	(void)what;
	if (s->in_flight)
		return;
	if (s->read_due || s->reading)
		s->in_flight = read_rows(s) == 0;
	else if (pf_gate_streams_serial(g->core) != s->written_serial)
		s->in_flight = write_row(s) == 0;
	if (!s->in_flight)
		schedule(s, write_interval(s));
}

void streams_write_soon(struct gateway *g)
{
	struct streams *s = g->streams;

	/* Not where the interval keeps the writes of many gateways apart. */
	if (s && !s->in_flight && write_interval(s) == WRITE_INTERVAL_MS)
		schedule(s, 0);
}

void streams_read(struct gateway *g)
{
	struct streams *s = g->streams;

	s->read_due = true;
	if (!s->in_flight)
		schedule(s, 0);
}

void streams_on_restore(struct gateway *g)
{
	/* No serial that the core gives out: the row is written again. */
	g->streams->written_serial = UINT64_MAX;
}

/* The same for all gateways, and after a restart. */
static uint64_t replica_id(const struct sockaddr_in *addr)
{
	return pf_id2(addr->sin_addr.s_addr, addr->sin_port);
}

void streams_tell_replicas(struct gateway *g, const struct pf_gate_note *n)
{
	const struct member_list *members = &g->talk->members;
	uint64_t region = pf_id(pf_str_c(g->settings.common.region));
	struct pf_gate_replica *v = calloc(members->n + 1, sizeof(*v));
	uint32_t *at = calloc(members->n + 1, sizeof(*at));
	uint32_t chosen[PF_GATE_REPLICAS];
	uint32_t n_chosen;
	uint32_t n_v = 0;
	uint32_t i;

	if (!v || !at)
		goto out;
	for (i = 0; i < members->n; i++) {
		const struct member *m = &members->v[i];

		if (!member_is_live(m, pf_clock_now()))
			continue;
		at[n_v] = i;
		v[n_v].id = replica_id(&m->addr);
		v[n_v++].region = m->digest_cursor.region;
	}
	n_chosen =
		pf_gate_stream_replicas(n->stream.id, region, v, n_v, chosen);
	for (i = 0; i < n_chosen; i++)
		pf_talk_send_note(g->talk->datagrams,
				  &members->v[at[chosen[i]]].addr, n);
out:
	free(v);
	free(at);
}

void streams_reply(struct gateway *g, const struct pf_gate_note *n)
{
	pf_talk_send_note(g->talk->datagrams, &g->streams->note_from, n);
}

void streams_on_note(struct gateway *g, const struct sockaddr_in *from,
		     const struct pf_gate_note *n)
{
	struct pf_gate_msg m = { .type = PF_GATE_NOTE };

	g->streams->note_from = *from;
	m.u.note = *n;
	core_step(g, &m);
}

int streams_start(struct gateway *g)
{
	struct streams *s = calloc(1, sizeof(*s));

	g->streams = s;
	if (!s)
		return -1;
	s->gateway = g;
	s->read_due = true;
	s->timer = event_new(g->base, -1, 0, on_timer, s);
	if (!s->timer)
		return -1;
	schedule(s, 0);
	return 0;
}

void streams_stop(struct gateway *g)
{
	struct streams *s = g->streams;

	if (!s)
		return;
	if (s->timer)
		event_free(s->timer);
	free(s->next_page_key);
	free(s);
}
