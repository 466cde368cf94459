/** Parts of prompts that crash servers: src/front_parts.c, and how fast all fronts find one,
 * without a network. */
#include "front_deaths.h"
#include "front_peers_private.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOW    1000000 /* milliseconds */
#define FIRST  8u      /* places are in the lowest three bits */
#define SECOND 17u
#define THIRD  25u

static FrontParts *parts;
static Quarantine *refused;

static void
setup (void)
{
  parts = memory_alloc (sizeof *parts);
  refused = quarantine_new (&front_quarantine_settings);
}

static void
teardown (void)
{
  free (parts);
  quarantine_free (refused);
}

static bool
dies (uint64_t server, PartHash first, PartHash second, int64_t at_ms)
{
  QuarantineDeath death = { .server = server, .count = 2, .flights = { first, second } };

  return front_parts_add (parts, &death, refused, at_ms);
}

static void
begin (PartHash part, int64_t at_ms)
{
  front_parts_begun (parts, &part, 1, at_ms);
}

static void
test_parts_of_a_prompt_leave_out_the_last (void)
{
  FrontCall call = { .part_count = 3, .parts = { { .id = 5 }, { .id = 6 }, { .id = 7 } } };
  PartHash out[PROMPT_PARTS_MAX], again[PROMPT_PARTS_MAX];

  CU_ASSERT_EQUAL (front_parts_of (&call, out, PROMPT_PARTS_MAX), 2);
  CU_ASSERT (out[0] != out[1]);
  call.parts[2].id = 8;
  CU_ASSERT_EQUAL (front_parts_of (&call, again, PROMPT_PARTS_MAX), 2);
  CU_ASSERT_EQUAL (memcmp (out, again, 2 * sizeof *out), 0);
  call.part_count = 0;
  CU_ASSERT_EQUAL (front_parts_of (&call, out, PROMPT_PARTS_MAX), 0);
}

/* Guards against refusing the first part of a route's prompts, which is at each death as well. */
static void
test_crashing_part_is_told_from_a_shared_one (void)
{
  setup ();
  for (unsigned i = 1; i <= 4; i++)
    CU_ASSERT (dies (i, FIRST, SECOND, NOW + i * 100));
  begin (FIRST, NOW + 500);
  CU_ASSERT_EQUAL (front_parts_deaths (parts, FIRST), 0);
  CU_ASSERT_EQUAL (front_parts_deaths (parts, SECOND), 4);
  begin (THIRD, NOW + 600);
  begin (THIRD, NOW + 700);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 800), 0);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 1600), SECOND);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 1600), 0);
  teardown ();
}

/* The same for prompts that begin with the crashing part, and go on with a sound one. */
static void
test_crashing_first_part_is_found (void)
{
  setup ();
  for (unsigned i = 1; i <= 4; i++)
    CU_ASSERT (dies (i, FIRST, SECOND, NOW + i * 100));
  begin (SECOND, NOW + 500);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 1600), FIRST);
  teardown ();
}

/* Guards against refusing sound parts when a pool of servers ends and nothing is answered. */
static void
test_nothing_is_judged_while_nothing_is_answered (void)
{
  setup ();
  for (unsigned i = 1; i <= 18; i++)
    dies (i, FIRST, SECOND, NOW + i);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 10000), 0);
  begin (THIRD, NOW + 10000);
  begin (FIRST, NOW + 10100);
  begin (SECOND, NOW + 10200);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 10900), 0);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 12000), 0);
  teardown ();
}

/* Guards against refusing the earlier part, which other requests share, if no answer has told them
 * apart. */
static void
test_later_part_is_refused_first (void)
{
  setup ();
  for (unsigned i = 1; i <= 5; i++)
    dies (i, FIRST, SECOND, NOW + i);
  for (unsigned i = 0; i < 3; i++)
    begin (THIRD, NOW + 100);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 2000), SECOND);
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 2000), 0);
  teardown ();
}

