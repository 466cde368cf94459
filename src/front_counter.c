#include "front_counter.h"

typedef struct
{
  const char *name;
  const char *help;
} CounterKind;

static const CounterKind kinds[FRONT_COUNTER_COUNT] = {
#define COUNTER(id, label, text) [FRONT_COUNTER_##id] = { .name = (label), .help = (text) },
#include "front_counter.def"
#undef COUNTER
};

static const char *const wait_names[FRONT_WAIT_COUNT] = {
  [FRONT_WAIT_FIRST] = "first_byte",
  [FRONT_WAIT_WHOLE] = "whole_answer",
  [FRONT_WAIT_HEDGE] = "hedge_gain",
};

/* Upper bounds in milliseconds, from the answer time of a simple service to the longest time-out of
 * a route. */
static const int64_t bounds_ms[] = { 50, 100, 200, 300, 500, 1000, 1500, 2000, 4000, 8000, 15000 };

#define BOUNDS (sizeof bounds_ms / sizeof bounds_ms[0])

static int64_t counters[FRONT_COUNTER_COUNT];
static int64_t waits[FRONT_WAIT_COUNT][BOUNDS + 1];
static int64_t wait_sums_ms[FRONT_WAIT_COUNT];

void
front_counter_add (FrontCounterId id)
{
  counters[id]++;
}

void
front_counter_add_many (FrontCounterId id, size_t count)
{
  counters[id] += (int64_t)count;
}

void
front_counter_add_wait (FrontWaitId id, int64_t ms)
{
  unsigned i = 0;

  while (i < BOUNDS && ms > bounds_ms[i])
    i++;
  waits[id][i]++;
  wait_sums_ms[id] += ms;
}

static void
wait_metrics (Buffer *out, FrontWaitId id)
{
  int64_t sum = 0;

  buffer_printf (out, "# TYPE lovage_front_%s_ms histogram\n", wait_names[id]);
  for (unsigned i = 0; i < BOUNDS; i++)
    {
      sum += waits[id][i];
      buffer_printf (out, "lovage_front_%s_ms_bucket{le=\"%lld\"} %lld\n", wait_names[id],
                     (long long)bounds_ms[i], (long long)sum);
    }
  sum += waits[id][BOUNDS];
  buffer_printf (out,
                 "lovage_front_%s_ms_bucket{le=\"+Inf\"} %lld\nlovage_front_%s_ms_sum %lld\n"
                 "lovage_front_%s_ms_count %lld\n",
                 wait_names[id], (long long)sum, wait_names[id], (long long)wait_sums_ms[id],
                 wait_names[id], (long long)sum);
}

void
front_counter_metrics (Buffer *out)
{
  for (unsigned i = 0; i < FRONT_COUNTER_COUNT; i++)
    buffer_printf (out,
                   "# HELP lovage_front_%s_total %s\n# TYPE lovage_front_%s_total counter\n"
                   "lovage_front_%s_total %lld\n",
                   kinds[i].name, kinds[i].help, kinds[i].name, kinds[i].name,
                   (long long)counters[i]);
  for (unsigned i = 0; i < FRONT_WAIT_COUNT; i++)
    wait_metrics (out, (FrontWaitId)i);
}
