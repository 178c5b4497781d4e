/*
 * Shares of client accounts in the endpoints' capacity. One account that sends
 * many times its usual rate fills the endpoints, and all accounts are rejected
 * alike. So the last part of the capacity is kept for the accounts that use
 * less: the more of the capacity in use an account has beyond an equal share,
 * the lower the load at which its requests are held. Accounts that are held
 * lose their excess until they have an equal share, which is max-min fair; the
 * capacity below that load may be used by anyone.
 *
 * What accounts use is the sum over all gateways of what they have in flight,
 * from the digests. A gateway that ends is silent, and its part is dropped with
 * its loads.
 */
#ifndef SRC_COORDINATION_GATE_GATE_SHARE_H
#define SRC_COORDINATION_GATE_GATE_SHARE_H

#include "pimentoford/gate.h"

/* Accounts with requests in flight. Those beyond share the first entry, which
 * is that of requests without an account. */
#define GATE_SHARE_ACCOUNTS (PF_GATE_ACCOUNTS_MAX + 1)

/* What may run short at endpoints. */
enum gate_resource {
	GATE_PLAIN_SLOTS, /* of plain services */
	GATE_SLOTS, /* of engines */
	GATE_KV_TOKENS,
	GATE_PREFILL_MS, /* of prompts without a first event */
	GATE_RESOURCE_COUNT
};

struct gate_share_use {
	int64_t v[GATE_RESOURCE_COUNT];
};

struct gate_share_account {
	uint64_t id;
	struct gate_share_use own; /* in flight from this gateway */
	struct gate_share_use all; /* and from the others */
};

/** All zero at first. */
struct gate_share {
	struct gate_share_account accounts[GATE_SHARE_ACCOUNTS];
	uint32_t n; /* entries ever used, but for the first one */
	struct gate_share_use total;
};

/**
 * The entry of @account for gate_share_add(). It is kept while it has requests
 * in flight.
 */
uint32_t gate_share_entry(struct gate_share *s, uint64_t account);
/** Adds @use (@sign 1) or takes it off (@sign -1). @own: of this gateway. */
void gate_share_add(struct gate_share *s, uint32_t entry,
		    const struct gate_share_use *use, int sign, bool own);
/** Writes what accounts use at this gateway; returns how many there are. */
uint32_t gate_share_tell(const struct gate_share *s,
			 struct pf_gate_account_load *out);
struct gate_share_use gate_share_told(const struct pf_gate_account_load *l);
/**
 * The load of an endpoint, as a share of its capacity, from which on @account
 * is held; 1: only when it is full.
 */
double gate_share_limit(const struct gate_share *s, uint64_t account,
			enum gate_resource resource);
/** Whether the excess of @account is so large that its limit is the lowest. */
bool gate_share_is_full(const struct gate_share *s, uint64_t account);

#endif
