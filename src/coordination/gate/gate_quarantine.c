/*
 * Quarantine of requests and of prompt parts that crash endpoints. Requests
 * with such a part are refused as long as they come. From time to time the
 * gateway with the lowest id lets one pass, since the part may be sound by now
 * or may have been blamed wrongly.
 */
#include "src/coordination/gate/gate_core.h"

/* Peers that start are told only what was announced within a minute. */
#define ANNOUNCE_MS (GATE_CRASH_KEEP_MS / 3)
/* Without a request with it, a part is forgotten. */
#define FORGET_MS 60000
/* The first trial; the wait doubles with each. */
#define TRIAL_MS 20000

static struct gate_quarantined_part *find_part(const struct pf_gate *g,
					       uint64_t part)
{
	uint32_t i;

	for (i = 0; i < GATE_QUARANTINED_MAX; i++) {
		const struct gate_quarantined_part *q = &g->quarantined[i];

		if (q->part == part && g->now - q->last_seen_at < FORGET_MS)
			return (struct gate_quarantined_part *)q;
	}
	return NULL;
}

bool gate_quarantine_has(const struct pf_gate *g, uint64_t part)
{
	return find_part(g, part) != NULL;
}

bool gate_quarantine_holds(struct pf_gate *g, const struct gate_request *r)
{
	uint32_t i;

	if (gate_quarantined(g, r->fingerprint))
		return true;
	if (r->trial)
		return false;
	for (i = 0; i < r->n_parts; i++) {
		if (find_part(g, r->parts[i]))
			return true;
	}
	return false;
}

static void emit_change(struct pf_gate *g, uint64_t part, bool released,
			uint32_t crashes)
{
	struct pf_gate_act a = { .type = PF_GATE_QUARANTINE };

	a.u.quarantine.part = part;
	a.u.quarantine.released = released;
	a.u.quarantine.crashes = crashes;
	g->sink->emit(g->sink->ctx, &a);
	g->quarantine_changed = true;
}

static void announce(struct pf_gate *g, struct gate_quarantined_part *q)
{
	struct pf_gate_evidence e = { .type = PF_GATE_EVIDENCE_QUARANTINE,
				      .part = q->part };

	q->announced_at = g->now;
	gate_evidence_add(g, &e, q->since, true);
}

void gate_quarantine_add(struct pf_gate *g, uint64_t part, pf_ms since,
			 uint32_t crashes)
{
	struct gate_quarantined_part *oldest = &g->quarantined[0];
	uint32_t i;

	if (find_part(g, part))
		return;
	for (i = 1; i < GATE_QUARANTINED_MAX; i++) {
		if (g->quarantined[i].last_seen_at < oldest->last_seen_at)
			oldest = &g->quarantined[i];
	}
	*oldest = (struct gate_quarantined_part){
		.part = part,
		.since = since,
		.last_seen_at = g->now,
		.tried_at = g->now,
		.trial_at = g->now + TRIAL_MS,
		.trial_wait = 2 * TRIAL_MS,
	};
	/* All judges repeat it, so that it outlasts the one that found it. */
	if (gate_is_judge(g))
		announce(g, oldest);
	emit_change(g, part, false, crashes);
}

bool gate_quarantine_release(struct pf_gate *g, uint64_t part, pf_ms began_at)
{
	struct gate_quarantined_part *q = find_part(g, part);

	if (!q || q->since >= began_at)
		return false;
	*q = (struct gate_quarantined_part){ 0 };
	emit_change(g, part, true, 0);
	return true;
}

static void delay_trial(struct pf_gate *g, struct gate_quarantined_part *q)
{
	q->tried_at = g->now;
	q->trial_at = g->now + q->trial_wait;
	q->trial_wait *= 2;
}

void gate_quarantine_crashed(struct pf_gate *g, uint64_t part, pf_ms at)
{
	struct gate_quarantined_part *q = find_part(g, part);

	/* Soon after the begin it was in flight already; soon after a trial,
	 * several gateways report the same one. */
	if (q && at - q->tried_at > TRIAL_MS / 2)
		delay_trial(g, q);
}

void gate_quarantine_arrival(struct pf_gate *g, struct gate_request *r)
{
	uint32_t held = 0;
	uint32_t due = 0;
	uint32_t i;

	for (i = 0; i < r->n_parts; i++) {
		struct gate_quarantined_part *q = find_part(g, r->parts[i]);

		if (!q)
			continue;
		q->last_seen_at = g->now;
		if (g->now - q->announced_at >= ANNOUNCE_MS)
			announce(g, q);
		held++;
		due += g->now >= q->trial_at;
	}
	if (held != 1 || due != 1 || gate_peers_lower(g) > 0)
		return;
	r->trial = true;
	for (i = 0; i < r->n_parts; i++) {
		struct gate_quarantined_part *q = find_part(g, r->parts[i]);

		if (q)
			delay_trial(g, q);
	}
}
