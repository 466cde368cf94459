/**
 * Applies a backend server's delayed load reports to its ServerView: a report is compared with the
 * gate's own requests at the time when the server took it, not when it arrived.
 */
#ifndef CHOOSE_LOAD_H
#define CHOOSE_LOAD_H

#include "choose_server.h"

#define LOAD_HISTORY_SAMPLES 64  /**< samples kept of the gate's own requests */
#define LOAD_SAMPLE_MS       128 /**< interval between samples; all of them span about 8 s */

/** A gate's own recent requests in progress at one backend server, and the offset of that server's
 *  clock. Guarded by the lock that guards the ServerView. */
typedef struct
{
  int64_t in_flight[LOAD_HISTORY_SAMPLES];
  int64_t sample;       /**< number of the newest sample: time / LOAD_SAMPLE_MS */
  int64_t clock_offset; /**< smallest difference seen between a report's arrival and its time on the
                           server's clock */
  bool clock_known;
} LoadHistory;

/** Records the gate's own requests in progress; called after each change of view->in_flight. */
void load_history_add (LoadHistory *history, const ServerView *view, int64_t now_ms);

/** Applies a report. at_ms is the time on the server's clock, of any origin, when the report was
 *  taken. The smallest difference seen between arrival and at_ms is assumed to be that of a report
 *  without delay. */
void
load_report (LoadHistory *history, ServerView *view, int64_t load, int64_t at_ms, int64_t now_ms);

#endif
