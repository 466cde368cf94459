/** Messages of waits: src/front_waits_message.c, front_peers_waits.c. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_waits_message.h"
#include "suite.h"
#include "util_memory.h"
#include <stdlib.h>

#define NOW  100000 /* milliseconds */
#define RANK 4U

static Front *
front_new (void)
{
  Front *front = memory_alloc (sizeof *front);
  FrontPeers *peers = memory_alloc (sizeof *peers);

  front->incarnation = 1;
  front->servers = front_servers_new ("here");
  front->waits = front_waits_new ();
  front->settings.contention_ratio = 2;
  front->config = front_config_new ();
  front->config->service_count = 1;
  front->config->services = memory_array (1, sizeof *front->config->services);
  front->config->services[0]
      = (FrontService){ .name = memory_strdup ("drafts"), .kv_tokens = 1000, .objective_ratio = 3 };
  front->sessions = front_sessions_new (1000);
  front->rollouts = front_rollouts_new (front->sessions, 1);
  peers->front = front;
  peers->fd = -1;
  front->peers = peers;
  return front;
}

static void
front_free (Front *front)
{
  front_waits_free (front->waits);
  front_servers_free (front->servers);
  front_rollouts_free (front->rollouts);
  front_sessions_free (front->sessions);
  front_config_unref (front->config);
  free (front->peers);
  free (front);
}

static uint64_t
add_server (Front *front)
{
  ServerEntry entry = { .id = "a", .service = "drafts", .address = "10.0.0.1:80" };
  bool changed;

  snprintf (entry.failure_domain, sizeof entry.failure_domain, "here");
  CU_ASSERT (front_servers_set (front->servers, &entry, NOW, &changed));
  return front_servers_find (front->servers, "a")->hash;
}

static bool
receive (Front *front, const WaitsMessage *message)
{
  unsigned char data[WAITS_MESSAGE_MAX];
  size_t len = waits_message_encode (message, data, sizeof data);

  CU_ASSERT (len > 0);
  return peers_receive_waits (front->peers, data, len, NOW);
}

static double
believed (const Front *front, uint64_t server)
{
  WaitBelief general = { 0 };

  return front_waits_of (front->waits, server, RANK, &general, NOW).ms;
}

/* A datagram that is cut short, of another kind, or claims too many reports. */
static void
test_only_complete_messages_are_decoded (void)
{
  WaitsMessage message = { .incarnation = 5, .count = 2 };
  WaitsMessage read;
  unsigned char data[WAITS_MESSAGE_MAX];
  size_t len;

  message.reports[0] = (WaitReport){ .server = 11, .request = 1, .wait_ms = 900 };
  message.reports[1]
      = (WaitReport){ .server = 12, .request = 2, .wait_ms = 150, .rank = 2, .age_ms = 80 };
  len = waits_message_encode (&message, data, sizeof data);
  CU_ASSERT_EQUAL (len, 16 + 2 * 16);
  CU_ASSERT (waits_message_decode (&read, data, len));
  CU_ASSERT_EQUAL (read.incarnation, 5);
  CU_ASSERT_EQUAL (read.count, 2);
  for (unsigned i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (read.reports[i].server, message.reports[i].server);
      CU_ASSERT_EQUAL (read.reports[i].request, message.reports[i].request);
      CU_ASSERT_EQUAL (read.reports[i].wait_ms, message.reports[i].wait_ms);
      CU_ASSERT_EQUAL (read.reports[i].rank, message.reports[i].rank);
      CU_ASSERT_EQUAL (read.reports[i].age_ms, message.reports[i].age_ms);
    }
  for (size_t i = 0; i < len; i++)
    CU_ASSERT (!waits_message_decode (&read, data, i));
  data[15] = WAITS_TOLD_MAX + 1; /* last byte of the count */
  CU_ASSERT (!waits_message_decode (&read, data, len));
  data[15] = 2;
  data[3] ^= 1;
  CU_ASSERT (!waits_message_decode (&read, data, len));
  message.count = WAITS_TOLD_MAX;
  CU_ASSERT_EQUAL (waits_message_encode (&message, data, sizeof data), WAITS_MESSAGE_MAX);
}

