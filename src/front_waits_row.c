#include "front_waits_row.h"
#include <math.h>

/* Milliseconds in which a sample loses half of its weight: an engine's queue builds up and drains
 * within one to three seconds. */
#define HALF_LIFE_MS 1500.0
/* Weight of the samples at which the belief is halfway from the prior to their median: one outlier
 * moves it by a fifth, four samples by four fifths. */
#define HALFWAY_WEIGHT 2.0
/* The same for a service, of which a front gets more samples. */
#define HALFWAY_WEIGHT_SERVICE 4.0
/* Samples of one other front in a row: a third, so that a front that is wrong is outvoted. */
#define AUTHOR_SAMPLES_MAX 4

static double
kept (int64_t from_ms, int64_t now_ms)
{
  return exp2 (-(double)(now_ms - from_ms) / HALF_LIFE_MS);
}

static bool
is_same_request (const WaitsSample *known, const WaitsSample *sample)
{
  return known->at_ms != 0 && sample->request != 0 && known->request == sample->request
         && known->author == sample->author;
}

/* The sample that a new one replaces. */
static WaitsSample *
slot_of (WaitsRow *row, const WaitsSample *sample)
{
  WaitsSample *oldest = &row->samples[0], *oldest_of_author = NULL;
  unsigned count = 0;

  for (unsigned i = 0; i < WAITS_SAMPLES; i++)
    {
      WaitsSample *known = &row->samples[i];

      if (is_same_request (known, sample))
        return known;
      if (known->at_ms < oldest->at_ms)
        oldest = known;
      if (known->at_ms == 0 || known->author != sample->author)
        continue;
      count++;
      if (!oldest_of_author || known->at_ms < oldest_of_author->at_ms)
        oldest_of_author = known;
    }
  return sample->author != 0 && count >= AUTHOR_SAMPLES_MAX ? oldest_of_author : oldest;
}

/* Indices of the samples, the shortest wait first; their number. */
static unsigned
sort_samples (const WaitsRow *row, unsigned *order)
{
  unsigned count = 0;

  for (unsigned i = 0; i < WAITS_SAMPLES; i++)
    {
      unsigned at = count;

      if (row->samples[i].at_ms == 0)
        continue;
      for (; at > 0 && row->samples[order[at - 1]].ms > row->samples[i].ms; at--)
        order[at] = order[at - 1];
      order[at] = i;
      count++;
    }
  return count;
}

static void
compute (WaitsRow *row, int64_t now_ms)
{
  unsigned order[WAITS_SAMPLES];
  unsigned count = sort_samples (row, order);
  double weight = 0, below = 0;

  for (unsigned i = 0; i < count; i++)
    weight += kept (row->samples[order[i]].at_ms, now_ms);
  for (unsigned i = 0; i < count; i++)
    {
      below += kept (row->samples[order[i]].at_ms, now_ms);
      row->median_ms = (double)row->samples[order[i]].ms;
      if (below * 2 >= weight)
        break;
    }
  row->weight = weight;
  row->at_ms = now_ms;
}

void
waits_row_add (WaitsRow *row, const WaitsSample *sample, int64_t now_ms)
{
  WaitsSample *slot = slot_of (row, sample);
  bool is_same = is_same_request (slot, sample);
  int64_t first_ms = slot->at_ms;

  if (slot->at_ms > sample->at_ms)
    return;
  *slot = *sample;
  /* Silences of a lost server are seen again and again; over all servers they must not outlive the
   * answers of the others. */
  if (row->is_service && is_same)
    slot->at_ms = first_ms;
  if (sample->at_ms >= row->latest_ms)
    {
      row->latest_ms = sample->at_ms;
      row->is_told = sample->author != 0;
    }
  compute (row, now_ms);
}

double
waits_row_weight (const WaitsRow *row, int64_t now_ms)
{
  return row->weight * kept (row->at_ms, now_ms);
}

double
waits_row_ms (const WaitsRow *row, double prior_ms, int64_t now_ms)
{
  double weight = waits_row_weight (row, now_ms);
  double halfway = row->is_service ? HALFWAY_WEIGHT_SERVICE : HALFWAY_WEIGHT;
  double share = weight * weight / (weight * weight + halfway * halfway);

  return prior_ms + share * (row->median_ms - prior_ms);
}
