#include "front_share.h"
#include "util_id.h"
#include <math.h>

#define HASH_BITS     53
#define ORDER_SUBJECT 0x6f726472u

/* Numbers of fronts that a new front assumes at least, in all failure domains and in its own: those
 * of a large site. */
#define LARGE_SITE_FRONTS   360
#define LARGE_DOMAIN_FRONTS 75
/* With this many registered fronts in a failure domain there may be more that are not registered,
 * and at least DOMAIN_FRONTS_MIN are assumed, so that a front that does not know half of them takes
 * no larger share. */
#define REGISTERED_FULL   5
#define DOMAIN_FRONTS_MIN 20

static unsigned
at_least (unsigned count, unsigned least)
{
  return count > least ? count : least;
}

void
front_share_set (FrontShare *share, const FrontsView *view)
{
  share->domain_fronts = view->domain_fronts;
  share->fronts = view->fronts;
  share->place = view->place;
  share->places = view->places;
  if (view->registered >= REGISTERED_FULL)
    share->domain_fronts = at_least (share->domain_fronts, DOMAIN_FRONTS_MIN);
  if (!view->has_place)
    share->places = at_least (share->places, LARGE_SITE_FRONTS);
  if (!view->is_new)
    return;
  share->domain_fronts = at_least (share->domain_fronts, LARGE_DOMAIN_FRONTS);
  share->fronts = at_least (share->fronts, LARGE_SITE_FRONTS);
}

unsigned
front_share_count (const FrontShare *share, bool is_same_domain)
{
  return at_least (is_same_domain ? share->domain_fronts : share->fronts, 1);
}

/* Slots are dealt in turn to the fronts in their order, beginning at another front for each server.
 * So a slot more or less is one front's, and the slots of all others stay where they are: requests
 * in progress would otherwise hold slots that have become another front's. */
unsigned
front_share_slots (const FrontShare *share, uint64_t server, unsigned slots)
{
  unsigned places = at_least (share->places, 1);
  double draw = ldexp (
      (double)(id_hash (&server, sizeof server, ORDER_SUBJECT) >> (64 - HASH_BITS)), -HASH_BITS);
  unsigned first = (unsigned)(draw * places);
  unsigned turn = (share->place % places + places - first) % places;

  return turn < slots ? (slots - turn - 1) / places + 1 : 0;
}

double
front_share_draw (const FrontShare *share, uint64_t server)
{
  return ldexp ((double)(id_hash (&server, sizeof server, share->self) >> (64 - HASH_BITS)),
                -HASH_BITS);
}
