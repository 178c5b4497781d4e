/* Rows about streams. */
#include "pimentoford/stream_row.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES 96

void pf_stream_row_encode(const struct pf_stream_row *r, struct pf_text *out)
{
	uint32_t i;

	pf_text_printf(out, "at %" PRId64 "\n", r->written_at);
	for (i = 0; i < r->n_software; i++) {
		const struct pf_gate_software *s = &r->software[i];

		pf_text_printf(out,
			       "software %" PRIx64 " %" PRIx64 " %" PRId64 "\n",
			       s->service, s->software, s->age);
	}
	for (i = 0; i < r->n_streams; i++) {
		const struct pf_gate_stream *s = &r->streams[i];

		pf_text_printf(out,
			       "stream %" PRIx64 " %" PRIx64 " %" PRIx64
			       " %" PRIu32 "\n",
			       s->id, s->service, s->software, s->age);
	}
}

/* Returns 0, also for a line of another kind, or -1. */
static int decode_line(const char *line, struct pf_stream_row *r)
{
	struct pf_gate_software v;
	struct pf_gate_stream s;

	if (strncmp(line, "at ", 3) == 0)
		return sscanf(line, "at %" SCNd64, &r->written_at) == 1 ? 0
									: -1;
	if (strncmp(line, "software ", 9) == 0) {
		if (sscanf(line, "software %" SCNx64 " %" SCNx64 " %" SCNd64,
			   &v.service, &v.software, &v.age) != 3)
			return -1;
		if (r->n_software < PF_GATE_SOFTWARE_MAX)
			r->software[r->n_software++] = v;
	}
	if (strncmp(line, "stream ", 7) == 0) {
		if (sscanf(line,
			   "stream %" SCNx64 " %" SCNx64 " %" SCNx64
			   " %" SCNu32,
			   &s.id, &s.service, &s.software, &s.age) != 4)
			return -1;
		if (r->n_streams < PF_GATE_STORED_MAX)
			r->streams[r->n_streams++] = s;
	}
	return 0;
}

/* Wall clocks of two VMs differ, and may jump. */
static void add_age(struct pf_stream_row *r, pf_ms age)
{
	uint32_t i;

	if (age < 0)
		age = 0;
	if (age > INT32_MAX)
		age = INT32_MAX;
	for (i = 0; i < r->n_software; i++)
		r->software[i].age += age;
	for (i = 0; i < r->n_streams; i++)
		r->streams[i].age += (uint32_t)age;
}

static int decode_lines(struct pf_str text, struct pf_stream_row *r)
{
	char line[LINE_MAX_BYTES];

	while (text.n) {
		if (pf_text_take_line(&text, line, sizeof(line)) < 0 ||
		    decode_line(line, r) < 0)
			return -1;
	}
	return r->written_at < 0 ? -1 : 0;
}

int pf_stream_row_decode(struct pf_str text, pf_ms now, struct pf_stream_row *r)
{
	memset(r, 0, sizeof(*r));
	r->written_at = -1;
	if (decode_lines(text, r) < 0) {
		memset(r, 0, sizeof(*r));
		return -1;
	}
	add_age(r, now - r->written_at);
	return 0;
}
