/* Decoded requests. */
#include "pimentoford/inbound.h"

#include <stdlib.h>

void pf_inbound_clear(struct pf_inbound *in)
{
	free(in->parts);
	in->parts = NULL;
	in->n_parts = 0;
}
