/*
 * Fuzzes the entry core: two entries share agents that crash, restart and
 * leave, over links that lose, delay, duplicate and reorder messages. The
 * oracle uses only the documented guarantees, not the state of the cores.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/entry.h"
#include "pimentoford/heap.h"

#include <stdlib.h>
#include <string.h>

enum {
	ENTRIES = 2,
	ENGINES = 3,
	AGENTS = 5,
	REQS = 500,
	MESSAGES = 8192,
	RUNS = 24,
	BATCH = 6,
	MODELS = 2,
	SHARDS = 2,
	POISONS = 3,
	ENDED_TRIES = 1024,
	TICK_MS = 20,
	REPORT_MS = 200,
	SETTLE_MS = 120000,
};

enum { MODEL0 = 100, SERVICE = 200, SHARD0 = 300, CALLER = 400, POISON0 = 500 };

struct req {
	uint32_t entry;
	struct pf_work work;
	uint32_t total; /* tokens of the complete answer */
	uint32_t delivered;
	uint32_t starts;
	bool ended;
	bool caller_gone;
	bool ended_not_run;
	uint64_t counted_crashes; /* bitset of attempts, modulo 64 */
};

struct run {
	bool used;
	bool running;
	bool suspect;
	bool culprit; /* crashed its endpoint */
	uint32_t entry;
	struct pf_try id;
	uint32_t req;
	uint32_t produced;
};

/* A try that ended or was refused; it must not start again. */
struct ended_try {
	struct pf_try id;
	bool ran;
};

struct agent {
	bool up;
	bool engine_up;
	bool leaving;
	uint64_t incarnation;
	pf_ms recovers_at; /* the agent or its engine */
	pf_ms report_at;
	uint64_t seq;
	uint32_t accepted;
	struct run runs[RUNS];
	struct ended_try ended_tries[ENDED_TRIES]; /* ring buffer */
	uint32_t n_ended_tries;
};

struct message {
	bool to_agent;
	/* To an agent. */
	enum pf_entry_act_type act; /* TRY, REVOKE or CANCEL */
	struct pf_try id;
	uint32_t req;
	bool suspect;
	bool culprit; /* of a LOST to an entry */
	uint32_t entry;
	uint32_t agent;
	uint64_t session;
	/* To an entry. */
	struct pf_entry_msg msg;
	struct pf_item items[MODELS + SHARDS];
};

struct world {
	struct fuzz_result *res;
	struct pf_rng rng;
	pf_ms now;
	bool faults;
	bool random_crashes; /* engines crash without a poisoned request */
	struct pf_entry *entries[ENTRIES];
	/* The pf_entry_step() call in progress. */
	uint32_t stepping_entry;
	const struct pf_entry_msg *step_msg;
	struct agent agents[AGENTS];
	uint64_t session[ENTRIES][AGENTS]; /* 0: no link */
	uint64_t last_session;
	bool knows_leaving[ENTRIES][AGENTS];
	struct req reqs[REQS];
	uint32_t n_reqs;
	uint32_t claims[REQS]; /* by key: 0 free, 1 claimed, 2 answered */
	uint32_t poison_crashes[POISONS]; /* reported to an entry */
	bool poison_open[POISONS];
	struct message messages[MESSAGES];
	struct pf_heap deliveries; /* delivery times of `messages` */
	uint32_t free_messages[MESSAGES];
	uint32_t n_free_messages;
	struct pf_config config;
	struct pf_model models[MODELS];
	struct pf_caller callers[1];
	struct pf_endpoint endpoints[AGENTS];
	struct pf_service services[1];
};

static bool chance(struct world *w, uint32_t percent)
{
	return pf_rng_below(&w->rng, 100) < percent;
}

static uint64_t agent_id(uint32_t agent)
{
	return agent + 1;
}

static struct req *req_of(struct world *w, uint64_t id)
{
	return &w->reqs[id - 1];
}

/*
 * The bound on crashes per fingerprint needs each REVOKE, CANCEL and LOST to
 * arrive in time.
 */
static bool reliable(const struct message *m)
{
	if (m->to_agent)
		return m->act != PF_ENTRY_TRY;
	return m->msg.type == PF_ENTRY_LOST;
}

