#include "front_hedge_times.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Answers whose median is the typical time. */
#define RECENT 9
/* Additions after which the spread is measured again. */
#define SPREAD_INTERVAL 8
/* Bounds of the spread. With one of three servers slow, a third of all answers is late, and the
 * upper bound keeps their times from becoming the rule. */
#define SPREAD_MIN   1.3
#define SPREAD_MAX   3.0
#define SPREAD_PRIOR 2.0
/* Answers that show how late the latest of them are. With fewer, the spread is at least the prior:
 * the highest of a few is no rule. */
#define SPREAD_ANSWERS 64
/* Later answers needed to expect something of the next one; with fewer, it is expected to take as
 * long again as it has taken. */
#define LATER_MIN 4

static unsigned
known (const HedgeTimes *times)
{
  return times->count < HEDGE_TIMES_MAX ? (unsigned)times->count : HEDGE_TIMES_MAX;
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
measured_spread (const HedgeTimes *times, double quantile)
{
  double sorted[HEDGE_TIMES_MAX];
  unsigned count = known (times);
  double min = count < SPREAD_ANSWERS ? SPREAD_PRIOR : SPREAD_MIN;

  memcpy (sorted, times->ms, sizeof sorted);
  qsort (sorted, count, sizeof sorted[0], compare);
  return fmin (fmax (sorted[(unsigned)(quantile * (count - 1))] / fmax (sorted[count / 2], 1), min),
               SPREAD_MAX);
}

uint64_t
hedge_times_add (HedgeTimes *times, double ms, double quantile)
{
  uint64_t number = times->count++;

  times->ms[number % HEDGE_TIMES_MAX] = ms;
  if (times->count % SPREAD_INTERVAL == 0)
    times->spread = measured_spread (times, quantile);
  return number;
}

void
hedge_times_replace (HedgeTimes *times, uint64_t number, double ms)
{
  if (number < times->count && times->count - number <= HEDGE_TIMES_MAX)
    times->ms[number % HEDGE_TIMES_MAX] = ms;
}

double
hedge_times_typical (const HedgeTimes *times)
{
  double recent[RECENT];

  if (times->count < RECENT)
    return 0;
  for (unsigned i = 0; i < RECENT; i++)
    recent[i] = times->ms[(times->count - 1 - i) % HEDGE_TIMES_MAX];
  qsort (recent, RECENT, sizeof recent[0], compare);
  return recent[RECENT / 2];
}

double
hedge_times_late (const HedgeTimes *times)
{
  return hedge_times_typical (times) * (times->spread > 0 ? times->spread : SPREAD_PRIOR);
}

double
hedge_times_left (const HedgeTimes *times, double elapsed_ms)
{
  unsigned later = 0;
  double sum = 0;

  for (unsigned i = 0; i < known (times); i++)
    {
      if (times->ms[i] <= elapsed_ms)
        continue;
      later++;
      sum += times->ms[i] - elapsed_ms;
    }
  return later < LATER_MIN ? elapsed_ms : sum / later;
}
