/* Capacity model: measured cost per unit, and the total of each role. */
#ifndef BENCH_CAPACITY_H
#define BENCH_CAPACITY_H

#include "pimentoford/base.h"

#include <glib.h>

/* Measured costs: DEF(name, role, what, unit). */
#define SLOPES(DEF)                                                 \
	DEF(ENTRY_REQUEST_BYTES, "entry", "request_alive", "bytes") \
	DEF(ENTRY_AGENT_BYTES, "entry", "agent_known", "bytes")     \
	DEF(ENTRY_REQUEST_NS, "entry", "request", "ns")             \
	DEF(ENTRY_PIECE_NS, "entry", "piece", "ns")                 \
	DEF(ENTRY_REPORT_NS, "entry", "report", "ns")               \
	DEF(AGENT_RUN_BYTES, "agent", "run", "bytes")               \
	DEF(AGENT_RUN_NS, "agent", "try", "ns")                     \
	DEF(AGENT_TOKEN_NS, "agent", "token_message", "ns")         \
	DEF(AGENT_TICK_NS, "agent", "report_tick", "ns")            \
	DEF(CLAIM_KEY_BYTES, "shard_owner", "key", "bytes")         \
	DEF(CLAIM_CALL_NS, "shard_owner", "call", "ns")             \
	DEF(PLANNER_BYTES, "planner", "agent", "bytes")             \
	DEF(PLANNER_NS, "planner", "plan_per_agent", "ns")          \
	DEF(RECORD_PARSE_NS, "config", "record_parsed", "ns")       \
	DEF(RECORD_BUILD_NS, "config", "record_built", "ns")        \
	DEF(RECORD_BYTES, "config", "record_held", "bytes")         \
	DEF(RECORD_TEXT_BYTES, "config", "record_text", "bytes")    \
	DEF(ACCEPT_NS, "accept", "change", "ns")                    \
	DEF(ACCEPT_READS, "accept", "reads_per_change", "reads")    \
	DEF(WIRE_REPORT_ITEM, "wire", "report_item", "bytes")       \
	DEF(WIRE_TRY_BODY, "wire", "try_body_byte", "bytes")        \
	DEF(WIRE_PIECE_TOKEN, "wire", "piece_token", "bytes")

enum slope_name {
#define DEF(name, role, what, unit) SLOPE_##name,
	SLOPES(DEF)
#undef DEF
		SLOPE_COUNT
};

/* A linear fit through the measured points. */
struct slope {
	double base; /* at size 0 */
	double per_unit;
	double residual; /* root mean square, relative to the mean */
};

#define CAPACITY_POINTS 3 /* sizes per measurement */

/* Fits @cost against @size into @all[@name] and prints it. */
void capacity_fit(struct slope *all, enum slope_name name, const double *size,
		  const double *cost);

/* Returns -1 if a core could not be created. */
int capacity_measure(struct slope *all);

/* Throughput of never-repeat calls at the table's write rate limit. */
struct claim_rate {
	double calls_per_s;
	double rows_per_call;
};

/* Records text with @n endpoints; the caller frees it. */
GString *capacity_records(uint32_t n);

/* capacity_accept.c */
int capacity_measure_accepts(struct slope *all);

/* capacity_claim.c; @grouped: the rate with group commit */
int capacity_measure_claims(struct slope *all, struct claim_rate *grouped);

/* capacity_roles.c: prints the load of each role at the target size. */
void capacity_print_roles(const struct slope *all,
			  const struct claim_rate *claims);

/* CPU time (ns) and allocated heap (bytes) of this process. */
double capacity_cpu_ns(void);
double capacity_heap_bytes(void);

/* Returns the exit status. */
int capacity_main(void);

#endif
