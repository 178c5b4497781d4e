/*
 * Distribution of accepted configurations in virtual time: time from the commit
 * until the last process has it, bytes between regions and bytes per process.
 */
#include "bench/spread.h"

#include "fuzz/spread_rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WARMUP_MS 10000
#define CHANGE_GAP_MS 20000
#define IDLE_MS 60000
#define AGENT_SESSIONS 11
#define NEIGHBOURS_MAX 64

struct size {
	const char *name;
	uint32_t regions;
	uint32_t entries[9]; /* by region */
	uint32_t agents[9];
	uint32_t sessions; /* of an entry, with agents */
	uint32_t changes;
	bool sparse; /* entries have sessions with ring neighbours only */
};

struct fault {
	const char *name;
	double loss_rate;
	bool relays_dead; /* of the accepting region, at each change */
	bool acceptor_dead; /* right after its commit */
};

static const struct size current_size = { .name = "today",
					  .regions = 2,
					  .entries = { 2, 1 },
					  .agents = { 15, 8 },
					  .sessions = 64,
					  .changes = 200 };
static const struct size target_size = {
	.name = "letter",
	.regions = 9,
	.entries = { 189, 189, 189, 189, 189, 189, 189, 189, 189 },
	.agents = { 1100, 1100, 1100, 1100, 1100, 1100, 1100, 1100, 1100 },
	.sessions = 64,
	.changes = 6,
	.sparse = true
};

static const struct fault faults[] = {
	{ .name = "none" },
	{ .name = "loss", .loss_rate = 0.1 },
	{ .name = "acceptor_dead", .loss_rate = 0.1, .acceptor_dead = true },
	{ .name = "relays_dead", .loss_rate = 0.1, .relays_dead = true },
};

struct net {
	struct spread_rig *g;
	const struct size *size;
	uint32_t first_proc[9]; /* by region: its first entry, agents follow */
};

static void link_region(struct net *n, uint32_t r)
{
	uint32_t entries = n->size->entries[r];
	uint32_t agents = n->size->agents[r];
	uint32_t base = n->first_proc[r];
	uint64_t ids[512];
	uint64_t order[512];
	uint64_t out[NEIGHBOURS_MAX];

	for (uint32_t i = 0; i < entries; i++)
		ids[i] = spread_rig_proc(n->g, base + i)->id;
	for (uint32_t i = 0; i < entries; i++) {
		uint32_t k;

		memcpy(order, ids, entries * sizeof(*ids));
		k = pf_spread_neighbours(order, entries, ids[i], out,
					 NEIGHBOURS_MAX);
		for (uint32_t j = 0; j < k; j++)
			spread_rig_link(n->g, base + i, (uint32_t)out[j] - 1);
		spread_rig_set_members(n->g, base + i, ids, entries);
	}
	for (uint32_t a = 0; a < agents; a++) {
		uint32_t me = base + entries + a;
		uint32_t want =
			entries < AGENT_SESSIONS ? entries : AGENT_SESSIONS;

		for (uint32_t j = 0; j < want; j++)
			spread_rig_link(
				n->g, me,
				base + (uint32_t)(pf_id2(a, j) % entries));
		spread_rig_set_members(n->g, me, ids, entries);
	}
}

static int by_rank(const void *a, const void *b)
{
	uint64_t x = ((const uint64_t *)a)[1];
	uint64_t y = ((const uint64_t *)b)[1];

	return x < y ? -1 : x > y;
}

/* The @k-th entry of a region by rendezvous hashing. */
static uint32_t relay_proc(const struct net *n, uint32_t r, uint32_t k)
{
	uint64_t v[512][2];

	for (uint32_t i = 0; i < n->size->entries[r]; i++) {
		v[i][0] = n->first_proc[r] + i;
		v[i][1] = pf_id2(r + 1, n->first_proc[r] + i + 1);
	}
	qsort(v, n->size->entries[r], sizeof(v[0]), by_rank);
	return (uint32_t)v[k][0];
}

static uint32_t count_relays(const struct net *n, uint32_t r)
{
	return n->size->entries[r] < 2 ? n->size->entries[r] : 2;
}

