/* Conversion of times and of pf_work to and from XDR. */
#include "src/protocol/wire_work.h"

#define WIRE_NEVER (-1)

pf_ms pf_wire_duration_until(pf_ms due, pf_ms now)
{
	if (due == PF_NEVER)
		return WIRE_NEVER;
	return due > now ? due - now : 0;
}

pf_ms pf_wire_time_after(pf_ms left, pf_ms now)
{
	if (left < 0 || left > PF_NEVER - now)
		return PF_NEVER;
	return now + left;
}

/* DEF(field): fields that are copied unchanged. */
#define WORK_FIELDS(DEF)   \
	DEF(caller)        \
	DEF(model)         \
	DEF(adapter)       \
	DEF(prefix)        \
	DEF(fingerprint)   \
	DEF(idem_key)      \
	DEF(prompt_tokens) \
	DEF(max_tokens)    \
	DEF(offset)        \
	DEF(flags)         \
	DEF(priority)

void pf_wire_work_to_xdr(pimento_work *x, const struct pf_work *w, pf_ms now)
{
#define DEF(field) x->field = w->field;
	WORK_FIELDS(DEF)
#undef DEF
	x->age = now > w->arrived ? now - w->arrived : 0;
	x->first_left = pf_wire_duration_until(w->first_token_objective, now);
	x->between = w->token_gap_objective_ms;
	x->whole_left = pf_wire_duration_until(w->answer_objective, now);
	x->deadline_left = pf_wire_duration_until(w->deadline, now);
}

void pf_wire_work_from_xdr(struct pf_work *w, const pimento_work *x, pf_ms now)
{
#define DEF(field) w->field = x->field;
	WORK_FIELDS(DEF)
#undef DEF
	w->priority = x->priority > UINT8_MAX ? UINT8_MAX : x->priority;
	w->arrived = x->age > 0 && x->age <= now ? now - x->age : now;
	w->first_token_objective = pf_wire_time_after(x->first_left, now);
	w->token_gap_objective_ms = x->between > 0 ? x->between : 0;
	w->answer_objective = pf_wire_time_after(x->whole_left, now);
	w->deadline = pf_wire_time_after(x->deadline_left, now);
}
