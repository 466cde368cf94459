/** What a VM's network link carries: src/front_link.c. */
#include "front_link.h"
#include "suite.h"
#include <stdio.h>

#define NOW          1000000
#define BYTES_PER_MS 1250.0 /* of a link of 10 Mbit/s */
#define DATA_SHARE   0.91   /* of bytes that are no headers */
#define BODY_MS      100    /* from the opening of a connection until its bytes have passed */

/* Connections that the link carries a second, with the headers of their packets and of the
 * acknowledgements: 66 bytes each for 1,448. */
#define CAPACITY 163
/* Callers leave a front that hasn't read their request for so long. */
#define WAIT_MAX_MS 1000

/* A link of 10 Mbit/s, each way, that carries what is sent one after another. */
typedef struct
{
  FrontLink link;
  double queue; /* bytes that wait, the same in both directions */
  unsigned pending[BODY_MS];
  unsigned kept_rate; /* requests a second on connections that were opened before */
  int64_t now_ms;
  unsigned offered, accepted;
  double longest_ms; /* that a byte waited */
} Site;

/* Milliseconds pass, with so many connections opened a second. */
static void
run (Site *site, unsigned rate, unsigned ms)
{
  static const double passed = BYTES_PER_MS * 1000 / CAPACITY; /* of a connection, with headers */

  for (unsigned i = 0; i < ms; i++)
    {
      int64_t now_ms = NOW + site->now_ms++;
      unsigned kept = ((i + 1) * site->kept_rate) / 1000 - (i * site->kept_rate) / 1000;
      unsigned opened = ((i + 1) * rate) / 1000 - (i * rate) / 1000;
      unsigned *pending = &site->pending[i % BODY_MS];

      site->queue += *pending * passed;
      *pending = kept;
      for (unsigned j = 0; j < kept; j++)
        front_link_count_request (&site->link);
      for (unsigned j = 0; j < opened; j++)
        {
          bool has_room = front_link_let_in (&site->link, now_ms);

          site->offered++;
          site->accepted += has_room;
          *pending += has_room;
        }
      if (site->queue > 0)
        {
          double carried = site->queue < BYTES_PER_MS ? site->queue : BYTES_PER_MS;

          site->queue -= carried;
          front_link_count (&site->link, LINK_IN, (size_t)(carried * DATA_SHARE));
          front_link_count (&site->link, LINK_OUT, (size_t)(carried * DATA_SHARE));
        }
      if (site->queue / BYTES_PER_MS > site->longest_ms)
        site->longest_ms = site->queue / BYTES_PER_MS;
    }
}

static void
check (double mbps, unsigned rate, double accepted_min, double accepted_max, double wait_max_ms)
{
  Site site = { 0 };
  double accepted;

  front_link_set (&site.link, mbps, NOW);
  run (&site, rate, 20000);
  accepted = (double)site.accepted / site.offered;
  printf ("%u connections a second: %.3f accepted, longest wait %.0f ms\n", rate, accepted,
          site.longest_ms);
  CU_ASSERT (accepted >= accepted_min && accepted <= accepted_max);
  CU_ASSERT (site.longest_ms <= wait_max_ms);
}

/* Two thirds of the link. Guards against connections that are closed without need. */
static void
test_room_for_all_below_the_rate (void)
{
  check (10, 110, 1, 1, 50);
}

/* More than one and a half, and four times what the link carries. Guards against waiting times
 * that grow for as long as the load lasts, and against closing more than has to be. */
static void
test_wait_is_bounded_above_the_rate (void)
{
  check (10, 270, 0.7 * CAPACITY / 270, 1, WAIT_MAX_MS);
  check (10, 712, 0.7 * CAPACITY / 712, 1, WAIT_MAX_MS);
}

/* Callers keep their connections, which fill two fifths of the link; then others open as many.
 * Guards against a rate of new connections that follows that of the last seconds, when there were
 * none. */
static void
test_crowd_after_kept_connections_has_room (void)
{
  Site site = { .kept_rate = CAPACITY * 2 / 5 };

  front_link_set (&site.link, 10, NOW);
  run (&site, 1, 60000);
  run (&site, CAPACITY * 2 / 5, 5000);
  printf ("%u of %u accepted\n", site.accepted, site.offered);
  CU_ASSERT_EQUAL (site.accepted, site.offered);
  CU_ASSERT (site.longest_ms <= WAIT_MAX_MS);
}

/* Where the rate isn't known nothing is closed. */
static void
test_unknown_rate_bounds_nothing (void)
{
  check (0, 712, 1, 1, 1e9);
}

/* Connections that were opened before carry more than the link's rate. Guards against a front that
 * closes new ones for as long afterwards. */
static void
test_excess_is_over_soon (void)
{
  FrontLink link;

  front_link_set (&link, 10, NOW);
  front_link_count (&link, LINK_IN, 100000000);
  CU_ASSERT_FALSE (front_link_let_in (&link, NOW));
  CU_ASSERT (front_link_excess (&link) > 0);
  CU_ASSERT_TRUE (front_link_let_in (&link, NOW + 1000));
  CU_ASSERT_TRUE (front_link_excess (&link) == 0);
}

/* Answers alone fill the link's other direction. */
static void
test_each_direction_counts (void)
{
  FrontLink link;

  front_link_set (&link, 10, NOW);
  front_link_count (&link, LINK_OUT, 1000000);
  CU_ASSERT_FALSE (front_link_let_in (&link, NOW));
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "room_for_all_below_the_rate", test_room_for_all_below_the_rate },
    { "wait_is_bounded_above_the_rate", test_wait_is_bounded_above_the_rate },
    { "crowd_after_kept_connections_has_room", test_crowd_after_kept_connections_has_room },
    { "unknown_rate_bounds_nothing", test_unknown_rate_bounds_nothing },
    { "excess_is_over_soon", test_excess_is_over_soon },
    { "each_direction_counts", test_each_direction_counts },
  };

  return suite_main (argc, argv, "front_link", cases, SUITE_COUNT (cases));
}
