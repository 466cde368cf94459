#include "front_waits_outbox.h"
#include <math.h>

/* Samples are told while they are younger than this many milliseconds. */
#define TELL_MAX_MS 1000

static WaitsOutboxEntry *
slot_of (WaitsOutbox *outbox, const WaitSample *sample)
{
  WaitsOutboxEntry *oldest = &outbox->entries[0];

  for (unsigned i = 0; i < WAITS_TOLD_MAX; i++)
    {
      WaitsOutboxEntry *entry = &outbox->entries[i];

      if (entry->at_ms != 0 && sample->request != 0 && entry->report.request == sample->request
          && entry->report.server == sample->server)
        return entry;
      if (entry->at_ms < oldest->at_ms)
        oldest = entry;
    }
  return oldest;
}

void
waits_outbox_put (WaitsOutbox *outbox, const WaitSample *sample, int64_t now_ms)
{
  double wait_ms = fmin (fmax (sample->wait_ms, 0), WAITS_MAX_MS);

  *slot_of (outbox, sample) = (WaitsOutboxEntry){
    .report = { .server = sample->server,
                .request = sample->request,
                .wait_ms = (uint32_t)lround (wait_ms),
                .rank = sample->rank },
    .at_ms = now_ms,
  };
}

unsigned
waits_outbox_take (WaitsOutbox *outbox, WaitReport *out, unsigned max, int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < WAITS_TOLD_MAX && count < max; i++)
    {
      WaitsOutboxEntry *entry = &outbox->entries[i];
      int64_t age_ms = now_ms - entry->at_ms;

      if (entry->at_ms == 0)
        continue;
      if (age_ms >= 0 && age_ms <= TELL_MAX_MS)
        {
          out[count] = entry->report;
          out[count++].age_ms = (uint32_t)age_ms;
        }
      entry->at_ms = 0;
    }
  return count;
}
