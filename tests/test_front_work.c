/** Reading that other fronts tell of: src/front_others.c, front_work_message.c, front_pick.c. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_pick.h"
#include "front_work_message.h"
#include "suite.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NOW 100000

static void
test_reading_drains (void)
{
  FrontOthers others = { 0 };

  CU_ASSERT_EQUAL (front_others_read_ms (&others, NOW), 0);
  front_others_add (&others, 300, 0, NOW);
  front_others_add (&others, 200, 0, NOW + 100);
  CU_ASSERT_DOUBLE_EQUAL (front_others_read_ms (&others, NOW + 100), 400, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (front_others_read_ms (&others, NOW + 450), 50, 1e-9);
  CU_ASSERT_EQUAL (front_others_read_ms (&others, NOW + 1000), 0);
  front_others_add (&others, 10, 0, NOW + 1000);
  CU_ASSERT_DOUBLE_EQUAL (front_others_read_ms (&others, NOW + 1000), 10, 1e-9);
}

/* A front that died told of its requests and never of their end. */
static void
test_running_fades (void)
{
  FrontOthers others = { 0 };

  front_others_add (&others, 0, 8, NOW);
  CU_ASSERT_DOUBLE_EQUAL (front_others_running (&others, NOW), 8, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (front_others_running (&others, NOW + 2000), 4, 1e-9);
  CU_ASSERT (front_others_running (&others, NOW + 20000) < 0.01);
}

/* Nonsense adds nothing, and a huge figure no more than any server can have in front of it. */
static void
test_bounds (void)
{
  static const double odd[] = { -1, 0, NAN, -INFINITY };
  FrontOthers others = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (odd); i++)
    front_others_add (&others, odd[i], odd[i], NOW);
  CU_ASSERT_EQUAL (front_others_read_ms (&others, NOW), 0);
  CU_ASSERT_EQUAL (front_others_running (&others, NOW), 0);
  front_others_add (&others, 4e9, 4e9, NOW);
  CU_ASSERT (front_others_read_ms (&others, NOW) <= 10000);
  CU_ASSERT (front_others_running (&others, NOW) <= 1000);
}

static void
test_message (void)
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
  data[15] = WORK_REPORTS_MAX + 1; /* the count's last byte */
  CU_ASSERT (!work_message_decode (&read, data, len));
  message.count = WORK_REPORTS_MAX;
  CU_ASSERT (work_message_encode (&message, data, sizeof data) <= WORK_MESSAGE_MAX);
}

/* What callers would see: streams that stand still for two seconds. Two fronts get a prompt of
 * 20,000 tokens for the largest model within 50 ms; each knows only its own work and sends it to
 * the server that both like best, where one is read behind the other. Told of the first, the second
 * front takes the next server; once the first prompt is read, the best one again. A front that is
 * cut off from this news decides as it would alone. */
static void
test_two_long_prompts (void)
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
  front_others_add (&first->others, 600, 0, NOW);
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW + 50).server->entry.id, "beside");
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW + 595).server->entry.id, "near");
  front_servers_free (servers);
}

/* The largest model's streams slow down all tokens of their server: another front has ten of them
 * at the server that we like best, none at the next one. Without the share of the model ten streams
 * of the smallest would weigh the same. */
static void
test_streams_of_the_largest_model (void)
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
  front_others_add (&near->others, 0, 10 * front_speeds_share (&small), NOW);
  CU_ASSERT_STRING_EQUAL (front_pick (servers, &query, NOW).server->entry.id, "s0");
  front_others_add (&near->others, 0, 10 * front_speeds_share (&large), NOW);
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

/* Load: the target's largest site, 60 fronts in a failure domain, each with 28 requests a second
 * for ten seconds to 24 servers. Bytes for notes stay at 8,000 a second, and what couldn't be told
 * at once is told later: at each server but for its last second all reading was told. */
static void
test_bytes_are_bounded (void)
{
  enum
  {
    SERVERS = 24,
    SECONDS = 10,
    REQUESTS_A_S = 28,
    READ_MS = 60,
    MESSAGE_BYTES = 60,
  };
  FrontSessions *sessions = front_sessions_new (5000);
  Front front = { .incarnation = 1, .rollouts = front_rollouts_new (sessions, 1) };
  FrontPeers *peers = memory_alloc (sizeof *peers);
  FrontServer *servers = memory_alloc (SERVERS * sizeof *servers);
  uint64_t before = messages_sent (), bytes;
  double told = 0, untold = 0;

  peers->front = &front;
  peers->fd = -1;
  peers->own_domain = 1;
  peers->count = 60;
  for (unsigned i = 0; i < peers->count; i++)
    peers->list[i] = (Peer){ .heard_ms = NOW, .alive_ms = 60000, .domain = 1 };
  for (unsigned i = 0; i < SECONDS * REQUESTS_A_S; i++)
    {
      FrontServer *server = &servers[i % SERVERS];

      front_peers_send_work (peers, server, READ_MS, 1, NOW + i * 1000 / REQUESTS_A_S);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    untold += servers[i].untold_ms;
  told = SECONDS * REQUESTS_A_S * READ_MS - untold;
  bytes = (messages_sent () - before) * MESSAGE_BYTES;
  CU_ASSERT (bytes > 0);
  CU_ASSERT (bytes <= 8000 * (SECONDS + 1) + 24 * MESSAGE_BYTES);
  CU_ASSERT (told > 0.5 * SECONDS * REQUESTS_A_S * READ_MS);
  free (servers);
  free (peers);
  front_rollouts_free (front.rollouts);
  front_sessions_free (sessions);
}

static const SuiteCase cases[] = {
  { "reading_drains", test_reading_drains },
  { "running_fades", test_running_fades },
  { "bounds", test_bounds },
  { "message", test_message },
  { "two_long_prompts", test_two_long_prompts },
  { "streams_of_the_largest_model", test_streams_of_the_largest_model },
  { "bytes_are_bounded", test_bytes_are_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_work", cases, SUITE_COUNT (cases));
}
