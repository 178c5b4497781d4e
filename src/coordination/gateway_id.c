#include "pimentoford/gateway_id.h"

#include <math.h>

/* The rank is in the highest bits. */
#define RANK_SHIFT 56
#define RANK_ONE_CORE 128
#define RANKS_PER_DOUBLING 4
#define RANK_MIN 1
#define RANK_SLOWEST 254
#define RANK_UNKNOWN 255

static uint64_t rank_of(double cores)
{
	double rank;

	if (!(cores > 0))
		return RANK_UNKNOWN;
	rank = RANK_ONE_CORE - round(RANKS_PER_DOUBLING * log2(cores));
	if (rank < RANK_MIN)
		return RANK_MIN;
	return rank > RANK_SLOWEST ? RANK_SLOWEST : (uint64_t)rank;
}

uint64_t pf_gateway_id(double cores, uint64_t random)
{
	uint64_t low = ((uint64_t)1 << RANK_SHIFT) - 1;

	return rank_of(cores) << RANK_SHIFT | (random & low);
}