static void
test_deaths_under_a_refused_part_accuse_no_other (void)
{
  const QuarantineRefusal refusal = { .fingerprint = SECOND, .left_ms = 60000 };

  setup ();
  dies (1, FIRST, SECOND, NOW);
  quarantine_add_refusal (refused, &refusal, NOW);
  CU_ASSERT (!dies (2, FIRST, SECOND, NOW + 10));
  CU_ASSERT_EQUAL (front_parts_judge (parts, refused, NOW + 20), 0);
  CU_ASSERT_EQUAL (front_parts_deaths (parts, FIRST), 0);
  teardown ();
}

/* Guards against a part that other fronts know to be sound, and this one, with little work, does
 * not. */
static void
test_other_fronts_clear_a_part (void)
{
  const PartCleared cleared = { .part = FIRST, .age_ms = 100 };
  PartCleared out[PARTS_REPORT_MAX];
  QuarantineDeath deaths[PARTS_REPORT_MAX];

  setup ();
  dies (1, FIRST, SECOND, NOW);
  front_parts_told_cleared (parts, &cleared, NOW + 50);
  CU_ASSERT_EQUAL (front_parts_deaths (parts, FIRST), 1);
  front_parts_told_cleared (parts, &cleared, NOW + 150);
  CU_ASSERT_EQUAL (front_parts_deaths (parts, FIRST), 0);
  CU_ASSERT (!dies (1, FIRST, SECOND, NOW + 10));
  CU_ASSERT_EQUAL (front_parts_cleared (parts, out, 0, NOW + 200), 1);
  CU_ASSERT_EQUAL (out[0].part, FIRST);
  CU_ASSERT_EQUAL (front_parts_report (parts, deaths, 0, NOW + 200), 1);
  CU_ASSERT_EQUAL (deaths[0].count, 1);
  CU_ASSERT_EQUAL (front_parts_report (parts, deaths, 0, NOW + 60000), 0);
  teardown ();
}

#define FRONTS_MAX      985
#define ROUND_MS        500
#define STEP_MS         10
#define SERVERS         40 /* that end under the part within CRASH_MS */
#define CRASH_MS        4000
#define APPLY_MS        3000 /* after the fifth death, from which all fronts refuse the part */
#define LOSS            10   /* one of so many messages is lost */
#define WAVE_WATCHED_MS 6000
#define SHARED_MS       4000 /* between answers with the shared part, at a front that gets it */
#define WRONG_MAX_MS    1000 /* for which any front refuses a sound part */

typedef struct
{
  Front front;
  FrontPeers peers;
} Node;

typedef struct
{
  unsigned count, domains, sent;
  Node nodes[FRONTS_MAX];
} Net;

static uint32_t
address_of (unsigned number)
{
  return htonl (0x0a000001u + number);
}

static Net *
net_new (unsigned count, unsigned domains)
{
  Net *net = memory_alloc (sizeof *net);

  *net = (Net){ .count = count, .domains = domains };
  for (unsigned i = 0; i < count; i++)
    {
      Node *node = &net->nodes[i];

      node->front.quarantine = quarantine_new (&front_quarantine_settings);
      node->front.parts = memory_alloc (sizeof *node->front.parts);
      node->front.rollouts = front_rollouts_new (NULL, 1 + i % domains);
      node->front.peers = &node->peers;
      node->peers.front = &node->front;
      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = 1 + i % domains;
      node->peers.round_ms = NOW - (int64_t)(id_hash (&i, sizeof i, 7) % ROUND_MS);
      for (unsigned j = 0; j < count; j++)
        peer_add (&node->peers, address_of (j), 1 + j % domains, NOW);
    }
  return net;
}

static void
net_free (Net *net)
{
  for (unsigned i = 0; i < net->count; i++)
    {
      quarantine_free (net->nodes[i].front.quarantine);
      free (net->nodes[i].front.parts);
      front_rollouts_free (net->nodes[i].front.rollouts);
      peers_clear (&net->nodes[i].peers);
    }
  free (net);
}

