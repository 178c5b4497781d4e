/*
 * Messages between entries and agents, in C form and encoded as XDR. Times
 * are sent as durations, so the clocks of two VMs need not agree.
 */
#ifndef PIMENTOFORD_WIRE_H
#define PIMENTOFORD_WIRE_H

#include "pimentoford/demand.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

/** Message types; the numbers match enum pimento_type in pimento.x. */
enum pf_wire_type {
	PF_WIRE_TRY = 1,
	PF_WIRE_REVOKE,
	PF_WIRE_CANCEL,
	PF_WIRE_STARTED,
	PF_WIRE_PIECE,
	PF_WIRE_DONE,
	PF_WIRE_NOT_RUN,
	PF_WIRE_REVOKED,
	PF_WIRE_LOST,
	PF_WIRE_REPORT,
	PF_WIRE_LEAVING,
	PF_WIRE_QUARANTINE,
	PF_WIRE_CONFIG_HEAD,
	PF_WIRE_CONFIG_PULL,
	PF_WIRE_CONFIG,
	PF_WIRE_PLACE,
	PF_WIRE_DEMAND,
};

/** The request data that a try passes to the endpoint. */
struct pf_payload {
	struct pf_str method; /* plain call: HTTP method; else empty */
	struct pf_str path;
	struct pf_str content_type;
	struct pf_str idem_key; /* idempotency key from the caller */
	struct pf_str body; /* prompt, or body of a plain call */
	struct pf_str prior; /* output already delivered */
};

struct pf_wire_msg {
	enum pf_wire_type type;
	union {
		struct {
			struct pf_try id;
			struct pf_work work;
			struct pf_payload payload;
		} try_;
		struct pf_try id; /* REVOKE, CANCEL, STARTED, REVOKED */
		struct {
			struct pf_try id;
			uint32_t offset; /* output index of the first token */
			const uint32_t *lens; /* byte length of each token */
			uint32_t count;
			struct pf_str text;
		} piece;
		struct {
			struct pf_try id;
			uint32_t total;
			bool error;
			bool at_limit; /* reached max_tokens */
			uint32_t status; /* plain call: HTTP status */
			struct pf_str content_type;
			struct pf_str body;
		} done;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			pf_ms retry_after;
		} not_run;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			uint32_t produced;
		} lost;
		struct pf_report report;
		struct {
			uint64_t fingerprint;
			pf_ms until;
		} quarantine;
		struct {
			uint64_t revision; /* that the sender holds */
			struct pf_str text; /* CONFIG only */
			uint64_t base; /* CONFIG: revision that a delta
					* applies to; 0: the full set */
			uint64_t digest; /* CONFIG: of the full set */
			uint64_t region; /* CONFIG_HEAD: sender's region id */
			pf_ms age; /* CONFIG_HEAD: time since the sender read
				    * the table; -1: never */
		} config;
		struct {
			const uint64_t *items;
			uint32_t n_items;
		} place;
		struct {
			const struct pf_demand *v;
			uint32_t n;
		} demand; /* the complete demand at the sending entry */
	} u;
};

/** Growing output buffer, reused for each message. */
struct pf_wire_buf {
	char *p;
	size_t n;
	size_t cap;
};

void pf_wire_buf_free(struct pf_wire_buf *b);

/**
 * Encodes the body of @m into @b, replacing its content. Returns 0, or -1 if
 * memory runs out or the type is unknown.
 */
int pf_wire_encode(const struct pf_wire_msg *m, pf_ms now,
		   struct pf_wire_buf *b);

/** Owns the memory that the last decoded message points to. */
struct pf_wire_decoder;

struct pf_wire_decoder *pf_wire_decoder_new(void);
void pf_wire_decoder_free(struct pf_wire_decoder *d);

enum pf_wire_result {
	PF_WIRE_OK,
	PF_WIRE_UNKNOWN, /* type of a newer release: skip it */
	PF_WIRE_BAD, /* malformed, or out of memory */
};

/**
 * Decodes one body into @m, which is valid until the next call or until @d is
 * freed. Bytes after the known fields are ignored.
 */
enum pf_wire_result pf_wire_decode(struct pf_wire_decoder *d, uint32_t type,
				   struct pf_str body, pf_ms now,
				   struct pf_wire_msg *m);

PF_END_DECLS

#endif
