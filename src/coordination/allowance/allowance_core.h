/* Shared by the files of the allowance core. */
#ifndef SRC_COORDINATION_ALLOWANCE_CORE_H
#define SRC_COORDINATION_ALLOWANCE_CORE_H

#include "pimentoford/allowance.h"
#include "pimentoford/map.h"

#include <sys/queue.h>

/* Without an answer for this long, the own share is used. */
#define ALLOWANCE_ANSWER_MAX_MS 300
/* Credit not used by then is returned; counts from the ask. */
#define ALLOWANCE_CREDIT_MAX_MS 1000
/* Longest interval of digests (daemons/gateway/members.c): a gateway that
 * became home grants after it, when it would have heard of a better one. */
#define ALLOWANCE_WARM_UP_MS 720
/* A peer silent for longer is no home: two remote digests may be lost. */
#define ALLOWANCE_PEER_LIVE_MS 1500
/* A peer silent for longer may use its own share: nothing is granted for it. */
#define ALLOWANCE_PEER_HEARD_MS 1000
/* A peer silent for longer does not count as a gateway. */
#define ALLOWANCE_PEER_COUNTS_MS 60000
/* Without a step for this long, the process was frozen. */
#define ALLOWANCE_FREEZE_MS 1000
#define ALLOWANCE_TICK_MS 120
/* Demand of this time ahead is prefetched. */
#define ALLOWANCE_PREFETCH_MS 250
/* Asks whose time of sending is kept. */
#define ALLOWANCE_SENT_MAX 32
/* Later slots are of no use to callers; they start over. */
#define ALLOWANCE_RETRY_MAX_MS 4000
#define ALLOWANCE_WINDOW_PARTS 8

struct allowance_account;

struct allowance_waiting {
	TAILQ_ENTRY(allowance_waiting) next;
	struct allowance_account *account;
	void *ctx;
	uint32_t weight;
	pf_ms deadline; /* the own share decides then */
	uint64_t first_seq; /* of the first ask that names it; 0: none yet */
};

TAILQ_HEAD(allowance_queue, allowance_waiting);

/** The bucket of an account, while this gateway is its home. */
struct allowance_home {
	bool active;
	pf_ms since;
	uint64_t term;
	double level;
	double idle; /* prefetched credit at peers */
	pf_ms at; /* of the level */
	pf_ms slot_at; /* rejected requests are told to return by then */
};

/** What a peer was granted and has used; kept by the home. */
struct allowance_ledger {
	struct allowance_account *account; /* NULL: free */
	uint64_t peer; /* key */
	uint64_t term;
	uint64_t session;
	uint64_t old_session; /* delayed messages of it are ignored */
	uint64_t seq;
	uint64_t granted, used, returned, refunded, charged;
	double idle; /* of the credit, what no request waits for */
	pf_ms at; /* last message */
	double silent_seen; /* peer->silent_total then */
};

/** Credit from the home. */
struct allowance_credit {
	uint64_t home; /* key; 0: none known */
	uint64_t session, term, seq;
	uint64_t answered_seq;
	uint64_t granted, used, returned, refunded, charged;
	uint64_t charged_acked;
	pf_ms expires_at;
	pf_ms sent_at[ALLOWANCE_SENT_MAX]; /* of the ask, by seq */
	pf_ms unanswered_since; /* 0: the last ask was answered */
	pf_ms rtt; /* smoothed */
	enum pf_allowance_answer answer; /* the last one */
	pf_ms answer_at; /* 0: none in this session */
	bool dirty; /* counters changed since the last ask */
	pf_ms empty_until; /* requests are rejected without asking */
	pf_ms slot_at;
	int64_t level; /* as the home told */
	pf_ms level_at; /* 0: never */
};

struct allowance_own_share {
	bool active;
	double level;
	pf_ms at;
	pf_ms begun_at; /* the last time */
};

struct allowance_account {
	uint64_t id;
	struct pf_allowance_limit limit;
	bool listed; /* in the current configuration */
	struct allowance_home home;
	struct allowance_credit credit;
	struct allowance_own_share own;
	struct allowance_queue waiting;
	enum pf_allowance_mode mode;
	double per_ms; /* units asked for here, smoothed */
	double mean_weight;
	pf_ms per_ms_at;
	uint64_t asked, admitted;
	uint64_t rejected[PF_ALLOWANCE_REASON_COUNT];
	double window_parts[ALLOWANCE_WINDOW_PARTS];
	int64_t window_part; /* number of the newest */
};

struct allowance_peer {
	uint64_t key; /* 0: free */
	uint64_t id; /* 0: not heard yet */
	pf_ms known_at;
	pf_ms heard_at; /* 0: never */
	double silent_total; /* ms of the whole rate kept free for it */
};

