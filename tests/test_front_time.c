/** The store's time at a front: src/front_store_clock.c, front_store_peer.c, front_store_refused.c,
 *  front_store_write.c. */
#include "choose_quarantine.h"
#include "front_compress.h"
#include "front_deaths.h"
#include "front_node.h"
#include "suite.h"
#include "util_clock.h"
#include "wire_rollout.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define ROUNDS      20
#define REFUSED     7u         /* fingerprint of a request */
#define REFUSED_MS  60000      /* for how long it is refused */
#define STORE_AHEAD 1000000000 /* milliseconds of the store's clock before this one */

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

static const char time_field[] = "Store-Time-Ms";
static const char status_key[] = "rollout/drafts";

/* A roll-out has begun now. */
static FrontRollout *
begin_rollout (FrontNode *node)
{
  const RolloutOrder order = { .service = "drafts", .target = "v2", .duration_ms = 20000 };

  front_rollouts_apply_order (node->front.rollouts, node->front.servers, &order, clock_boot_ms ());
  return front_rollouts_get (node->front.rollouts, order.service);
}

/* The value in the text of a write of one row. */
static void
copy_written_value (const char *request, char *out, size_t size)
{
  const char *value = strstr (request, "\"Value\"");
  size_t len = 0;

  value = value ? strchr (value + strlen ("\"Value\""), '"') : NULL;
  CU_ASSERT_PTR_NOT_NULL (value);
  if (value)
    CU_ASSERT_EQUAL (sodium_base642bin ((unsigned char *)out, size - 1, value + 1,
                                        strcspn (value + 1, "\""), NULL, &len, NULL,
                                        sodium_base64_VARIANT_ORIGINAL),
                     0);
  out[len] = '\0';
}

static bool
has_body (void *user)
{
  FrontNode *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return front_node_read (node) && strstr (node->request, "]}");
}

/* Writes the status of the roll-out and decodes what was written. */
static int64_t
written_start (FrontNode *node)
{
  char value[500];
  RolloutStatus status;

  front_store_tick (&node->store, clock_boot_ms ());
  CU_ASSERT (suite_wait (has_body, node));
  CU_ASSERT_PTR_NOT_NULL (strstr (node->request, "drafts"));
  copy_written_value (node->request, value, sizeof value);
  CU_ASSERT (wire_rollout_status_decode (span_of (value), &status));
  CU_ASSERT_STRING_EQUAL (status.target, "v2");
  return status.started_ms;
}

/* Guards against a front that has no time of the store, because it started while it could not reach
 * it, and gives its own clock's time for the start of a roll-out: others take it for over. */
static void
test_start_of_rollout_is_not_told_without_time (void)
{
  FrontNode *node = node_with_writer ();

  begin_rollout (node);
  CU_ASSERT_EQUAL (written_start (node), ROLLOUT_START_UNKNOWN);
  node_with_writer_free (node);
}

/* Guards against a front that applies the start in a status without knowing the store's time, or
 * takes a start that the status doesn't tell for the year zero. */
static void
test_start_of_rollout_is_not_taken_without_time (void)
{
  static const char status[] = "{\"Service\":\"drafts\",\"Target\":\"v2\",\"State\":\"running\"%s}";
  static const char *const starts[] = { ",\"StartedMs\":5", ",\"StartedMs\":null", "" };

  for (size_t i = 0; i < SUITE_COUNT (starts); i++)
    {
      FrontNode *node = node_with_writer ();
      FrontRollout *rollout = begin_rollout (node);
      int64_t started_ms = rollout->started_ms;
      char value[200];
      StoreRow row = { .key = (char *)(uintptr_t)status_key, .value = value, .version = 9 };

      /* Only a start that is told, and whose clock is known, may count. */
      if (i > 0)
        store_clock_set (&node->store.clock, STORE_AHEAD, 0);
      row.value_len = (size_t)snprintf (value, sizeof value, status, starts[i]);
      store_apply_status (&node->store, &row);
      CU_ASSERT_EQUAL (rollout->status_version, row.version);
      CU_ASSERT_EQUAL (rollout->started_ms, started_ms);
      node_with_writer_free (node);
    }
}