static void link_relays(struct net *n, uint32_t a, uint32_t b)
{
	for (uint32_t i = 0; i < count_relays(n, a); i++)
		for (uint32_t j = 0; j < count_relays(n, b); j++)
			spread_rig_link(n->g, relay_proc(n, a, i),
					relay_proc(n, b, j));
}

/* Opens sessions between each entry and all other processes. */
static void link_all(struct net *n)
{
	uint32_t count = spread_rig_count(n->g);

	for (uint32_t i = 0; i < count; i++)
		for (uint32_t j = 0; j < i; j++)
			if (spread_rig_proc(n->g, i)->is_entry ||
			    spread_rig_proc(n->g, j)->is_entry)
				spread_rig_link(n->g, i, j);
}

static void build_net(struct net *n, const struct size *z,
		      const struct fault *f, uint64_t seed)
{
	struct spread_rig_opts o = { .seed = seed,
				     .records = 12,
				     .loss_rate = f->loss_rate,
				     .region_delay = 1,
				     .cross_region_delay = 12,
				     .jitter = 2 };

	pf_spread_opts_default(&o.core);
	o.core.peers_max = 512;
	o.core.members_max = 512;
	o.core.history_max = 64;
	for (uint32_t r = 0; r < z->regions; r++)
		o.procs_max += z->entries[r] + z->agents[r];
	n->size = z;
	n->g = spread_rig_new(&o);
	for (uint32_t r = 0; r < z->regions; r++) {
		n->first_proc[r] = spread_rig_count(n->g);
		for (uint32_t i = 0; i < z->entries[r] + z->agents[r]; i++)
			spread_rig_add_proc(n->g, r, i < z->entries[r]);
	}
	if (!z->sparse) {
		link_all(n);
		return;
	}
	for (uint32_t r = 0; r < z->regions; r++) {
		link_region(n, r);
		for (uint32_t q = 0; q < r; q++)
			link_relays(n, q, r);
	}
}

/* Returns -1 if a running process doesn't have it. */
static pf_ms time_to_last(struct net *n, uint64_t revision, pf_ms since)
{
	pf_ms worst = 0;

	for (uint32_t i = 0; i < spread_rig_count(n->g); i++) {
		const struct spread_rig_proc *p = spread_rig_proc(n->g, i);

		if (!p->up)
			continue;
		if (p->adopted_revision != revision)
			return -1;
		if (p->adopted_at - since > worst)
			worst = p->adopted_at - since;
	}
	return worst;
}

static int by_ms(const void *a, const void *b)
{
	pf_ms x = *(const pf_ms *)a;
	pf_ms y = *(const pf_ms *)b;

	return x < y ? -1 : x > y;
}

/* Accepts one change; processes killed for it are restarted afterwards. */
static pf_ms run_change(struct net *n, const struct fault *f, uint32_t k)
{
	uint32_t r = k % n->size->regions;
	uint32_t acceptor =
		n->first_proc[r] + k / n->size->regions % n->size->entries[r];
	uint32_t dead = f->relays_dead ? count_relays(n, r) : 0;
	pf_ms since = spread_rig_now(n->g);
	uint64_t revision;
	pf_ms took;

	/* The change is accepted by an entry of another region. */
	if (f->relays_dead)
		acceptor = n->first_proc[(r + 1) % n->size->regions];
	for (uint32_t i = 0; i < dead; i++)
		spread_rig_kill(n->g, relay_proc(n, r, i));
	if (f->acceptor_dead)
		spread_rig_kill(n->g, acceptor);
	revision = spread_rig_accept(n->g, acceptor);
	spread_rig_run(n->g, since + CHANGE_GAP_MS);
	took = time_to_last(n, revision, since);
	for (uint32_t i = 0; i < spread_rig_count(n->g); i++)
		if (!spread_rig_proc(n->g, i)->up)
			spread_rig_restart(n->g, i);
	spread_rig_run(n->g, since + CHANGE_GAP_MS + WARMUP_MS);
	return took;
}

