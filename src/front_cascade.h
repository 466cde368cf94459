/**
 * Whether the smallest model's answer goes to the caller, or is dropped and a larger model asked.
 * No I/O.
 */
#ifndef FRONT_CASCADE_H
#define FRONT_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

/** Which model's answer the caller gets. */
typedef enum
{
  CASCADE_KEEP, /**< the smallest one's, which is there */
  CASCADE_MIDDLE,
  CASCADE_LARGEST
} CascadeStep;

/** What is predicted of a request to a larger model. */
typedef struct
{
  double first_ms;   /**< until its answer begins */
  double reading_ms; /**< of that, reading the prompt */
} CascadeForecast;

/** What is known when a smaller model's answer begins. */
typedef struct
{
  int confidence;       /**< of the model in its answer, 0 to 100; -1: not said */
  bool has_middle;      /**< the route has a model between the smallest and the largest */
  int64_t priority;     /**< of the route, 0 being the most urgent */
  int64_t passed_ms;    /**< since the request came */
  int64_t objective_ms; /**< in which its answer should begin */
  double lag_ms;        /**< by which engines' answers begin later than predicted */
  /** Called for the steps that are weighed. */
  CascadeForecast (*forecast) (void *user, CascadeStep step);
  void *user;
} CascadeCase;

CascadeStep front_cascade_step (const CascadeCase *c);

#endif