/* Sends @m; faults may drop, delay or duplicate it. */
static void post_message(struct world *w, const struct message *m)
{
	bool must_arrive = reliable(m);
	uint32_t copies = 1;

	if (w->faults && !must_arrive && chance(w, 2))
		copies = 0;
	else if (w->faults && chance(w, 3))
		copies = 2;
	while (copies--) {
		pf_ms delay = 1;
		uint32_t i;

		if (w->faults && chance(w, 5) && !(must_arrive && copies == 0))
			delay += pf_rng_below(&w->rng, 3000);
		if (w->n_free_messages == 0)
			return;
		i = w->free_messages[--w->n_free_messages];
		w->messages[i] = *m;
		pf_heap_set(&w->deliveries, i, w->now + delay);
	}
}

static void emit(void *ctx, const struct pf_entry_act *a);

static void step_entry(struct world *w, uint32_t entry,
		       const struct pf_entry_msg *m)
{
	struct pf_entry_sink sink = { emit, w };

	w->stepping_entry = entry;
	w->step_msg = m;
	w->res->steps++;
	pf_entry_step(w->entries[entry], w->now, m, &sink);
}

static void send_answer(struct world *w, uint32_t agent, const struct run *r,
			struct pf_entry_msg m)
{
	struct message x = { .entry = r->entry,
			     .agent = agent,
			     .culprit = r->culprit,
			     .msg = m };

	x.msg.agent = agent_id(agent);
	x.session = w->session[r->entry][agent];
	if (x.session)
		post_message(w, &x);
}

static void send_not_run(struct world *w, uint32_t agent, const struct run *r,
			 enum pf_reason why)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_NOT_RUN };

	m.u.not_run.id = r->id;
	m.u.not_run.reason = why;
	send_answer(w, agent, r, m);
}

static void send_id(struct world *w, uint32_t agent, const struct run *r,
		    enum pf_entry_msg_type type)
{
	struct pf_entry_msg m = { .type = type };

	m.u.id = r->id;
	send_answer(w, agent, r, m);
}

static void send_lost(struct world *w, uint32_t agent, const struct run *r,
		      enum pf_reason why)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LOST };

	m.u.lost.id = r->id;
	m.u.lost.reason = why;
	send_answer(w, agent, r, m);
}

static void send_done(struct world *w, uint32_t agent, const struct run *r)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_DONE };

	m.u.done.id = r->id;
	m.u.done.total = w->reqs[r->req].total;
	send_answer(w, agent, r, m);
}

static bool poisoned(const struct req *q)
{
	return q->work.fingerprint >= POISON0 &&
	       q->work.fingerprint < POISON0 + POISONS;
}

static void on_try(struct world *w, const struct pf_entry_act *a)
{
	uint32_t agent = (uint32_t)a->agent - 1;
	struct message x = {
		.to_agent = true,
		.act = PF_ENTRY_TRY,
		.id = a->u.try_.id,
		.req = (uint32_t)a->u.try_.id.request - 1,
		.suspect = a->u.try_.work->flags & PF_WORK_SUSPECT,
		.entry = w->stepping_entry,
		.agent = agent,
		.session = w->session[w->stepping_entry][agent],
	};
	struct req *q = &w->reqs[x.req];

	if (w->knows_leaving[w->stepping_entry][agent])
		fuzz_violation(w->res, "TRY to a leaving agent");
	if (q->ended || q->caller_gone)
		fuzz_violation(w->res, "TRY after the end");
	if (a->u.try_.work->offset != q->delivered)
		fuzz_violation(w->res, "TRY at offset %u, delivered %u",
			       a->u.try_.work->offset, q->delivered);
	post_message(w, &x);
}

static void on_order(struct world *w, const struct pf_entry_act *a)
{
	uint32_t agent = (uint32_t)a->agent - 1;
	struct message x = {
		.to_agent = true,
		.act = a->type,
		.id = a->u.id,
		.req = (uint32_t)a->u.id.request - 1,
		.entry = w->stepping_entry,
		.agent = agent,
		.session = w->session[w->stepping_entry][agent],
	};

	post_message(w, &x);
}

