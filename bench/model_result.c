#include "model_result.h"

#include "util_memory.h"
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdlib.h>

#define INITIAL_CAP 4096

void
times_add (ModelTimes *times, double ms)
{
  if (times->count == times->cap)
    {
      times->cap = times->cap == 0 ? INITIAL_CAP : 2 * times->cap;
      times->values = memory_grow (times->values, times->cap, sizeof *times->values);
    }
  times->values[times->count++] = ms;
  times->sorted = false;
}

double
times_quantile (ModelTimes *times, double share)
{
  if (times->count == 0)
    return 0;
  if (!times->sorted)
    gsl_sort (times->values, 1, times->count);
  times->sorted = true;
  return gsl_stats_quantile_from_sorted_data (times->values, 1, times->count, share);
}

double
result_min_over_target (const ModelResult *result)
{
  double min_over_target = 1;
  unsigned i;

  for (i = 0; i < CLASSES_MAX; i++)
    {
      if (result->by_class[i] > 0)
        min_over_target = fmin (min_over_target, result->over_target[i] / result->by_class[i]);
    }
  return result->with_class > 0 ? min_over_target : 0;
}

unsigned
result_refused (const ModelResult *result)
{
  unsigned i, n = 0;

  for (i = 0; i < REASON_COUNT; i++)
    n += result->refused[i];
  return n;
}

void
result_free (ModelResult *result)
{
  free (result->first.values);
  free (result->whole.values);
  free (result->others.values);
  *result = (ModelResult){ 0 };
}
