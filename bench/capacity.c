/* Measures memory and CPU time of the cores at three sizes each. */
#include "bench/capacity.h"
#include "pimentoford/agent.h"
#include "pimentoford/entry.h"
#include "pimentoford/place.h"
#include "pimentoford/records.h"
#include "pimentoford/text.h"
#include "pimentoford/wire.h"

#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define MODELS 270
#define PIECES_PER_REQUEST 16
#define REPETITIONS 20000
#define REPORT_TICKS 1000

static const struct {
	const char *role, *what, *unit;
} slope_names[] = {
#define DEF(name, role, what, unit) { role, what, unit },
	SLOPES(DEF)
#undef DEF
};

double capacity_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

double capacity_heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

void capacity_fit(struct slope *all, enum slope_name name, const double *size,
		  const double *cost)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, sum_squares = 0;
	struct slope *s = &all[name];

	for (int i = 0; i < CAPACITY_POINTS; i++) {
		sx += size[i];
		sy += cost[i];
		sxx += size[i] * size[i];
		sxy += size[i] * cost[i];
	}
	s->per_unit = (CAPACITY_POINTS * sxy - sx * sy) /
		      (CAPACITY_POINTS * sxx - sx * sx);
	s->base = (sy - s->per_unit * sx) / CAPACITY_POINTS;
	for (int i = 0; i < CAPACITY_POINTS; i++) {
		double d = cost[i] - s->base - s->per_unit * size[i];

		sum_squares += d * d;
	}
	s->residual =
		sqrt(sum_squares / CAPACITY_POINTS) / (sy / CAPACITY_POINTS);
	printf("capacity: role=%s what=%s at=%g,%g,%g measured=%.4g,%.4g,%.4g "
	       "base=%.4g slope=%.4g unit=%s residual=%.3f\n",
	       slope_names[name].role, slope_names[name].what, size[0], size[1],
	       size[2], cost[0], cost[1], cost[2], s->base, s->per_unit,
	       slope_names[name].unit, s->residual);
	fflush(stdout);
}

static struct pf_config *make_config(uint32_t agents)
{
	struct pf_config *c = calloc(1, sizeof(*c));

	c->models = calloc(MODELS, sizeof(*c->models));
	c->n_models = MODELS;
	for (uint32_t i = 0; i < MODELS; i++)
		c->models[i] = (struct pf_model){ .id = 1000 + i,
						  .name_id = 1000 + i,
						  .share = 100,
						  .weight_bytes = 8LL << 30,
						  .kv_token_bytes = 65536,
						  .max_context = 32768 };
	c->callers = calloc(1, sizeof(*c->callers));
	c->n_callers = 1;
	c->callers[0].id = 1;
	c->endpoints = calloc(agents, sizeof(*c->endpoints));
	c->n_endpoints = agents;
	for (uint32_t i = 0; i < agents; i++)
		c->endpoints[i] =
			(struct pf_endpoint){ .id = i + 1,
					      .zone = strdup("z1"),
					      .region = strdup("r1"),
					      .accelerators = 8,
					      .memory_bytes = 640LL << 30,
					      .batch_max = 256 };
	c->deployment = (struct pf_deployment){ .move_cost = 30,
						.store_loads_rate = 1000,
						.store_inflight = 1000,
						.adapter_knee = 1000,
						.link_kbit = 30000,
						.kv_share = 0.2 };
	(void)pf_config_index(c);
	return c;
}

/* The entry core under test and its last attempt. */
struct entry_fixture {
	struct pf_entry *core;
	struct pf_config *config;
	struct pf_item items[MODELS];
	struct pf_try id;
	uint64_t agent;
	uint64_t tries;
	uint64_t seq;
	pf_ms now;
};

static void entry_emit(void *ctx, const struct pf_entry_act *a)
{
	struct entry_fixture *b = ctx;

	if (a->type != PF_ENTRY_TRY)
		return;
	b->id = a->u.try_.id;
	b->agent = a->agent;
	b->tries++;
}

