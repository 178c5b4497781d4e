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
	pf_ms heard_at;
	pf_ms told_at;
	struct pf_gate_peer_cursor told; /* what, so far */
	pf_ms store_at; /* the store last answered it, as it says; 0: never */
	pf_ms every; /* digests go to it so often */
};

struct talk {
	struct gateway *g;
	struct pf_talk *talk;
	struct pf_plan *plan;
	struct event *timer;
	struct event *members_timer;
	struct sockaddr_in self;
	struct member members[MEMBERS_MAX];
	uint32_t n_members;
	bool written; /* this gateway's row */
	bool led;
	pf_ms demand_at;
};

/** Runs a step of the planner, and what it asks for. */
void talk_plan_step(struct talk *t, const struct pf_plan_msg *m);
/** The region of a zone; 0 when the settings do not name the zone. */
uint64_t talk_region_of(const struct gateway *g, uint64_t zone);

/** Begins to write this gateway's row and to read the others'; -1 without
 * memory. */
int members_start(struct talk *t);
void members_stop(struct talk *t);
/** @store_age: how long ago the store answered it. */
void members_heard(struct talk *t, const struct sockaddr_in *from, uint64_t id,
		   pf_ms store_age);
bool members_alive(const struct member *m, pf_ms now);

#endif
