/*
 * Counters of the daemons: declared once, owned by the daemon's context and
 * exported as Prometheus text.
 */
#ifndef PIMENTOFORD_COUNTERS_H
#define PIMENTOFORD_COUNTERS_H

#include "pimentoford/text.h"

PF_BEGIN_DECLS

/* DEF(symbol, "name", "counter" or "gauge", "help") */
#define PF_ENTRY_COUNTERS(DEF)                                                 \
	DEF(CONNECTIONS, "connections", "gauge",                               \
	    "Open connections of callers")                                     \
	DEF(REQUESTS, "requests_total", "counter", "Requests that arrived")    \
	DEF(ANSWERED, "answered_total", "counter", "Requests answered whole")  \
	DEF(REFUSED, "refused_total", "counter",                               \
	    "Requests refused as not run")                                     \
	DEF(FAILED, "failed_total", "counter", "Requests that ran and failed") \
	DEF(CANCELLED, "cancelled_total", "counter", "Callers that went away") \
	DEF(BAD_REQUESTS, "bad_requests_total", "counter",                     \
	    "Requests that were malformed or over a limit")                    \
	DEF(UNAUTHORIZED, "unauthorized_total", "counter",                     \
	    "Requests without a valid key")                                    \
	DEF(OPEN, "requests_alive", "gauge", "Open requests")                  \
	DEF(WAITING, "requests_waiting", "gauge", "Requests that wait")        \
	DEF(RETRIES, "retries_total", "counter", "Tries after the first")      \
	DEF(RESUMES, "resumes_total", "counter", "Streams resumed elsewhere")  \
	DEF(TOKENS, "tokens_total", "counter", "Tokens delivered")             \
	DEF(BYTES_OUT, "bytes_out_total", "counter", "Bytes sent to callers")  \
	DEF(SUSPECTS, "suspects_total", "counter",                             \
	    "Tries that became suspect")                                       \
	DEF(QUARANTINED, "quarantined", "gauge", "Fingerprints refused")       \
	DEF(SESSIONS, "rpc_sessions", "gauge",                                 \
	    "Sessions with other processes")                                   \
	DEF(RPC_IN, "rpc_messages_in_total", "counter", "Messages received")   \
	DEF(RPC_OUT, "rpc_messages_out_total", "counter", "Messages sent")     \
	DEF(RPC_BYTES_IN, "rpc_bytes_in_total", "counter", "Bytes received")   \
	DEF(RPC_BYTES_OUT, "rpc_bytes_out_total", "counter", "Bytes sent")     \
	DEF(RPC_BAD, "rpc_bad_records_total", "counter",                       \
	    "Sessions ended by a bad or oversize record")                      \
	DEF(RPC_AUTH_FAILED, "rpc_strangers_total", "counter",                 \
	    "Peers that could not prove the deployment's key")                 \
	DEF(REVISION, "config_revision", "gauge", "Configuration in force")    \
	DEF(CHANGES, "config_changes_total", "counter",                        \
	    "Operators' changes accepted here")                                \
	DEF(CONFLICTS, "config_conflicts_total", "counter",                    \
	    "Operators' changes refused as conflicts")                         \
	DEF(TABLE_READS, "table_reads_total", "counter", "Reads of the table") \
	DEF(TABLE_WRITES, "table_writes_total", "counter",                     \
	    "Transactions at the table")                                       \
	DEF(TABLE_ERRORS, "table_errors_total", "counter",                     \
	    "Requests to the table without a usable answer")                   \
	DEF(DRAFTS_OPEN, "drafts_open", "gauge",                               \
	    "Drafts not delivered yet, by the last scan")                      \
	DEF(DRAFTS_FINISHED, "drafts_finished_total", "counter",               \
	    "Drafts finished here")                                            \
	DEF(DRAFT_OLDEST_MS, "draft_oldest_ms", "gauge",                       \
	    "Age of the oldest undelivered draft")                             \
	DEF(CPU_MS, "cpu_ms_total", "counter", "Processor time used")          \
	DEF(RSS_KB, "resident_kb", "gauge", "Resident memory")

