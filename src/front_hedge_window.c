#include "front_hedge_window.h"
#include "util_id.h"

#define SLICE_MS (HEDGE_WINDOW_MS / (HEDGE_SLICES - 1))

/* The current slice, cleared if it was last used in an earlier window. */
static HedgeSlice *
slice_now (HedgeWindow *window, int64_t now_ms)
{
  int64_t number = now_ms / SLICE_MS;
  HedgeSlice *slice = &window->slices[number % HEDGE_SLICES];

  if (slice->number != number)
    *slice = (HedgeSlice){ .number = number };
  return slice;
}

void
hedge_window_count_request (HedgeWindow *window, int64_t now_ms)
{
  slice_now (window, now_ms)->requests++;
}

void
hedge_window_count_copy (HedgeWindow *window, int64_t now_ms)
{
  slice_now (window, now_ms)->copies++;
}

static double
draw_now (HedgeWindow *window, int64_t now_ms)
{
  if (window->drawn_ms != 0 && now_ms - window->drawn_ms < HEDGE_WINDOW_MS)
    return window->draw;
  window->drawn_ms = now_ms;
  window->seed = id_hash (&now_ms, sizeof now_ms, window->seed);
  window->draw = (double)(window->seed >> 11) / (double)(UINT64_MAX >> 11);
  return window->draw;
}

bool
hedge_window_allows (HedgeWindow *window, double share, int64_t now_ms)
{
  int64_t number = now_ms / SLICE_MS;
  unsigned requests = 0, copies = 0;

  for (unsigned i = 0; i < HEDGE_SLICES; i++)
    {
      const HedgeSlice *slice = &window->slices[i];

      if (slice->number > number - HEDGE_SLICES)
        copies += slice->copies;
      if (slice->number > number - (HEDGE_SLICES - 1))
        requests += slice->requests;
    }
  return copies + 1 <= requests * share + draw_now (window, now_ms);
}
