/**
 * Comparison of load reports with the gate's own requests at the time of the report.
 */
#include "choose_load.h"

/** If a server's clock is set back, its reports seem to be hours late; beyond this delay the offset
 *  is measured anew. */
#define OFFSET_MAX_MS 60000

void
load_history_add (LoadHistory *history, const ServerView *view, int64_t now_ms)
{
  int64_t sample = now_ms / LOAD_SAMPLE_MS;
  int64_t i = history->sample + 1;

  /* Samples without a change have the value of the one before. */
  if (sample - i >= LOAD_HISTORY_SAMPLES)
    i = sample - LOAD_HISTORY_SAMPLES;
  for (; i <= sample; i++)
    history->in_flight[i % LOAD_HISTORY_SAMPLES]
        = history->in_flight[history->sample % LOAD_HISTORY_SAMPLES];
  if (sample > history->sample)
    history->sample = sample;
  history->in_flight[history->sample % LOAD_HISTORY_SAMPLES] = view->in_flight;
}

static int64_t
in_flight_at (const LoadHistory *history, int64_t at_ms)
{
  int64_t sample = at_ms / LOAD_SAMPLE_MS;

  if (sample > history->sample)
    sample = history->sample;
  if (sample <= history->sample - LOAD_HISTORY_SAMPLES)
    sample = history->sample - LOAD_HISTORY_SAMPLES + 1;
  return sample < 0 ? 0 : history->in_flight[sample % LOAD_HISTORY_SAMPLES];
}

void
load_report (LoadHistory *history, ServerView *view, int64_t load, int64_t at_ms, int64_t now_ms)
{
  int64_t offset = now_ms - at_ms;

  if (!history->clock_known || offset < history->clock_offset
      || offset > history->clock_offset + OFFSET_MAX_MS)
    history->clock_offset = offset;
  history->clock_known = true;
  load_history_add (history, view, now_ms);
  view->reported_load = load;
  view->in_flight_at_report = in_flight_at (history, at_ms + history->clock_offset);
  view->report_ms = now_ms;
  view->taken_ms = at_ms + history->clock_offset;
}
