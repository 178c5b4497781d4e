/*
 * Shared by members.c, which tracks the other gateways, and talk.c, which
 * exchanges datagrams with them and with loaders.
 */
#ifndef PF_GATEWAY_TALK_CORE_H
#define PF_GATEWAY_TALK_CORE_H

#include "gateway.h"

#include "pimentoford/plan.h"
#include "pimentoford/talk.h"

/** Another gateway. */
struct member {
	struct sockaddr_in addr;
	uint64_t id; /* its `self`; 0: no digest received yet */
	pf_ms last_seen_at; /* last digest received */
	pf_ms digest_sent_at;
	struct pf_gate_peer_cursor digest_cursor; /* what it was sent so far */
	pf_ms store_answered_at; /* according to its digest; 0: unknown */
	pf_ms digest_interval; /* 0: with each tick */
	bool row_known; /* its row has been read */
};

struct member_list {
	struct member *v; /* owned */
	uint32_t n;
	uint32_t cap;
};

struct talk {
	struct gateway *gateway;
	struct pf_talk *datagrams;
	struct pf_plan *plan;
	struct event *tick_timer;
	struct event *members_timer;
	struct sockaddr_in self_addr;
	struct member_list members;
	struct member_list read; /* by the read of all rows under way */
	char *next_page_key; /* owned; NULL: the first page */
	bool own_row_read; /* by the same */
	bool reading; /* the store was asked for a page */
	bool row_written; /* this gateway's own row is in the store */
	struct pf_rng rng;
	bool was_leader; /* at the last tick of the plan core */
	pf_ms tick_at; /* the last one */
	pf_ms plan_took; /* its part of the last tick */
	pf_ms demand_sent_at;
	pf_ms part_uses_sent_at;
};

/** Passes @m to the plan core and sends its orders to the loaders. */
void talk_plan_step(struct talk *t, const struct pf_plan_msg *m);
/** The region of a zone; 0 if the settings do not list the zone. */
uint64_t talk_zone_region(const struct gateway *g, uint64_t zone);

/**
 * Starts to write this gateway's row and to read the others. Returns 0, or -1
 * if memory runs out.
 */
int members_start(struct talk *t);
void members_stop(struct talk *t);
/** Records a digest. @store_age: time since the store answered the sender. */
void members_digest_received(struct talk *t, const struct sockaddr_in *from,
			     uint64_t id, pf_ms store_age);
/** Whether a digest was received recently. */
bool member_is_live(const struct member *m, pf_ms now);

#endif
