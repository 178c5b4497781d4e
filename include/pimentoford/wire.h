/*
 * Messages between our own processes: the C form and its XDR bytes.
 * Points in time become durations on the wire, so clocks need not agree.
 */
#ifndef PIMENTOFORD_WIRE_H
#define PIMENTOFORD_WIRE_H

#include "pimentoford/demand.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

/** Types of messages; the numbers are those of pimento.x. */
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

/** What a try carries for the endpoint. */
struct pf_payload {
	struct pf_str method; /* of a plain call; otherwise empty */
	struct pf_str path;
	struct pf_str content_type;
	struct pf_str idem_key; /* as the caller sent it */
	struct pf_str body; /* the prompt, or a plain call's body */
	struct pf_str prior; /* output that the caller already has */
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
			uint32_t offset; /* of the first token */
			const uint32_t *lens; /* bytes of each token */
			uint32_t count;
			struct pf_str text;
		} piece;
		struct {
			struct pf_try id;
			uint32_t total;
			bool error;
			bool at_limit; /* ended at max_tokens */
			uint32_t status; /* HTTP status of a plain call */
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
			uint64_t revision; /* CONFIG_HEAD: what it holds;
					    * CONFIG_PULL: what it has */
			struct pf_str text; /* CONFIG only */
			uint64_t base; /* CONFIG: of a delta; 0: whole */
			uint64_t digest; /* CONFIG: of the whole set */
			uint64_t region; /* CONFIG_HEAD: id of the sender's */
			pf_ms age; /* CONFIG_HEAD: since the table was read
				    * there; -1: never */
		} config;
		struct {
			const uint64_t *items;
			uint32_t n_items;
		} place;
		struct {
			const struct pf_demand *v;
			uint32_t n;
		} demand; /* all of the entry that sends it */
	} u;
};

/** A growing buffer that is used again for each message. */
struct pf_wire_buf {
	char *p;
	size_t n;
	size_t cap;
};

void pf_wire_buf_free(struct pf_wire_buf *b);

/**
 * Writes the body of @m into @b, replacing what it held. 0, or -1 when there
 * is no memory or @m is no message.
 */
int pf_wire_encode(const struct pf_wire_msg *m, pf_ms now,
		   struct pf_wire_buf *b);

/** A decoder owns what its last message borrows. */
struct pf_wire_decoder;

struct pf_wire_decoder *pf_wire_decoder_new(void);
void pf_wire_decoder_free(struct pf_wire_decoder *d);

enum pf_wire_result {
	PF_WIRE_OK,
	PF_WIRE_UNKNOWN, /* a type of another release: skip it */
	PF_WIRE_BAD, /* malformed or out of memory */
};

/**
 * Reads one body into @m, which stays valid until the next call or until the
 * decoder is freed. Bytes behind the known fields are ignored.
 */
enum pf_wire_result pf_wire_decode(struct pf_wire_decoder *d, uint32_t type,
				   struct pf_str body, pf_ms now,
				   struct pf_wire_msg *m);

PF_END_DECLS

#endif