struct pf_allowance {
	struct pf_allowance_opts opts;
	struct pf_rng rng;
	pf_ms now;
	pf_ms started_at; /* the first step */
	pf_ms ticked_at;
	const struct pf_allowance_sink *sink;
	struct allowance_account *accounts;
	uint32_t n_accounts;
	struct allowance_peer *peers;
	uint32_t n_peers;
	struct pf_map peer_map;
	uint32_t n_gateways; /* that count, this one included */
	uint32_t n_heard; /* this one included */
	bool roster_read;
	struct allowance_ledger *ledgers;
	uint32_t n_ledgers;
	struct pf_map ledger_map;
	struct allowance_waiting *waiting;
	struct allowance_queue free_waiting;
	uint32_t n_waiting;
};

/* allowance.c */
struct allowance_account *allowance_find(struct pf_allowance *al, uint64_t id);
void allowance_emit(struct pf_allowance *al, const struct pf_allowance_act *a);
void allowance_set_mode(struct pf_allowance *al, struct allowance_account *a,
			enum pf_allowance_mode mode,
			enum pf_allowance_cause cause);

/* allowance_peers.c: which gateways there are, and who is home */
struct allowance_peer *allowance_peer_find(struct pf_allowance *al,
					   uint64_t key);
void allowance_peer_heard(struct pf_allowance *al, uint64_t key, uint64_t id);
/** Whether shares of the rate can be told. */
bool allowance_knows_gateways(const struct pf_allowance *al);
/** The share of the rate that the gateways heard may use. */
double allowance_granted_share(const struct pf_allowance *al);
/** Counts the gateways; silent ones had their own share for @elapsed. */
void allowance_peers_tick(struct pf_allowance *al, pf_ms elapsed);
/** Gives each account its home. */
void allowance_assign_homes(struct pf_allowance *al);
/** Position of this gateway among all for @a, as a share in (0, 1). */
double allowance_phase(const struct pf_allowance *al,
		       const struct allowance_account *a);

/* allowance_home.c: the bucket */
void allowance_home_begin(struct pf_allowance *al, struct allowance_account *a);
void allowance_home_end(struct pf_allowance *al, struct allowance_account *a);
bool allowance_home_is_warm(const struct pf_allowance *al,
			    const struct allowance_account *a);
void allowance_home_refill(struct pf_allowance *al,
			   struct allowance_account *a);
/** Changes the level by @units, up to the burst. */
void allowance_home_add(struct allowance_account *a, double units);
/** Takes @weight for a request of this gateway; false if over the limit. */
bool allowance_home_take(struct pf_allowance *al, struct allowance_account *a,
			 uint32_t weight);
/** Time until the level is above 0. */
pf_ms allowance_home_empty(const struct allowance_account *a);
void allowance_home_asked(struct pf_allowance *al, uint64_t from,
			  const struct pf_allowance_ask *ask);
/** Credit of silent peers counts as used. */
void allowance_ledgers_tick(struct pf_allowance *al);
/**
 * Assigns a rejected request of @weight the next slot of the refill after
 * @ready, and returns the time until then.
 */
pf_ms allowance_slot(pf_ms *slot_at, pf_ms now, pf_ms ready, double weight,
		     double rate_per_s);

/* allowance_share.c: the own share */
void allowance_own_begin(struct pf_allowance *al, struct allowance_account *a,
			 pf_ms since);
bool allowance_own_take(struct pf_allowance *al, struct allowance_account *a,
			uint32_t weight);
/** Time until the own share suffices for @weight. */
pf_ms allowance_own_empty(const struct pf_allowance *al,
			  const struct allowance_account *a, uint32_t weight);
/** Deducts @weight at the home. */
void allowance_charge(struct pf_allowance *al, struct allowance_account *a,
		      uint32_t weight);

/* allowance_credit.c: credit from the home */
void allowance_session_begin(struct pf_allowance *al,
			     struct allowance_account *a, uint64_t home);
uint64_t allowance_credit_left(struct pf_allowance *al,
			       struct allowance_account *a);
/** Takes @weight from the credit; false if it isn't enough. */
bool allowance_credit_take(struct pf_allowance *al, struct allowance_account *a,
			   uint32_t weight);
void allowance_ask(struct pf_allowance *al, struct allowance_account *a);
void allowance_credit_granted(struct pf_allowance *al, uint64_t from,
			      const struct pf_allowance_grant *g);
/** Repeats asks without an answer; reports counters. */
void allowance_credit_tick(struct pf_allowance *al,
			   struct allowance_account *a);
/** Whether the home is expected to answer in time. */
bool allowance_home_answers(const struct pf_allowance *al,
			    const struct allowance_account *a);

/* allowance_request.c: requests of this gateway */
void allowance_request(struct pf_allowance *al,
		       const struct pf_allowance_msg *m);
void allowance_cancel(struct pf_allowance *al, const void *ctx);
/** Units per ms that this gateway's requests ask for. */
double allowance_demand(const struct pf_allowance *al,
			const struct allowance_account *a);
void allowance_admit(struct pf_allowance *al, struct allowance_account *a,
		     void *ctx, uint32_t weight);
/** Decides the waiting requests that @g answers; NULL: only expired ones. */
void allowance_settle(struct pf_allowance *al, struct allowance_account *a,
		      const struct pf_allowance_grant *g);
void allowance_waiting_free(struct pf_allowance *al,
			    struct allowance_waiting *w);

#endif
