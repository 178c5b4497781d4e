/*
 * Protocol between the pimentoford processes. A session opens with HELLO and
 * PROVE; after that both sides send BATCH calls, which have no reply.
 * A message is {type, body}. A receiver skips unknown types and ignores bytes
 * after the fields it knows, so that adjacent releases interoperate. New
 * fields are appended to a body. Times are sent as durations in ms.
 */
const PIMENTO_NONCE = 32;
const PIMENTO_PROOF = 32;
const PIMENTO_BYTES = 33554432; /* maximum length of a byte string */
const PIMENTO_ITEMS = 65536; /* maximum length of a list */

struct pimento_hello {
	unsigned int release; /* protocol release, raised by each change */
	unsigned int role;
	unsigned hyper id;
	unsigned hyper incarnation;
	opaque nonce[PIMENTO_NONCE];
};

struct pimento_welcome {
	pimento_hello hello;
	opaque proof[PIMENTO_PROOF];
};

struct pimento_proof {
	opaque proof[PIMENTO_PROOF];
};

enum pimento_type {
	PIMENTO_TRY = 1,
	PIMENTO_REVOKE = 2,
	PIMENTO_CANCEL = 3,
	PIMENTO_STARTED = 4,
	PIMENTO_PIECE = 5,
	PIMENTO_DONE = 6,
	PIMENTO_NOT_RUN = 7,
	PIMENTO_REVOKED = 8,
	PIMENTO_LOST = 9,
	PIMENTO_REPORT = 10,
	PIMENTO_LEAVING = 11,
	PIMENTO_QUARANTINE = 12,
	PIMENTO_CONFIG_HEAD = 13,
	PIMENTO_CONFIG_PULL = 14,
	PIMENTO_CONFIG = 15,
	PIMENTO_PLACE = 16,
	PIMENTO_DEMAND = 17
};

struct pimento_try_id {
	unsigned hyper request;
	unsigned int attempt;
};

/* A duration of -1 means none. */
struct pimento_work {
	unsigned hyper caller;
	unsigned hyper model;
	unsigned hyper adapter;
	unsigned hyper prefix;
	unsigned hyper fingerprint;
	unsigned hyper idem_key;
	unsigned int prompt_tokens;
	unsigned int max_tokens;
	unsigned int offset;
	unsigned int flags;
	unsigned int priority;
	hyper age;
	hyper first_left;
	hyper between;
	hyper whole_left;
	hyper deadline_left;
};

struct pimento_try {
	pimento_try_id id;
	pimento_work work;
	opaque method<PIMENTO_BYTES>;
	opaque path<PIMENTO_BYTES>;
	opaque content_type<PIMENTO_BYTES>;
	opaque idem_key<PIMENTO_BYTES>;
	opaque body<PIMENTO_BYTES>; /* prompt, or body of a plain call */
	opaque prior<PIMENTO_BYTES>; /* output already delivered */
};

struct pimento_piece {
	pimento_try_id id;
	unsigned int offset;
	unsigned int lens<PIMENTO_ITEMS>; /* byte length of each token */
	opaque text<PIMENTO_BYTES>;
};

struct pimento_done {
	pimento_try_id id;
	unsigned int total;
	bool error;
	bool at_limit;
	unsigned int status; /* plain call: HTTP status */
	opaque content_type<PIMENTO_BYTES>;
	opaque body<PIMENTO_BYTES>;
};

struct pimento_not_run {
	pimento_try_id id;
	unsigned int reason;
	hyper retry_after;
};

struct pimento_lost {
	pimento_try_id id;
	unsigned int reason;
	unsigned int produced;
};

struct pimento_item {
	unsigned hyper id;
	unsigned int state;
	unsigned int running;
};

struct pimento_report {
	unsigned hyper agent;
	unsigned hyper incarnation;
	unsigned hyper seq;
	unsigned int running;
	unsigned int queued;
	unsigned int queue_max;
	unsigned int batch_max;
	unsigned int started;
	hyper kv_free;
	hyper kv_total;
	double step_ms;
	double token_prefill_ms;
	bool leaving;
	bool ready;
	pimento_item items<PIMENTO_ITEMS>;
};

struct pimento_quarantine {
	unsigned hyper fingerprint;
	hyper keep;
};

