/**
 * Prepares a request for its first attempt: admission, session, plan, limits and claim.
 */
#ifndef GATE_PREPARE_H
#define GATE_PREPARE_H

#include "gate_request.h"

typedef enum
{
  PREPARE_READY,   /**< attempts may begin */
  PREPARE_REFUSED, /**< r->refusal says why */
  PREPARE_ANSWERED /**< answered before under the same key: the stored answer is in r->out */
} PrepareResult;

PrepareResult gate_prepare (GateRequest *r);

#endif
