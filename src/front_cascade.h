/**
 * Whether the smallest model's answer goes to the caller, or is dropped and the largest model
 * asked. No I/O.
 */
#ifndef FRONT_CASCADE_H
#define FRONT_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

/** What is known when a smaller model's answer begins. */
typedef struct
{
  int confidence;       /**< of the model in its answer, 0 to 100; -1: not said */
  int64_t priority;     /**< of the route, 0 being the most urgent */
  int64_t passed_ms;    /**< since the request came */
  int64_t objective_ms; /**< in which its answer should begin */
  double lag_ms;        /**< by which engines' answers begin later than predicted */
  double larger_ms;     /**< predicted until the largest model's answer begins */
} CascadeCase;

/** True if the largest model is to be asked. */
bool front_cascade_wants_larger (const CascadeCase *c);

#endif