static void entry_step(struct entry_fixture *b, const struct pf_entry_msg *m)
{
	struct pf_entry_sink sink = { entry_emit, b };

	pf_entry_step(b->core, b->now, m, &sink);
}

static void entry_report(struct entry_fixture *b, uint32_t agent,
			 uint32_t items)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_REPORT, .agent = agent };

	m.u.report = (struct pf_report){ .agent = agent,
					 .incarnation = 1,
					 .seq = ++b->seq,
					 .queue_max = 64,
					 .batch_max = 256,
					 .kv_free = 1LL << 38,
					 .kv_total = 1LL << 38,
					 .step_ms = 20,
					 .token_prefill_ms = 0.1,
					 .ready = true,
					 .items = b->items,
					 .n_items = items };
	entry_step(b, &m);
}

static int entry_open(struct entry_fixture *b, uint32_t requests,
		      uint32_t agents, uint32_t items)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	struct pf_entry_opts o;

	memset(b, 0, sizeof(*b));
	b->now = 1000;
	b->config = make_config(agents);
	pf_entry_opts_default(&o);
	o.zone = "z1";
	o.region = "r1";
	o.requests_max = requests;
	o.agents_max = agents;
	o.items_max = MODELS;
	b->core = pf_entry_new(&o);
	if (!b->core)
		return -1;
	for (uint32_t i = 0; i < MODELS; i++)
		b->items[i] = (struct pf_item){ 1000 + i, PF_ITEM_RESIDENT, 0 };
	m.u.config = b->config;
	entry_step(b, &m);
	for (uint32_t a = 1; a <= agents && items; a++) {
		m = (struct pf_entry_msg){ .type = PF_ENTRY_LINK_UP,
					   .agent = a };
		m.u.link.incarnation = 1;
		entry_step(b, &m);
		entry_report(b, a, items);
	}
	return 0;
}

static void entry_close(struct entry_fixture *b)
{
	pf_entry_free(b->core);
	pf_config_free(b->config);
}

static void entry_arrive(struct entry_fixture *b, uint64_t request)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };

	m.u.arrive.request = request;
	m.u.arrive.work = (struct pf_work){ .caller = 1,
					    .model = 1000 + request % 4,
					    .fingerprint = request,
					    .prompt_tokens = 500,
					    .max_tokens = 400,
					    .arrived = b->now,
					    .first_token_objective = PF_NEVER,
					    .answer_objective = PF_NEVER,
					    .deadline = PF_NEVER };
	entry_step(b, &m);
}

/* Runs one request to its end; adds the CPU time of its pieces to @pieces. */
static void entry_serve_request(struct entry_fixture *b, uint64_t request,
				double *pieces)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_STARTED };
	double from;

	entry_arrive(b, request);
	m.agent = b->agent;
	m.u.id = b->id;
	entry_step(b, &m);
	m.type = PF_ENTRY_PIECE;
	m.u.tokens.id = b->id;
	m.u.tokens.count = 1;
	from = capacity_cpu_ns();
	for (uint32_t i = 0; i < PIECES_PER_REQUEST; i++) {
		m.u.tokens.offset = i;
		entry_step(b, &m);
	}
	*pieces += capacity_cpu_ns() - from;
	m.type = PF_ENTRY_DONE;
	m.u.done.id = b->id;
	m.u.done.total = PIECES_PER_REQUEST;
	m.u.done.error = false;
	entry_step(b, &m);
}

