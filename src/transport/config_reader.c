/* Follows the configuration in the table. */
#include "pimentoford/config_reader.h"

#include "pimentoford/rows.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_ROWS 500
#define KEY_CAP (PF_ROW_KEY_MAX + 1)

struct pf_config_reader {
	struct pf_config_reader_opts o;
	struct pf_rng rng;
	struct event *timer;
	uint64_t have; /* revision reported last */
	uint64_t target; /* of the set that is being read */
	struct pf_records set; /* read so far */
	char after[KEY_CAP]; /* last key read */
	bool confirming; /* the set is read; the head must still be there */
	struct pf_config_reader_stats stats;
};

static void read_head(struct pf_config_reader *r);

static void again(struct pf_config_reader *r)
{
	pf_ms wait =
		r->o.poll / 2 + pf_rng_below(&r->rng, (uint32_t)r->o.poll + 1);
	struct timeval tv = { wait / 1000, (wait % 1000) * 1000 };

	pf_records_free(&r->set);
	r->confirming = false;
	event_add(r->timer, &tv);
}

static void failed(struct pf_config_reader *r)
{
	r->stats.errors++;
	again(r);
}

static void build(struct pf_config_reader *r)
{
	struct pf_findings f = { 0 };
	struct pf_config *c = NULL;

	/* Whatever comes of it, this revision is not read twice. */
	r->have = r->target;
	if (pf_records_build(&r->set, r->target, &f, &c) == 0)
		r->o.adopt(r->o.ctx, c, &r->set);
	else
		r->o.refused(r->o.ctx, r->target, &f);
	pf_findings_clear(&f);
	again(r);
}

static int take_row(struct pf_config_reader *r, const struct pf_table_row *row)
{
	struct pf_record rec = { 0 };
	int ret = 0;

	if (row->key.n >= KEY_CAP || pf_row_record_parse(row, &rec) < 0)
		return -1;
	memcpy(r->after, row->key.p, row->key.n);
	r->after[row->key.n] = '\0';
	/* An empty text says that the record was deleted. */
	if (rec.text && rec.text[0])
		ret = pf_records_put(&r->set, &rec);
	pf_record_clear(&rec);
	return ret;
}

static void read_page(struct pf_config_reader *r);

static void on_page(void *ctx, const struct pf_table_rows *rows)
{
	struct pf_config_reader *r = ctx;
	size_t i;

	if (rows->status != PF_TABLE_OK) {
		failed(r);
		return;
	}
	for (i = 0; i < rows->n; i++) {
		if (take_row(r, &rows->rows[i]) < 0) {
			failed(r);
			return;
		}
	}
	if (rows->n >= PAGE_ROWS) {
		read_page(r);
		return;
	}
	r->confirming = true;
	read_head(r);
}

static void read_page(struct pf_config_reader *r)
{
	r->stats.reads++;
	if (pf_table_scan(r->o.table, PF_STR(PF_ROW_RECORDS),
			  pf_str_c(r->after), PAGE_ROWS, on_page, r) < 0)
		failed(r);
}

static void on_head(void *ctx, const struct pf_table_rows *rows)
{
	struct pf_config_reader *r = ctx;
	struct pf_head head = { 0 };

	if (rows->status != PF_TABLE_OK ||
	    (rows->n > 0 &&
	     pf_row_head_parse(rows->rows[0].value, &head) < 0)) {
		failed(r);
		return;
	}
	/* The head did not move while the pages were read: one revision. */
	if (r->confirming && head.revision == r->target) {
		build(r);
		return;
	}
	if (head.revision <= r->have) {
		again(r);
		return;
	}
	pf_records_free(&r->set);
	r->confirming = false;
	r->target = head.revision;
	r->after[0] = '\0';
	read_page(r);
}

static void read_head(struct pf_config_reader *r)
{
	r->stats.reads++;
	if (pf_table_get(r->o.table, PF_STR(PF_ROW_HEAD), on_head, r) < 0)
		failed(r);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	read_head(ctx);
}

struct pf_config_reader *
pf_config_reader_new(const struct pf_config_reader_opts *o)
{
	struct pf_config_reader *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->o = *o;
	pf_rng_seed(&r->rng, o->seed);
	r->timer = evtimer_new(o->base, on_timer, r);
	if (!r->timer) {
		free(r);
		return NULL;
	}
	read_head(r);
	return r;
}

void pf_config_reader_free(struct pf_config_reader *r)
{
	if (!r)
		return;
	event_free(r->timer);
	pf_records_free(&r->set);
	free(r);
}

void pf_config_reader_have(struct pf_config_reader *r, uint64_t revision)
{
	if (revision > r->have)
		r->have = revision;
}

const struct pf_config_reader_stats *
pf_config_reader_stats(const struct pf_config_reader *r)
{
	return &r->stats;
}