static void
send_messages (Net *net, unsigned from, int64_t now_ms)
{
  FrontPeers *peers = &net->nodes[from].peers;
  PeerMessage message = { 0 };
  Peer *chosen[PEERS_PER_ROUND_MAX];
  unsigned count;

  for (unsigned i = 0; i < peers->count; i++)
    peers->list[i]->seen_ms = now_ms;
  count = peers_choose_recipients (peers, chosen, now_ms);
  peers_deaths_fill (peers, &message, now_ms);
  peers_parts_fill (peers, &message, now_ms);
  for (unsigned i = 0; i < count; i++)
    {
      Front *to = &net->nodes[ntohl (chosen[i]->address.sin_addr.s_addr) - 0x0a000001u].front;

      if (++net->sent % LOSS == 0)
        continue;
      for (uint32_t j = 0; j < message.refusal_count; j++)
        front_deaths_refusal_told (to, &message.refusals[j], now_ms);
      for (uint32_t j = 0; j < message.cleared_count; j++)
        front_deaths_part_cleared (to, &message.cleared[j], now_ms);
      for (uint32_t j = 0; j < message.part_death_count; j++)
        front_deaths_parts_told (to, &message.part_deaths[j], now_ms);
    }
}

/* Each front serves a sound request now and then, at the fleet once in 1.2 s; its first part is
 * that of the crashing ones in half of them. */
static void
serve (Net *net, unsigned number, int64_t now_ms)
{
  const PartHash sound[] = { FIRST, THIRD };
  unsigned interval_ms = net->count > 100 ? 1200 : 100;
  int64_t since_ms = now_ms - NOW + (int64_t)(id_hash (&number, sizeof number, 3) % interval_ms);

  if (since_ms % interval_ms < STEP_MS)
    front_deaths_parts_begun (&net->nodes[number].front, &sound[since_ms / interval_ms % 2], 1,
                              now_ms);
}

static void
end_server (Net *net, unsigned number, int64_t now_ms)
{
  QuarantineDeath death = { .server = number + 1, .count = 2, .flights = { FIRST, SECOND } };
  Front *front = &net->nodes[id_hash (&number, sizeof number, 9) % net->count].front;

  if (!quarantine_contains (front->quarantine, SECOND, now_ms)
      && front_parts_add (front->parts, &death, front->quarantine, now_ms))
    front_peers_send_soon (front->peers);
}

/* Servers of a wave ended under requests of these fronts. */
static bool
is_hit (const Net *net, unsigned number)
{
  return number < (net->count + 1) / 2;
}

/* Each front that is hit had a request there, with the shared part and one of its own. */
static void
end_server_everywhere (Net *net, unsigned number, int64_t now_ms)
{
  for (unsigned i = 0; i < net->count; i++)
    {
      unsigned key[] = { number, i };
      Front *front = &net->nodes[i].front;
      QuarantineDeath death
          = { .server = number + 1,
              .count = 2,
              .flights = { FIRST, (id_hash (key, sizeof key, 5) & ~(uint64_t)7) | 1 } };

      if (is_hit (net, i) && front_parts_add (front->parts, &death, front->quarantine, now_ms))
        front_peers_send_soon (front->peers);
    }
}

static void
check_fronts (unsigned fronts, unsigned domains)
{
  Net *net = net_new (fronts, domains);
  int64_t fifth_ms = NOW + 4 * CRASH_MS / SERVERS;
  unsigned sending = 0, wrong = 0;

  for (int64_t now_ms = NOW; now_ms < fifth_ms + APPLY_MS; now_ms += STEP_MS)
    {
      if ((now_ms - NOW) % (CRASH_MS / SERVERS) == 0 && now_ms < NOW + CRASH_MS)
        end_server (net, (unsigned)((now_ms - NOW) * SERVERS / CRASH_MS), now_ms);
      for (unsigned i = 0; i < fronts; i++)
        {
          serve (net, i, now_ms);
          front_deaths_tick (&net->nodes[i].front, now_ms);
          if (peers_begin_round (&net->nodes[i].peers, now_ms))
            send_messages (net, i, now_ms);
        }
    }
  for (unsigned i = 0; i < fronts; i++)
    {
      Quarantine *quarantine = net->nodes[i].front.quarantine;

      sending += !quarantine_contains (quarantine, SECOND, fifth_ms + APPLY_MS);
      wrong += quarantine_contains (quarantine, FIRST, fifth_ms + APPLY_MS);
    }
  printf ("%u fronts: %u still send the part, %u refuse the shared one\n", fronts, sending, wrong);
  CU_ASSERT_EQUAL (sending, 0);
  CU_ASSERT_EQUAL (wrong, 0);
  net_free (net);
}

