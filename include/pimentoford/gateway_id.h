/*
 * Ids of gateways. Those with the lowest ids have duties beside their callers:
 * one plans for all engines, some read the store for their region, some judge
 * which prompt parts crash endpoints. A gateway on a slow processor would answer
 * its callers late meanwhile, so the fast ones have the lower ids.
 */
#ifndef PIMENTOFORD_GATEWAY_ID_H
#define PIMENTOFORD_GATEWAY_ID_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/**
 * An id of a process, never 0. @cores: processors that it may use, perhaps a
 * fraction; 0: unknown, which ranks last. Among equals @random decides.
 */
uint64_t pf_gateway_id(double cores, uint64_t random);

PF_END_DECLS

#endif