static int measure_entry_state(struct slope *all)
{
	static const double requests[] = { 2000, 8000, 20000 };
	static const double agents[] = { 16, 64, 256 };
	double cost[CAPACITY_POINTS];
	struct entry_fixture b;

	for (int i = 0; i < CAPACITY_POINTS; i++) {
		double before = capacity_heap_bytes();

		if (entry_open(&b, (uint32_t)requests[i], 64, 0))
			return -1;
		for (uint64_t r = 1; r <= (uint64_t)requests[i]; r++)
			entry_arrive(&b, r);
		cost[i] = capacity_heap_bytes() - before;
		entry_close(&b);
	}
	capacity_fit(all, SLOPE_ENTRY_REQUEST_BYTES, requests, cost);
	for (int i = 0; i < CAPACITY_POINTS; i++) {
		if (entry_open(&b, 20000, (uint32_t)agents[i], 8))
			return -1;
		cost[i] = capacity_heap_bytes();
		entry_close(&b);
		cost[i] -= capacity_heap_bytes();
	}
	capacity_fit(all, SLOPE_ENTRY_AGENT_BYTES, agents, cost);
	return 0;
}

static int measure_entry_time(struct slope *all)
{
	static const double agents[] = { 16, 64, 256 };
	double request[CAPACITY_POINTS], piece[CAPACITY_POINTS];
	struct entry_fixture b;

	for (int i = 0; i < CAPACITY_POINTS; i++) {
		double pieces = 0, from;

		if (entry_open(&b, 20000, (uint32_t)agents[i], 8))
			return -1;
		from = capacity_cpu_ns();
		for (uint64_t r = 1; r <= REPETITIONS; r++)
			entry_serve_request(&b, r, &pieces);
		request[i] = (capacity_cpu_ns() - from - pieces) / REPETITIONS;
		piece[i] = pieces / REPETITIONS / PIECES_PER_REQUEST;
		if (b.tries < REPETITIONS)
			fprintf(stderr,
				"capacity: entry started %llu of %d attempts\n",
				(unsigned long long)b.tries, REPETITIONS);
		entry_close(&b);
	}
	capacity_fit(all, SLOPE_ENTRY_REQUEST_NS, agents, request);
	capacity_fit(all, SLOPE_ENTRY_PIECE_NS, agents, piece);
	return 0;
}

static int measure_entry_reports(struct slope *all)
{
	static const double items[] = { 2, 8, 32 };
	double report[CAPACITY_POINTS];
	struct entry_fixture b;

	for (int i = 0; i < CAPACITY_POINTS; i++) {
		double from;

		if (entry_open(&b, 20000, 64, (uint32_t)items[i]))
			return -1;
		from = capacity_cpu_ns();
		for (uint32_t r = 0; r < REPETITIONS; r++)
			entry_report(&b, 1 + r % 64, (uint32_t)items[i]);
		report[i] = (capacity_cpu_ns() - from) / REPETITIONS;
		entry_close(&b);
	}
	capacity_fit(all, SLOPE_ENTRY_REPORT_NS, items, report);
	return 0;
}

static void agent_emit(void *ctx, const struct pf_agent_act *a)
{
	uint64_t *runs = ctx;

	*runs += a->type == PF_AGENT_RUN;
}

