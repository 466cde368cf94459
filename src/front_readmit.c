#include "front_readmit.h"

/* Milliseconds before the first return, doubled for each further one, unless a request of this
 * front ends at the server before. Each return that finds it full is more load. */
#define FIRST_WAIT_MS 100
#define RETURNS_MAX   2
/* Part of the time that the caller had left when the request was first turned away: in the rest, it
 * may come back to another front. */
#define WAIT_SHARE 0.25
/* Each wait is longer by up to this share. */
#define SPREAD_SHARE 0.5

int64_t
front_readmit_wait_ms (const ReadmitRequest *request)
{
  double all_ms = WAIT_SHARE * (double)(request->left_ms + request->waited_ms);
  double wait_ms;

  if (request->may_have_run || request->returns >= RETURNS_MAX)
    return 0;
  wait_ms = (FIRST_WAIT_MS << request->returns) * (1 + SPREAD_SHARE * request->spread);
  return (double)request->waited_ms + wait_ms <= all_ms ? (int64_t)wait_ms : 0;
}

bool
front_readmit_is_next (const ReadmitWaiting *list, unsigned place, int64_t now_ms)
{
  if (list[place].due_ms > now_ms)
    return false;
  for (unsigned i = 0; i < place; i++)
    {
      if (list[i].server == list[place].server && list[i].due_ms <= now_ms)
        return false;
    }
  return true;
}
