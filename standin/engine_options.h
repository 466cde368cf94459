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
  int64_t token_ms;    /**< between two tokens */
  int64_t first_ms;    /**< from admission to the first token */
  double cached_share; /**< factor of first_ms when the prompt's prefix is cached */
  int prefixes;        /**< how many prefixes the cache holds */
  int64_t resume_ms;   /**< a stream whose connection closed is cancelled unless resumed within */
  double spread;       /**< answers' qualities differ by up to this from the version's mean */
  bool checks_fencing; /**< orders with outdated fencing numbers are refused */
  const char *record;  /**< file to which each run's start and end are appended, or NULL */
} EngineOptions;

extern EngineOptions engine_options;

#endif
