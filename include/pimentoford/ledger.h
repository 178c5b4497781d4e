/*
 * Memory ledger of one endpoint: reserves accelerator memory for weights,
 * adapters and KV grants. Items and runs are named by slots that the owner
 * assigns. A reservation that does not fit returns -1 and changes nothing.
 * While an order is in flight or in doubt, its item counts at the larger of
 * the sizes before and after it.
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
	int64_t capacity_bytes;
	int64_t items_bytes;
	int64_t kv_bytes;
	int64_t unaccounted_bytes; /* measured beyond items and grants */
	/* Committed bytes while an inventory puts them above the capacity,
	 * else 0. They may only fall, and nothing is reserved. */
	int64_t overcommit_sum;
	int64_t peak_bytes; /* highest committed so far */
	bool reconciled; /* with an inventory since the last reset */
	struct pf_ledger_item *items;
	int64_t *kv_grants; /* bytes of each run slot */
	uint32_t n_items;
	uint32_t n_runs;
};

/** Allocates the slots. 0, or -1 on a bad size or when out of memory. */
int pf_ledger_init(struct pf_ledger *l, int64_t capacity, uint32_t n_items,
		   uint32_t n_runs);
void pf_ledger_free(struct pf_ledger *l);

/** Sum of item, grant and unaccounted bytes. */
int64_t pf_ledger_committed(const struct pf_ledger *l);

/** Bytes that can still be reserved; 0 until reconciled. */
int64_t pf_ledger_available(const struct pf_ledger *l);

/** Reserves @bytes and sets an ABSENT item LOADING. 0 or -1. */
int pf_ledger_begin_load(struct pf_ledger *l, uint32_t item, int64_t bytes);

/** Sets a RESIDENT item UNLOADING; its bytes stay reserved. 0 or -1. */
int pf_ledger_begin_unload(struct pf_ledger *l, uint32_t item);

/** The order of @item is in doubt; its bytes stay reserved. */
void pf_ledger_mark_in_doubt(struct pf_ledger *l, uint32_t item);

/** The order of @item is settled: RESIDENT, or ABSENT and its bytes freed. */
void pf_ledger_settle(struct pf_ledger *l, uint32_t item,
		      enum pf_item_state state);

/**
 * An inventory lists @item with @bytes. The larger of these and the reserved
 * bytes is counted, even above the capacity.
 */
void pf_ledger_reconcile_item(struct pf_ledger *l, uint32_t item,
			      enum pf_item_state state, int64_t bytes);

/** Sets the KV grant of a run, larger or smaller than before. 0 or -1. */
int pf_ledger_grant_kv(struct pf_ledger *l, uint32_t run, int64_t bytes);

/** Frees the KV grant of a run. */
void pf_ledger_release_kv(struct pf_ledger *l, uint32_t run);

/**
 * Completes a reconciliation, after its items. What the engine measures as
 * used beyond the items and grants is unaccounted for, but at least the
 * @unlisted_bytes of items that have no slot.
 */
void pf_ledger_reconcile_total(struct pf_ledger *l, int64_t used_bytes,
			       int64_t unlisted_bytes);

/** The engine restarted or is gone: drops all, admits none until reconciled. */
void pf_ledger_reset(struct pf_ledger *l);

PF_END_DECLS

#endif
