/** How sessions and roll-outs are told among many fronts: src/front_peers_send.c, without a
 *  network. */
#include "peers_net.h"
#include "suite.h"
#include "util_id.h"
#include "util_span.h"
#include <stdio.h>

#define SESSION_MS 9500

/* In the first hundredth of the hash range, so included in any roll-out's share. */
static uint64_t
session_of (unsigned number)
{
  return id_hash (&number, sizeof number, 1) / 10000 * 10000 + number % 100;
}

/* Distributes sessions over the fronts, which hold them on the old version. */
static unsigned
hold_sessions (Net *net, unsigned count)
{
  unsigned fronts = net->count > 0 ? net->count : 1;

  for (unsigned i = 0; i < net->count; i++)
    {
      Node *node = &net->nodes[i];

      front_rollouts_free (node->rollouts);
      node->sessions = front_sessions_new (SESSION_MS);
      node->rollouts = front_rollouts_new (node->sessions, net_domain_of (net, i));
      node->rollout = front_rollouts_get (node->rollouts, "drafts");
      node->rollout->ordered = true;
      node->rollout->state = FRONT_ROLLOUT_RUNNING;
      node->rollout->servers = 160;
      snprintf (node->rollout->base, sizeof node->rollout->base, "v1");
    }
  for (unsigned i = 0; i < count; i++)
    {
      SessionUpdate update = { .session = session_of (i) };
      Node *node = &net->nodes[i * 7 % fronts];

      front_rollouts_hold_session (node->rollouts, node->rollout, &update, NOW);
    }
  return count;
}

/* Of all pairs of a front and a held session, the share in which the front has no report of it. */
static double
share_unknown (const Net *net, unsigned count, int64_t now_ms)
{
  unsigned unknown = 0;

  for (unsigned i = 0; i < net->count; i++)
    {
      for (unsigned j = 0; j < count; j++)
        unknown += front_sessions_version (net->nodes[i].sessions, session_of (j), now_ms) == 0;
    }
  return (double)unknown / net->count / count;
}

/* 9,300 sessions continue during a roll-out at 300 fronts, 186 of them in the share that starts on
 * the new version. Four seconds after the order new sessions start there; a session of which a
 * front has no report changes its version between two of its requests. With twice that share on the
 * new version 2.5 s after the order, four to five sessions did so at low load. At most three may:
 * 0.016 of the 186, if each sends one request. */
static void
check_sessions_are_held (unsigned fronts)
{
  Net *net = net_new (fronts, 6, 10);
  unsigned count = hold_sessions (net, 186);

  for (unsigned round = 1; round <= 4000 / ROUND_MS; round++)
    net_simulate_round (net, NOW + (int64_t)round * ROUND_MS);
  CU_ASSERT (share_unknown (net, count, NOW + 4000) <= 0.016);
  printf ("unknown %f\n", share_unknown (net, count, NOW + 4000));
  for (unsigned i = 0; i < net->count; i++)
    front_sessions_free (net->nodes[i].sessions);
  net_free (net);
}

static void
test_sessions_are_held_at_300_fronts (void)
{
  check_sessions_are_held (300);
}

/* As many sessions as at 300 fronts: a larger site with the same load. */
static void
test_sessions_are_held_at_1000_fronts (void)
{
  check_sessions_are_held (1000);
}

/* More services are rolled out at once than a message has place for. Guards against messages with
 * the first two of them only: a bad version of another service would be found by each front alone.
 */
static void
test_all_rollouts_are_reported_in_turn (void)
{
  static const char *const services[] = { "drafts", "checks", "queries", "tags", "reports" };
  Net *net = net_new (1, 1, 0);
  FrontPeers *peers = &net->nodes[0].peers;
  unsigned reports[SUITE_COUNT (services)] = { 0 };
  Front front = { 0 };

  hold_sessions (net, 0);
  front.rollouts = net->nodes[0].rollouts;
  CDS_INIT_LIST_HEAD (&front.requests);
  peers->front = &front;
  for (size_t i = 0; i < SUITE_COUNT (services); i++)
    {
      FrontRollout *rollout = front_rollouts_get (net->nodes[0].rollouts, services[i]);

      rollout->ordered = true;
      rollout->state = FRONT_ROLLOUT_RUNNING;
    }
  for (unsigned round = 0; round < 10; round++)
    {
      PeerMessage message = { 0 };

      peers_rollouts_fill (peers, &message, NOW + (int64_t)round * ROUND_MS);
      CU_ASSERT_EQUAL (message.rollout_count, PEER_ROLLOUTS_MAX);
      for (uint32_t i = 0; i < message.rollout_count; i++)
        {
          for (size_t j = 0; j < SUITE_COUNT (services); j++)
            reports[j] += message.rollouts[i].service == span_hash (span_of (services[j]));
        }
    }
  for (size_t i = 0; i < SUITE_COUNT (services); i++)
    CU_ASSERT (reports[i] >= 3);
  front_sessions_free (net->nodes[0].sessions);
  net_free (net);
}

static const SuiteCase cases[] = {
  { "sessions_are_held_at_300_fronts", test_sessions_are_held_at_300_fronts },
  { "sessions_are_held_at_1000_fronts", test_sessions_are_held_at_1000_fronts },
  { "all_rollouts_are_reported_in_turn", test_all_rollouts_are_reported_in_turn },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_peers_sessions", cases, SUITE_COUNT (cases));
}
