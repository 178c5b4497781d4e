/* The state of the gate core, shared by its files. */
#ifndef SRC_COORDINATION_GATE_CORE_H
#define SRC_COORDINATION_GATE_CORE_H

#include "pimentoford/gate.h"
#include "pimentoford/heap.h"
#include "pimentoford/map.h"
#include "src/coordination/gate/gate_share.h"

#define GATE_NIL UINT32_MAX
#define GATE_AVOIDED_MAX 4
/* Of a prompt, looked up in prefix caches; what longer ones save is not
 * estimated. */
#define GATE_PREFIXES_MAX 12
/* Seconds of the longest retry window (14) and two that lie partly in it. */
#define GATE_BUDGET_BUCKETS 16

enum gate_state {
	GATE_FREE, /* slot unused, or detached from queue and endpoint */
	GATE_WAITING, /* in the queue */
	GATE_SENT, /* in flight, no answer yet */
	GATE_STREAMING, /* in flight, events were passed on */
};

struct gate_request {
	enum gate_state state;
	void *ctx;
	/* From the route. */
	enum pf_route_kind kind;
	uint64_t service;
	pf_ms objective;
	uint32_t attempts_max; /* endpoints that may run it */
	uint8_t priority; /* 0: highest */
	uint64_t account; /* of the client; 0: none */
	int account_priority; /* goes before `priority`; -1: unset */
	/* From the request. */
	uint64_t fingerprint;
	uint64_t model;
	uint64_t adapter;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* expected */
	uint32_t events_left; /* expected, not passed on */
	uint64_t prefixes[GATE_PREFIXES_MAX]; /* hashes of parts 0 to i */
	uint32_t prefix_tokens[GATE_PREFIXES_MAX]; /* of parts 0 to i */
	uint32_t n_prefixes;
	/* Ids of the parts that other requests may share: all but the last. */
	uint64_t *parts; /* owned */
	uint32_t n_parts;
	pf_ms arrived_at;
	pf_ms objective_deadline; /* PF_NEVER: the route has no objective */
	pf_ms deadline; /* for the final act */
	/* Sends so far and the one in flight. */
	uint32_t sends;
	uint32_t sends_on_wire; /* sends that may have reached an endpoint */
	uint32_t possible_runs; /* sends that may have run */
	uint64_t avoided[GATE_AVOIDED_MAX]; /* endpoints that failed it */
	uint32_t n_avoided;
	bool response_started; /* events were passed on to the caller */
	bool moved; /* cancelled at a silent endpoint that may have answered */
	/* Streams. */
	uint64_t stream; /* id of the attempt that began it, hashed; 0: none */
	bool undecided; /* resumed by its caller; its software is not known yet */
	pf_ms decide_at; /* while undecided: when waiting for that ends */
	bool store_asked; /* no gateway knew it */
	bool bound; /* to endpoints with `software`, which began the stream */
	uint64_t software;
	uint32_t endpoint_slot; /* valid while in flight */
	pf_ms sent_at;
	pf_ms last_progress_at; /* last send or event */
	bool paused; /* its stream is not read, as its caller is slow */
	uint64_t sent_incarnation; /* of the endpoint, hashed */
	uint64_t sent_software; /* of the endpoint */
	pf_ms began_at; /* first event of this send; 0: none yet */
	bool sound; /* this send has shown that its parts are */
	bool sampled; /* the judges are told of it */
	bool trial; /* may be sent once although quarantined */
	double first_event_ms; /* expected, from the send */
	double prefill_ms; /* of its own prompt; 0 after the first event */
	uint32_t kv_tokens; /* KV cache that it needs at the endpoint */
	uint32_t share_entry; /* of its account; valid while in flight */
	struct gate_share_use use; /* what is counted there */
	bool held; /* for the share of its account, at least once */
	bool last_at_engines; /* its account had a large excess then */
	uint32_t prev, next; /* queue of waiting requests, by arrival */
	pf_ms adapter_requested_at; /* 0: never */
	bool in_ramp; /* counted in ramp_running */
	uint32_t visited_round; /* last wait_round that tried to send it */
};