#define PF_AGENT_COUNTERS(DEF)                                                 \
	DEF(TRIES, "tries_total", "counter", "Tries that arrived")             \
	DEF(ADMITTED, "admitted_total", "counter", "Tries admitted")           \
	DEF(NOT_RUN, "not_run_total", "counter", "Tries answered as not run")  \
	DEF(REVOKED, "revoked_total", "counter", "Tries revoked before a run") \
	DEF(COMPLETED, "completed_total", "counter", "Runs completed")         \
	DEF(LOST, "lost_total", "counter", "Runs that were cut")               \
	DEF(PAUSED, "paused_total", "counter", "Runs paused for memory")       \
	DEF(RUNNING, "running", "gauge", "Runs in the engine's batch")         \
	DEF(QUEUED, "queued", "gauge", "Tries that wait")                      \
	DEF(TOKENS, "tokens_total", "counter", "Tokens forwarded")             \
	DEF(COMMITTED, "memory_committed_bytes", "gauge",                      \
	    "Accelerator memory allocated or granted")                         \
	DEF(COMMITTED_PEAK, "memory_committed_peak_bytes", "gauge",            \
	    "Highest committed memory")                                        \
	DEF(MEMORY, "memory_bytes", "gauge", "Accelerator memory")             \
	DEF(LOADS, "loads_total", "counter", "Models and adapters loaded")     \
	DEF(UNLOADS, "unloads_total", "counter",                               \
	    "Models and adapters unloaded")                                    \
	DEF(ORDERS_UNKNOWN, "orders_unknown_total", "counter",                 \
	    "Orders that were never answered")                                 \
	DEF(ENGINE_CRASHES, "engine_crashes_total", "counter",                 \
	    "Times the endpoint was lost")                                     \
	DEF(CLAIMS, "claims_total", "counter", "Claims of never-repeat calls") \
	DEF(SESSIONS, "rpc_sessions", "gauge", "Sessions with entries")        \
	DEF(RPC_IN, "rpc_messages_in_total", "counter", "Messages received")   \
	DEF(RPC_OUT, "rpc_messages_out_total", "counter", "Messages sent")     \
	DEF(RPC_BYTES_IN, "rpc_bytes_in_total", "counter", "Bytes received")   \
	DEF(RPC_BYTES_OUT, "rpc_bytes_out_total", "counter", "Bytes sent")     \
	DEF(RPC_BAD, "rpc_bad_records_total", "counter",                       \
	    "Sessions ended by a bad or oversize record")                      \
	DEF(RPC_AUTH_FAILED, "rpc_strangers_total", "counter",                 \
	    "Peers that could not prove the deployment's key")                 \
	DEF(REVISION, "config_revision", "gauge", "Configuration in force")    \
	DEF(TABLE_READS, "table_reads_total", "counter", "Reads of the table") \
	DEF(TABLE_WRITES, "table_writes_total", "counter",                     \
	    "Transactions at the table")                                       \
	DEF(TABLE_ERRORS, "table_errors_total", "counter",                     \
	    "Requests to the table without a usable answer")                   \
	DEF(CPU_MS, "cpu_ms_total", "counter", "Processor time used")          \
	DEF(RSS_KB, "resident_kb", "gauge", "Resident memory")