/* Values that don't fit are sent as ones that are refused, not as others that would be taken in. */
static void
test_values_too_large_do_not_wrap (void)
{
  static const WaitReport reports[] = {
    { .server = 11, .wait_ms = (1u << 16) + 900, .rank = RANK },
    { .server = 11, .wait_ms = 900, .rank = (1u << 4) + RANK },
    { .server = 11, .wait_ms = 900, .rank = RANK, .age_ms = (1u << 12) + 5 },
  };

  for (size_t i = 0; i < SUITE_COUNT (reports); i++)
    {
      WaitsMessage message = { .incarnation = 5, .count = 1, .reports = { reports[i] } };
      FrontWaits *waits = front_waits_new ();
      unsigned char data[WAITS_MESSAGE_MAX];
      size_t len = waits_message_encode (&message, data, sizeof data);

      CU_ASSERT (waits_message_decode (&message, data, len));
      CU_ASSERT (!front_waits_told (waits, &message.reports[0], 5, NOW));
      front_waits_free (waits);
    }
}

/* Beliefs of servers that this front doesn't know, of impossible values, or of its own are not
 * taken in; a good one beside them is. */
static void
test_bad_reports_change_nothing (void)
{
  Front *front = front_new ();
  uint64_t server = add_server (front);
  WaitsMessage message = { .incarnation = 5, .count = 4 };

  message.reports[0] = (WaitReport){ .server = 4711, .wait_ms = 900, .rank = RANK };
  message.reports[1] = (WaitReport){ .server = server, .wait_ms = UINT32_MAX, .rank = 1 };
  message.reports[2] = (WaitReport){ .server = server, .wait_ms = 900, .rank = 77 };
  message.reports[3] = (WaitReport){ .server = server, .wait_ms = 900, .age_ms = UINT32_MAX };
  CU_ASSERT (receive (front, &message));
  CU_ASSERT_EQUAL (front_waits_count (front->waits), 0);
  message.reports[3] = (WaitReport){ .server = server, .request = 3, .wait_ms = 900, .rank = RANK };
  message.incarnation = front->incarnation;
  CU_ASSERT (receive (front, &message));
  CU_ASSERT_EQUAL (front_waits_count (front->waits), 0);
  message.incarnation = 5;
  CU_ASSERT (receive (front, &message));
  CU_ASSERT_EQUAL (front_waits_count (front->waits), 1);
  CU_ASSERT (believed (front, server) > 100);
  front_free (front);
}

/* Where work is not ordered under load, messages of such fronts are known but change nothing. */
static void
test_off_takes_nothing_in (void)
{
  Front *front = front_new ();
  uint64_t server = add_server (front);
  WaitsMessage message = { .incarnation = 5, .count = 1 };

  front->settings.contention_ratio = 0;
  message.reports[0] = (WaitReport){ .server = server, .wait_ms = 900, .rank = RANK };
  CU_ASSERT (receive (front, &message));
  CU_ASSERT_EQUAL (front_waits_count (front->waits), 0);
  front_free (front);
}

/* Size: 985 fronts. A front that has something to tell all the time sends within its byte rate: in
 * ten seconds no more than the rate, a second's credit and the debt of one message to 24 fronts. */
static void
test_bytes_are_bounded (void)
{
  const double message_bytes = 24 * (WAITS_MESSAGE_MAX + WORK_HEADER_BYTES);
  Front *front = front_new ();
  FrontPeers *peers = front->peers;
  unsigned messages = 0;

  peers->count = 984;
  peers->list = memory_array (peers->count, sizeof (Peer *));
  for (unsigned i = 0; i < peers->count; i++)
    {
      peers->list[i] = memory_alloc (sizeof (Peer));
      peers->list[i]->seen_ms = NOW;
      peers->list[i]->alive_ms = 20000;
    }
  for (int64_t now_ms = NOW; now_ms < NOW + 10000; now_ms += 100)
    {
      for (uint32_t i = 1; i <= 10; i++)
        front_waits_add (
            front->waits,
            &(WaitSample){
                .server = i, .service = 7, .request = (uint32_t)now_ms + i, .wait_ms = 900 },
            now_ms);
      front_peers_send_waits (peers, now_ms);
      messages += peers->waits_sent_ms == now_ms;
    }
  CU_ASSERT (messages > 0);
  CU_ASSERT (messages * message_bytes <= 1200 * 11 + message_bytes);
  for (unsigned i = 0; i < peers->count; i++)
    free (peers->list[i]);
  free (peers->list);
  front_free (front);
}

static const SuiteCase cases[] = {
  { "only_complete_messages_are_decoded", test_only_complete_messages_are_decoded },
  { "values_too_large_do_not_wrap", test_values_too_large_do_not_wrap },
  { "bad_reports_change_nothing", test_bad_reports_change_nothing },
  { "off_takes_nothing_in", test_off_takes_nothing_in },
  { "bytes_are_bounded", test_bytes_are_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_waits_message", cases, SUITE_COUNT (cases));
}
