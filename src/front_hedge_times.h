/**
 * Learns from a front's recent answers when an answer of one kind is later than nearly all others.
 * No I/O.
 */
#ifndef FRONT_HEDGE_TIMES_H
#define FRONT_HEDGE_TIMES_H

#include <stdint.h>

#define HEDGE_TIMES_MAX 128

/** Times of recent answers to one kind of request, in milliseconds from sending. */
typedef struct
{
  double ms[HEDGE_TIMES_MAX];
  uint64_t count; /**< times that were ever added */
  double spread;  /**< multiple of the typical time by which nearly all have begun; 0: not known */
} HedgeTimes;

/** Adds the time of an answer. Returns a number by which it may be replaced. */
uint64_t hedge_times_add (HedgeTimes *times, double ms, double quantile);
/** Replaces a time that was added as a lower bound; does nothing if it was forgotten meanwhile. */
void hedge_times_replace (HedgeTimes *times, uint64_t number, double ms);
/** Median of the last few answers. Follows a service that turns slow as a whole within five of
 *  them, and hardly a single slow server; 0: too few are known. */
double hedge_times_typical (const HedgeTimes *times);
/** Milliseconds after which an answer is later than nearly all; 0: too few are known. */
double hedge_times_late (const HedgeTimes *times);
/** Milliseconds that an answer which has not begun after elapsed_ms is expected to take from then
 *  on. */
double hedge_times_left (const HedgeTimes *times, double elapsed_ms);

#endif
