#include "front_brittle.h"
#include <math.h>

#define MS_PER_S 1000.0
/* The longest rest in milliseconds: a server has room again soon, and where fronts are many few of
 * them have work for the same one. */
#define REST_MAX_MS 10000.0

bool
server_brittle_named (ServerBrittle *brittle, double per_s, int64_t now_ms)
{
  bool is_news = !brittle->is_named || brittle->per_s != per_s;

  brittle->is_named = true;
  brittle->per_s = per_s;
  brittle->heard_ms = now_ms;
  return is_news;
}

/* Answers overtake each other, so only a request sent after the number was named tells that it no
 * longer is. */
bool
server_brittle_absent (ServerBrittle *brittle, int64_t sent_ms)
{
  if (!brittle->is_named || sent_ms <= brittle->heard_ms)
    return false;
  *brittle = (ServerBrittle){ 0 };
  return true;
}

void
server_brittle_accepted (ServerBrittle *brittle)
{
  if (brittle->window > 0)
    brittle->window += 1 / brittle->window;
}

void
server_brittle_turned_away (ServerBrittle *brittle, unsigned running)
{
  brittle->window = running > 2 ? running - 1 : 1;
}

bool
server_brittle_is_full (const ServerBrittle *brittle, unsigned running)
{
  return brittle->is_named && brittle->window > 0 && running >= (unsigned)brittle->window;
}

int64_t
server_brittle_rest_ms (const ServerBrittle *brittle, const FrontShare *share)
{
  if (!brittle->is_named)
    return 0;
  return (int64_t)ceil (
      fmin (MS_PER_S * front_share_count (share, false) / fmax (brittle->per_s, 1), REST_MAX_MS));
}
