/**
 * Samples of this front's waits that are worth telling to other fronts, the latest few. No I/O.
 */
#ifndef FRONT_WAITS_OUTBOX_H
#define FRONT_WAITS_OUTBOX_H

#include "front_waits.h"

typedef struct
{
  WaitReport report;
  int64_t at_ms; /**< when it was seen; 0: empty */
} WaitsOutboxEntry;

typedef struct
{
  WaitsOutboxEntry entries[WAITS_TOLD_MAX];
} WaitsOutbox;

/** Keeps a sample of finite wait in the place of an earlier one of the request, or of the
 *  oldest. */
void waits_outbox_put (WaitsOutbox *outbox, const WaitSample *sample, int64_t now_ms);
/** Moves up to max samples to out, with their ages, and drops those that are old; their number. */
unsigned waits_outbox_take (WaitsOutbox *outbox, WaitReport *out, unsigned max, int64_t now_ms);

#endif
