/*
 * What the two parts of a gateway's talk share: which other gateways there
 * are (members.c) and what is told to whom (talk.c).
 */
#ifndef PF_GATEWAY_TALK_CORE_H
#define PF_GATEWAY_TALK_CORE_H

#include "gateway.h"

#include "pimentoford/plan.h"
#include "pimentoford/talk.h"

/* One page of rows; more gateways are not read. */
#define MEMBERS_MAX 64

/** Another gateway. */
struct member {
	struct sockaddr_in addr;
	uint64_t id; /* of its life; 0: not heard yet */
	pf_ms last_seen_at;
	pf_ms digest_sent_at;
	struct pf_gate_peer_cursor digest_cursor; /* what, so far */
	pf_ms store_answered_at; /* the store last answered it, as it says; 0: never */
	pf_ms digest_interval; /* digests go to it so often */
};

struct talk {
	struct gateway *gateway;
	struct pf_talk *datagrams;
	struct pf_plan *plan;
	struct event *tick_timer;
	struct event *members_timer;
	struct sockaddr_in self_addr;
	struct member members[MEMBERS_MAX];
	uint32_t n_members;
	bool row_written; /* this gateway's row */
	bool was_leader;
	pf_ms demand_sent_at;
};

/** Runs a step of the planner, and what it asks for. */
void talk_plan_step(struct talk *t, const struct pf_plan_msg *m);
/** The region of a zone; 0 when the settings do not name the zone. */
uint64_t talk_zone_region(const struct gateway *g, uint64_t zone);

/** Begins to write this gateway's row and to read the others'; -1 without
 * memory. */
int members_start(struct talk *t);
void members_stop(struct talk *t);
/** @store_age: how long ago the store answered it. */
void members_digest_received(struct talk *t, const struct sockaddr_in *from,
			     uint64_t id, pf_ms store_age);
bool member_is_live(const struct member *m, pf_ms now);

#endif
