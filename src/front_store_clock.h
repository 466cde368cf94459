/**
 * The store's clock as this front knows it from answers. Both clocks are steady, but start at
 * different times.
 */
#ifndef FRONT_STORE_CLOCK_H
#define FRONT_STORE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool is_known;     /**< an answer has told the store's time */
  int64_t ahead_ms;  /**< the store's time minus this front's; may be 0 or negative */
  int64_t set_ms;    /**< when an answer told that */
  bool is_restarted; /**< no answer has told it since the store's clock may have begun anew */
} StoreClock;

/** An answer that arrives now tells the store's time. One that took longer than an earlier one is
 * ignored, as the store's clock would seem to be behind. */
void store_clock_set (StoreClock *clock, int64_t store_ms, int64_t now_ms);
/** The store's clock may have begun anew: the next answer counts, whatever it tells. */
void store_clock_restarted (StoreClock *clock);
/** Converts this front's time to the store's. False if the store's is not known. */
bool store_clock_from_own (const StoreClock *clock, int64_t own_ms, int64_t *store_ms);
/** Converts the store's time to this front's. False if the store's is not known. */
bool store_clock_to_own (const StoreClock *clock, int64_t store_ms, int64_t *own_ms);

#endif