/* Costs of an agent with @n concurrent runs: attempts, tokens, report ticks. */
static int measure_agent_at(uint32_t n, double *bytes, double *try_ns,
			    double *token_ns, double *tick_ns)
{
	struct pf_agent_item held = { 1000, PF_ITEM_RESIDENT, 8LL << 30 };
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };
	struct pf_config *c = make_config(1);
	double before = capacity_heap_bytes(), from;
	uint64_t runs = 0;
	struct pf_agent_sink sink = { agent_emit, &runs };
	struct pf_agent_opts o;
	struct pf_agent *a;

	pf_agent_opts_default(&o);
	o.agent = 1;
	o.incarnation = 1;
	o.memory_bytes = 640LL << 30;
	o.batch_max = n;
	o.queue_max = n;
	o.runs_max = 2 * n;
	o.items_max = MODELS;
	a = pf_agent_new(&o);
	if (!a) {
		pf_config_free(c);
		return -1;
	}
	m.u.config = c;
	pf_agent_step(a, 1000, &m, &sink);
	m = (struct pf_agent_msg){ .type = PF_AGENT_ENGINE_UP };
	m.u.inventory.items = &held;
	m.u.inventory.n_items = 1;
	pf_agent_step(a, 1000, &m, &sink);
	from = capacity_cpu_ns();
	for (uint32_t i = 1; i <= n; i++) {
		m = (struct pf_agent_msg){ .type = PF_AGENT_TRY, .entry = 1 };
		m.u.try_.id = (struct pf_try){ i, 1 };
		m.u.try_.work =
			(struct pf_work){ .caller = 1,
					  .model = 1000,
					  .prompt_tokens = 100,
					  .max_tokens = 64,
					  .arrived = 1000,
					  .first_token_objective = PF_NEVER,
					  .answer_objective = PF_NEVER,
					  .deadline = PF_NEVER };
		pf_agent_step(a, 1000, &m, &sink);
	}
	*try_ns = (capacity_cpu_ns() - from) / n;
	from = capacity_cpu_ns();
	for (uint32_t t = 0; t < 32; t++) {
		for (uint32_t i = 1; i <= n; i++) {
			m = (struct pf_agent_msg){ .type = PF_AGENT_TOKENS };
			m.u.tokens.id = (struct pf_try){ i, 1 };
			m.u.tokens.offset = t;
			m.u.tokens.count = 1;
			pf_agent_step(a, 1001 + t, &m, &sink);
		}
	}
	*token_ns = (capacity_cpu_ns() - from) / 32 / n;
	m = (struct pf_agent_msg){ .type = PF_AGENT_TICK };
	from = capacity_cpu_ns();
	for (int i = 1; i <= REPORT_TICKS; i++)
		pf_agent_step(a, 2000 + i * o.report_every, &m, &sink);
	*tick_ns = (capacity_cpu_ns() - from) / REPORT_TICKS;
	*bytes = capacity_heap_bytes() - before;
	if (runs != n)
		fprintf(stderr, "capacity: agent started %llu of %u runs\n",
			(unsigned long long)runs, n);
	pf_agent_free(a);
	pf_config_free(c);
	return 0;
}

static int measure_agent(struct slope *all)
{
	static const double runs[] = { 32, 128, 512 };
	double bytes[CAPACITY_POINTS], tries[CAPACITY_POINTS],
		tokens[CAPACITY_POINTS], ticks[CAPACITY_POINTS];

	for (int i = 0; i < CAPACITY_POINTS; i++)
		if (measure_agent_at((uint32_t)runs[i], &bytes[i], &tries[i],
				     &tokens[i], &ticks[i]))
			return -1;
	capacity_fit(all, SLOPE_AGENT_RUN_BYTES, runs, bytes);
	capacity_fit(all, SLOPE_AGENT_RUN_NS, runs, tries);
	capacity_fit(all, SLOPE_AGENT_TOKEN_NS, runs, tokens);
	capacity_fit(all, SLOPE_AGENT_TICK_NS, runs, ticks);
	return 0;
}

static void planner_emit(void *ctx, const struct pf_place_act *a)
{
	(void)a;
	++*(uint64_t *)ctx;
}