#define PF_GATEWAY_COUNTERS(DEF)                                               \
	DEF(CONNECTIONS, "connections", "gauge",                               \
	    "Open connections of callers")                                     \
	DEF(REQUESTS, "requests_total", "counter", "Requests that arrived")    \
	DEF(ANSWERED, "answered_total", "counter", "Requests answered")        \
	DEF(REFUSED, "refused_total", "counter",                               \
	    "Requests refused as not run")                                     \
	DEF(FAILED, "failed_total", "counter", "Requests that failed")         \
	DEF(CANCELLED, "cancelled_total", "counter", "Callers that went away") \
	DEF(CUT, "answers_cut_total", "counter",                               \
	    "Answers ended by a reset after their first event")                \
	DEF(STALLED, "stalled_total", "counter",                               \
	    "Sends cancelled because the endpoint was silent")                 \
	DEF(DROPPED, "callers_dropped_total", "counter",                       \
	    "Connections closed with unanswered bytes of a request")           \
	DEF(OPEN, "requests_alive", "gauge", "Open requests")                  \
	DEF(WAITING, "requests_waiting", "gauge", "Requests that wait")        \
	DEF(SENT, "sent_total", "counter", "Sends to endpoints")               \
	DEF(REPEATS, "repeats_total", "counter",                               \
	    "Sends after the first of a request")                              \
	DEF(LEAVING, "endpoints_leaving_total", "counter",                     \
	    "Endpoints of which an answer said that they leave")               \
	DEF(QUARANTINES, "parts_quarantined_total", "counter",                 \
	    "Prompt parts found to crash endpoints")                           \
	DEF(LIMITS, "endpoint_limits_total", "counter",                        \
	    "Times an answer named another limit than the one before")         \
	DEF(BAD_LIMIT, "bad_limit_total", "counter",                           \
	    "Answers with a malformed limit")                                  \
	DEF(TOO_LONG, "answers_too_long_total", "counter",                     \
	    "Answers given up because a head, body or event was too long")     \
	DEF(BACKOFFS, "backoffs_total", "counter",                             \
	    "Answers by which an endpoint asked for no requests")              \
	DEF(BAD_RETRY_AFTER, "bad_retry_after_total", "counter",               \
	    "Answers with a retry time that is malformed or too long")         \
	DEF(RESUMED, "streams_resumed_total", "counter",                       \
	    "Streams that callers took up after their connection broke")       \
	DEF(RESUMED_UNKNOWN, "streams_unknown_total", "counter",               \
	    "Of these, those refused as nobody knew what began them")          \
	DEF(HELD, "requests_held_total", "counter",                            \
	    "Requests held since their account used more than its share")      \
	DEF(STREAMS_EVICTED, "streams_evicted_total", "counter",               \
	    "Records of streams that found no room")                           \
	DEF(STREAM_WRITES, "stream_writes_total", "counter",                   \
	    "Writes of this gateway's streams to the store")                   \
	DEF(ALLOWANCE_REJECTED, "allowance_refused_total", "counter",          \
	    "Requests refused as their account's allowance is used up")        \
	DEF(ALLOWANCE_REFUNDS, "allowance_refunds_total", "counter",           \
	    "Admissions given back as no send ran")                            \
	DEF(ALLOWANCE_CHARGES, "allowance_charges_total", "counter",           \
	    "Sends charged after the first one that may have run")             \
	DEF(ALLOWANCE_MESSAGES, "allowance_messages_total", "counter",         \
	    "Messages about allowances sent to other gateways")                \
	DEF(VERSION_WRITES, "version_writes_total", "counter",                 \
	    "Writes of the history of software versions to the store")         \
	DEF(BEHIND, "endpoints_behind", "gauge",                               \
	    "1: another gateway has read newer rows of endpoints")             \
	DEF(UNRECORDED, "streams_unrecorded_total", "counter",                 \
	    "Streams begun at a version that the history did not name")        \
	DEF(ENDPOINTS, "endpoints", "gauge", "Endpoints that are listed")      \
	DEF(VERSION, "config_version", "gauge", "Configuration in force")      \
	DEF(KEY_ACCEPTED, "key_check_accepted_total", "counter",               \
	    "Requests with the key of an account")                             \
	DEF(KEY_NONE, "key_check_no_key_total", "counter",                     \
	    "Requests refused as they had no usable key")                      \
	DEF(KEY_UNKNOWN, "key_check_unknown_key_total", "counter",             \
	    "Requests refused as their key was unknown or revoked")            \
	DEF(KEY_PUBLIC, "key_check_public_total", "counter",                   \
	    "Requests on public routes without the key of an account")         \
	DEF(ACCOUNTS, "accounts", "gauge", "Client accounts in force")         \
	DEF(KEYS, "account_keys", "gauge", "Keys of client accounts in force") \
	DEF(CONFIG_FROM_PEER, "config_from_peer_total", "counter",             \
	    "Configurations that another gateway had first")                   \
	DEF(CONFIG_FETCH_FAILED, "config_fetch_failed_total", "counter",       \
	    "Configurations that another gateway did not pass on in time")     \
	DEF(LATE_TICKS, "late_ticks_total", "counter",                         \
	    "Ticks that the event loop ran over 0.25 s late")                  \
	DEF(TICK_LATE_MAX_MS, "tick_late_max_ms", "gauge",                     \
	    "Longest delay of a tick since the start")                         \
	DEF(PLAN_MS, "plan_ms_total", "counter",                               \
	    "Time in ticks of the planner; the event loop stands still then")  \
	DEF(PLAN_MAX_MS, "plan_max_ms", "gauge",                               \
	    "Longest tick of the planner since the start")                     \
	DEF(BUFFERS_REQUESTS, "buffers_request_bytes", "gauge",                \
	    "Held for requests of callers")                                    \
	DEF(BUFFERS_RESPONSES, "buffers_response_bytes", "gauge",              \
	    "Held for callers that have not read it yet")                      \
	DEF(BUFFERS_UNSENT, "buffers_unsent_bytes", "gauge",                   \
	    "Held for endpoints that have not read it yet")                    \
	DEF(BUFFERS_LIMIT, "buffers_limit_bytes", "gauge",                     \
	    "Bound on these bytes together")                                   \
	DEF(BUFFERS_ENDED, "buffers_ended_total", "counter",                   \
	    "Connections of slow readers ended at the bound")                  \
	DEF(BUFFERS_REJECTED, "buffers_rejected_total", "counter",             \
	    "Requests refused as they did not fit into the bound")             \
	DEF(READS_PAUSED, "reads_paused_total", "counter",                     \
	    "Times that reading a stream from its endpoint stopped")           \
	DEF(READS_PAUSED_NOW, "reads_paused", "gauge",                         \
	    "Streams that are not read, as their callers are slow")            \
	DEF(RETRIES_REJECTED, "retries_rejected_total", "counter",             \
	    "Sends after the first that the retry budget did not allow")       \
	DEF(PEERS, "peers_known", "gauge",                                     \
	    "Other gateways that were heard in the last 20 s")                 \
	DEF(STORE_ERA, "store_era", "gauge", "Era of the store")               \
	DEF(STORE_RESTORES, "store_restores_total", "counter",                 \
	    "Times the store came back from an older copy")                    \
	DEF(STORE_ERA_ERRORS, "store_era_errors_total", "counter",             \
	    "Answers of the store with an unreadable or falling era")          \
	DEF(CPU_MS, "cpu_ms_total", "counter", "Processor time used")          \
	DEF(RSS_KB, "resident_kb", "gauge", "Resident memory")