static void on_deliver(struct world *w, const struct pf_entry_act *a)
{
	struct req *q = req_of(w, a->u.deliver.request);
	uint32_t from = w->step_msg->u.tokens.offset + a->u.deliver.skip;

	if (q->ended || q->caller_gone)
		fuzz_violation(w->res, "DELIVER after the end");
	if (w->step_msg->u.tokens.id.request != a->u.deliver.request)
		fuzz_violation(w->res,
			       "DELIVER to another request than the piece's");
	if (from != q->delivered || a->u.deliver.offset != q->delivered)
		fuzz_violation(w->res, "DELIVER from token %u, expected %u",
			       from, q->delivered);
	if (a->u.deliver.skip + a->u.deliver.count >
	    w->step_msg->u.tokens.count)
		fuzz_violation(w->res, "DELIVER beyond the piece");
	q->delivered += a->u.deliver.count;
}

static void on_end(struct world *w, const struct pf_entry_act *a)
{
	struct req *q = req_of(w, a->u.end.request);

	if (q->ended || q->caller_gone)
		fuzz_violation(w->res, "request ended twice");
	q->ended = true;
	if (poisoned(q))
		w->poison_open[q->work.fingerprint - POISON0] = false;
	if (a->u.end.reason == PF_REASON_NONE && q->delivered != q->total)
		fuzz_violation(w->res, "ended complete with %u of %u tokens",
			       q->delivered, q->total);
	if (a->u.end.reason == PF_REASON_QUARANTINED && !poisoned(q) &&
	    !w->random_crashes)
		fuzz_violation(w->res,
			       "request that crashed nothing was quarantined");
	if (a->u.end.ran != PF_NOT_RUN)
		return;
	q->ended_not_run = true;
	if (q->starts)
		fuzz_violation(w->res, "ended as not run, but it ran (%s)",
			       pf_reason_code(a->u.end.reason));
}

static void on_share(struct world *w, const struct pf_entry_act *a)
{
	struct message x = { .entry = 1 - w->stepping_entry, .agent = AGENTS };
	uint32_t i;

	x.msg.type = PF_ENTRY_QUARANTINE;
	x.msg.u.quarantine.fingerprint = a->u.quarantine.fingerprint;
	x.msg.u.quarantine.until = a->u.quarantine.until;
	if (w->n_free_messages == 0)
		return;
	i = w->free_messages[--w->n_free_messages];
	w->messages[i] = x;
	pf_heap_set(&w->deliveries, i, w->now);
}

static void emit(void *ctx, const struct pf_entry_act *a)
{
	struct world *w = ctx;

	switch (a->type) {
	case PF_ENTRY_TRY:
		on_try(w, a);
		break;
	case PF_ENTRY_REVOKE:
	case PF_ENTRY_CANCEL:
		on_order(w, a);
		break;
	case PF_ENTRY_DELIVER:
		on_deliver(w, a);
		break;
	case PF_ENTRY_END:
		on_end(w, a);
		break;
	case PF_ENTRY_SHARE_QUARANTINE:
		on_share(w, a);
		break;
	case PF_ENTRY_DRAINED:
		break;
	}
}

static bool same_try(const struct pf_try *a, const struct pf_try *b)
{
	return a->request == b->request && a->attempt == b->attempt;
}

static const struct ended_try *find_ended_try(const struct agent *a,
					      const struct pf_try *id)
{
	uint32_t n =
		a->n_ended_tries < ENDED_TRIES ? a->n_ended_tries : ENDED_TRIES;

	for (uint32_t i = 0; i < n; i++) {
		if (same_try(&a->ended_tries[i].id, id))
			return &a->ended_tries[i];
	}
	return NULL;
}

static void record_ended_try(struct agent *a, const struct pf_try *id, bool ran)
{
	a->ended_tries[a->n_ended_tries++ % ENDED_TRIES] =
		(struct ended_try){ *id, ran };
}

static struct run *find_run(struct agent *a, const struct pf_try *id)
{
	for (int i = 0; i < RUNS; i++) {
		if (a->runs[i].used && same_try(&a->runs[i].id, id))
			return &a->runs[i];
	}
	return NULL;
}

static uint32_t count_runs(const struct agent *a, bool running)
{
	uint32_t n = 0;

	for (int i = 0; i < RUNS; i++)
		n += a->runs[i].used && a->runs[i].running == running;
	return n;
}