/** An endpoint's store entry, and estimates of its load and speed. */
struct gate_endpoint {
	bool used;
	uint64_t id;
	uint64_t incarnation; /* new at each start */
	int64_t born; /* time of its start, by its store entry */
	bool restarted; /* its loader reports a later one */
	uint64_t service;
	uint64_t software; /* hash of the service and its version */
	uint64_t zone;
	uint64_t region;
	double distance_ms; /* added latency, 0 in the same zone */
	uint32_t slots; /* concurrent requests */
	bool draining; /* by its store entry */
	bool loader_draining; /* by its loader */
	bool leaving; /* by one of its answers */
	int64_t kv_capacity; /* tokens; 0: not an engine */
	struct pf_resident *residents; /* owned */
	uint32_t n_residents;
	pf_ms loader_seen_at; /* last report of its loader; 0: never */
	uint64_t loader_orders; /* orders accepted, from the last report */
	bool loading_model; /* no adapter can be loaded meanwhile */
	/* Requests in flight from this gateway. */
	uint32_t own_running;
	int64_t own_kv_tokens;
	double own_prefill_ms; /* of those without a first event */
	uint32_t own_streaming; /* those with events passed on */
	uint32_t own_paused; /* of these, those that are not read */
	pf_ms last_progress_at; /* last event or answer, or first send */
	pf_ms resumed_at; /* first progress after a silence; 0: none */
	pf_ms probed_at; /* last probe; 0: none */
	pf_ms reachable_at; /* last probe that connected; 0: none */
	pf_ms crashed_at; /* of this incarnation, as it seemed; 0: not */
	/* Requests in flight from the other gateways, from their digests. */
	uint32_t peer_running;
	int64_t peer_kv_tokens;
	double peer_prefill_ms;
	double peer_prefill_time; /* sum of prefill_ms times its digest's time */
	/* Requests of all gateways, by the loader's last report. */
	uint32_t loader_running;
	int64_t loader_kv_tokens;
	/* Learned from answers. */
	double latency_factor; /* measured over expected first event time */
	double event_interval_ms; /* between two events of a stream */
	double failure_rate; /* share of failed sends, smoothed */
	pf_ms blocked_until; /* no sends until then: unreachable or full */
	bool blocked_silent; /* blocked for silence; progress unblocks it */
	uint32_t consecutive_blocks;
	pf_ms backoff_until; /* asked for no requests until then; 0: never */
	uint32_t ramp; /* sends without an answer allowed then; 0: any */
	uint32_t ramp_running; /* those in flight */
	uint64_t missing_model; /* rejected though listed; 0: none */
	pf_ms missing_until;
};

/* All streams of an endpoint silent for this long: it has paused or died. */
#define GATE_STREAMS_SILENT_MS 500

/** What a request would meet at an endpoint. */
struct gate_estimate {
	uint32_t slot; /* of the endpoint */
	bool usable; /* now */
	double cost; /* ms, without the queue there */
	double slope; /* cost of each ms queued there */
	double first_event_ms;
	double prefill_ms;
	uint32_t cached_tokens;
	uint32_t kv_tokens;
	bool lacks_adapter; /* must be loaded first */
};

/** How many requests a peer has sent to a limited endpoint. */
struct gate_peer_limit {
	uint64_t incarnation;
	uint32_t sent;
};

struct gate_peer_use {
	uint32_t entry; /* of the account in `share` */
	struct gate_share_use use;
};

/** Another gateway. */
struct gate_peer {
	uint64_t id; /* 0: free */
	pf_ms last_seen_at;
	bool has_digest; /* not since it was silent */
	pf_ms digest_at; /* since started_at */
	struct pf_gate_load *loads; /* of its last digest; owned */
	uint32_t n_loads;
	uint32_t loads_cap;
	/* What its accounts have in flight, by its last digest. */
	struct gate_peer_use *uses; /* owned */
	uint32_t n_uses;
	struct gate_peer_limit *limits; /* by slot in `limits`; owned */
	uint32_t n_limits;
};

/** Requests and retries of a service, counted per second. */
struct gate_budget {
	double saved; /* retries that requests have earned */
	bool filled; /* the process is older than a window */
	uint32_t used_at_first; /* before that */
	uint32_t slack_used[GATE_BUDGET_BUCKETS]; /* by second, if none earn */
	int64_t newest_second; /* of these counts */
};

#define GATE_DRAIN_SLICES 6

/** Answers of a service, counted per slice of time. */
struct gate_drain {
	uint32_t answers[GATE_DRAIN_SLICES];
	int64_t newest; /* slice of the counts */
};

struct gate_service {
	uint64_t id;
	pf_ms used_at;
	struct gate_budget budget;
	struct gate_drain drain;
};

/** Services in use, as many as there are. */
struct gate_services {
	struct gate_service *v; /* owned */
	uint32_t n;
	uint32_t cap;
	struct pf_map by_id; /* to indices of `v`; none while cap is 0 */
};

/* The prefix table is set-associative: sets of GATE_PREFIX_WAYS entries. */
#define GATE_PREFIX_WAYS 4
#define GATE_PREFIX_SETS 2048

struct gate_prefix {
	uint64_t key; /* hash of prefix and endpoint incarnation; 0: free */
	pf_ms used_at;
};

#define GATE_DEMAND_ENTRIES 512

struct gate_demand_entry {
	uint64_t id; /* model or adapter; 0: free */
	uint64_t model;
	double per_s; /* arrivals, smoothed */
	double open_avg; /* `open`, smoothed */
	double arrivals; /* since demand_smoothed_at */
	uint32_t open; /* waiting or in flight */
	uint32_t waiting; /* at the last pf_gate_demand() */
};

/* More than are in flight at a few endpoints: each crash blames all of them. */
#define GATE_CRASH_WAYS 4
#define GATE_CRASH_SETS 256

/** A request that was in flight when endpoints crashed. */
struct gate_crash {
	uint64_t fingerprint;
	uint32_t crashes;
	pf_ms last_at;
};

/* Kept after sending, for gateways that have just started. */
#define GATE_LOCAL_CRASHES_MAX 512

/** A crash observed by this gateway; listed in its digests. */
struct gate_local_crash {
	uint64_t fingerprint;
	pf_ms at;
};

/* An answer that goes on for this long was not the cause of a later crash. */
#define GATE_BEGINNING_MS 300
/* At most 32: sets of records are bits of a word. */
#define GATE_CRASH_RECORDS 32