/* Requests with one crashing part, each at another front, end a server each 100 ms. Guards against
 * fronts that still send them to servers three seconds after the fifth death, or that refuse
 * another part of the same prompts. */
static void
test_all_fronts_find_the_part (void)
{
  check_fronts (3, 3);
  check_fronts (9, 4);
  check_fronts (70, 3);
  check_fronts (300, 6);
  check_fronts (985, 6);
}

/* Half of the fronts had requests at servers that all end at one moment, and get none with their
 * first part for some seconds. The others do. */
static void
check_wave (unsigned fronts, unsigned domains)
{
  Net *net = net_new (fronts, domains);
  const PartHash others = THIRD, shared = FIRST;
  unsigned wrong_ms = 0, wrong = 0;

  for (int64_t now_ms = NOW; now_ms < NOW + WAVE_WATCHED_MS; now_ms += STEP_MS)
    {
      if (now_ms == NOW + STEP_MS)
        for (unsigned i = 0; i < SERVERS; i++)
          end_server_everywhere (net, i, now_ms);
      wrong = 0;
      for (unsigned i = 0; i < fronts; i++)
        {
          Front *front = &net->nodes[i].front;
          bool had_work = is_hit (net, i);
          unsigned interval_ms = had_work ? ROUND_MS : SHARED_MS;
          int64_t since_ms = now_ms - NOW - (int64_t)2 * STEP_MS;

          wrong += quarantine_contains (front->quarantine, FIRST, now_ms);
          if (since_ms >= 0 && since_ms % interval_ms == 0
              && !quarantine_contains (front->quarantine, had_work ? THIRD : FIRST, now_ms))
            front_deaths_parts_begun (front, had_work ? &others : &shared, 1, now_ms);
          front_deaths_tick (front, now_ms);
          if (peers_begin_round (&net->nodes[i].peers, now_ms))
            send_messages (net, i, now_ms);
        }
      wrong_ms += wrong > 0 ? STEP_MS : 0;
    }
  printf ("%u fronts: a sound part refused for %u ms, by %u in the end\n", fronts, wrong_ms, wrong);
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT (wrong_ms <= WRONG_MAX_MS);
  net_free (net);
}

/* Guards against refusing a part that many requests share for two minutes, as they were at all of
 * many servers that ended together. */
static void
test_sound_part_is_not_refused_after_a_wave (void)
{
  check_wave (3, 3);
  check_wave (9, 4);
  check_wave (70, 3);
  check_wave (300, 6);
  check_wave (985, 6);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "parts_of_a_prompt_leave_out_the_last", test_parts_of_a_prompt_leave_out_the_last },
    { "crashing_part_is_told_from_a_shared_one", test_crashing_part_is_told_from_a_shared_one },
    { "crashing_first_part_is_found", test_crashing_first_part_is_found },
    { "nothing_is_judged_while_nothing_is_answered",
      test_nothing_is_judged_while_nothing_is_answered },
    { "later_part_is_refused_first", test_later_part_is_refused_first },
    { "deaths_under_a_refused_part_accuse_no_other",
      test_deaths_under_a_refused_part_accuse_no_other },
    { "other_fronts_clear_a_part", test_other_fronts_clear_a_part },
    { "sound_part_is_not_refused_after_a_wave", test_sound_part_is_not_refused_after_a_wave },
    { "all_fronts_find_the_part", test_all_fronts_find_the_part },
  };

  return suite_main (argc, argv, "front_parts", cases, SUITE_COUNT (cases));
}