static void refuse_try(struct world *w, const struct message *x,
		       enum pf_reason reason)
{
	struct run r = { .entry = x->entry, .id = x->id };

	record_ended_try(&w->agents[x->agent], &x->id, false);
	send_not_run(w, x->agent, &r, reason);
}

static void receive_try(struct world *w, const struct message *x)
{
	struct agent *a = &w->agents[x->agent];
	const struct ended_try *ended = find_ended_try(a, &x->id);
	int i = 0;

	if (find_run(a, &x->id) || (ended && ended->ran))
		return;
	if (ended) {
		refuse_try(w, x, PF_REASON_TOMBSTONE);
	} else if (a->leaving) {
		refuse_try(w, x, PF_REASON_LEAVING);
	} else if (!a->engine_up) {
		refuse_try(w, x, PF_REASON_NOT_READY);
	} else if (count_runs(a, false) >= 3) {
		refuse_try(w, x, PF_REASON_FULL);
	} else {
		while (i < RUNS && a->runs[i].used)
			i++;
		a->accepted++;
		if (i == RUNS)
			refuse_try(w, x, PF_REASON_FULL);
		else
			a->runs[i] = (struct run){ .used = true,
						   .entry = x->entry,
						   .id = x->id,
						   .suspect = x->suspect,
						   .req = x->req };
	}
}

static void receive_order(struct world *w, const struct message *x)
{
	struct agent *a = &w->agents[x->agent];
	struct run *r = find_run(a, &x->id);
	const struct ended_try *ended = find_ended_try(a, &x->id);
	bool ran = r ? r->running : ended && ended->ran;
	struct run to = { .entry = x->entry, .id = x->id };

	if (r && (!ran || x->act == PF_ENTRY_CANCEL))
		r->used = false;
	if (!ended && !(r && r->used))
		record_ended_try(a, &x->id, ran);
	if (x->act == PF_ENTRY_REVOKE)
		send_id(w, x->agent, &to,
			ran ? PF_ENTRY_STARTED : PF_ENTRY_REVOKED);
}

/* Ends a run and records its try, so that no duplicate starts again. */
static void end_run(struct agent *a, struct run *r)
{
	r->used = false;
	record_ended_try(a, &r->id, r->running);
}

static void crash_engine(struct world *w, uint32_t agent)
{
	struct agent *a = &w->agents[agent];

	a->engine_up = false;
	a->recovers_at = w->now + 500 + pf_rng_below(&w->rng, 2000);
	for (int i = 0; i < RUNS; i++) {
		struct run *r = &a->runs[i];

		if (!r->used)
			continue;
		if (r->running)
			send_lost(w, agent, r, PF_REASON_CRASHED);
		else
			send_not_run(w, agent, r, PF_REASON_NOT_READY);
		end_run(a, r);
	}
}

/* Claims the key of a run; false when it must not start. */
static bool take_claim(struct world *w, uint32_t agent, struct run *r)
{
	uint64_t key = w->reqs[r->req].work.idem_key;
	bool answered;

	if (!key)
		return true;
	if (w->claims[key - 1] == 0) {
		w->claims[key - 1] = 1;
		return true;
	}
	answered = w->claims[key - 1] == 2;
	if (answered && w->reqs[r->req].delivered == 0) {
		struct pf_entry_msg m = { .type = PF_ENTRY_PIECE };

		m.u.tokens.id = r->id;
		m.u.tokens.count = w->reqs[r->req].total;
		send_answer(w, agent, r, m);
		send_done(w, agent, r);
	} else {
		send_lost(w, agent, r, PF_REASON_OUTCOME_UNKNOWN);
	}
	end_run(&w->agents[agent], r);
	return false;
}

static void start_run(struct world *w, uint32_t agent, struct run *r)
{
	struct req *q = &w->reqs[r->req];

	if (!take_claim(w, agent, r))
		return;
	q->starts++;
	r->running = true;
	r->produced = q->work.flags & PF_WORK_PLAIN ? 0 : q->delivered;
	if (q->ended_not_run)
		fuzz_violation(w->res, "ran after it had ended as not run");
	if ((q->work.flags & PF_WORK_NEVER_REPEAT) && q->starts > 1)
		fuzz_violation(w->res, "never-repeat call started twice");
	send_id(w, agent, r, PF_ENTRY_STARTED);
}

