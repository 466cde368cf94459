/**
 * Load report of the stand-in engine. A thread samples the load periodically, so that the fault
 * lag_load can report past values.
 */
#ifndef ENGINE_LOAD_H
#define ENGINE_LOAD_H

#include "common_http.h"

/** Starts the sampling thread, which runs until the process exits. */
void load_start (void);
/** GET /v1/load */
enum MHD_Result load_report (StandinRequest *request);

#endif