/** A crash of an endpoint; its suspects are in gate_suspects. */
struct gate_crash_record {
	uint64_t incarnation; /* of the endpoint, hashed; 0: free */
	pf_ms at;
	pf_ms refuted_at; /* the endpoint went on; 0: not */
	bool seen_here; /* not only by peers */
	uint32_t suspects; /* requests that may have caused it */
};

/** A prompt part that may have caused crashes. */
struct gate_suspect {
	uint64_t part;
	uint32_t records; /* bits of these crashes */
};

struct gate_suspects {
	struct gate_suspect *v; /* owned */
	uint32_t n;
	uint32_t cap;
	struct pf_map by_part; /* to indices of `v`; none while cap is 0 */
};

/** Requests of which the judges were not told yet. */
struct gate_use_report {
	enum pf_gate_evidence_type type; /* USE or SERVED */
	uint64_t part; /* 0: whatever their parts */
	uint64_t model;
	uint32_t requests;
};

#define GATE_PART_WAYS 4

/** How often a prompt part is used, and when it was last seen to be sound. */
struct gate_part_use {
	uint64_t part; /* 0: free */
	float arrivals; /* decays */
	pf_ms sound_at; /* begin of the last sound answer; 0: none */
	pf_ms asked_at; /* when all were last told that it is a suspect */
	pf_ms told_at; /* when others were last told that it is sound */
	pf_ms told_sound_at; /* `sound_at` as it was told */
	bool told_all; /* not only the judges */
	uint64_t model; /* that it came with first */
	bool several_models; /* it came with others, too */
	uint32_t served_before; /* of its model, when it became a suspect */
};

#define GATE_MODEL_WAYS 4
#define GATE_MODEL_SETS 128

/** How many requests with prompt parts came for a model, and were served. */
struct gate_model_use {
	uint64_t model; /* 0: free */
	float arrivals; /* decays */
	uint32_t served; /* ever */
};

#define GATE_QUARANTINED_MAX 16

/** A prompt part that crashes endpoints. */
struct gate_quarantined_part {
	uint64_t part; /* 0: free */
	pf_ms since; /* first crash */
	pf_ms last_seen_at; /* last request with it */
	pf_ms announced_at; /* to the peers */
	pf_ms tried_at; /* last trial, or begin */
	pf_ms trial_at; /* when one request may be sent again */
	pf_ms trial_wait; /* until the trial after that */
};

/* Kept after sending, for gateways that have just started. */
#define GATE_EVIDENCE_RING 2048

struct gate_evidence_entry {
	struct pf_gate_evidence e;
	bool to_all; /* not only to the judges */
	pf_ms at; /* of what `age_ms` counts from */
	pf_ms added_at;
};

#define GATE_LEAVING_MAX 1024

/** An endpoint of which an answer said that it leaves. */
struct gate_leaving_entry {
	uint64_t id;
	int64_t incarnation; /* this one and older ones */
};

#define GATE_BACKOFFS_MAX 256

/** An endpoint that asked for no requests. */
struct gate_backoff_entry {
	uint64_t incarnation; /* hashed with the id */
	pf_ms until;
};

/** The requests a second that an endpoint takes from all gateways. */
struct gate_limit {
	uint64_t incarnation; /* of the endpoint, hashed */
	double per_s; /* < 0: ended */
	pf_ms named_at; /* last answer that said so, here or at a peer */
	double level; /* tokens, as of filled_at; below 0: too many were sent */
	pf_ms filled_at;
	uint32_t own_sent;
	uint32_t reports_due; /* to the peers; datagrams get lost */
	bool heard; /* by an answer here, since the last report */
	pf_ms reported_at;
};

/* For how long a caller may resume a stream after its begin. */
#define GATE_STREAM_KEEP_MS 60000
#define GATE_STREAM_WAYS 4
#define GATE_STREAM_SETS 2048

/** A stream, and the software that began it. */
struct gate_stream {
	uint64_t id; /* of the attempt that began it, hashed; 0: free */
	uint64_t service;
	uint64_t software;
	pf_ms at; /* its begin */
	bool own; /* begun here, also before a restart */
	bool open; /* own ones: not delivered to the end */
};

#define GATE_SOFTWARE_MAX 64

/** A software version of a service. */
struct gate_software {
	uint64_t software;
	uint64_t service;
	uint32_t endpoints; /* listed with it */
	pf_ms last_seen_at; /* if there are none */
	pf_ms listed_at; /* the first of these endpoints; 0: never */
	pf_ms unlisted_at; /* the last of the ones before them */
	bool recorded; /* the history names it as in use */
};

/** Whether the history names a version. */
enum gate_record {
	GATE_RECORDED, /* or it need not */
	GATE_RECORDING, /* not yet; no stream may begin there */
	GATE_USED_LAST, /* streams begin there if no other version is free */
};

/** Whether a stream that its caller resumes may be sent. */
enum gate_decision {
	GATE_DECIDED, /* where its software is */
	GATE_UNDECIDED, /* not yet */
	GATE_UNKNOWN, /* never: nobody knows its software */
};

struct gate_prefill_speed {
	uint64_t model; /* 0: free */
	double ms_per_token;
	uint32_t samples; /* prompts measured */
};

