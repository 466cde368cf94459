/**
 * Limits copies of slow requests to a share of a service's requests. Each front applies the share
 * to the requests that it got from callers itself, so fronts need to know nothing of each other. No
 * I/O.
 */
#ifndef FRONT_HEDGE_WINDOW_H
#define FRONT_HEDGE_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/** The limit holds for any time span of this length. */
#define HEDGE_WINDOW_MS 30000
#define HEDGE_SLICES    31 /**< one more than a window has, as the first and the last are partial */

typedef struct
{
  int64_t number; /**< since the clock's start */
  unsigned requests;
  unsigned copies;
} HedgeSlice;

typedef struct
{
  HedgeSlice slices[HEDGE_SLICES];
  uint64_t seed;      /**< differs between fronts and services */
  int64_t drawn_ms;   /**< time of the last draw; 0: none */
  double draw;        /**< fraction of a copy that is granted on top of the share, in 0 to 1 */
  int64_t reached_ms; /**< when a copy was last withheld; 0: never */
} HedgeWindow;

void hedge_window_count_request (HedgeWindow *window, int64_t now_ms);
/** True if the limit allows another copy now. A front whose share is less than one copy is granted
 *  one in some windows at random, so that the share is held over all fronts and used by them. */
bool hedge_window_allows (HedgeWindow *window, double share, int64_t now_ms);
void hedge_window_count_copy (HedgeWindow *window, int64_t now_ms);

#endif
