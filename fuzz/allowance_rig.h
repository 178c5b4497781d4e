/*
 * Gateways with allowance cores in virtual time: messages are late and get
 * lost, gateways are killed, freeze or are partitioned. Records what is admitted
 * for each account, and compares it with one bucket that knows everything.
 */
#ifndef FUZZ_ALLOWANCE_RIG_H
#define FUZZ_ALLOWANCE_RIG_H

#include "pimentoford/allowance.h"

#define RIG_GATEWAYS_MAX 300
#define RIG_ACCOUNTS_MAX 16
#define RIG_RING_MS 1024

enum rig_callers { RIG_AT_ALL, RIG_AT_ONE, RIG_MOVING };

struct rig_message {
	struct rig_message *next;
	uint32_t from, to;
	enum pf_allowance_msg_type type;
	uint64_t id; /* PF_ALLOWANCE_PEER */
	union {
		struct pf_allowance_ask ask;
		struct pf_allowance_grant grant;
	} u;
};

struct rig_request {
	struct rig_request *next; /* of those that wait */
	uint32_t gateway;
	uint32_t account;
	uint32_t weight;
	pf_ms arrived_at;
};

struct rig_gateway {
	struct pf_allowance *core; /* NULL: down */
	uint64_t key, id;
	bool read_rows; /* it knows the others, and sends digests */
	uint32_t region, zone;
	pf_ms frozen_until;
	uint32_t slow; /* answers are this many ms late */
	uint32_t part; /* gateways in different parts hear nothing */
	pf_ms last_tick;
	struct rig_message *inbox; /* while frozen, newest first */
};

struct rig_admission {
	pf_ms at;
	uint32_t weight; /* 0: it did not run */
	uint32_t gateway;
};

struct rig_account {
	struct pf_client_account config;
	enum rig_callers callers;
	double demand; /* units per s */
	uint32_t weight_min, weight_max;
	pf_ms next_at;
	double ideal_level;
	pf_ms ideal_at;
	/* Since the last rig_count_from_now() */
	double offered, admitted, ideal;
	uint32_t n_rejected, n_waited;
	uint64_t wait_ms;
	struct rig_admission *v; /* all admissions */
	uint32_t n, cap;
};

struct allowance_rig {
	struct pf_rng rng;
	pf_ms now;
	pf_ms window;
	double over, slack;
	double loss;
	bool store_is_away; /* gateways that start read no rows */
	uint32_t n_gateways, n_accounts;
	struct rig_gateway gateways[RIG_GATEWAYS_MAX];
	struct rig_account accounts[RIG_ACCOUNTS_MAX];
	struct rig_message *ring[RIG_RING_MS];
	struct rig_request *waiting;
	uint64_t next_id;
	uint32_t acting; /* gateway of the step under way */
	uint64_t n_messages; /* asks and grants sent */
};

/** With one account; more are added by rig_add_account(). */
void allowance_rig_init(struct allowance_rig *r, uint32_t n_gateways,
			uint64_t seed);
void allowance_rig_free(struct allowance_rig *r);
struct rig_account *rig_add_account(struct allowance_rig *r, double rate,
				    double burst, double demand);
void rig_run(struct allowance_rig *r, pf_ms span);
void rig_kill(struct allowance_rig *r, uint32_t gateway);
void rig_start(struct allowance_rig *r, uint32_t gateway);
/** The gateway reads the rows of all from the store. */
void rig_read_rows(struct allowance_rig *r, uint32_t gateway);
/** The gateway that is home of @account, by its own view. */
uint32_t rig_home(const struct allowance_rig *r, uint32_t account);
/** Puts the accounts' limits into force at all gateways. */
void rig_configure(struct allowance_rig *r);
/** The last request admitted for @a did not run. */
void rig_refund_last(struct allowance_rig *r, struct rig_account *a);
void rig_count_from_now(struct allowance_rig *r);
/** Share of what one bucket would have admitted. */
double rig_usable(const struct rig_account *a);
/**
 * Windows within the time from @from on in which the admissions of @a are over
 * its limit by the rule. Sets *@most to the largest share of the rule used.
 */
uint32_t rig_windows_over(const struct allowance_rig *r,
			  const struct rig_account *a, pf_ms from,
			  double *most);

#endif
