/*
 * Buffer budget. Addresses slow readers: the bytes held for them must stay
 * within the memory of the process, without harm to callers that read and to
 * the other client accounts.
 *
 * Holders with a response are ranked by its bytes in powers of two; within a
 * rank, the one whose caller took nothing for longest is first. The slowest
 * reader is the greatest product of bytes and time among the first ones of the
 * ranks, which is within a factor of two of the greatest of all.
 */
#include "pimentoford/buffer_budget.h"

#include "pimentoford/map.h"

#include <stdlib.h>

/* Up to 1 KiB, 2 KiB, ... 4 GiB and more. */
#define RANKS 23
#define RANK_BYTES_MIN 1024
/* Reading stops beyond 7/8 of the bound, which leaves the rest for requests and
 * for callers that read; it goes on below 13/16, so that it doesn't stop again
 * at the next read. */
#define PAUSE_SIXTEENTHS 14
#define RESUME_SIXTEENTHS 13
/* Beyond the bound, readers end until there is room for small requests. */
#define EXCESS_SIXTEENTHS 15
/* Paused holders looked at in one call. */
#define RESUME_TRIES 4

struct pf_buffer_account {
	struct pf_buffer_node by_held; /* while it has a response; key: -held */
	uint64_t id;
	int64_t held;
	uint32_t n_holders; /* that hold something */
	uint32_t n_responses; /* of these, with bytes of a response */
	struct pf_buffer_node *ranks[RANKS];
};

struct pf_buffer_budget {
	struct pf_buffer_opts opts;
	struct pf_map slots; /* account -> slot */
	struct pf_buffer_account *accounts; /* slot 0: without an account */
	uint32_t *free_slots;
	uint32_t n_free;
	uint32_t n_holding; /* accounts that hold something */
	struct pf_buffer_node *by_held;
	struct pf_buffer_amounts held;
	struct pf_buffer_holder *paused_head, *paused_tail;
	uint32_t n_paused;
	bool full;
	bool exceeded; /* readers end until EXCESS_SIXTEENTHS */
};

#define CONTAINER(type, member, p) \
	((type *)(void *)((char *)(p)-offsetof(type, member)))

static struct pf_buffer_node *meld(struct pf_buffer_node *a,
				   struct pf_buffer_node *b)
{
	struct pf_buffer_node *t;

	if (!a || !b)
		return a ? a : b;
	if (b->key < a->key) {
		t = a;
		a = b;
		b = t;
	}
	b->next = a->child;
	if (b->next)
		b->next->prev = b;
	b->prev = a;
	a->child = b;
	return a;
}

static struct pf_buffer_node *meld_pairs(struct pf_buffer_node *first)
{
	struct pf_buffer_node *pairs = NULL;
	struct pf_buffer_node *root = NULL;

	while (first) {
		struct pf_buffer_node *a = first;
		struct pf_buffer_node *b = a->next;

		first = b ? b->next : NULL;
		a->next = a->prev = NULL;
		if (b)
			b->next = b->prev = NULL;
		a = meld(a, b);
		a->next = pairs;
		pairs = a;
	}
	while (pairs) {
		struct pf_buffer_node *next = pairs->next;

		pairs->next = NULL;
		root = meld(root, pairs);
		pairs = next;
	}
	return root;
}

static void heap_add(struct pf_buffer_node **root, struct pf_buffer_node *n,
		     int64_t key)
{
	*n = (struct pf_buffer_node){ .key = key };
	*root = meld(*root, n);
}

static void heap_remove(struct pf_buffer_node **root, struct pf_buffer_node *n)
{
	struct pf_buffer_node *rest = meld_pairs(n->child);

	if (n == *root) {
		*root = rest;
		return;
	}
	if (n->prev->child == n)
		n->prev->child = n->next;
	else
		n->prev->next = n->next;
	if (n->next)
		n->next->prev = n->prev;
	*root = meld(*root, rest);
}

static int64_t total(const struct pf_buffer_amounts *a)
{
	return a->request + a->response + a->unsent;
}

static int rank_of(int64_t bytes)
{
	int rank = 0;

	if (bytes <= 0)
		return -1;
	while (bytes > RANK_BYTES_MIN && rank < RANKS - 1) {
		bytes = (bytes + 1) / 2;
		rank++;
	}
	return rank;
}

struct pf_buffer_budget *pf_buffer_new(const struct pf_buffer_opts *o)
{
	struct pf_buffer_budget *b;
	uint32_t i;

	if (o->limit <= 0 || o->accounts_max == 0)
		return NULL;
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	b->opts = *o;
	b->accounts = calloc(o->accounts_max + 1, sizeof(*b->accounts));
	b->free_slots = calloc(o->accounts_max, sizeof(*b->free_slots));
	if (!b->accounts || !b->free_slots ||
	    pf_map_init(&b->slots, o->accounts_max) < 0) {
		pf_buffer_free(b);
		return NULL;
	}
	for (i = 0; i < o->accounts_max; i++)
		b->free_slots[b->n_free++] = o->accounts_max - i;
	return b;
}