static void produce(struct world *w, uint32_t agent, struct run *r)
{
	struct req *q = &w->reqs[r->req];
	struct pf_entry_msg m = { .type = PF_ENTRY_PIECE };
	uint32_t n = 1 + pf_rng_below(&w->rng, 4);

	if (poisoned(q) && r->produced > 0) {
		r->culprit = true;
		crash_engine(w, agent);
		return;
	}
	if (poisoned(q))
		n = 1;
	if (n > q->total - r->produced)
		n = q->total - r->produced;
	m.u.tokens.id = r->id;
	m.u.tokens.offset = r->produced;
	m.u.tokens.count = n;
	if (n)
		send_answer(w, agent, r, m);
	r->produced += n;
	if (r->produced < q->total)
		return;
	if (q->work.idem_key)
		w->claims[q->work.idem_key - 1] = 2;
	send_done(w, agent, r);
	end_run(&w->agents[agent], r);
}

static void link_down(struct world *w, uint32_t entry, uint32_t agent)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_DOWN };
	struct agent *a = &w->agents[agent];

	if (!w->session[entry][agent])
		return;
	w->session[entry][agent] = 0;
	for (int i = 0; i < RUNS; i++) {
		struct run *r = &a->runs[i];
		bool finish = r->running && (w->reqs[r->req].work.flags &
					     PF_WORK_NEVER_REPEAT);

		if (r->used && r->entry == entry && !finish)
			end_run(a, r);
	}
	m.agent = agent_id(agent);
	step_entry(w, entry, &m);
}

static void link_up(struct world *w, uint32_t entry, uint32_t agent)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_UP };

	w->session[entry][agent] = ++w->last_session;
	m.agent = agent_id(agent);
	m.u.link.incarnation = w->agents[agent].incarnation;
	step_entry(w, entry, &m);
}

static void stop_agent(struct world *w, uint32_t agent)
{
	struct agent *a = &w->agents[agent];

	if (!a->up)
		return;
	memset(a->runs, 0, sizeof(a->runs));
	for (uint32_t e = 0; e < ENTRIES; e++)
		link_down(w, e, agent);
	a->up = false;
	a->recovers_at = w->now + 500 + pf_rng_below(&w->rng, 3000);
}

static void start_agent(struct world *w, uint32_t agent)
{
	struct agent *a = &w->agents[agent];
	uint64_t incarnation = a->incarnation + 1;

	memset(a, 0, sizeof(*a));
	a->incarnation = incarnation;
	a->up = true;
	a->engine_up = true;
	for (uint32_t e = 0; e < ENTRIES; e++)
		w->knows_leaving[e][agent] = false;
}

static uint32_t fill_items(const struct world *w, uint32_t agent,
			   struct pf_item *v)
{
	uint32_t other = agent == ENGINES ? AGENTS - 1 : ENGINES;
	uint32_t n = 0;

	for (uint32_t m = 0; m < MODELS && agent < ENGINES; m++) {
		if (m == agent % MODELS || agent == 1)
			v[n++] = (struct pf_item){ MODEL0 + m, PF_ITEM_RESIDENT,
						   0 };
	}
	/* A plain agent takes over the shards of one that is down. */
	for (uint32_t s = 0; s < SHARDS && agent >= ENGINES; s++) {
		if (s == agent - ENGINES || !w->agents[other].up)
			v[n++] = (struct pf_item){ SHARD0 + s, PF_ITEM_RESIDENT,
						   0 };
	}
	return n;
}

static void send_report(struct world *w, uint32_t agent)
{
	struct agent *a = &w->agents[agent];
	struct message x = { .agent = agent };
	struct pf_report *r = &x.msg.u.report;

	x.msg.type = PF_ENTRY_REPORT;
	x.msg.agent = agent_id(agent);
	r->agent = agent_id(agent);
	r->incarnation = a->incarnation;
	r->seq = ++a->seq;
	r->running = count_runs(a, true);
	r->queued = count_runs(a, false);
	r->batch_max = BATCH;
	r->started = a->accepted;
	r->kv_free = 1000000;
	r->leaving = a->leaving;
	r->ready = a->engine_up;
	r->n_items = fill_items(w, agent, x.items);
	for (uint32_t e = 0; e < ENTRIES; e++) {
		x.entry = e;
		x.session = w->session[e][agent];
		if (x.session)
			post_message(w, &x);
	}
}

