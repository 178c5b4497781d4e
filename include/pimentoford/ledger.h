/*
 * Memory ledger of one endpoint: weights, adapters and KV grants against what
 * the accelerator has. Items and runs are named by slots that the owner
 * assigns. A reservation that does not fit returns -1 and changes nothing.
 * An order in flight, or one whose outcome is unknown, counts at its larger
 * side until it is settled.
 */
#ifndef PIMENTOFORD_LEDGER_H
#define PIMENTOFORD_LEDGER_H

#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_ledger_item {
	enum pf_item_state state;
	bool in_doubt; /* the outcome of its last order is not known */
	int64_t bytes; /* counted now; 0 when absent */
};

struct pf_ledger {
	int64_t capacity_bytes; /* bytes */
	int64_t items_bytes;
	int64_t kv_bytes;
	int64_t unaccounted_bytes; /* measured at the engine beyond what is known here */
	/* Largest sum that an inventory forced beyond the capacity, or 0.
	 * Nothing is reserved while it is set. */
	int64_t overcommit_sum;
	int64_t peak_bytes; /* largest committed sum so far */
	bool reconciled; /* an inventory has been read since the restart */
	struct pf_ledger_item *items;
	int64_t *kv_grants; /* bytes granted to each run slot */
	uint32_t n_items;
	uint32_t n_runs;
};

/** Takes memory for all slots. 0, or -1 when there is none or a bad size. */
int pf_ledger_init(struct pf_ledger *l, int64_t capacity, uint32_t n_items,
		   uint32_t n_runs);
void pf_ledger_free(struct pf_ledger *l);

/** Everything allocated or granted, in bytes. */
int64_t pf_ledger_committed(const struct pf_ledger *l);

/** Bytes that can still be reserved; 0 until reconciled. */
int64_t pf_ledger_available(const struct pf_ledger *l);

/** An absent item becomes LOADING and its bytes are reserved. 0 or -1. */
int pf_ledger_begin_load(struct pf_ledger *l, uint32_t item, int64_t bytes);

/** A resident item becomes UNLOADING; its bytes stay counted. 0 or -1. */
int pf_ledger_begin_unload(struct pf_ledger *l, uint32_t item);

/** The order of @item was not answered: it stays counted. */
void pf_ledger_mark_in_doubt(struct pf_ledger *l, uint32_t item);

/**
 * The order of @item is settled: it is RESIDENT, or ABSENT and its bytes are
 * free.
 */
void pf_ledger_settle(struct pf_ledger *l, uint32_t item,
		      enum pf_item_state state);

/**
 * An inventory shows @item with @bytes; counted at the larger of this and
 * what was reserved, even beyond the capacity.
 */
void pf_ledger_reconcile_item(struct pf_ledger *l, uint32_t item,
			      enum pf_item_state state, int64_t bytes);

/** Sets the KV grant of a run, more or less than before. 0 or -1. */
int pf_ledger_grant_kv(struct pf_ledger *l, uint32_t run, int64_t bytes);

/** Ends the KV grant of a run. */
void pf_ledger_release_kv(struct pf_ledger *l, uint32_t run);

/**
 * The engine measures @used bytes; what exceeds the known sum is counted as
 * excess, but no less than the @unlisted bytes of items that have no slot.
 * Completes a reconciliation after the items were found.
 */
void pf_ledger_reconcile_total(struct pf_ledger *l, int64_t used,
			       int64_t unlisted);

/** The engine is gone: nothing is held, nothing admitted until reconciled. */
void pf_ledger_reset(struct pf_ledger *l);

PF_END_DECLS

#endif
