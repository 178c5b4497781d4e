/* Lease core: reading the row, renewal, takeover and expiry. */
#include "pimentoford/lease.h"
#include "pimentoford/rows.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_BYTES_MAX 80
#define WRITES_MAX 8 /* recent writes that are matched against the row */

struct lease_row {
	uint64_t revision;
	uint64_t holder;
	uint64_t epoch;
	uint64_t heartbeat;
};

/* A write by this process; epoch and heartbeat identify it in the row. */
struct lease_write {
	uint64_t epoch;
	uint64_t heartbeat;
	pf_ms sent_at;
	bool seen; /* a read has shown it */
};

struct pf_lease {
	struct pf_lease_opts opts;
	char key[PF_ROW_KEY_MAX];
	char process_name[PF_LABEL_MAX];
	char region[PF_LABEL_MAX];
	struct pf_rng rng;
	pf_ms now;
	pf_ms next_tick_at;
	uint64_t seq; /* of the last request */
	bool in_flight; /* a request awaits its answer */
	pf_ms requested_at;
	bool row_known; /* it has been read at least once */
	struct lease_row row;
	pf_ms row_seen_at; /* first read at its revision */
	int64_t era; /* of the table */
	pf_ms era_seen_at; /* first answer of that era */
	struct lease_write writes[WRITES_MAX];
	uint64_t n_writes;
	uint64_t last_heartbeat; /* highest written by this process */
	bool held;
	pf_ms expires_at; /* valid while held */
	bool stopped;
	uint64_t config_revision;
	pf_ms wall_time;
};

void pf_lease_opts_default(struct pf_lease_opts *o)
{
	*o = (struct pf_lease_opts){
		.region = "",
		.duration = 8000,
		.clock_margin = 1000,
		.heartbeat_interval = 2000,
		.table_timeout = 1500,
	};
}

static bool opts_valid(const struct pf_lease_opts *o)
{
	return o->key && o->process_name && o->region && o->holder_id &&
	       strlen(o->key) < PF_ROW_KEY_MAX / 2 &&
	       strlen(o->process_name) < PF_LABEL_MAX &&
	       strlen(o->region) < PF_LABEL_MAX && o->clock_margin >= 0 &&
	       o->heartbeat_interval > 0 && o->table_timeout > 0 &&
	       o->duration > o->clock_margin + o->heartbeat_interval +
				     o->table_timeout;
}

struct pf_lease *pf_lease_new(const struct pf_lease_opts *o)
{
	struct pf_lease *l;

	if (!opts_valid(o))
		return NULL;
	l = calloc(1, sizeof(*l));
	if (!l)
		return NULL;
	l->opts = *o;
	l->era = PF_ERA_UNKNOWN;
	snprintf(l->key, sizeof(l->key), "%s", o->key);
	snprintf(l->process_name, sizeof(l->process_name), "%s",
		 o->process_name);
	snprintf(l->region, sizeof(l->region), "%s", o->region);
	pf_rng_seed(&l->rng, o->seed);
	return l;
}

void pf_lease_free(struct pf_lease *l)
{
	free(l);
}

/* Ticks after 50-100 % of @span, so that candidates don't write at once. */
static void schedule_jittered(struct pf_lease *l, pf_ms span)
{
	pf_ms half = span / 2;

	l->next_tick_at =
		l->now + half + pf_rng_below(&l->rng, (uint32_t)half + 1);
}

static int parse_row(const struct pf_table_row *in, struct lease_row *out)
{
	char text[VALUE_BYTES_MAX];

	*out = (struct lease_row){ .revision = in->revision };
	if (!in->revision)
		return 0;
	if (in->value.n >= sizeof(text))
		return -1;
	memcpy(text, in->value.p, in->value.n);
	text[in->value.n] = '\0';
	return sscanf(text, "%" SCNu64 " %" SCNu64 " %" SCNu64, &out->holder,
		      &out->epoch, &out->heartbeat) == 3
		       ? 0
		       : -1;
}

static uint64_t begin_request(struct pf_lease *l)
{
	l->in_flight = true;
	l->requested_at = l->now;
	l->next_tick_at = l->now + l->opts.table_timeout;
	return ++l->seq;
}

static void send_get(struct pf_lease *l, const struct pf_lease_sink *sink)
{
	struct pf_lease_act act = { .type = PF_LEASE_GET,
				    .seq = begin_request(l) };

	act.u.key = pf_str_c(l->key);
	sink->emit(sink->ctx, &act);
}

static char *audit_text(const struct pf_lease *l)
{
	struct pf_audit a = { .wall_time = l->wall_time };

	snprintf(a.stamp.who, sizeof(a.stamp.who), "%s", l->process_name);
	snprintf(a.region, sizeof(a.region), "%s", l->region);
	snprintf(a.what, sizeof(a.what), "takeover %.64s", l->key);
	a.stamp.revision = l->config_revision;
	return pf_row_audit_text(&a);
}