#define GATE_PREFILL_SPEEDS 512

struct pf_gate {
	struct pf_gate_opts opts;
	struct pf_gate_zone *zones;
	struct pf_rng rng;
	pf_ms now;
	pf_ms started_at; /* -1: no step yet */
	bool shutting_down;
	const struct pf_gate_sink *sink; /* during a step */
	const struct pf_routes *routes;
	struct gate_request *requests;
	uint32_t *free_requests;
	uint32_t n_free;
	struct pf_heap request_timers; /* by request slot */
	uint32_t wait_head, wait_tail, n_waiting; /* queue by arrival */
	uint32_t wait_round; /* counts calls of gate_send_waiting() */
	pf_ms send_waiting_at; /* next gate_send_waiting(), if any waits */
	struct gate_endpoint *endpoints;
	uint32_t n_endpoints; /* slots ever used */
	/* Of the request that is being sent; by candidate. */
	struct pf_gate_candidate *candidates;
	struct gate_estimate *estimates;
	struct pf_map endpoints_by_id; /* slots in use */
	struct gate_peer *peers;
	uint32_t n_peers; /* slots ever used */
	struct pf_map peers_by_id; /* slots in use */
	uint32_t n_known_peers;
	uint32_t n_members; /* other gateways with a row in the store */
	bool members_read; /* all of these rows */
	uint32_t n_live_peers;
	uint32_t n_lower_peers; /* live ones with a lower id */
	uint32_t n_digests; /* peers with a digest */
	pf_ms digests_time; /* sum of their digest_at */
	pf_ms peers_check_at;
	struct gate_share share;
	struct gate_services services;
	struct gate_prefix prefixes[GATE_PREFIX_SETS][GATE_PREFIX_WAYS];
	struct gate_demand_entry demand[GATE_DEMAND_ENTRIES];
	pf_ms demand_smoothed_at;
	/* Rings; outlast the endpoints, as the store may list them again. */
	struct gate_leaving_entry leaving[GATE_LEAVING_MAX];
	uint64_t n_leaving; /* ever added */
	struct gate_backoff_entry backoffs[GATE_BACKOFFS_MAX];
	uint64_t n_backoffs; /* ever added */
	struct gate_limit *limits; /* at most opts.endpoints_max */
	uint32_t n_limits;
	struct pf_map limits_by_incarnation; /* slots */
	uint32_t next_limit; /* first one to report */
	struct gate_prefill_speed prefill_speeds[GATE_PREFILL_SPEEDS];
	struct gate_crash crashes[GATE_CRASH_SETS][GATE_CRASH_WAYS];
	struct gate_crash_record crash_records[GATE_CRASH_RECORDS];
	/* Bits of peers that have reported a crash, by record and peer slot. */
	uint64_t *crash_reporters;
	struct gate_suspects suspects;
	struct gate_part_use (*part_uses)[GATE_PART_WAYS]; /* sets; owned */
	uint32_t n_part_sets;
	struct gate_model_use model_uses[GATE_MODEL_SETS][GATE_MODEL_WAYS];
	struct gate_model_use all_uses;
	uint32_t requests_seen; /* with parts, ever */
	pf_ms uses_decayed_at;
	struct gate_use_report *use_reports; /* owned */
	uint32_t n_use_reports;
	uint32_t use_reports_cap;
	pf_ms next_sample_at;
	struct gate_quarantined_part quarantined[GATE_QUARANTINED_MAX];
	bool quarantine_changed; /* in this step */
	struct gate_evidence_entry evidence[GATE_EVIDENCE_RING];
	uint64_t n_evidence; /* ever added */
	struct gate_stream streams[GATE_STREAM_SETS][GATE_STREAM_WAYS];
	uint64_t streams_serial; /* counts changes that are to be stored */
	bool streams_read; /* from the store, since the start */
	struct gate_software software[GATE_SOFTWARE_MAX];
	uint32_t n_software; /* entries ever used */
	pf_ms software_lost_at; /* one found no room; 0: never */
	bool endpoints_read; /* all of them, since the start */
	bool endpoints_behind; /* another gateway has read newer rows */
	bool history_read; /* from the store, since the start */
	pf_ms known_since; /* all versions used are known; PF_NEVER: not yet */
	uint32_t n_unrecorded; /* listed, and not in the history */
	pf_ms settled_at; /* all gateways know of those listed now */
	/* Rings for the digests; n_* counts all entries ever added. */
	struct pf_gate_cached_prefix recent_prefixes[PF_GATE_PREFIXES_MAX];
	uint64_t n_recent_prefixes;
	struct gate_local_crash local_crashes[GATE_LOCAL_CRASHES_MAX];
	uint64_t n_local_crashes;
	/* Arrays of the digest returned last. */
	struct pf_gate_load digest_loads[PF_GATE_LOADS_MAX];
	struct pf_gate_cached_prefix digest_prefixes[PF_GATE_PREFIXES_MAX];
	uint64_t digest_crashed[PF_GATE_CRASHED_MAX];
	struct pf_gate_account_load digest_accounts[PF_GATE_ACCOUNTS_MAX];
	struct pf_gate_stats stats;
};

static inline bool gate_retryable(const struct gate_request *r)
{
	return r->kind == PF_ROUTE_SAFE || r->kind == PF_ROUTE_RESUMABLE;
}

