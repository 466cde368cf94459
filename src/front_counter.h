/**
 * Counters of lovage-front, and histograms of callers' waiting times.
 */
#ifndef FRONT_COUNTER_H
#define FRONT_COUNTER_H

#include "util_buffer.h"
#include <stddef.h>
#include <stdint.h>

typedef enum
{
#define COUNTER(id, name, help) FRONT_COUNTER_##id,
#include "front_counter.def"
#undef COUNTER
  FRONT_COUNTER_COUNT
} FrontCounterId;

typedef enum
{
  FRONT_WAIT_FIRST, /**< until the first byte of the answer */
  FRONT_WAIT_WHOLE, /**< until the end of the answer */
  FRONT_WAIT_HEDGE, /**< that a copy saved, as expected of the answer that was given up */
  FRONT_WAIT_COUNT
} FrontWaitId;

void front_counter_add (FrontCounterId id);
void front_counter_add_many (FrontCounterId id, size_t count);
void front_counter_add_wait (FrontWaitId id, int64_t ms);
/** Appends all metrics in the Prometheus text format. */
void front_counter_metrics (Buffer *out);

#endif