/* Sorts after the audit row of the configuration in force; one per epoch. */
static void audit_key(const struct pf_lease *l, uint64_t epoch, char *key)
{
	struct pf_str k = pf_row_audit_key(key, l->config_revision);

	snprintf(key + k.n, PF_ROW_KEY_MAX - k.n, "-%s-%" PRIu64, l->key,
		 epoch);
}

/* Writes the row with the next heartbeat, conditional on its revision. */
static void write_row(struct pf_lease *l, uint64_t holder, uint64_t epoch,
		      const struct pf_lease_sink *sink)
{
	struct pf_lease_act act = { .type = PF_LEASE_TXN };
	struct pf_table_check check = { pf_str_c(l->key), l->row.revision };
	struct pf_table_put puts[2] = { { .key = check.key } };
	bool takeover = holder && epoch != l->row.epoch;
	char value[VALUE_BYTES_MAX], key[PF_ROW_KEY_MAX];
	char *audit = takeover ? audit_text(l) : NULL;

	if (l->last_heartbeat < l->row.heartbeat)
		l->last_heartbeat = l->row.heartbeat;
	l->last_heartbeat++;
	snprintf(value, sizeof(value), "%" PRIu64 " %" PRIu64 " %" PRIu64,
		 holder, epoch, l->last_heartbeat);
	puts[0].value = pf_str_c(value);
	act.u.txn.checks = &check;
	act.u.txn.n_checks = 1;
	act.u.txn.puts = puts;
	act.u.txn.n_puts = 1;
	if (audit) {
		audit_key(l, epoch, key);
		puts[1].key = pf_str_c(key);
		puts[1].value = pf_str_c(audit);
		act.u.txn.n_puts = 2;
	}
	l->writes[l->n_writes++ % WRITES_MAX] =
		(struct lease_write){ epoch, l->last_heartbeat, l->now, false };
	act.seq = begin_request(l);
	/* No takeover without its audit row, not even out of memory. */
	if (!takeover || audit)
		sink->emit(sink->ctx, &act);
	free(audit);
}

static void set_held(struct pf_lease *l, bool held,
		     const struct pf_lease_sink *sink)
{
	struct pf_lease_act act = { .type = PF_LEASE_HELD_CHANGED };

	if (l->held == held)
		return;
	l->held = held;
	act.u.held = held;
	sink->emit(sink->ctx, &act);
}

/* Finds the write by this process that the row shows, or NULL. */
static struct lease_write *find_own_write(struct pf_lease *l)
{
	if (l->row.holder != l->opts.holder_id)
		return NULL;
	for (uint32_t i = 0; i < WRITES_MAX && i < l->n_writes; i++)
		if (l->writes[i].heartbeat == l->row.heartbeat &&
		    l->writes[i].epoch == l->row.epoch)
			return &l->writes[i];
	return NULL;
}

/*
 * Held if the row shows a write by this process. Expires `duration` less
 * `clock_margin` after that write was sent.
 */
static void update_held(struct pf_lease *l, const struct pf_lease_sink *sink)
{
	struct lease_write *w = find_own_write(l);
	pf_ms from = w ? w->sent_at : 0;

#ifdef PF_MUTANT_LEASE_SENT
	from = l->now;
#endif
	if (w)
		w->seen = true;
	if (w)
		l->expires_at = from + l->opts.duration - l->opts.clock_margin;
	set_held(l, w && !l->stopped && l->now < l->expires_at, sink);
}

/* Sends the next heartbeat, or schedules it. */
static void renew_if_due(struct pf_lease *l, pf_ms sent_at,
			 const struct pf_lease_sink *sink)
{
	if (l->now - sent_at >= l->opts.heartbeat_interval)
		write_row(l, l->opts.holder_id, l->row.epoch, sink);
	else
		l->next_tick_at = sent_at + l->opts.heartbeat_interval;
}

/* Whether all grants have expired that the row lacks since a restore. */
static bool lost_grants_expired(const struct pf_lease *l)
{
#ifdef PF_MUTANT_LEASE_RESTORE
	return true;
#endif
	return l->era == PF_ERA_UNKNOWN ||
	       l->now - l->era_seen_at >= l->opts.duration;
}

/* Epochs of a lost copy are not used again. */
static uint64_t next_epoch(const struct pf_lease *l)
{
	uint64_t first = l->era == PF_ERA_UNKNOWN ? 0 : (uint64_t)l->era << 32;

	return l->row.epoch + 1 > first ? l->row.epoch + 1 : first;
}

