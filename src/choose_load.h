/**
 * Turns the load reports of a backend server, which lag, into a ServerView: a report is compared
 * with this gate's own requests at the time when it was taken, not when it arrived.
 */
#ifndef CHOOSE_LOAD_H
#define CHOOSE_LOAD_H

#include "choose_server.h"

#define LOAD_HISTORY_SAMPLES 64  /**< samples of the own requests */
#define LOAD_SAMPLE_MS       128 /**< between samples; about 8 s in all */

/** What one gate remembers of its own requests at one backend server, and of that server's clock.
 *  Guarded by the lock that guards the ServerView. */
typedef struct
{
  int64_t in_flight[LOAD_HISTORY_SAMPLES];
  int64_t sample;       /**< number of the newest sample: time / LOAD_SAMPLE_MS */
  int64_t clock_offset; /**< least (arrival - the server's time) seen */
  bool clock_known;
} LoadHistory;

/** Notes the own requests in progress; called after each change of view->in_flight. */
void load_history_add (LoadHistory *history, const ServerView *view, int64_t now_ms);

/** Takes a report in. at_ms is the server's own clock when it was taken, in any origin: the least
 *  difference seen between arrival and at_ms stands for a report without lag. */
void
load_report (LoadHistory *history, ServerView *view, int64_t load, int64_t at_ms, int64_t now_ms);

#endif
