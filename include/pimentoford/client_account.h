/*
 * Client accounts of the configuration: who may send requests, at which
 * priority, and how much. Holds no state of an account's use.
 */
#ifndef PIMENTOFORD_CLIENT_ACCOUNT_H
#define PIMENTOFORD_CLIENT_ACCOUNT_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

enum pf_allowance_unit {
	PF_ALLOWANCE_REQUESTS,
	PF_ALLOWANCE_TOKENS, /* prompt tokens and the limit of output tokens */
};

/** What an account may send, over all gateways together. */
struct pf_allowance_limit {
	enum pf_allowance_unit unit;
	double rate_per_s; /* units; 0: no limit */
	double burst; /* units on top of the rate */
	uint32_t plain_tokens; /* of a request that names no tokens */
};

struct pf_client_account {
	char *name; /* owned by the table that holds the account */
	uint64_t id; /* hash of the name; not 0 */
	int priority; /* 0: highest; -1: unset. Goes before the route's */
	struct pf_allowance_limit limit;
};

PF_END_DECLS

#endif