/** Whether @r waits for an endpoint until its deadline. */
static inline bool gate_waits_to_deadline(const struct gate_request *r)
{
	return r->response_started || r->moved;
}

/* gate_endpoints.c */
/** The endpoint with this id, or NULL. */
struct gate_endpoint *gate_endpoint_find(struct pf_gate *g, uint64_t id);
void gate_endpoint_update(struct pf_gate *g, const struct pf_endpoint_info *l);
void gate_endpoint_remove(struct pf_gate *g, uint64_t id);
void gate_endpoint_engine_state(struct pf_gate *g,
				const struct pf_engine_state *s);
bool gate_loader_fresh(const struct pf_gate *g, const struct gate_endpoint *e);
/** Sets the KV cache capacities from the routing table. */
void gate_endpoints_configure(struct pf_gate *g);
bool gate_endpoint_has_model(const struct gate_endpoint *e, uint64_t model,
			     uint64_t adapter);
void gate_load_add(struct pf_gate *g, struct gate_request *r, uint32_t slot);
/** Takes the prefill of @r off the load: its first event came. */
void gate_load_prefilled(struct pf_gate *g, struct gate_request *r);
void gate_load_remove(struct pf_gate *g, struct gate_request *r);
/** Sends nothing to @e for a while; the time doubles with each block. */
void gate_endpoint_block(struct pf_gate *g, struct gate_endpoint *e);
/** The same until its next event or answer, unless it is blocked already. */
void gate_endpoint_block_silent(struct pf_gate *g, struct gate_endpoint *e);
void gate_endpoint_count_result(struct gate_endpoint *e, bool failed);

/* gate_peers.c */
int gate_peers_init(struct pf_gate *g);
void gate_peers_free(struct pf_gate *g);
void gate_peer_digest(struct pf_gate *g, const struct pf_gate_digest *d);
/** The peer @id, which is added if it is new; valid until the next call. */
struct gate_peer *gate_peer_heard(struct pf_gate *g, uint64_t id);
/** Drops the loads of gateways that stopped sending digests. */
void gate_peers_check(struct pf_gate *g);
/** Adds the peers' loads on @e, which was unknown when they came. */
void gate_peers_add_loads(const struct pf_gate *g, struct gate_endpoint *e);
/** Other gateways that were heard lately. */
uint32_t gate_peers_live(const struct pf_gate *g);
/** Those of them with a lower id than this one. */
uint32_t gate_peers_lower(const struct pf_gate *g);
/** Mean age of the last digests, in ms; 0: there are none. */
double gate_peers_digest_age(const struct pf_gate *g);
/** Other gateways that may have used the retry budget. */
/** Whether it has one of the PF_GATE_JUDGES + 1 lowest ids that it knows. */
bool gate_is_judge(const struct pf_gate *g);
uint32_t gate_peers_known(const struct pf_gate *g);

/* gate_leave.c */
/** An answer of this incarnation of the endpoint says that it leaves. */
void gate_endpoint_leaving(struct pf_gate *g, uint64_t id, int64_t incarnation);
/** Whether an answer of this incarnation or a later one said so. */
bool gate_is_leaving(struct pf_gate *g, uint64_t id, int64_t incarnation);
static inline bool gate_endpoint_leaves(const struct gate_endpoint *e)
{
	return e->draining || e->loader_draining || e->leaving;
}
/** Whether the service of @r has endpoints, and all of them leave. */
bool gate_all_leaving(const struct pf_gate *g, const struct gate_request *r);

/* gate_backoff.c */
/** This incarnation of the endpoint asks for no requests for @span. */
void gate_endpoint_backoff(struct pf_gate *g, uint64_t id, int64_t incarnation,
			   pf_ms span);
/** Sets the backoff of an incarnation that is listed, perhaps again. */
void gate_backoff_restore(struct pf_gate *g, struct gate_endpoint *e);
/** Whether the backoff of @e allows no further send now. */
bool gate_backoff_holds(const struct pf_gate *g, const struct gate_endpoint *e);
/** Counts a send to an endpoint that had a backoff, until its answer or end. */
void gate_backoff_sent(struct gate_request *r, struct gate_endpoint *e);
void gate_backoff_unsent(struct gate_request *r, struct gate_endpoint *e);
/** @r got an answer that does not turn it away. */
void gate_backoff_answered(struct gate_request *r, struct gate_endpoint *e);

/* gate_limit.c */
int gate_limits_init(struct pf_gate *g);
void gate_limits_free(struct pf_gate *g);
/** An answer to a request sent at @sent_at names a limit, or none (< 0). */
void gate_limit_named(struct pf_gate *g, uint64_t endpoint, int64_t incarnation,
		      double per_s, pf_ms sent_at);
/** Whether @e has named a limit lately. */
bool gate_limit_is_new(const struct pf_gate *g, const struct gate_endpoint *e);
/** Whether the limit of @e allows no send now. */
bool gate_limit_holds(struct pf_gate *g, const struct gate_endpoint *e);
/** When it may allow one; 0: now. */
pf_ms gate_limit_room_at(struct pf_gate *g, const struct gate_endpoint *e);
void gate_limit_sent(struct pf_gate *g, const struct gate_endpoint *e);
void gate_limits_reported(struct pf_gate *g, uint64_t peer,
			  const struct pf_gate_limit *v, uint32_t n);

