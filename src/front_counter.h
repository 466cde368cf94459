/**
 * Counters of lovage-front, and histograms of how long callers wait.
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
  FRONT_WAIT_FIRST, /**< until the first byte of an answer */
  FRONT_WAIT_WHOLE, /**< until its end */
  FRONT_WAIT_COUNT
} FrontWaitId;

void front_counter_add (FrontCounterId id);
void front_counter_add_many (FrontCounterId id, size_t count);
void front_counter_wait (FrontWaitId id, int64_t ms);
/** In the text format that monitoring systems commonly read. */
void front_counter_metrics (Buffer *out);

#endif