/* Releases, renews or takes the lease, as the row just read allows. */
static void act_on_row(struct pf_lease *l, const struct pf_lease_sink *sink)
{
	const struct lease_write *w = find_own_write(l);

	if (l->stopped) {
		l->next_tick_at = PF_NEVER;
		if (w)
			write_row(l, 0, l->row.epoch, sink);
	} else if (w && l->held) {
		renew_if_due(l, w->sent_at, sink);
	} else if (l->opts.observe_only) {
		schedule_jittered(l, l->opts.heartbeat_interval);
	} else if (lost_grants_expired(l) &&
		   (!l->row.holder ||
		    l->now - l->row_seen_at >= l->opts.duration)) {
		/* A holder that renewed too late waits like the others. */
		write_row(l, l->opts.holder_id, next_epoch(l), sink);
	} else {
		schedule_jittered(l, l->opts.heartbeat_interval);
	}
}

static void on_get_done(struct pf_lease *l, const struct pf_lease_msg *m,
			const struct pf_lease_sink *sink)
{
	struct lease_row row;

	l->in_flight = false;
	schedule_jittered(l, l->opts.heartbeat_interval);
	if (m->u.row.status != PF_TABLE_OK ||
	    parse_row(&m->u.row.row, &row) < 0)
		return;
	if (!l->row_known || row.revision != l->row.revision)
		l->row_seen_at = l->now;
	l->row_known = true;
	l->row = row;
	update_held(l, sink);
	act_on_row(l, sink);
}

/* Reads the row, which shows the outcome; LIMITED wrote nothing. */
static void on_txn_done(struct pf_lease *l, const struct pf_lease_msg *m,
			const struct pf_lease_sink *sink)
{
	l->in_flight = false;
	if (l->stopped) {
		l->next_tick_at = PF_NEVER;
		return;
	}
	if (m->u.status == PF_TABLE_LIMITED)
		schedule_jittered(l, l->opts.heartbeat_interval);
	else
		send_get(l, sink);
}

/*
 * Reads the row again. A write that no read has shown may still be carried out,
 * on a revision that another row has by now: it grants nothing.
 */
static void on_era(struct pf_lease *l, int64_t era,
		   const struct pf_lease_sink *sink)
{
	if (era == l->era)
		return;
	l->era = era;
	l->era_seen_at = l->now;
	l->row_known = false;
#ifndef PF_MUTANT_LEASE_LATE_WRITE
	for (uint32_t i = 0; i < WRITES_MAX; i++) {
		if (!l->writes[i].seen)
			l->writes[i] = (struct lease_write){ 0 };
	}
#endif
	if (!l->stopped)
		send_get(l, sink);
}

static void on_tick(struct pf_lease *l, const struct pf_lease_sink *sink)
{
	if (l->now < l->next_tick_at)
		return;
	if (l->in_flight) {
		/* Timed out; a late answer has an old seq and is ignored. */
		l->in_flight = false;
		l->seq++;
	}
	if (l->stopped && !l->row.holder)
		l->next_tick_at = PF_NEVER;
	else
		send_get(l, sink);
}

static void on_stop(struct pf_lease *l, const struct pf_lease_sink *sink)
{
	bool held = l->held;

	l->stopped = true;
	set_held(l, false, sink);
	l->next_tick_at = PF_NEVER;
	if (held && !l->in_flight)
		write_row(l, 0, l->row.epoch, sink);
}

void pf_lease_step(struct pf_lease *l, pf_ms now, const struct pf_lease_msg *m,
		   const struct pf_lease_sink *sink)
{
	l->now = now;
	if (m->wall_time)
		l->wall_time = m->wall_time;
#ifndef PF_MUTANT_LEASE_GIVE_UP
	/* Checked first: a process that was paused no longer holds it. */
	if (l->held && now >= l->expires_at)
		set_held(l, false, sink);
#endif
	switch (m->type) {
	case PF_LEASE_GET_DONE:
		if (l->in_flight && m->seq == l->seq)
			on_get_done(l, m, sink);
		break;
	case PF_LEASE_TXN_DONE:
		if (l->in_flight && m->seq == l->seq)
			on_txn_done(l, m, sink);
		break;
	case PF_LEASE_CONFIG:
		l->config_revision = m->u.config_revision;
		break;
	case PF_LEASE_ERA:
		on_era(l, m->u.era, sink);
		break;
	case PF_LEASE_STOP:
		on_stop(l, sink);
		break;
	case PF_LEASE_TICK:
		on_tick(l, sink);
		break;
	}
}

pf_ms pf_lease_next(const struct pf_lease *l)
{
	return l->held && l->expires_at < l->next_tick_at ? l->expires_at
							  : l->next_tick_at;
}

bool pf_lease_is_held(const struct pf_lease *l, pf_ms now)
{
	return l->held && now < l->expires_at;
}

uint64_t pf_lease_epoch(const struct pf_lease *l)
{
	return l->row.epoch;
}

uint64_t pf_lease_holder(const struct pf_lease *l)
{
	return l->row.holder;
}
