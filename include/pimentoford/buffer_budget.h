/*
 * Buffer budget: one bound on the bytes that a gateway holds for its callers
 * and endpoints. It addresses callers that read slowly or not at all: what is
 * buffered for them would otherwise grow until the process is killed for its
 * memory. Decides what may be held, when reading from an endpoint stops, and
 * whose request ends. Does no I/O; each call takes logarithmic time, amortized.
 */
#ifndef PIMENTOFORD_BUFFER_BUDGET_H
#define PIMENTOFORD_BUFFER_BUDGET_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** A response that holds no more than this never stops the reading of it. */
#define PF_BUFFER_WINDOW (64 << 10)
/** A new request ends only a reader that has taken nothing for this long. */
#define PF_BUFFER_SLOW_MS 500

struct pf_buffer_budget;
struct pf_buffer_account;

struct pf_buffer_opts {
	int64_t limit; /* bytes of all connections; above 0 */
	uint32_t accounts_max; /* beyond: counted with those without one */
};

/** Bytes that a connection of a caller holds, with its request. */
struct pf_buffer_amounts {
	int64_t request; /* read from the caller, until the request ends */
	int64_t response; /* not yet written to the caller */
	int64_t unsent; /* not yet written to the endpoint */
};

/** A node of a pairing heap, ordered by key, the least first. */
struct pf_buffer_node {
	struct pf_buffer_node *child, *next;
	struct pf_buffer_node *prev; /* or the parent, for a first child */
	int64_t key;
};

/** A connection of a caller. The owner zeroes it and sets `ctx`. */
struct pf_buffer_holder {
	void *ctx; /* of the owner */
	/* The rest belongs to the budget. */
	struct pf_buffer_node by_read_at;
	struct pf_buffer_amounts held;
	struct pf_buffer_account *account; /* NULL: holds nothing */
	uint64_t account_id;
	pf_ms read_at; /* when its caller last took bytes, or had none to take */
	int rank; /* of the bytes of its response; -1: none */
	bool paused; /* reading its response from the endpoint has stopped */
	struct pf_buffer_holder *paused_next, *paused_prev;
};

/** NULL if options are out of range or memory runs out. */
struct pf_buffer_budget *pf_buffer_new(const struct pf_buffer_opts *o);
void pf_buffer_free(struct pf_buffer_budget *b);

/**
 * Sets what @h holds for @account (0: none). @reads: its caller has taken bytes
 * since the last call, or has none to take.
 */
void pf_buffer_set(struct pf_buffer_budget *b, pf_ms now,
		   struct pf_buffer_holder *h, uint64_t account,
		   const struct pf_buffer_amounts *a, bool reads);

/** @h holds nothing more and is about to be freed. */
void pf_buffer_remove(struct pf_buffer_budget *b, struct pf_buffer_holder *h);

enum pf_buffer_verdict {
	PF_BUFFER_FITS,
	PF_BUFFER_END, /* end *@end, then ask again */
	PF_BUFFER_REJECT, /* the new request doesn't fit */
};

/** Whether @h may hold @n further bytes of a request that has not begun. */
enum pf_buffer_verdict pf_buffer_ask(struct pf_buffer_budget *b, pf_ms now,
				     const struct pf_buffer_holder *h,
				     int64_t n, struct pf_buffer_holder **end);

/** The holder to end now, since the bound is exceeded; NULL: none. */
struct pf_buffer_holder *pf_buffer_excess(struct pf_buffer_budget *b,
					  pf_ms now);

/** Whether reading the response of @h from its endpoint should be stopped. */
bool pf_buffer_pauses(const struct pf_buffer_budget *b,
		      const struct pf_buffer_holder *h);

/** Records that reading the response of @h has stopped or goes on. */
void pf_buffer_set_paused(struct pf_buffer_budget *b,
			  struct pf_buffer_holder *h, bool paused);

/**
 * The next paused holder that may be read again; NULL: none of the few that
 * were looked at.
 */
struct pf_buffer_holder *pf_buffer_resumable(struct pf_buffer_budget *b);

/** The paused holder that this returned longest ago, or never; NULL: none. */
struct pf_buffer_holder *pf_buffer_next_paused(struct pf_buffer_budget *b);

struct pf_buffer_stats {
	struct pf_buffer_amounts held; /* by all */
	int64_t limit;
	int64_t room; /* below the amount at which reading stops; or negative */
	uint32_t accounts; /* that hold something */
	uint32_t paused;
	bool full; /* the bound was reached and is not yet well undercut */
};

void pf_buffer_stats(const struct pf_buffer_budget *b,
		     struct pf_buffer_stats *s);

/** The requests in flight at an endpoint; zero at first. */
struct pf_buffer_endpoint {
	int64_t bytes;
	uint32_t requests;
};

/**
 * Whether the endpoint may get a request of @n bytes: within @limit (0: none),
 * or as its only one.
 */
bool pf_buffer_endpoint_admits(const struct pf_buffer_endpoint *e,
			       int64_t limit, int64_t n);

PF_END_DECLS

#endif