void pf_buffer_free(struct pf_buffer_budget *b)
{
	if (!b)
		return;
	pf_map_free(&b->slots);
	free(b->accounts);
	free(b->free_slots);
	free(b);
}

/* The account of @id, with a slot from now on. */
static struct pf_buffer_account *open_account(struct pf_buffer_budget *b,
					      uint64_t id)
{
	uint32_t slot = 0;

	if (!id || pf_map_get(&b->slots, pf_key1(id), &slot) == 0)
		return &b->accounts[slot];
	if (b->n_free == 0 ||
	    pf_map_put(&b->slots, pf_key1(id), b->free_slots[b->n_free - 1]))
		return &b->accounts[0];
	slot = b->free_slots[--b->n_free];
	b->accounts[slot] = (struct pf_buffer_account){ .id = id };
	return &b->accounts[slot];
}

static void close_account(struct pf_buffer_budget *b,
			  struct pf_buffer_account *a)
{
	if (a->id) {
		pf_map_del(&b->slots, pf_key1(a->id));
		b->free_slots[b->n_free++] = (uint32_t)(a - b->accounts);
	}
}

static void add_amounts(struct pf_buffer_budget *b,
			const struct pf_buffer_amounts *a, int sign)
{
	b->held.request += sign * a->request;
	b->held.response += sign * a->response;
	b->held.unsent += sign * a->unsent;
}

/* Takes out of the sums and heaps what @h holds. */
static void take_out(struct pf_buffer_budget *b, struct pf_buffer_holder *h)
{
	struct pf_buffer_account *a = h->account;

	if (!a)
		return;
	if (a->n_responses)
		heap_remove(&b->by_held, &a->by_held);
	a->held -= total(&h->held);
	add_amounts(b, &h->held, -1);
	if (h->rank >= 0) {
		heap_remove(&a->ranks[h->rank], &h->by_read_at);
		a->n_responses--;
	}
	if (a->n_responses)
		heap_add(&b->by_held, &a->by_held, -a->held);
	if (--a->n_holders == 0) {
		b->n_holding--;
		close_account(b, a);
	}
	h->account = NULL;
}

static void put_in(struct pf_buffer_budget *b, struct pf_buffer_holder *h)
{
	struct pf_buffer_account *a = open_account(b, h->account_id);

	h->account = a;
	h->rank = rank_of(h->held.response);
	if (a->n_holders++ == 0)
		b->n_holding++;
	if (a->n_responses)
		heap_remove(&b->by_held, &a->by_held);
	a->held += total(&h->held);
	add_amounts(b, &h->held, 1);
	if (h->rank >= 0) {
		heap_add(&a->ranks[h->rank], &h->by_read_at, h->read_at);
		a->n_responses++;
	}
	if (a->n_responses)
		heap_add(&b->by_held, &a->by_held, -a->held);
}

static int64_t sixteenths(int64_t bytes, int n)
{
	return bytes / 16 * n;
}

static void update_full(struct pf_buffer_budget *b)
{
	int64_t held = total(&b->held);

	if (held > b->opts.limit)
		b->exceeded = true;
	else if (held <= sixteenths(b->opts.limit, EXCESS_SIXTEENTHS))
		b->exceeded = false;
	if (held > b->opts.limit)
		b->full = true;
	else if (held <= sixteenths(b->opts.limit, RESUME_SIXTEENTHS))
		b->full = false;
}

void pf_buffer_set(struct pf_buffer_budget *b, pf_ms now,
		   struct pf_buffer_holder *h, uint64_t account,
		   const struct pf_buffer_amounts *a, bool reads)
{
	take_out(b, h);
	if (reads || h->held.response == 0)
		h->read_at = now;
	h->held = *a;
	h->account_id = account;
	if (total(a) > 0)
		put_in(b, h);
	update_full(b);
}

void pf_buffer_remove(struct pf_buffer_budget *b, struct pf_buffer_holder *h)
{
	pf_buffer_set_paused(b, h, false);
	take_out(b, h);
	update_full(b);
}

/* What each account that holds something may hold. */
static int64_t share(const struct pf_buffer_budget *b, bool one_more)
{
	uint32_t n = b->n_holding + one_more;

	return b->opts.limit / (n ? n : 1);
}

/* Among those that took nothing for @age_min; NULL: none. */
static struct pf_buffer_holder *
slowest_reader(const struct pf_buffer_account *a, pf_ms now, pf_ms age_min)
{
	struct pf_buffer_holder *slowest = NULL;
	double greatest = 0;
	int i;

	for (i = 0; i < RANKS; i++) {
		struct pf_buffer_holder *h;
		pf_ms age;
		double product;

		if (!a->ranks[i])
			continue;
		h = CONTAINER(struct pf_buffer_holder, by_read_at, a->ranks[i]);
		age = now - h->read_at;
		product = ((double)age + 1) * (double)h->held.response;
		if (age >= age_min && product > greatest) {
			slowest = h;
			greatest = product;
		}
	}
	return slowest;
}

