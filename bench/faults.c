/* Faults: cut links, crashes of engines and VMs, drains, store outages. */
#include "bench/figures.h"
#include "bench/world.h"

void world_link_up(struct bench *b, uint32_t entry, uint32_t agent)
{
	struct event *e;

	if (b->linked[entry][agent] || b->agents[agent].down)
		return;
	b->linked[entry][agent] = true;
	e = world_to_entry(b, entry, agent, PF_ENTRY_LINK_UP);
	e->u.entry_msg.u.link.incarnation = b->agents[agent].incarnation;
}

/* Drops messages in flight; both ends are told after a delay. */
static void link_cut(struct bench *b, uint32_t entry, uint32_t agent)
{
	struct event *e;

	if (!b->linked[entry][agent])
		return;
	b->linked[entry][agent] = false;
	b->link_generations[entry][agent]++;
	e = world_push(b, LINK_DOWN_NOTICE_MS, EV_TO_ENTRY);
	e->entry = entry;
	e->agent = agent;
	e->link_generation = b->link_generations[entry][agent];
	e->u.entry_msg.type = PF_ENTRY_LINK_DOWN;
	e->u.entry_msg.agent = b->agents[agent].endpoint->id;
	e = world_push(b, LINK_DOWN_NOTICE_MS, EV_TO_AGENT);
	e->entry = entry;
	e->agent = agent;
	e->link_generation = b->link_generations[entry][agent];
	e->u.agent_msg.type = PF_AGENT_ENTRY_DOWN;
	e->u.agent_msg.entry = entry + 1;
}

static void vm_kill(struct bench *b, uint32_t i)
{
	struct agent *ag = &b->agents[i];

	engine_crash(ag->engine);
	world_add_agent_stats(b, ag);
	pf_agent_free(ag->core);
	ag->core = NULL;
	ag->down = true;
	for (uint32_t n = 0; n < ENTRIES; n++)
		link_cut(b, n, i);
	world_push(b, RESTART_MS, EV_VM_START)->agent = i;
}

void world_vm_start(struct bench *b, uint32_t i)
{
	world_agent_start(b, i);
	for (uint32_t n = 0; n < ENTRIES; n++)
		world_link_up(b, n, i);
}

/* Planned stop: the VM is replaced once it has no work left. */
static void vm_drain(struct bench *b, uint32_t i)
{
	struct pf_agent_msg m = { .type = PF_AGENT_DRAIN };

	b->agents[i].draining = true;
	for (uint32_t n = 0; n < ENTRIES; n++)
		if (b->linked[n][i])
			world_to_entry(b, n, i, PF_ENTRY_LEAVING);
	bench_send_to_agent(b, i, &m);
}

void world_inject_fault(struct bench *b)
{
	uint32_t i = pf_rng_below(&b->rng, b->n_agents);
	uint32_t n = pf_rng_below(&b->rng, ENTRIES);
	struct event *e;

	world_push(b, (pf_ms)(FAULT_INTERVAL_MS * 2 * pf_rng_unit(&b->rng)) + 1,
		   EV_FAULT);
	if (b->agents[i].down || b->agents[i].draining)
		return;
	b->result->crashes++;
	switch (pf_rng_below(&b->rng, 5)) {
	case 0:
		engine_crash(b->agents[i].engine);
		world_push(b, RESTART_MS, EV_ENGINE_START)->agent = i;
		break;
	case 1:
		vm_kill(b, i);
		break;
	case 2:
		link_cut(b, n, i);
		e = world_push(b, LINK_OUTAGE_MS, EV_LINK_UP);
		e->entry = n;
		e->agent = i;
		break;
	case 3:
		b->store_down_until = b->now + STORE_OUTAGE_MS;
		break;
	default:
		vm_drain(b, i);
		break;
	}
}

void world_finish_drain(struct bench *b, uint32_t i)
{
	struct pf_agent_stats s;

	if (!b->agents[i].draining || b->agents[i].down)
		return;
	pf_agent_stats(b->agents[i].core, &s);
	if (s.running == 0 && s.queued == 0)
		vm_kill(b, i);
}
