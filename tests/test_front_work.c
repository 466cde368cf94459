/** Load reported by other fronts: src/front_peer_load.c, front_work_message.c, front_pick.c. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_pick.h"
#include "front_work_message.h"
#include "suite.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NOW 100000 /* milliseconds */

static void
test_pending_reading_drains (void)
{
  FrontPeerLoad peer_load = { 0 };

  CU_ASSERT_EQUAL (front_peer_load_read_ms (&peer_load, NOW), 0);
  front_peer_load_add (&peer_load, 300, 0, NOW);
  front_peer_load_add (&peer_load, 200, 0, NOW + 100);
  CU_ASSERT_DOUBLE_EQUAL (front_peer_load_read_ms (&peer_load, NOW + 100), 400, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (front_peer_load_read_ms (&peer_load, NOW + 450), 50, 1e-9);
  CU_ASSERT_EQUAL (front_peer_load_read_ms (&peer_load, NOW + 1000), 0);
  front_peer_load_add (&peer_load, 10, 0, NOW + 1000);
  CU_ASSERT_DOUBLE_EQUAL (front_peer_load_read_ms (&peer_load, NOW + 1000), 10, 1e-9);
}

/* A front that died has reported its requests, but never their end. */
static void
test_running_requests_decay (void)
{
  FrontPeerLoad peer_load = { 0 };

  front_peer_load_add (&peer_load, 0, 8, NOW);
  CU_ASSERT_DOUBLE_EQUAL (front_peer_load_running (&peer_load, NOW), 8, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (front_peer_load_running (&peer_load, NOW + 2000), 4, 1e-9);
  CU_ASSERT (front_peer_load_running (&peer_load, NOW + 20000) < 0.01);
}

/* Invalid values add nothing, and a huge one no more than any server can have queued. */
static void
test_invalid_load_is_clamped (void)
{
  static const double odd[] = { -1, 0, NAN, -INFINITY };
  FrontPeerLoad peer_load = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (odd); i++)
    front_peer_load_add (&peer_load, odd[i], odd[i], NOW);
  CU_ASSERT_EQUAL (front_peer_load_read_ms (&peer_load, NOW), 0);
  CU_ASSERT_EQUAL (front_peer_load_running (&peer_load, NOW), 0);
  front_peer_load_add (&peer_load, 4e9, 4e9, NOW);
  CU_ASSERT (front_peer_load_read_ms (&peer_load, NOW) <= 10000);
  CU_ASSERT (front_peer_load_running (&peer_load, NOW) <= 1000);
}

static void
test_only_complete_messages_are_decoded (void)
{
  WorkMessage message
      = { .incarnation = 5, .count = 2, .reports = { { 11, 250, 300 }, { 12, 30, 5 } } };
  WorkMessage read;
  unsigned char data[WORK_MESSAGE_MAX];
  size_t len = work_message_encode (&message, data, sizeof data);

  CU_ASSERT (len > 0);
  CU_ASSERT (work_message_decode (&read, data, len));
  CU_ASSERT_EQUAL (read.count, 2);
  CU_ASSERT_EQUAL (read.reports[1].server, 12);
  CU_ASSERT_EQUAL (read.reports[1].read_ms, 30);
  CU_ASSERT_EQUAL (read.reports[1].running, 5);
  for (size_t i = 0; i < len; i++)
    CU_ASSERT (!work_message_decode (&read, data, i));
  data[15] = WORK_REPORTS_MAX + 1; /* last byte of the count */
  CU_ASSERT (!work_message_decode (&read, data, len));
  message.count = WORK_REPORTS_MAX;
  CU_ASSERT (work_message_encode (&message, data, sizeof data) <= WORK_MESSAGE_MAX);
}

/* Two fronts get a prompt of 20,000 tokens for the largest model within 50 ms. If each knew only
 * the load that it causes itself, both would send it to the same server, which reads one prompt
 * after the other, and callers would see streams stall for two seconds. After the first front's
 * report the second must choose the next server; once the first prompt is read, the best one again.
 * A front that gets no reports chooses by its own load alone. */
static void
test_second_long_prompt_goes_elsewhere (void)
{
  FrontServers *servers = front_servers_new ("here");
  static const char *const ids[] = { "near", "beside" };
  FrontCall call = { .prompt_tokens = 20000 };
  PickQuery query = {
    .service = "drafts",
    .call = &call,
    .read_time = { .ms_per_token = 0.03 },
    .slots = 8,
    .is_model = true,
    .reuse_window_ms = 6000,
  };
  FrontServer *first;

  for (unsigned i = 0; i < SUITE_COUNT (ids); i++)
    {
      ServerEntry entry = { .service = "drafts", .address = "10.0.0.1:80", .version = "v1" };
      bool changed;

      snprintf (entry.id, sizeof entry.id, "%s", ids[i]);
      snprintf (entry.failure_domain, sizeof entry.failure_domain, "%s", i == 0 ? "here" : "there");
      CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
    }
  first = front_pick (servers, &query, NOW).server;
  CU_ASSERT_STRING_EQUAL (first->entry.id, "near");
  front_peer_load_add (&first->peer_load, 600, 0, NOW);
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW + 50).server->entry.id, "beside");
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW + 595).server->entry.id, "near");
  front_servers_free (servers);
}

