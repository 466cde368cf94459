/**
 * Calls the rating service, and keeps track of whether it is available and how long a rating
 * takes.
 */
#ifndef GATE_RATING_H
#define GATE_RATING_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct Gate;

typedef struct
{
  pthread_mutex_t lock;
  unsigned failures;     /**< consecutive */
  int64_t down_until_ms; /**< boot-time clock; until then cascades are planned without ratings */
  double ms;             /**< exponential moving average of the time of a rating */
} GateRating;

void gate_rating_init (GateRating *rating);
bool gate_rating_available (GateRating *rating);
double gate_rating_ms (GateRating *rating);
/** Rates an answer; a NULL answer is rated as an empty one. False: the service gave no rating. */
bool gate_rating_rate (struct Gate *gate,
                       const char *quality_class,
                       const char *prompt,
                       const char *answer,
                       double *score);

#endif