/* The start in the status is by the store's clock, and is taken back to that of the reader. */
static void
test_start_of_rollout_is_by_the_store_s_clock (void)
{
  FrontNode *node = node_with_writer ();
  FrontRollout *rollout = begin_rollout (node);

  store_clock_set (&node->store.clock, STORE_AHEAD, 0);
  CU_ASSERT_EQUAL (written_start (node), rollout->started_ms + STORE_AHEAD);
  node_with_writer_free (node);
}

/* Guards against a store's clock that seems to be behind, as an answer of it was late: what others
 * confirm would pass for fresh. */
static void
test_late_answers_do_not_set_the_clock (void)
{
  StoreClock clock = { 0 };
  int64_t store_ms;

  store_clock_set (&clock, 5000, 1000);
  store_clock_set (&clock, 25000, 21900);
  CU_ASSERT (store_clock_from_own (&clock, 30000, &store_ms));
  CU_ASSERT_EQUAL (store_ms, 34000);
  store_clock_set (&clock, 34005, 30000);
  CU_ASSERT (store_clock_from_own (&clock, 30000, &store_ms));
  CU_ASSERT_EQUAL (store_ms, 34005);
  store_clock_restarted (&clock);
  store_clock_set (&clock, 31000, 30000);
  CU_ASSERT (store_clock_from_own (&clock, 30000, &store_ms));
  CU_ASSERT_EQUAL (store_ms, 31000);
}

static void
test_answers_to_other_fronts_tell_the_time (void)
{
  FrontNode *node = front_node_new ();
  Buffer fields = { 0 };
  Span text;
  int64_t told_ms = 0;

  front_store_tell_time (&node->store, &fields);
  CU_ASSERT_EQUAL (fields.len, 0);
  store_clock_set (&node->store.clock, STORE_AHEAD, 0);
  front_store_tell_time (&node->store, &fields);
  text = span_of (fields.data);
  CU_ASSERT (span_is (span_cut (&text, ':'), time_field));
  CU_ASSERT (span_number (span_trim (span_cut (&text, '\r')), &told_ms));
  CU_ASSERT (span_is (text, "\n"));
  CU_ASSERT (told_ms > STORE_AHEAD && told_ms <= STORE_AHEAD + clock_boot_ms ());
  buffer_free (&fields);
  front_node_free (node);
}

/* Guards against taking an answer that tells no time, or none that is valid, for one that does. */
static void
test_time_in_an_answer_of_another_front (void)
{
  static const struct
  {
    const char *field;
    bool tells;
  } answers[] = {
    { "Store-Time-Ms: 0\r\n", true },
    { "Store-Time-Ms: 77\r\n", true },
    { "", false },
    { "Store-Time-Ms:\r\n", false },
    { "Store-Time-Ms: x7\r\n", false },
    { "Store-Time-Ms: -7\r\n", false },
  };
  Buffer rows = { 0 };

  buffer_add_string (&rows, "{\"Rows\":[],\"Ver\":5}");
  CU_ASSERT_FATAL (front_compress (&rows));
  for (size_t i = 0; i < SUITE_COUNT (answers); i++)
    {
      HttpReply reply;
      StoreAnswer answer;
      char head[200];

      snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n",
                answers[i].field);
      http_reply_init (&reply);
      http_reply_feed (&reply, head, strlen (head));
      CU_ASSERT_FATAL (front_store_decode_peer_answer (&reply, rows.data, rows.len, &answer));
      CU_ASSERT_EQUAL (answer.has_clock, answers[i].tells);
      store_answer_clear (&answer);
      http_reply_clear (&reply);
    }
  buffer_free (&rows);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "store_may_have_the_time_of_this_machine", test_store_may_have_the_time_of_this_machine },
    { "start_of_rollout_is_not_told_without_time", test_start_of_rollout_is_not_told_without_time },
    { "start_of_rollout_is_not_taken_without_time",
      test_start_of_rollout_is_not_taken_without_time },
    { "start_of_rollout_is_by_the_store_s_clock", test_start_of_rollout_is_by_the_store_s_clock },
    { "late_answers_do_not_set_the_clock", test_late_answers_do_not_set_the_clock },
    { "answers_to_other_fronts_tell_the_time", test_answers_to_other_fronts_tell_the_time },
    { "time_in_an_answer_of_another_front", test_time_in_an_answer_of_another_front },
  };

  return suite_main (argc, argv, "front_time", cases, SUITE_COUNT (cases));
}