struct pimento_config {
	unsigned hyper revision;
	opaque text<PIMENTO_BYTES>;
	unsigned hyper base;
	unsigned hyper digest;
	unsigned hyper region;
	hyper age;
};

struct pimento_place {
	unsigned hyper items<PIMENTO_ITEMS>;
};

struct pimento_wish {
	unsigned hyper model;
	unsigned int waiting;
	unsigned int alive;
};

struct pimento_demand {
	pimento_wish wishes<PIMENTO_ITEMS>;
};

struct pimento_msg {
	unsigned int type;
	opaque body<PIMENTO_BYTES>;
};

typedef pimento_msg pimento_batch<PIMENTO_ITEMS>;

program PIMENTO_PROG {
	version PIMENTO_V1 {
		pimento_welcome PIMENTO_HELLO(pimento_hello) = 1;
		void PIMENTO_PROVE(pimento_proof) = 2;
		void PIMENTO_BATCH(pimento_batch) = 3;
	} = 1;
} = 0x20504d46;

/* Messages between gateways, one per datagram. */
const PIMENTO_GATE_LOADS = 128;
const PIMENTO_GATE_SIGHTS = 64;
const PIMENTO_GATE_CRASHED = 16;
const PIMENTO_GATE_DEMANDS = 512;
const PIMENTO_GATE_EVIDENCE = 96;
const PIMENTO_GATE_LIMITS = 128;
const PIMENTO_GATE_ACCOUNTS = 64;

struct pimento_gate_load {
	unsigned hyper endpoint;
	unsigned int running;
	unsigned int kv_tokens;
	unsigned int prefill_ms;
};

struct pimento_gate_sight {
	unsigned hyper chain;
	unsigned hyper endpoint;
};

struct pimento_gate_digest {
	unsigned hyper peer;
	pimento_gate_load loads<PIMENTO_GATE_LOADS>;
	pimento_gate_sight sights<PIMENTO_GATE_SIGHTS>;
	unsigned hyper crashed<PIMENTO_GATE_CRASHED>;
	unsigned hyper config; /* configuration version in use */
	unsigned hyper endpoints; /* revision of the last state change */
	unsigned int store_age_ms; /* since the store last answered */
};

struct pimento_gate_account {
	unsigned hyper account;
	unsigned int plain;
	unsigned int running;
	unsigned int kv_tokens;
	unsigned int prefill_ms;
};

/* Follows a digest, after the era of the store. */
typedef pimento_gate_account pimento_gate_accounts<PIMENTO_GATE_ACCOUNTS>;

struct pimento_gate_evidence {
	unsigned int type; /* enum pf_gate_evidence_type */
	unsigned hyper subject; /* incarnation, or model of USE and SERVED */
	unsigned hyper part;
	unsigned int age_ms;
	unsigned int requests;
};

struct pimento_gate_evidences {
	unsigned hyper peer;
	pimento_gate_evidence v<PIMENTO_GATE_EVIDENCE>;
};

struct pimento_gate_limit {
	unsigned hyper incarnation;
	double per_s;
	unsigned int age_ms;
	unsigned int sent;
};

struct pimento_gate_limits {
	unsigned hyper peer;
	pimento_gate_limit v<PIMENTO_GATE_LIMITS>;
};

struct pimento_gate_demand {
	unsigned hyper item;
	unsigned hyper model;
	float per_s;
	float alive;
	unsigned int waiting;
};

struct pimento_gate_demands {
	unsigned hyper peer;
	pimento_gate_demand demands<PIMENTO_GATE_DEMANDS>;
};

const PIMENTO_ITEMS_MAX = 64;
const PIMENTO_NAME_MAX = 200;

struct pimento_resident {
	unsigned hyper model;
	unsigned hyper adapters<PIMENTO_ITEMS_MAX>;
};

/* Engine state as reported by its loader. */
struct pimento_engine_state {
	unsigned hyper endpoint; /* 0: unknown so far */
	hyper born;
	unsigned hyper orders; /* accepted by the engine so far */
	unsigned int busy; /* a load or unload is in progress */
	unsigned hyper loading; /* model; 0: none */
	unsigned int loading_ms; /* since the load began */
	unsigned int from_store; /* the load reads from the weight store */
	unsigned hyper leaving; /* model being unloaded; 0: none */
	unsigned int draining; /* the endpoint is about to be removed */
	unsigned int running;
	unsigned int queued;
	unsigned int kv_used;
	unsigned int kv_total;
	pimento_resident residents<PIMENTO_ITEMS_MAX>;
	unsigned hyper warm<PIMENTO_ITEMS_MAX>;
	unsigned hyper on_disk<PIMENTO_ITEMS_MAX>;
};

