/**
 * Options of the stand-in engine, set once before the first request.
 */
#ifndef ENGINE_OPTIONS_H
#define ENGINE_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int slots;           /**< requests that run at once; the others queue */
  int64_t token_ms;    /**< time between two tokens */
  int64_t first_ms;    /**< time from admission to the first token */
  double cached_share; /**< factor of first_ms when the prompt's prefix is cached */
  int prefixes;        /**< that the cache holds */
  int64_t resume_ms; /**< time in which a stream can be resumed after its connection closed; then it
                        is cancelled */
  double spread;     /**< answers' qualities differ by up to this from the version's mean */
  bool checks_fencing; /**< orders with outdated fencing numbers are refused */
  const char *record;  /**< file to which each run's start and end are appended, or NULL */
} EngineOptions;

extern EngineOptions engine_options;

#endif
