/**
 * Log of the stand-in engine's runs, with which a test checks what ran and how often: as JSON over
 * HTTP, and as lines of a file, which outlive the process.
 */
#ifndef ENGINE_RECORD_H
#define ENGINE_RECORD_H

#include "engine_run.h"

/** Opens the file for appending; without it record_start and record_end do nothing. */
void record_open (const char *path);
/** Append a line when a run has started and when it has ended. */
void record_start (const Run *run);
void record_end (const Run *run);
/** Description of a run for GET /v1/record. */
struct json_object *record_json (const Run *run);

#endif