static int measure_planner_at(uint32_t agents, double *bytes, double *ns)
{
	struct pf_config *c = make_config(agents);
	double before = capacity_heap_bytes(), from;
	struct pf_place_msg m = { .type = PF_PLACE_CONFIG };
	struct pf_demand demand[MODELS];
	uint64_t acts = 0;
	struct pf_place_sink sink = { planner_emit, &acts };
	struct pf_place_opts o;
	struct pf_placement *p;
	pf_ms now = 1000;

	pf_place_opts_default(&o);
	o.agents_max = agents;
	o.models_max = MODELS;
	p = pf_place_new(&o);
	if (!p) {
		pf_config_free(c);
		return -1;
	}
	m.u.config = c;
	pf_place_step(p, now, &m, &sink);
	m = (struct pf_place_msg){ .type = PF_PLACE_LEASE };
	m.u.lease_held = true;
	pf_place_step(p, now, &m, &sink);
	for (uint32_t i = 0; i < MODELS; i++)
		demand[i] = (struct pf_demand){ 1000 + i, 1 + i % 7, 20 };
	from = capacity_cpu_ns();
	for (int round = 0; round < 5; round++) {
		for (uint32_t i = 1; i <= agents; i++) {
			struct pf_item held = { 1000 + i % MODELS,
						PF_ITEM_RESIDENT, 3 };

			m = (struct pf_place_msg){ .type = PF_PLACE_REPORT };
			m.u.report =
				(struct pf_report){ .agent = i,
						    .incarnation = 1,
						    .seq = (uint64_t)round + 1,
						    .batch_max = 256,
						    .kv_free = 1LL << 38,
						    .kv_total = 1LL << 38,
						    .ready = true,
						    .items = &held,
						    .n_items = 1 };
			pf_place_step(p, now, &m, &sink);
		}
		m = (struct pf_place_msg){ .type = PF_PLACE_DEMAND };
		m.u.demand.entry = 1;
		m.u.demand.v = demand;
		m.u.demand.n = MODELS;
		pf_place_step(p, now, &m, &sink);
		now += o.plan_interval;
		m = (struct pf_place_msg){ .type = PF_PLACE_TICK };
		pf_place_step(p, now, &m, &sink);
	}
	*ns = (capacity_cpu_ns() - from) / 5;
	*bytes = capacity_heap_bytes() - before;
	pf_place_free(p);
	pf_config_free(c);
	return 0;
}

static int measure_planner(struct slope *all)
{
	static const double agents[] = { 100, 400, 1200 };
	double bytes[CAPACITY_POINTS], ns[CAPACITY_POINTS];

	for (int i = 0; i < CAPACITY_POINTS; i++)
		if (measure_planner_at((uint32_t)agents[i], &bytes[i], &ns[i]))
			return -1;
	capacity_fit(all, SLOPE_PLANNER_BYTES, agents, bytes);
	capacity_fit(all, SLOPE_PLANNER_NS, agents, ns);
	return 0;
}

/* Endpoint records are the most numerous kind. */
GString *capacity_records(uint32_t n)
{
	GString *t = g_string_new("[deployment]\nschema = 2\nmove_cost = 30.0\n"
				  "store_loads_rate = 2.0\n"
				  "store_inflight = 3\nadapter_knee = 25\n"
				  "link_kbit = 30000\nkv_share = 0.2\n"
				  "[[model]]\nschema = 1\nname = \"m\"\n"
				  "version = \"1\"\nweights = \"8GiB\"\n"
				  "kv_token = \"64KiB\"\n"
				  "max_context = 32768\n");

	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(
			t,
			"[[endpoint]]\nschema = 1\nname = \"worker-%05u\"\n"
			"kind = \"engine\"\nagent = \"10.1.%u.%u:7100\"\n"
			"backend = \"10.1.%u.%u:8000\"\nzone = \"z-%u\"\n"
			"region = \"r-%u\"\naccelerators = 8\n"
			"memory = \"640GiB\"\nbatch = 256\n"
			"checks_fence = true\n",
			i, i / 250, i % 250, i / 250, i % 250, i % 31, i % 9);
	return t;
}

static int measure_records_at(uint32_t n, double *parse, double *build,
			      double *bytes, double *chars)
{
	GString *t = capacity_records(n);
	struct pf_findings f = { 0 };
	struct pf_records set = { 0 };
	struct pf_config *c = NULL;
	double before = capacity_heap_bytes(), from = capacity_cpu_ns();
	int rc;

	rc = pf_records_parse((struct pf_str){ t->str, t->len }, "capacity",
			      &set, &f);
	*parse = capacity_cpu_ns() - from;
	from = capacity_cpu_ns();
	if (rc == 0)
		rc = pf_records_build(&set, 1, &f, &c);
	*build = capacity_cpu_ns() - from;
	*bytes = capacity_heap_bytes() - before;
	*chars = (double)t->len;
	for (size_t i = 0; i < f.n && i < 3; i++)
		fprintf(stderr, "%s: %s\n", f.v[i].place, f.v[i].text);
	pf_config_free(c);
	pf_records_free(&set);
	pf_findings_clear(&f);
	g_string_free(t, TRUE);
	return rc;
}