/* A suspect runs alone. */
static bool may_start(const struct agent *a, const struct run *r)
{
	uint32_t running = count_runs(a, true);

	for (int i = 0; i < RUNS; i++) {
		if (a->runs[i].used && a->runs[i].running && a->runs[i].suspect)
			return false;
	}
	return r->suspect ? running == 0 : running < BATCH;
}

static void tick_agent(struct world *w, uint32_t agent)
{
	struct agent *a = &w->agents[agent];

	if (!a->up || !a->engine_up) {
		if (a->recovers_at > w->now)
			return;
		if (!a->up)
			start_agent(w, agent);
		a->engine_up = true;
	}
	for (uint32_t e = 0; e < ENTRIES; e++) {
		if (!w->session[e][agent] && (!w->faults || chance(w, 10)))
			link_up(w, e, agent);
	}
	for (int i = 0; i < RUNS && a->engine_up; i++) {
		struct run *r = &a->runs[i];

		if (!r->used || (w->faults && chance(w, 30)))
			continue;
		if (r->running)
			produce(w, agent, r);
		else if (may_start(a, r))
			start_run(w, agent, r);
	}
	if (a->report_at <= w->now) {
		a->report_at = w->now + REPORT_MS;
		send_report(w, agent);
	}
	if (a->leaving && !count_runs(a, true) && !count_runs(a, false))
		stop_agent(w, agent);
}

static bool says_leaving(const struct pf_entry_msg *m)
{
	if (m->type == PF_ENTRY_NOT_RUN)
		return m->u.not_run.reason == PF_REASON_LEAVING;
	return m->type == PF_ENTRY_LEAVING;
}

/* Counts the crash of a poisoned request, once per try. */
static void count_crash(struct world *w, const struct message *x)
{
	const struct pf_try *id = &x->msg.u.lost.id;
	struct req *q;

	if (x->msg.type != PF_ENTRY_LOST || !x->culprit)
		return;
	q = req_of(w, id->request);
	if (q->counted_crashes >> (id->attempt % 64) & 1)
		return;
	q->counted_crashes |= 1ull << (id->attempt % 64);
	w->poison_crashes[q->work.fingerprint - POISON0]++;
}

static void deliver_message(struct world *w, uint32_t i)
{
	struct message x = w->messages[i];
	bool current =
		x.agent == AGENTS || x.session == w->session[x.entry][x.agent];

	w->free_messages[w->n_free_messages++] = i;
	if (x.to_agent) {
		if (!current || !w->agents[x.agent].up)
			return;
		if (x.act == PF_ENTRY_TRY)
			receive_try(w, &x);
		else
			receive_order(w, &x);
		return;
	}
	/* Pieces may arrive after their session has ended. */
	if (!current && x.msg.type != PF_ENTRY_PIECE)
		return;
	if (x.msg.type == PF_ENTRY_REPORT)
		x.msg.u.report.items = x.items;
	if (says_leaving(&x.msg))
		w->knows_leaving[x.entry][x.agent] = true;
	count_crash(w, &x);
	step_entry(w, x.entry, &x.msg);
}

static void advance(struct world *w, pf_ms until)
{
	while (w->now < until) {
		uint32_t i;

		w->now += TICK_MS;
		while (pf_heap_top(&w->deliveries, &i) <= w->now) {
			pf_heap_set(&w->deliveries, i, PF_NEVER);
			deliver_message(w, i);
		}
		for (uint32_t a = 0; a < AGENTS; a++)
			tick_agent(w, a);
		for (uint32_t e = 0; e < ENTRIES; e++) {
			struct pf_entry_msg m = { .type = PF_ENTRY_TICK };

			if (pf_entry_next(w->entries[e]) <= w->now)
				step_entry(w, e, &m);
		}
	}
}

