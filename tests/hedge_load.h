/**
 * Requests of one kind at one front, each answered after a time that the test names.
 */
#ifndef HEDGE_LOAD_H
#define HEDGE_LOAD_H

#include "front_hedge.h"

#define HEDGE_LOAD_START_MS     1000000
#define HEDGE_LOAD_OBJECTIVE_MS 150
#define HEDGE_LOAD_USUAL_MS     30
#define HEDGE_LOAD_SLOW_MS      300
#define HEDGE_LOAD_FROZEN_MS    3000
#define HEDGE_LOAD_MAX          4000

typedef struct
{
  FrontHedge *hedge;
  HedgeKind kind;
  HedgeForecast forecast;
  bool budget_is_empty;
  unsigned budget_taken;
  unsigned count;
  struct
  {
    int64_t sent_ms;
    int64_t takes_ms;
    bool is_timed, decided, done;
    double due_ms; /**< when it is considered again, since it was sent */
    uint64_t number;
    HedgeVerdict verdict;
  } running[HEDGE_LOAD_MAX];
} HedgeLoad;

HedgeLoad *hedge_load_new (double share);
void hedge_load_free (HedgeLoad *load);
/** A request that was sent elapsed_ms ago. */
HedgeCase hedge_load_case (HedgeLoad *load, double elapsed_ms);
/** One request each interval_ms, the i-th of which takes takes (i) milliseconds. Returns the time
 *  at the end. */
int64_t hedge_load_run (HedgeLoad *load,
                        int64_t from_ms,
                        int64_t span_ms,
                        int64_t interval_ms,
                        int64_t (*takes) (unsigned));
/** Requests sent in this time for which the verdict was this one. */
unsigned
hedge_load_verdicts (const HedgeLoad *load, HedgeVerdict verdict, int64_t from_ms, int64_t to_ms);
unsigned hedge_load_copies (const HedgeLoad *load, int64_t from_ms, int64_t to_ms);

/** 20 to 39 ms, one of 50 much later. */
int64_t hedge_usual (unsigned i);
int64_t hedge_slow (unsigned i);
int64_t hedge_one_of_three_slow (unsigned i);

#endif
