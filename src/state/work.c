/* Codes and texts of enum pf_reason. */
#include "pimentoford/work.h"

static const struct {
	const char *code;
	const char *text;
} reasons[] = {
#define DEF(name, code, text) { code, text },
	PF_REASONS(DEF)
#undef DEF
};

const char *pf_reason_code(enum pf_reason r)
{
	return (unsigned int)r < PF_REASON_COUNT ? reasons[r].code : "unknown";
}

const char *pf_reason_text(enum pf_reason r)
{
	return (unsigned int)r < PF_REASON_COUNT ? reasons[r].text : "unknown";
}
