/** The store's time at a front: src/front_store_watch.c, front_store_refused.c,
 * front_store_write.c.
 */
#include "choose_quarantine.h"
#include "front_deaths.h"
#include "front_node.h"
#include "suite.h"
#include "util_clock.h"
#include <stdio.h>
#include <string.h>

#define ROUNDS     20
#define REFUSED    7u    /* fingerprint of a request */
#define REFUSED_MS 60000 /* for how long it is refused */

static FrontNode *
node_with_writer (void)
{
  FrontNode *node = front_node_new ();

  node->front.quarantine = quarantine_new (&front_quarantine_settings);
  node->store.writer
      = front_channel_new (node->front.base, &node->store.address, store_on_written, &node->store);
  return node;
}

static void
node_with_writer_free (FrontNode *node)
{
  front_channel_free (node->store.writer);
  quarantine_free (node->front.quarantine);
  front_node_free (node);
}

/* The store answers a poll and states this time. */
static void
answer_with_time (FrontNode *node, int64_t store_ms)
{
  char body[100];

  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "SinceRev=50"));
  snprintf (body, sizeof body, "{\"Rows\":[],\"Ver\":51,\"NowMs\":%lld}", (long long)store_ms);
  front_node_answer (node, 200, 1, body);
  CU_ASSERT (front_node_expect (node, "SinceRev=51"));
}

/* Guards against a front that takes a store whose clock shows the same time as its own for one that
 * has not told its time, and then doesn't write what it refuses. */
static void
test_store_may_have_the_time_of_this_machine (void)
{
  const QuarantineRefusal refusal = { .fingerprint = REFUSED, .left_ms = REFUSED_MS };

  /* Milliseconds may pass between the two readings of the clock. */
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      FrontNode *node = node_with_writer ();

      answer_with_time (node, clock_boot_ms ());
      quarantine_add_refusal (node->front.quarantine, &refusal, clock_boot_ms ());
      CU_ASSERT (store_refused_write (&node->store, clock_boot_ms ()));
      node_with_writer_free (node);
    }
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "store_may_have_the_time_of_this_machine", test_store_may_have_the_time_of_this_machine },
  };

  return suite_main (argc, argv, "front_time", cases, SUITE_COUNT (cases));
}
