#include "front_brittle.h"
#include <math.h>

#define MS_PER_S 1000.0
/* The longest rest in milliseconds: a server has room again soon, and where fronts are many few of
 * them have work for the same one. */
#define REST_MAX_MS 10000.0
/* The part of the number from which on requests turned away within a moment show that a server has
 * less room than its slots; a single one may have crossed an answer. */
#define MANY_SHARE 0.5
/* Milliseconds after a server was first known to be brittle by which what was sent there before
 * has ended, and fronts keep to their parts. */
#define SETTLE_MS 1500
/* Of the time in which a server can turn one request away, for how long a front that is told that
 * one was leaves it alone. */
#define TOLD_REST_FACTOR 1.5
/* Part of the room that is left after a request was turned away, at most once in ROOM_STEP_MS, as
 * several are turned away at one moment; and the part of all slots by which it grows in a second.
 */
#define ROOM_KEPT    0.7
#define ROOM_STEP_MS 200
#define ROOM_GROWTH  0.1

bool
server_brittle_named (ServerBrittle *brittle, double per_s, int64_t now_ms)
{
  bool is_news = !brittle->is_named || brittle->per_s != per_s;

  if (!brittle->is_named)
    brittle->named_ms = now_ms;
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

/* Fronts that hear of the same refusals agree on the room. */
static double
room_now (const ServerBrittle *brittle, int64_t now_ms)
{
  double grown = brittle->room + ROOM_GROWTH * (double)(now_ms - brittle->room_ms) / MS_PER_S;

  return brittle->room > 0 ? fmin (grown, 1) : 1;
}

/* Counts a request that was turned away. True if there were many within a second, other than at
 * first, when they may be due to what was sent before fronts knew that the server is brittle. */
static bool
count_refusal (ServerBrittle *brittle, int64_t now_ms)
{
  brittle->refusals
      = 1 + brittle->refusals * exp (-(double)(now_ms - brittle->refused_ms) / MS_PER_S);
  brittle->refused_ms = now_ms;
  return brittle->refusals > MANY_SHARE * brittle->per_s && now_ms - brittle->named_ms >= SETTLE_MS;
}

static void
room_reduce (ServerBrittle *brittle, int64_t now_ms)
{
  if (brittle->room > 0 && now_ms - brittle->room_ms < ROOM_STEP_MS)
    return;
  brittle->room = ROOM_KEPT * room_now (brittle, now_ms);
  brittle->room_ms = now_ms;
}

void
server_brittle_turned_away (ServerBrittle *brittle, unsigned running, int64_t now_ms)
{
  brittle->window = running > 2 ? running - 1 : 1;
  if (count_refusal (brittle, now_ms))
    room_reduce (brittle, now_ms);
}

int64_t
server_brittle_told_full (ServerBrittle *brittle, int64_t now_ms)
{
  if (!brittle->is_named || !count_refusal (brittle, now_ms))
    return 0;
  room_reduce (brittle, now_ms);
  return (int64_t)ceil (fmin (TOLD_REST_FACTOR * MS_PER_S / fmax (brittle->per_s, 1), REST_MAX_MS));
}

bool
server_brittle_is_full (const ServerBrittle *brittle,
                        const BrittleServer *server,
                        const FrontShare *share,
                        int64_t now_ms)
{
  double slots = fmax (server->slots * room_now (brittle, now_ms), 1);

  if (!brittle->is_named)
    return false;
  return (brittle->window > 0 && server->running >= (unsigned)brittle->window)
         || server->running >= front_share_slots (share, server->hash, (unsigned)lround (slots));
}

int64_t
server_brittle_rest_ms (const ServerBrittle *brittle, const FrontShare *share)
{
  if (!brittle->is_named)
    return 0;
  return (int64_t)ceil (
      fmin (MS_PER_S * front_share_count (share, false) / fmax (brittle->per_s, 1), REST_MAX_MS));
}
