/**
 * Samples of the load tool, and their quantiles. Adding samples is thread-safe.
 */
#ifndef LOAD_STATS_H
#define LOAD_STATS_H

#include <pthread.h>
#include <stddef.h>

typedef struct
{
  pthread_mutex_t lock;
  double *values;
  size_t count;
  size_t max; /**< capacity; further samples are dropped */
} LoadSamples;

void load_samples_init (LoadSamples *samples, size_t max);
void load_samples_add (LoadSamples *samples, const double *values, size_t count);
/** Prints NAME_p50, NAME_p95, NAME_p99 and NAME_max, one "name value" line each. */
void load_samples_print (LoadSamples *samples, const char *name);
void load_samples_free (LoadSamples *samples);

#endif
