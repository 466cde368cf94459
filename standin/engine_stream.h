/**
 * Event stream of a run, from any sequence number on, with the faults cut_at, duplicate and
 * reorder.
 */
#ifndef ENGINE_STREAM_H
#define ENGINE_STREAM_H

#include "common_http.h"
#include "engine_run.h"

/** Answers with the run's events from sequence number from on; attachment is the value returned by
 *  run_attach. */
enum MHD_Result
stream_answer (StandinRequest *request, Run *run, unsigned attachment, unsigned from);

#endif
