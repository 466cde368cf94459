/* Which connections to backend servers are kept. */
#include "front_keep.h"

/* Idle connections at one server, of one front and of all fronts together: servers accept some
 * hundreds in all and reset any beyond. */
#define SERVER_MAX     2
#define SERVER_ALL_MAX 64
/* Share of the time that the server tells. It counts from its last byte, and its close takes a
 * moment to arrive. */
#define TOLD_SHARE 0.5
/* Milliseconds where the server tells no time: it may be any below a second. */
#define UNTOLD_MS 250
/* Bytes of a request's body that a server's kernel takes at once: of a longer one a server that
 * reads slowly would leave some unacknowledged. */
#define BODY_MAX   8192
#define MS_PER_S   1000
#define TOLD_MAX_S 86400 /* a day */

static unsigned
server_max (unsigned fronts)
{
  unsigned each = SERVER_ALL_MAX / (fronts ? fronts : 1);

  return each < SERVER_MAX ? each : SERVER_MAX;
}

static int64_t
idle_ms (const KeepCase *c)
{
  int64_t ms = c->told_ms == KEEP_NOT_TOLD ? UNTOLD_MS : (int64_t)((double)c->told_ms * TOLD_SHARE);

  return ms < c->max_ms ? ms : c->max_ms;
}

int64_t
front_keep_ms (const KeepCase *c)
{
  if (!c->is_believed || !c->is_framed || c->has_surplus || !c->is_written || c->has_ended
      || !c->takes_work || c->there >= server_max (c->fronts))
    return 0;
  return idle_ms (c);
}

/* The last attempt has to reach a server: after it the request fails. */
bool
front_keep_may_use (const KeepUse *use)
{
  return use->is_idempotent && use->attempts < use->attempts_max && use->body_len <= BODY_MAX;
}

int64_t
front_keep_told_ms (Span header)
{
  while (header.len > 0)
    {
      Span field = span_trim (span_cut (&header, ','));
      Span name = span_trim (span_cut (&field, '='));
      int64_t seconds;

      if (span_is_nocase (name, "timeout") && span_number (span_trim (field), &seconds)
          && seconds >= 0 && seconds <= TOLD_MAX_S)
        return seconds * MS_PER_S;
    }
  return KEEP_NOT_TOLD;
}