/* Mean of the bytes sent and received by a process. */
static uint64_t proc_bytes(struct net *n, uint64_t *max)
{
	uint32_t count = spread_rig_count(n->g);
	uint64_t sum = 0;

	*max = 0;
	for (uint32_t i = 0; i < count; i++) {
		const struct spread_rig_proc *p = spread_rig_proc(n->g, i);
		uint64_t b = p->bytes_out + p->bytes_in;

		sum += b;
		if (b > *max)
			*max = b;
	}
	return count ? sum / count : 0;
}

struct usage {
	uint64_t mean, max; /* bytes of a process */
	uint64_t cross_region; /* bytes */
	uint64_t messages;
	uint64_t reads;
};

static struct usage usage_of(struct net *n)
{
	const struct spread_rig_stats *st = spread_rig_stats(n->g);
	struct usage u = { .cross_region = st->cross_region_bytes,
			   .messages = st->messages,
			   .reads = st->table_reads };

	u.mean = proc_bytes(n, &u.max);
	return u;
}

/* Bytes per second between regions without any change. */
static double measure_idle_bytes(const struct size *z, const struct fault *f,
				 uint64_t seed)
{
	struct net n = { 0 };
	struct usage a, b;

	build_net(&n, z, f, seed);
	spread_rig_run(n.g, WARMUP_MS);
	a = usage_of(&n);
	spread_rig_run(n.g, WARMUP_MS + IDLE_MS);
	b = usage_of(&n);
	printf("bench: what=spread_idle size=%s faults=%s "
	       "node_bytes_per_s=%.0f link_bytes_per_s=%.0f\n",
	       z->name, f->name, (double)(b.mean - a.mean) * 1000 / IDLE_MS,
	       (double)(b.cross_region - a.cross_region) * 1000 / IDLE_MS);
	spread_rig_free(n.g);
	return (double)(b.cross_region - a.cross_region) * 1000 / IDLE_MS;
}

static void print_case(const struct size *z, const struct fault *f,
		       uint64_t seed, const pf_ms *took, uint32_t late)
{
	printf("bench: what=spread size=%s seed=%llu faults=%s changes=%u "
	       "late=%u in_force_ms_p50=%lld in_force_ms_p99=%lld "
	       "in_force_ms_max=%lld ",
	       z->name, (unsigned long long)seed, f->name, z->changes, late,
	       (long long)took[z->changes / 2],
	       (long long)took[(z->changes * 99 + 99) / 100 - 1],
	       (long long)took[z->changes - 1]);
}

static void run_case(const struct size *z, const struct fault *f, uint64_t seed)
{
	struct net n = { 0 };
	pf_ms *took = calloc(z->changes, sizeof(*took));
	double idle = measure_idle_bytes(z, f, seed);
	double s = (double)z->changes * (CHANGE_GAP_MS + WARMUP_MS) / 1000;
	uint32_t late = 0;
	struct usage a, b;

	if (!took)
		abort();
	build_net(&n, z, f, seed);
	spread_rig_run(n.g, WARMUP_MS);
	a = usage_of(&n);
	for (uint32_t k = 0; k < z->changes; k++) {
		took[k] = run_change(&n, f, k);
		late += took[k] < 0;
	}
	b = usage_of(&n);
	qsort(took, z->changes, sizeof(*took), by_ms);
	print_case(z, f, seed, took, late);
	printf("link_bytes_per_change=%.0f node_bytes_per_s=%.0f "
	       "node_bytes_per_s_max=%.0f messages_per_node_s=%.1f "
	       "table_reads_per_s=%.2f violations=%llu\n",
	       ((double)(b.cross_region - a.cross_region) - idle * s) /
		       z->changes,
	       (double)(b.mean - a.mean) / s, (double)(b.max - a.max) / s,
	       (double)(b.messages - a.messages) / s / spread_rig_count(n.g),
	       (double)(b.reads - a.reads) / s,
	       (unsigned long long)spread_rig_stats(n.g)->violations);
	fflush(stdout);
	spread_rig_free(n.g);
	free(took);
}

void bench_spread(uint64_t seed)
{
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		run_case(&current_size, &faults[i], seed);
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		run_case(&target_size, &faults[i], seed);
}