/* gate_prefix.c */
/** Prompt tokens of @r expected in the prefix cache of @e. */
uint32_t gate_prefix_cached_tokens(struct pf_gate *g,
				   const struct gate_request *r,
				   const struct gate_endpoint *e);
/** Records the prefixes of @r as cached at @e; announces the shared ones. */
void gate_prefix_add_sent(struct pf_gate *g, const struct gate_request *r,
			  const struct gate_endpoint *e);
void gate_prefix_add_reported(struct pf_gate *g,
			      const struct pf_gate_cached_prefix *c);

/* gate_suspects.c: prompt parts that may have caused crashes */
/** Returns the bits of the crashes of which @part is a suspect. */
uint32_t gate_suspect_records(const struct pf_gate *g, uint64_t part);
void gate_suspect_add(struct pf_gate *g, uint64_t part, uint32_t record);
/** @part is a suspect of no crash. */
void gate_suspect_clear(struct pf_gate *g, uint64_t part);
/** The crash has no suspects. */
void gate_suspects_forget(struct pf_gate *g, uint32_t record);
void gate_suspects_free(struct pf_gate *g);

/* gate_blame.c: which prompt part explains the crashes */
int gate_blame_init(struct pf_gate *g);
void gate_blame_free(struct pf_gate *g);
/**
 * This incarnation of @e seems to have crashed. Its requests that may have
 * caused that are those without an event, or that have just begun.
 */
void gate_blame_crash(struct pf_gate *g, struct gate_endpoint *e,
		      uint64_t incarnation);
/** @e made progress: it has not crashed. */
void gate_blame_alive(struct pf_gate *g, struct gate_endpoint *e);
/** An answer on @part that began at @began_at went on. */
void gate_blame_sound(struct pf_gate *g, uint64_t part, pf_ms began_at);
void gate_blame_evidence(struct pf_gate *g, uint64_t peer,
			 const struct pf_gate_evidence *v, uint32_t n);

/* gate_uses.c */
int gate_uses_init(struct pf_gate *g);
void gate_uses_free(struct pf_gate *g);
void gate_use_arrival(struct pf_gate *g, struct gate_request *r);
/** An answer to @r went on for a while, or was complete. */
void gate_use_served(struct pf_gate *g, const struct gate_request *r);
/** Counts USE or SERVED of another gateway. */
void gate_use_reported(struct pf_gate *g, const struct pf_gate_evidence *e);
/** Share of the requests that come with @part; more than 0, below 1. */
double gate_use_share(struct pf_gate *g, uint64_t part);
/** From now on, requests are counted for gate_use_unserved(). */
void gate_use_suspected(struct pf_gate *g, uint64_t part);
/**
 * How many requests with @part would have been served since it became a suspect,
 * by those that were served for the same model.
 */
double gate_use_unserved(struct pf_gate *g, uint64_t part);
/** Whether it is time to tell all gateways that @part is a suspect. */
bool gate_use_ask(struct pf_gate *g, uint64_t part);
/**
 * Whether to tell others, all or the judges, that an answer on @part that began at
 * @began_at was sound; false if they were told just now of one after @since.
 */
bool gate_use_tell_sound(struct pf_gate *g, uint64_t part, pf_ms began_at,
			 pf_ms since, bool to_all);
/** When the last sound answer on @part began; 0: never. */
pf_ms gate_use_sound_at(struct pf_gate *g, uint64_t part);
void gate_use_sound(struct pf_gate *g, uint64_t part, pf_ms began_at);

/* gate_quarantine.c */
/** Whether @r may not be sent: it, or a part of its prompt, crashes endpoints. */
bool gate_quarantine_holds(struct pf_gate *g, const struct gate_request *r);
bool gate_quarantine_has(const struct pf_gate *g, uint64_t part);
/** @since: first crash with @part; @crashes: known here. */
void gate_quarantine_add(struct pf_gate *g, uint64_t part, pf_ms since,
			 uint32_t crashes);
/** Ends a quarantine that is due to crashes before @began_at. */
bool gate_quarantine_release(struct pf_gate *g, uint64_t part, pf_ms began_at);
/** An endpoint crashed, perhaps by a trial of @part at another gateway. */
void gate_quarantine_crashed(struct pf_gate *g, uint64_t part, pf_ms at);
/** A request came: notes its quarantined parts and may let it pass once. */
void gate_quarantine_arrival(struct pf_gate *g, struct gate_request *r);

/* gate_evidence.c */
/** @to_all: else only the judges are told. */
void gate_evidence_add(struct pf_gate *g, const struct pf_gate_evidence *e,
		       pf_ms at, bool to_all);

/* gate_software.c */
/** An endpoint with this software was added to the list, or removed. */
void gate_software_listed(struct pf_gate *g, uint64_t service,
			  uint64_t software);
void gate_software_unlisted(struct pf_gate *g, uint64_t software);
/** Another gateway, or this one before a restart, knew of it. */
void gate_software_seen(struct pf_gate *g, uint64_t service, uint64_t software,
			pf_ms at);
