/** Writes of a roll-out's status that cross another order: src/front_store_write.c. */
#include "front_node.h"
#include "suite.h"
#include "util_clock.h"
#include <string.h>

#define ORDERED 100 /* row version of the order of v2 */
#define WRITTEN 120 /* of its status */

static const char order_v2[] = "{\"Service\":\"drafts\",\"Target\":\"v2\",\"RampS\":20}";
static const char order_v3[] = "{\"Service\":\"drafts\",\"Target\":\"v3\",\"RampS\":20}";

static void
read_order (FrontNode *node, const char *text, int64_t number)
{
  StoreRow row = { .key = (char *)"rollout/drafts",
                   .value = (char *)text,
                   .value_len = strlen (text),
                   .version = store_version (1, number) };

  store_apply_operator (&node->store, &row);
}

static bool
has_body (void *user)
{
  FrontNode *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return front_node_read (node) && strstr (node->request, "]}");
}

/* A front that is writing that v2 is completed. */
static FrontNode *
node_that_writes (void)
{
  FrontNode *node = front_node_new ();
  FrontRollout *rollout;

  node->store.writer
      = front_channel_new (node->front.base, &node->store.address, store_on_written, &node->store);
  read_order (node, order_v2, ORDERED);
  rollout = front_rollouts_get (node->front.rollouts, "drafts");
  rollout->state = FRONT_ROLLOUT_COMPLETED;
  front_store_tick (&node->store, clock_boot_ms ());
  CU_ASSERT (suite_wait (has_body, node));
  CU_ASSERT_PTR_NOT_NULL (strstr (node->request, "\"Table\":\"status\""));
  rollout->state = FRONT_ROLLOUT_RUNNING;
  return node;
}

static void
node_free (FrontNode *node)
{
  front_channel_free (node->store.writer);
  front_node_free (node);
}

static const FrontRollout *
rollout_of (const FrontNode *node)
{
  return front_rollouts_get (node->front.rollouts, "drafts");
}

/* Guards against a verdict that the store accepts although another order has replaced the one that
 * it was reached on. */
static void
test_write_requires_its_order (void)
{
  FrontNode *node = node_that_writes ();

  CU_ASSERT_PTR_NOT_NULL (strstr (
      node->request, "{\"Table\":\"op\",\"part\":\"\",\"Key\":\"rollout\\/drafts\",\"Ver\":100}]"));
  node_free (node);
}

/* Guards against a verdict that is carried out on the order that arrived while it was written. */
static void
test_answer_applies_to_the_order_written_for (void)
{
  static const char written[] = "{\"Rows\":[],\"Ver\":120}";
  FrontNode *node = node_that_writes ();

  read_order (node, order_v3, WRITTEN - 1);
  store_on_written (&node->store, STORE_HTTP_OK, written, strlen (written));
  CU_ASSERT_STRING_EQUAL (rollout_of (node)->order.target, "v3");
  CU_ASSERT (front_rollout_is_running (rollout_of (node)));
  node_free (node);
}

/* Guards against an order in the store's refusal of a write that is taken for a status. */
static void
test_refusal_may_contain_the_order (void)
{
  static const char refusal[]
      = "{\"Rows\":[{\"Table\":\"op\",\"Key\":\"rollout/drafts\",\"Value\":\"e30=\",\"Ver\":120},"
        "{\"Table\":\"status\",\"Key\":\"rollout/drafts\",\"Value\":\"e30=\",\"Ver\":90}],"
        "\"Ver\":121}";
  FrontNode *node = node_that_writes ();
  const StoreRow *row;

  store_on_written (&node->store, STORE_HTTP_CONFLICT, refusal, strlen (refusal));
  row = front_table_find (&node->store.watches[STORE_STATUS].table, "rollout/drafts");
  CU_ASSERT_PTR_NOT_NULL (row);
  if (row)
    CU_ASSERT_EQUAL (row->version, store_version (1, 90));
  CU_ASSERT (front_rollout_is_running (rollout_of (node)));
  node_free (node);
}

static const SuiteCase cases[] = {
  { "write_requires_its_order", test_write_requires_its_order },
  { "answer_applies_to_the_order_written_for", test_answer_applies_to_the_order_written_for },
  { "refusal_may_contain_the_order", test_refusal_may_contain_the_order },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_verdict_write", cases, SUITE_COUNT (cases));
}
