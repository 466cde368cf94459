/**
 * Event counters, with one shard per thread so that increments never contend for a cache line. Each
 * counter has an entry in one of the counter_*.def lists: COUNTER (ID, "name", "help").
 */
#ifndef UTIL_COUNTER_H
#define UTIL_COUNTER_H

#include "util_buffer.h"
#include <stdint.h>

typedef enum
{
#define COUNTER(id, name, help) COUNTER_##id,
#include "counter_all.def"
#undef COUNTER
  COUNTER_COUNT
} CounterId;

void counter_add (CounterId id, int64_t n);
/** Sum over all threads, including those that have exited. */
int64_t counter_value (CounterId id);
/** Appends a "name value" line for every counter, including those that are 0. */
void counter_text (Buffer *out);

#endif