/** Whether the service has several now, or had them lately. */
bool gate_software_mixed(const struct pf_gate *g, uint64_t service);
/** Whether it is known which it has and had lately. */
bool gate_software_known(const struct pf_gate *g, uint64_t service);
/** Whether it has one, and is known to have had no other one lately. */
bool gate_software_only(const struct pf_gate *g, uint64_t service,
			uint64_t *only);

struct gate_software *gate_software_find(struct pf_gate *g, uint64_t software);
/**
 * Sets *@only to the software of the service if it has one; returns how many
 * it has now or had lately, 2 for an unknown number.
 */
uint32_t gate_software_count(const struct pf_gate *g, uint64_t service,
			     uint64_t *only);

/* gate_history.c */
void gate_history_read(struct pf_gate *g, const struct pf_gate_history *h);
void gate_history_endpoints_read(struct pf_gate *g);
/** The first endpoint with @s was listed, or the last one removed. */
void gate_history_listed(struct pf_gate *g, struct gate_software *s);
void gate_history_unlisted(struct pf_gate *g, struct gate_software *s);
/** Whether the store and the endpoints have been read, since the start. */
bool gate_history_complete(const struct pf_gate *g);
/** Whether a stream of @r may begin at the software of @e. */
enum gate_record gate_history_record(struct pf_gate *g,
				     const struct gate_request *r,
				     const struct gate_endpoint *e);
/** Until when @r may have to wait for a version to be recorded; 0: not. */
pf_ms gate_history_wait_until(const struct pf_gate *g,
			      const struct gate_request *r);
/** @r got its first event. */
void gate_history_begun(struct pf_gate *g, const struct gate_request *r);

/* gate_streams.c */
/** Notes which stream @r resumes; asks other gateways if it is unknown here. */
void gate_stream_arrive(struct pf_gate *g, struct gate_request *r,
			const struct pf_inbound *in);
/** Binds @r to the software of its stream as soon as it is known. */
enum gate_decision gate_stream_decide(struct pf_gate *g,
				      struct gate_request *r);
/** The first event of @r was passed on. */
void gate_stream_begun(struct pf_gate *g, const struct gate_request *r);
void gate_stream_complete(struct pf_gate *g, const struct gate_request *r);
/** The service has several versions from now on: tells of its open streams. */
void gate_streams_announce(struct pf_gate *g, uint64_t service);
void gate_stream_note(struct pf_gate *g, const struct pf_gate_note *n);
void gate_streams_stored(struct pf_gate *g, const struct pf_gate_stored *in);
/** All that the store tells was read: decides what waits for it. */
void gate_streams_read_done(struct pf_gate *g);

/* gate_pick.c */
/* Prompts queued at an endpoint can't be reordered, so few are sent ahead. */
#define GATE_QUEUED_PREFILL_MAX_MS 1200.0
/* Share of an engine's KV cache; above it, runs are preempted. */
#define GATE_KV_FILL_MAX 0.92
/**
 * Returns the slot of the best endpoint, or GATE_NIL. If the best one must load
 * the adapter first, sets *@load_at to its slot and returns GATE_NIL; else sets
 * *@load_at to GATE_NIL.
 */
uint32_t gate_pick(struct pf_gate *g, struct gate_request *r,
		   uint32_t *load_at);
/**
 * The best endpoint for a request that is in flight at a blocked one: none that
 * failed it or seems silent. Returns GATE_NIL if there is none.
 */
uint32_t gate_pick_other(struct pf_gate *g, const struct gate_request *r,
			 struct gate_estimate *out);
/** Not while @r is in flight: the load of its endpoint counts the old one. */
void gate_request_set_estimate(struct gate_request *r,
			       const struct gate_estimate *x);
/** Whether any endpoint could serve @r, even if all are busy. */
bool gate_has_endpoint(struct pf_gate *g, const struct gate_request *r);
/**
 * Whether the stream of @r can't go on: the endpoints with its software left or
 * don't have its model, while others are there or have it.
 */
bool gate_software_gone(const struct pf_gate *g, const struct gate_request *r);
/** Until when a backoff or a limit allows no send to @e; in the past: none. */
pf_ms gate_held_until(struct pf_gate *g, const struct gate_endpoint *e);
/**
 * If each endpoint that could serve @r is held by a backoff or a limit, the one
 * that is held no longer first; else NULL.
 */
const struct gate_endpoint *gate_first_held(struct pf_gate *g,
					    const struct gate_request *r);
/** Updates latency estimates at the first event of @r. */
void gate_learn_latency(struct pf_gate *g, struct gate_request *r);

/* gate_hold.c */
/** Counts @r, which was sent to @e, for the share of its account. */
void gate_hold_sent(struct pf_gate *g, struct gate_request *r,
		    const struct gate_endpoint *e);
/** The first event of @r came, or it is no longer in flight. */
void gate_hold_prefilled(struct pf_gate *g, struct gate_request *r);
void gate_hold_ended(struct pf_gate *g, struct gate_request *r);
/** Whether @r waits since its account uses more than its share. */
bool gate_hold(struct pf_gate *g, struct gate_request *r);
/** The priority at an engine of @r, which has @priority by its route. */
int gate_hold_priority(const struct gate_request *r, int priority);
/** Replaces what the accounts of @p have in flight. */
void gate_hold_told(struct pf_gate *g, struct gate_peer *p,
		    const struct pf_gate_account_load *v, uint32_t n);