static int measure_records(struct slope *all)
{
	static const double n[] = { 500, 2000, 8000 };
	double parse[CAPACITY_POINTS], build[CAPACITY_POINTS],
		bytes[CAPACITY_POINTS], chars[CAPACITY_POINTS];

	for (int i = 0; i < CAPACITY_POINTS; i++)
		if (measure_records_at((uint32_t)n[i], &parse[i], &build[i],
				       &bytes[i], &chars[i]))
			return -1;
	capacity_fit(all, SLOPE_RECORD_PARSE_NS, n, parse);
	capacity_fit(all, SLOPE_RECORD_BUILD_NS, n, build);
	capacity_fit(all, SLOPE_RECORD_BYTES, n, bytes);
	capacity_fit(all, SLOPE_RECORD_TEXT_BYTES, n, chars);
	return 0;
}

static double wire_size(const struct pf_wire_msg *m)
{
	struct pf_wire_buf b = { 0 };
	double n = pf_wire_encode(m, 1000, &b) ? 0 : (double)b.n;

	pf_wire_buf_free(&b);
	return n;
}

static int measure_wire(struct slope *all)
{
	static const double items[] = { 4, 32, 256 };
	static const double body[] = { 100, 1000, 10000 };
	static const double count[] = { 1, 8, 64 };
	static char text[10000];
	static struct pf_item held[256];
	uint32_t lens[64];
	double report[CAPACITY_POINTS], tries[CAPACITY_POINTS],
		pieces[CAPACITY_POINTS];

	for (int i = 0; i < 256; i++)
		held[i] = (struct pf_item){ pf_id2(1, (uint64_t)i),
					    PF_ITEM_RESIDENT, 1 };
	for (int i = 0; i < 64; i++)
		lens[i] = 4;
	memset(text, 'x', sizeof(text));
	for (int i = 0; i < CAPACITY_POINTS; i++) {
		struct pf_wire_msg m = { .type = PF_WIRE_REPORT };

		m.u.report.items = held;
		m.u.report.n_items = (uint32_t)items[i];
		report[i] = wire_size(&m);
		m = (struct pf_wire_msg){ .type = PF_WIRE_TRY };
		m.u.try_.payload.body =
			(struct pf_str){ text, (size_t)body[i] };
		tries[i] = wire_size(&m);
		m = (struct pf_wire_msg){ .type = PF_WIRE_PIECE };
		m.u.piece.lens = lens;
		m.u.piece.count = (uint32_t)count[i];
		m.u.piece.text = (struct pf_str){ text, 4 * (size_t)count[i] };
		pieces[i] = wire_size(&m);
	}
	capacity_fit(all, SLOPE_WIRE_REPORT_ITEM, items, report);
	capacity_fit(all, SLOPE_WIRE_TRY_BODY, body, tries);
	capacity_fit(all, SLOPE_WIRE_PIECE_TOKEN, count, pieces);
	return 0;
}

int capacity_measure(struct slope *all)
{
	if (measure_entry_state(all) || measure_entry_time(all) ||
	    measure_entry_reports(all))
		return -1;
	if (measure_agent(all) || measure_planner(all))
		return -1;
	if (measure_records(all) || capacity_measure_accepts(all))
		return -1;
	return measure_wire(all);
}

int capacity_main(void)
{
	struct slope all[SLOPE_COUNT] = { 0 };
	struct claim_rate claims = { 0 };

	if (capacity_measure(all) || capacity_measure_claims(all, &claims)) {
		fprintf(stderr, "capacity: could not create a core with the "
				"bench's options\n");
		return 1;
	}
	capacity_print_roles(all, &claims);
	return 0;
}