static struct pf_work random_work(struct world *w, uint32_t n)
{
	bool plain = chance(w, 35);
	struct pf_work k = {
		.caller = CALLER,
		.model = MODEL0 + pf_rng_below(&w->rng, MODELS),
		.fingerprint = 1000 + n,
		.prompt_tokens = pf_rng_below(&w->rng, 200),
		.max_tokens = 100,
		.arrived = w->now,
		.first_token_objective = PF_NEVER,
		.answer_objective = PF_NEVER,
		.deadline = PF_NEVER,
	};

	if (chance(w, 30))
		k.first_token_objective = w->now + 500;
	if (plain || chance(w, 50))
		k.deadline = w->now + 500 + pf_rng_below(&w->rng, 20000);
	if (chance(w, 20))
		k.flags |= PF_WORK_DEFERRABLE;
	if (!plain)
		return k;
	k.flags |= PF_WORK_PLAIN;
	k.model = SERVICE;
	if (chance(w, 70))
		k.flags |= PF_WORK_NEVER_REPEAT;
	if ((k.flags & PF_WORK_NEVER_REPEAT) && chance(w, 50)) {
		k.idem_key = n + 1;
		k.adapter = SHARD0 + n % SHARDS;
	}
	return k;
}

static void do_arrive(struct world *w)
{
	uint32_t n = w->n_reqs, p = pf_rng_below(&w->rng, POISONS);
	struct req *q = &w->reqs[n];
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };

	if (n == REQS)
		return;
	w->n_reqs++;
	q->work = random_work(w, n);
	q->entry = pf_rng_below(&w->rng, ENTRIES);
	q->total = q->work.flags & PF_WORK_PLAIN
			   ? 1
			   : 3 + pf_rng_below(&w->rng, 30);
	/* A client may resend a poisoned request once it was answered. */
	if (!(q->work.flags & PF_WORK_PLAIN) && !w->poison_open[p] &&
	    chance(w, 15)) {
		w->poison_open[p] = true;
		q->work.fingerprint = POISON0 + p;
	}
	m.u.arrive.request = n + 1;
	m.u.arrive.work = q->work;
	step_entry(w, q->entry, &m);
}

static void do_gone(struct world *w)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CALLER_GONE };
	struct req *q;

	if (w->n_reqs == 0)
		return;
	m.u.request = 1 + pf_rng_below(&w->rng, w->n_reqs);
	q = req_of(w, m.u.request);
	if (q->ended || q->caller_gone || poisoned(q))
		return;
	q->caller_gone = true;
	step_entry(w, q->entry, &m);
}

static void do_leave(struct world *w)
{
	uint32_t agent = pf_rng_below(&w->rng, AGENTS);
	struct message x = { .agent = agent };
	struct agent *a = &w->agents[agent];

	if (!a->up || a->leaving)
		return;
	a->leaving = true;
	x.msg.type = PF_ENTRY_LEAVING;
	x.msg.agent = agent_id(agent);
	for (uint32_t e = 0; e < ENTRIES; e++) {
		x.entry = e;
		x.session = w->session[e][agent];
		if (x.session)
			post_message(w, &x);
	}
	for (int i = 0; i < RUNS; i++) {
		struct run *r = &a->runs[i];

		if (!r->used || r->running)
			continue;
		send_not_run(w, agent, r, PF_REASON_LEAVING);
		end_run(a, r);
	}
}

static void random_act(struct world *w)
{
	uint32_t agent = pf_rng_below(&w->rng, AGENTS);
	uint32_t dice = pf_rng_below(&w->rng, 100);

	if (dice < 70)
		do_arrive(w);
	else if (dice < 76)
		do_gone(w);
	else if (dice < 80)
		do_leave(w);
	else if (dice < 83 && w->agents[agent].up && w->random_crashes)
		crash_engine(w, agent);
	else if (dice < 86)
		stop_agent(w, agent);
	else if (dice < 92)
		link_down(w, pf_rng_below(&w->rng, ENTRIES), agent);
	else
		advance(w, w->now + pf_rng_below(&w->rng, 400));
}

