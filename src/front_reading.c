/* What reading a long prompt costs the streams beside it. */
#include "front_reading.h"

/* Share of the allowed pause from which on a prompt counts as long. Engines have spells in which
 * all takes some times as long as predicted. */
#define LONG_SHARE 0.33
/* Share of the allowed pause from which on a server's streams pause anyway: another prompt makes
 * that pause longer, where a second server's streams would pause, too. */
#define PAUSED_SHARE 0.2
/* Cost for each stream, as a share of the allowed pause: far less than the pause, so that long
 * prompts don't queue behind each other for long. */
#define STREAM_COST_SHARE 0.04

double
front_reading_cost_ms (const ReadingCase *c)
{
  if (c->pause_ms <= 0 || c->read_ms <= LONG_SHARE * c->pause_ms
      || c->pending_ms >= PAUSED_SHARE * c->pause_ms || !(c->running > 0))
    return 0;
  return STREAM_COST_SHARE * c->pause_ms * c->running;
}