struct pimento_order_in_doubt {
	unsigned hyper model;
	unsigned hyper orders; /* number accepted before this one */
	unsigned int load; /* 0: unload */
	unsigned int age_ms;
};

/* Follows an engine state, unless empty. */
typedef pimento_order_in_doubt pimento_orders_in_doubt<PIMENTO_ITEMS_MAX>;

/* Request of a gateway to a loader; also serves as a heartbeat. */
struct pimento_want {
	string instance<PIMENTO_NAME_MAX>; /* addressed endpoint */
	hyper born;
	unsigned int adapter_slots;
	unsigned int tell_every; /* report interval in ms; changes are sent at once */
	unsigned hyper used<PIMENTO_ITEMS_MAX>; /* recently used adapters */
	unsigned hyper model; /* model of the requested adapter; 0: none */
	string model_name<PIMENTO_NAME_MAX>;
	string adapter_name<PIMENTO_NAME_MAX>;
};

/* Order of the planner to a loader. */
struct pimento_load_order {
	string instance<PIMENTO_NAME_MAX>;
	hyper born;
	unsigned hyper orders; /* number accepted before this one */
	unsigned int load; /* 0: unload */
	unsigned int from_store;
	string model_name<PIMENTO_NAME_MAX>;
};

/* Which software began a stream. */
struct pimento_gate_note {
	unsigned int type;
	unsigned hyper stream;
	unsigned hyper service;
	unsigned hyper software;
	unsigned int age_ms;
};

const PIMENTO_ALLOWANCE_WEIGHTS = 16;

/* To the home of a client account: credit wanted, and what was used. */
struct pimento_allowance_ask {
	unsigned hyper account;
	unsigned hyper session;
	unsigned hyper term;
	unsigned hyper seq;
	unsigned hyper used;
	unsigned hyper returned;
	unsigned hyper refunded;
	unsigned hyper charged;
	unsigned int prefetch;
	unsigned int weights<PIMENTO_ALLOWANCE_WEIGHTS>;
};

/* From the home of a client account, in answer to each of them. */
struct pimento_allowance_grant {
	unsigned hyper account;
	unsigned hyper session;
	unsigned hyper term;
	unsigned hyper seq;
	unsigned hyper granted;
	unsigned hyper charged;
	unsigned int type; /* enum pf_allowance_answer */
	unsigned int empty_ms;
	unsigned int slot_ms;
	hyper level;
};

enum pimento_talk_type {
	PIMENTO_TALK_DIGEST = 1,
	PIMENTO_TALK_DEMANDS = 2,
	PIMENTO_TALK_STATE = 3,
	PIMENTO_TALK_WANT = 4,
	PIMENTO_TALK_ORDER = 5,
	PIMENTO_TALK_EVIDENCE = 6,
	PIMENTO_TALK_LIMITS = 7,
	PIMENTO_TALK_NOTE = 8,
	PIMENTO_TALK_ALLOWANCE_ASK = 9,
	PIMENTO_TALK_ALLOWANCE_GRANT = 10
};

union pimento_talk switch (pimento_talk_type type) {
case PIMENTO_TALK_DIGEST:
	pimento_gate_digest digest;
case PIMENTO_TALK_DEMANDS:
	pimento_gate_demands demands;
case PIMENTO_TALK_STATE:
	pimento_engine_state state;
case PIMENTO_TALK_WANT:
	pimento_want want;
case PIMENTO_TALK_ORDER:
	pimento_load_order order;
case PIMENTO_TALK_EVIDENCE:
	pimento_gate_evidences evidence;
case PIMENTO_TALK_LIMITS:
	pimento_gate_limits limits;
case PIMENTO_TALK_NOTE:
	pimento_gate_note note;
case PIMENTO_TALK_ALLOWANCE_ASK:
	pimento_allowance_ask ask;
case PIMENTO_TALK_ALLOWANCE_GRANT:
	pimento_allowance_grant grant;
default:
	void;
};