static void configure(struct world *w)
{
	static char zone[] = "z1", near[] = "r1", far[] = "r2", booking[] = "b";

	for (uint32_t i = 0; i < MODELS; i++)
		w->models[i] = (struct pf_model){ .id = MODEL0 + i,
						  .max_context = 10000 };
	w->callers[0].id = CALLER;
	w->callers[0].priority = 1;
	for (uint32_t i = 0; i < AGENTS; i++) {
		struct pf_endpoint *p = &w->endpoints[i];

		p->id = agent_id(i);
		p->zone = zone;
		p->region = i == 2 ? far : near;
		p->kind = i < ENGINES ? PF_ENDPOINT_ENGINE : PF_ENDPOINT_PLAIN;
		p->service = i < ENGINES ? NULL : booking;
	}
	w->services[0].id = SERVICE;
	w->services[0].name = booking;
	w->config = (struct pf_config){
		.deployment = { .link_kbit = 30000 },
		.models = w->models,
		.n_models = MODELS,
		.callers = w->callers,
		.n_callers = 1,
		.endpoints = w->endpoints,
		.n_endpoints = AGENTS,
		.services = w->services,
		.n_services = 1,
	};
}

static struct pf_entry *make_entry(struct world *w, uint32_t i, uint64_t seed)
{
	struct pf_entry_opts o;

	pf_entry_opts_default(&o);
	o.entry_id = i + 1;
	o.seed = seed + i;
	o.zone = "z1";
	o.region = "r1";
	o.requests_max = 60 + pf_rng_below(&w->rng, 200);
	o.quarantine_max = 400;
	o.agents_max = AGENTS;
	o.groups_max = 8;
	o.items_max = 8;
	o.prefixes_max = 4;
	o.try_timeout = 1500;
	o.stall_timeout = 2000;
	o.report_stale = 1000;
	o.route = pf_rng_below(&w->rng, 4);
	return pf_entry_new(&o);
}

static void check_end(struct world *w)
{
	for (uint32_t i = 0; i < w->n_reqs; i++) {
		const struct req *q = &w->reqs[i];

		if (!q->ended && !q->caller_gone)
			fuzz_violation(w->res, "request %u never ended", i + 1);
	}
	for (uint32_t p = 0; p < POISONS; p++) {
		if (w->poison_crashes[p] > 2)
			fuzz_violation(w->res,
				       "poisoned request crashed %u endpoints",
				       w->poison_crashes[p]);
	}
	for (uint32_t e = 0; e < ENTRIES; e++) {
		struct pf_entry_stats s;

		pf_entry_stats(w->entries[e], &s);
		if (s.open || s.waiting)
			fuzz_violation(w->res, "%u open, %u waiting at the end",
				       s.open, s.waiting);
	}
}

static void run_world(struct world *w, uint32_t steps_max)
{
	for (uint32_t e = 0; e < ENTRIES; e++) {
		struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };

		m.u.config = &w->config;
		step_entry(w, e, &m);
	}
	for (uint32_t a = 0; a < AGENTS; a++)
		start_agent(w, a);
	advance(w, w->now + 500);
	w->faults = true;
	w->random_crashes = chance(w, 50);
	for (uint32_t i = 0; i < steps_max && !w->res->violations; i++) {
		random_act(w);
		advance(w, w->now + pf_rng_below(&w->rng, 60));
	}
	w->faults = false;
	if (!w->res->violations)
		advance(w, w->now + SETTLE_MS);
	if (!w->res->violations)
		check_end(w);
}

void fuzz_entry(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = calloc(1, sizeof(*w));

	if (!w || pf_heap_init(&w->deliveries, MESSAGES)) {
		fuzz_violation(r, "no memory");
		free(w);
		return;
	}
	w->res = r;
	w->now = 1000;
	pf_rng_seed(&w->rng, seed);
	for (uint32_t i = 0; i < MESSAGES; i++)
		w->free_messages[w->n_free_messages++] = i;
	configure(w);
	for (uint32_t e = 0; e < ENTRIES; e++)
		w->entries[e] = make_entry(w, e, seed);
	if (w->entries[0] && w->entries[1])
		run_world(w, steps_max);
	else
		fuzz_violation(r, "cannot create an entry core");
	for (uint32_t e = 0; e < ENTRIES; e++)
		pf_entry_free(w->entries[e]);
	pf_heap_free(&w->deliveries);
	free(w);
}