/* The largest model's streams slow down all tokens of their server. Another front has ten of them
 * at the server that this front prefers and none at the next one. Without the weight of the model,
 * ten streams of the smallest would count as much. */
static void
test_running_requests_weighted_by_model (void)
{
  FrontServers *servers = front_servers_new ("here");
  ReadTime small = front_speeds_prior (0, 3), large = front_speeds_prior (2, 3);
  FrontCall call = { .prompt_tokens = 500 };
  PickQuery query
      = { .service = "drafts", .call = &call, .is_model = true, .reuse_window_ms = 6000 };
  FrontServer *near;

  for (unsigned i = 0; i < 2; i++)
    {
      ServerEntry entry = { .service = "drafts", .address = "10.0.0.1:80", .version = "v1" };
      bool changed;

      snprintf (entry.id, sizeof entry.id, "s%u", i);
      snprintf (entry.failure_domain, sizeof entry.failure_domain, "%s", i == 0 ? "here" : "there");
      CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
    }
  near = front_servers_find (servers, "s0");
  front_peer_load_add (&near->peer_load, 0, 10 * front_speeds_weight (&small), NOW);
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW).server->entry.id, "s0");
  front_peer_load_add (&near->peer_load, 0, 10 * front_speeds_weight (&large), NOW);
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW).server->entry.id, "s1");
  front_servers_free (servers);
}

static uint64_t
messages_sent (void)
{
  static const char name[] = "lovage_front_work_messages_total ";
  Buffer text = { 0 };
  const char *at;
  uint64_t count;

  front_counter_metrics (&text);
  at = strstr (text.data, name);
  while (at && at[-1] != '\n')
    at = strstr (at + 1, name);
  count = at ? strtoull (at + strlen (name), NULL, 10) : 0;
  buffer_free (&text);
  return count;
}

/* The largest planned site has 60 fronts in a failure domain, each with 28 requests per second to
 * 24 servers. In ten seconds of this load, a front's work messages must stay within 8,000 bytes per
 * second. What can't be reported at once is reported later; more than half of the reading time must
 * be reported within the ten seconds. */
static void
test_message_rate_is_bounded (void)
{
  enum
  {
    SERVERS = 24,
    SECONDS = 10,
    REQUESTS_PER_S = 28,
    READ_MS = 60,
    MESSAGE_BYTES = 60,
  };
  FrontSessions *sessions = front_sessions_new (5000);
  Front front = { .incarnation = 1, .rollouts = front_rollouts_new (sessions, 1) };
  FrontPeers *peers = memory_alloc (sizeof *peers);
  FrontServer *servers = memory_alloc (SERVERS * sizeof *servers);
  uint64_t before = messages_sent (), bytes;
  double reported = 0, unreported = 0;

  peers->front = &front;
  peers->fd = -1;
  peers->own_domain = 1;
  for (unsigned i = 1; i <= 60; i++)
    {
      Peer *peer = peer_add (peers, i, 1, NOW);

      peer->seen_ms = NOW;
      peer->alive_ms = 60000;
    }
  for (unsigned i = 0; i < SECONDS * REQUESTS_PER_S; i++)
    {
      FrontServer *server = &servers[i % SERVERS];

      front_peers_send_work (peers, server, READ_MS, 1, NOW + i * 1000 / REQUESTS_PER_S);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    unreported += servers[i].unreported_ms;
  reported = SECONDS * REQUESTS_PER_S * READ_MS - unreported;
  bytes = (messages_sent () - before) * MESSAGE_BYTES;
  CU_ASSERT (bytes > 0);
  CU_ASSERT (bytes <= 8000 * (SECONDS + 1) + 24 * MESSAGE_BYTES);
  CU_ASSERT (reported > 0.5 * SECONDS * REQUESTS_PER_S * READ_MS);
  free (servers);
  peers_clear (peers);
  free (peers);
  front_rollouts_free (front.rollouts);
  front_sessions_free (sessions);
}

static const SuiteCase cases[] = {
  { "pending_reading_drains", test_pending_reading_drains },
  { "running_requests_decay", test_running_requests_decay },
  { "invalid_load_is_clamped", test_invalid_load_is_clamped },
  { "only_complete_messages_are_decoded", test_only_complete_messages_are_decoded },
  { "second_long_prompt_goes_elsewhere", test_second_long_prompt_goes_elsewhere },
  { "running_requests_weighted_by_model", test_running_requests_weighted_by_model },
  { "message_rate_is_bounded", test_message_rate_is_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_work", cases, SUITE_COUNT (cases));
}