enum pf_gateway_counter {
#define DEF(sym, name, type, help) PF_GC_##sym,
	PF_GATEWAY_COUNTERS(DEF)
#undef DEF
		PF_GC_COUNT
};

enum pf_entry_counter {
#define DEF(sym, name, type, help) PF_EC_##sym,
	PF_ENTRY_COUNTERS(DEF)
#undef DEF
		PF_EC_COUNT
};

enum pf_agent_counter {
#define DEF(sym, name, type, help) PF_AC_##sym,
	PF_AGENT_COUNTERS(DEF)
#undef DEF
		PF_AC_COUNT
};

/** Index with enum pf_entry_counter: `c->v[PF_EC_REQUESTS]++`. */
struct pf_entry_counters {
	uint64_t v[PF_EC_COUNT];
};

/** Upper bounds of the histogram buckets, in ms; the last bucket has none. */
#define PF_HISTOGRAM_BOUNDS                                             \
	{                                                               \
		10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800 \
	}
#define PF_HISTOGRAM_BUCKETS 12

/** A histogram of durations. */
struct pf_histogram {
	uint64_t counts[PF_HISTOGRAM_BUCKETS]; /* not cumulative */
	uint64_t sum_ms;
};

void pf_histogram_add(struct pf_histogram *h, pf_ms ms);
/** Appends Prometheus text. */
void pf_histogram_text(const struct pf_histogram *h, const char *name,
		       const char *help, struct pf_text *t);

/** Index with enum pf_gateway_counter. */
struct pf_gateway_counters {
	uint64_t v[PF_GC_COUNT];
	struct pf_histogram first_event_ms; /* to the first stream event */
	struct pf_histogram answer_ms; /* to the end of the answer */
};

/** Index with enum pf_agent_counter. */
struct pf_agent_counters {
	uint64_t v[PF_AC_COUNT];
};

/** Append Prometheus text, with names prefixed pimento_DAEMON_. */
void pf_entry_counters_text(const struct pf_entry_counters *c,
			    struct pf_text *t);
void pf_gateway_counters_text(const struct pf_gateway_counters *c,
			      struct pf_text *t);
void pf_agent_counters_text(const struct pf_agent_counters *c,
			    struct pf_text *t);

PF_END_DECLS

#endif