/* The account with a response that is furthest above the share; NULL: none. */
static struct pf_buffer_account *
furthest_above(const struct pf_buffer_budget *b)
{
	return b->by_held ? CONTAINER(struct pf_buffer_account, by_held,
				      b->by_held)
			  : NULL;
}

enum pf_buffer_verdict pf_buffer_ask(struct pf_buffer_budget *b, pf_ms now,
				     const struct pf_buffer_holder *h,
				     int64_t n, struct pf_buffer_holder **end)
{
	struct pf_buffer_account *a = furthest_above(b);
	int64_t held;

	*end = NULL;
	if (n <= b->opts.limit - total(&b->held))
		return PF_BUFFER_FITS;
	b->full = true;
	/* No end of others makes room for it. */
	if (!a || n > b->opts.limit)
		return PF_BUFFER_REJECT;
	held = a->held + (h->account == a ? n : 0);
	if (held <= share(b, !h->account))
		return PF_BUFFER_REJECT;
	*end = slowest_reader(a, now, PF_BUFFER_SLOW_MS);
	if (*end == h)
		*end = NULL;
	return *end ? PF_BUFFER_END : PF_BUFFER_REJECT;
}

struct pf_buffer_holder *pf_buffer_excess(struct pf_buffer_budget *b, pf_ms now)
{
	struct pf_buffer_account *a = furthest_above(b);

	if (!b->exceeded || !a ||
	    a->held <= sixteenths(share(b, false), EXCESS_SIXTEENTHS))
		return NULL;
	return slowest_reader(a, now, 0);
}

/* Whether all together, and the account of @h, hold more than @n sixteenths. */
static bool holds_more_than(const struct pf_buffer_budget *b,
			    const struct pf_buffer_holder *h, int n)
{
	return total(&b->held) > sixteenths(b->opts.limit, n) &&
	       h->account->held > sixteenths(share(b, false), n);
}

bool pf_buffer_pauses(const struct pf_buffer_budget *b,
		      const struct pf_buffer_holder *h)
{
	if (!h->account || h->held.response <= PF_BUFFER_WINDOW / 2)
		return false;
	if (h->paused)
		return holds_more_than(b, h, RESUME_SIXTEENTHS);
	return h->held.response > PF_BUFFER_WINDOW &&
	       holds_more_than(b, h, PAUSE_SIXTEENTHS);
}

static void add_paused(struct pf_buffer_budget *b, struct pf_buffer_holder *h)
{
	h->paused_prev = b->paused_tail;
	h->paused_next = NULL;
	if (b->paused_tail)
		b->paused_tail->paused_next = h;
	else
		b->paused_head = h;
	b->paused_tail = h;
}

static void remove_paused(struct pf_buffer_budget *b,
			  struct pf_buffer_holder *h)
{
	if (h->paused_prev)
		h->paused_prev->paused_next = h->paused_next;
	else
		b->paused_head = h->paused_next;
	if (h->paused_next)
		h->paused_next->paused_prev = h->paused_prev;
	else
		b->paused_tail = h->paused_prev;
}

void pf_buffer_set_paused(struct pf_buffer_budget *b,
			  struct pf_buffer_holder *h, bool paused)
{
	if (h->paused == paused)
		return;
	h->paused = paused;
	if (paused) {
		add_paused(b, h);
		b->n_paused++;
	} else {
		remove_paused(b, h);
		b->n_paused--;
	}
}

struct pf_buffer_holder *pf_buffer_next_paused(struct pf_buffer_budget *b)
{
	struct pf_buffer_holder *h = b->paused_head;

	if (h) {
		remove_paused(b, h);
		add_paused(b, h);
	}
	return h;
}

struct pf_buffer_holder *pf_buffer_resumable(struct pf_buffer_budget *b)
{
	int i;

	for (i = 0; i < RESUME_TRIES; i++) {
		struct pf_buffer_holder *h = pf_buffer_next_paused(b);

		if (h && !pf_buffer_pauses(b, h))
			return h;
	}
	return NULL;
}

void pf_buffer_stats(const struct pf_buffer_budget *b,
		     struct pf_buffer_stats *s)
{
	*s = (struct pf_buffer_stats){
		.held = b->held,
		.limit = b->opts.limit,
		.room = sixteenths(b->opts.limit, PAUSE_SIXTEENTHS) -
			total(&b->held),
		.accounts = b->n_holding,
		.paused = b->n_paused,
		.full = b->full,
	};
}

bool pf_buffer_endpoint_admits(const struct pf_buffer_endpoint *e,
			       int64_t limit, int64_t n)
{
	return !limit || e->requests == 0 || e->bytes + n <= limit;
}