/* gate_services.c */
/**
 * Returns the state of a service, which is added if need be, or NULL without
 * memory. Valid until the next call.
 */
struct gate_service *gate_service(struct pf_gate *g, uint64_t id);
void gate_services_free(struct pf_gate *g);

/* gate_drain.c */
/** A request of the service was answered. */
void gate_drain_answered(struct pf_gate *g, uint64_t service);
/** The shortest time in which an endpoint could serve @r. */
pf_ms gate_min_service_time(const struct gate_request *r);
/** When a waiting request is given up. */
pf_ms gate_wait_deadline(struct pf_gate *g, const struct gate_request *r);

/* gate_retry.c */
#define GATE_RETRY_AFTER_MAX_MS 4000
/** When the caller of @r, which is refused, returns; -1: it doesn't. */
pf_ms gate_retry_after(struct pf_gate *g, const struct gate_request *r,
		       enum pf_gate_reason why);
/** The same if a backoff or a limit of an endpoint ends after @wait. */
pf_ms gate_retry_after_hold(struct pf_gate *g, const struct gate_request *r,
			    pf_ms wait);

/* gate_budget.c */
void gate_budget_add_request(struct pf_gate *g, uint64_t service);
/** Takes a retry from the budget; false if it is used up. */
bool gate_budget_take_retry(struct pf_gate *g, uint64_t service);
/** @others: the other gateways that have rows in the store. */
void gate_budget_members(struct pf_gate *g, uint32_t others);

/* gate_digest.c */
void gate_digest_add_prefix(struct pf_gate *g, uint64_t prefix,
			    uint64_t endpoint);
void gate_digest_add_crash(struct pf_gate *g, uint64_t fingerprint);

/* gate_crash.c */
/** The crashes of a request are forgotten this long after the last one. */
#define GATE_CRASH_KEEP_MS 60000
bool gate_quarantined(struct pf_gate *g, uint64_t fingerprint);
/**
 * Counts an endpoint crash while @fingerprint was in flight there. @announce:
 * this gateway observed it and puts it into its digests.
 */
void gate_crash_add(struct pf_gate *g, uint64_t fingerprint, bool announce);

/* gate_demand.c */
/** Counts a request from its arrival until gate_demand_end(). */
void gate_demand_begin(struct pf_gate *g, const struct gate_request *r);
void gate_demand_end(struct pf_gate *g, const struct gate_request *r);

/* gate_life.c */
void gate_request_arrive(struct pf_gate *g, const struct pf_gate_arrival *a);
void gate_request_hangup(struct pf_gate *g, uint32_t slot);
/** Handles @n events of a stream that were passed on to the caller. */
void gate_request_events(struct pf_gate *g, uint32_t slot, uint32_t n);
/** The stream isn't read for now, or is read again; it isn't silent. */
void gate_request_pause(struct pf_gate *g, uint32_t slot, bool on);
void gate_request_send_ended(struct pf_gate *g,
			     const struct pf_gate_end *reported);
/** Handles an expired timer: waited too long, stalled, or deadline reached. */
void gate_request_timer(struct pf_gate *g, uint32_t slot);
/** Refuses waiting requests; from now on none may wait. */
void gate_shut_down(struct pf_gate *g);
/** Sends @r or ends it, if it can't be sent in time; false if it must wait. */
bool gate_try_send(struct pf_gate *g, struct gate_request *r);
/** Takes a retry from the budget; the first send on the wire is free. */
bool gate_take_retry(struct pf_gate *g, const struct gate_request *r);
/** Requests the adapter of @r, at intervals. */
void gate_request_adapter(struct pf_gate *g, struct gate_request *r,
			  uint32_t at);
/** Cancels the send in flight and sends to slot @at. */
void gate_request_move(struct pf_gate *g, struct gate_request *r, uint32_t at,
		       const struct gate_estimate *to);
/** Ends the requests that a quarantine concerns and that have not begun. */
void gate_requests_quarantine(struct pf_gate *g);
#ifdef PF_MUTANT_GATE_SILENCE
void gate_request_cancel_stalled(struct pf_gate *g, struct gate_request *r);
#endif

/* gate_stall.c */
/** When a request in flight needs gate_stall_check(); PF_NEVER: never. */
pf_ms gate_stall_next(const struct pf_gate *g, const struct gate_request *r);
/**
 * Probes a silent endpoint, or moves the request to another one. A request
 * that has no other endpoint stays.
 */
void gate_stall_check(struct pf_gate *g, struct gate_request *r);
/** A probe of the endpoint has connected. */
void gate_endpoint_reachable(struct pf_gate *g, uint64_t id);
/** An event or answer came; it ends the endpoint's silence, if any. */
void gate_endpoint_progress(struct pf_gate *g, struct gate_endpoint *e);

/* gate_wait.c */
void gate_wait_add(struct pf_gate *g, struct gate_request *r);
void gate_wait_remove(struct pf_gate *g, struct gate_request *r);
/** Whether the account of @r has a priority, which goes before the route's. */
bool gate_has_account_priority(const struct gate_request *r);
void gate_send_waiting(struct pf_gate *g);

#endif
