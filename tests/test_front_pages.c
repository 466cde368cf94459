/** A front before a store whose pages don't continue: src/front_store_watch.c, front_row.c. */
#include "front_node.h"
#include "suite.h"
#include <string.h>

#define PAGE(key, more)                                                                            \
  "{\"Rows\":[{\"Key\":\"" key "\",\"Value\":\"MQ==\",\"Ver\":7}],\"Ver\":60,\"MorePages\":" more  \
  "}"
#define EMPTY_PAGE "{\"Rows\":[],\"Ver\":60,\"MorePages\":true}"

static FrontNode *
node_reading (void)
{
  FrontNode *node = front_node_new ();

  node->watch->loaded = false;
  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "Limit=500 HTTP"));
  return node;
}

/* The read begins again, and not at once. */
static void
expect_pause (FrontNode *node)
{
  while (front_channel_is_pending (node->watch->channel))
    event_base_loop (node->front.base, EVLOOP_ONCE);
  CU_ASSERT_FALSE (node->watch->loaded);
  CU_ASSERT_EQUAL (node->watch->pages.count, 0);
  CU_ASSERT (front_node_expect (node, "Limit=500 HTTP"));
}

/* Guards against a front that reads the same page without end, and without a pause. */
static void
test_repeated_page_is_read_after_a_pause (void)
{
  FrontNode *node = node_reading ();

  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  CU_ASSERT (front_node_expect (node, "From=b%00"));
  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  expect_pause (node);
  front_node_free (node);
}

/* Guards against a front that reads pages in circles. */
static void
test_earlier_page_is_read_after_a_pause (void)
{
  FrontNode *node = node_reading ();

  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  CU_ASSERT (front_node_expect (node, "From=b%00"));
  front_node_answer (node, 200, 1, PAGE ("c", "true"));
  CU_ASSERT (front_node_expect (node, "From=c%00"));
  front_node_answer (node, 200, 1, PAGE ("a", "true"));
  expect_pause (node);
  front_node_free (node);
}

/* Guards against a front that takes a table for complete although the store announces more rows. */
static void
test_empty_page_does_not_end_a_table (void)
{
  FrontNode *node = node_reading ();

  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  CU_ASSERT (front_node_expect (node, "From=b%00"));
  front_node_answer (node, 200, 1, EMPTY_PAGE);
  expect_pause (node);
  front_node_answer (node, 200, 1, EMPTY_PAGE);
  expect_pause (node);
  front_node_free (node);
}

/* Guards against a front that never knows the table once the store has repeated a page. */
static void
test_table_is_known_once_pages_continue (void)
{
  FrontNode *node = node_reading ();

  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  CU_ASSERT (front_node_expect (node, "From=b%00"));
  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  expect_pause (node);
  front_node_answer (node, 200, 1, PAGE ("b", "true"));
  CU_ASSERT (front_node_expect (node, "From=b%00"));
  front_node_answer (node, 200, 1, PAGE ("c", "false"));
  CU_ASSERT (front_node_expect (node, "SinceRev=60"));
  CU_ASSERT_PTR_NOT_NULL (front_table_find (&node->watch->table, "b"));
  CU_ASSERT_PTR_NOT_NULL (front_table_find (&node->watch->table, "c"));
  front_node_free (node);
}

static const SuiteCase cases[] = {
  { "repeated_page_is_read_after_a_pause", test_repeated_page_is_read_after_a_pause },
  { "earlier_page_is_read_after_a_pause", test_earlier_page_is_read_after_a_pause },
  { "empty_page_does_not_end_a_table", test_empty_page_does_not_end_a_table },
  { "table_is_known_once_pages_continue", test_table_is_known_once_pages_continue },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pages", cases, SUITE_COUNT (cases));
}
