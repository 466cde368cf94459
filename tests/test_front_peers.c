/** How fast evidence spreads among many fronts: src/front_peers_send.c, front_peers_rank.c,
 *  front_rollouts_verdict.c, without a network. */
#include "peers_net.h"
#include "suite.h"

/* Most milliseconds since the last known request on the old version: three rounds. */
#define AGE_MAX_MS 1200

static uint32_t
known_answers (const Net *net, unsigned number)
{
  const FrontRollout *rollout = net->nodes[number].rollout;
  uint32_t answers = 0;

  for (unsigned i = 0; i < rollout->domain_count; i++)
    answers += front_evidence_answers (&rollout->domains[i].evidence, EVIDENCE_NEW);
  return answers;
}

static unsigned
fronts_that_know (const Net *net, uint32_t answers)
{
  unsigned count = 0;

  for (unsigned i = 0; i < net->count; i++)
    count += known_answers (net, i) == answers;
  return count;
}

/* Number of rounds until each front knows every front's answers. */
static unsigned
rounds_until_all_know (Net *net)
{
  unsigned rounds = 0;

  for (unsigned i = 0; i < net->count; i++)
    net->nodes[i].rollout->evidence.counts[EVIDENCE_NEW][i % 4].answers = 1;
  while (fronts_that_know (net, net->count) < net->count && rounds < 100)
    {
      rounds++;
      net_simulate_round (net, NOW + (int64_t)rounds * ROUND_MS);
    }
  return rounds;
}

/* Milliseconds by which what any front knows of a request on the old version, at one of them, is
 * outdated at most. */
static int64_t
oldest_report_ms (unsigned fronts)
{
  Net *net = net_new (fronts, 6, 10);
  int64_t oldest_ms = 0;

  for (unsigned round = 1; round <= 30; round++)
    {
      int64_t now_ms = NOW + (int64_t)round * ROUND_MS;

      net->nodes[77].rollout->old_busy_ms = now_ms;
      net_simulate_round (net, now_ms);
      for (unsigned i = 0; i < net->count && round > 10; i++)
        {
          int64_t age_ms = now_ms - net->nodes[i].rollout->old_busy_ms;

          oldest_ms = age_ms > oldest_ms ? age_ms : oldest_ms;
        }
    }
  net_free (net);
  return oldest_ms;
}

/* Number of rounds until each front knows that one of them found a version bad. */
static unsigned
rounds_until_all_know_bad (unsigned fronts)
{
  Net *net = net_new (fronts, 6, 10);
  unsigned rounds = 0, known = 1;

  net->nodes[200].rollout->is_bad = true;
  while (known < net->count && rounds < 50)
    {
      rounds++;
      net_simulate_round (net, NOW + (int64_t)rounds * ROUND_MS);
      known = 0;
      for (unsigned i = 0; i < net->count; i++)
        known += net->nodes[i].rollout->is_bad;
    }
  net_free (net);
  return rounds;
}

/* A version is bad for a few requests of each of 360 fronts. If each front reported only its own
 * counts, to 7 others per round, each would know all of them after 51 rounds, and the version would
 * do harm meanwhile. Through the sums of failure domains all know all counts after 10 rounds (4 s),
 * though every tenth message is lost; the bound is that and a third. */
static void
test_evidence_reaches_360_fronts (void)
{
  Net *net = net_new (360, 6, 10);

  CU_ASSERT (rounds_until_all_know (net) <= 14);
  net_free (net);
}

/* The same bound for 3 to 85 fronts, which need 1 to 6 rounds of 200 ms. */
static void
test_evidence_reaches_fronts_of_smaller_sites (void)
{
  static const struct
  {
    unsigned fronts, domains, rounds;
  } sites[] = { { 3, 3, 2 }, { 9, 4, 4 }, { 30, 4, 4 }, { 69, 4, 7 }, { 85, 5, 8 } };

  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      Net *net = net_new (sites[i].fronts, sites[i].domains, 10);

      CU_ASSERT (rounds_until_all_know (net) <= sites[i].rounds);
      net_free (net);
    }
}

/* A front sends at most 7 messages per round, and all fronts of a failure domain together 20 to
 * other domains, however many fronts there are: traffic between domains has a cost. */
static void
test_messages_per_round_are_limited (void)
{
  static const unsigned counts[] = { 30, 100, 360 };

  for (size_t i = 0; i < SUITE_COUNT (counts); i++)
    {
      Net *net = net_new (counts[i], 4, 0);

      for (unsigned round = 1; round <= 10; round++)
        net_simulate_round (net, NOW + (int64_t)round * ROUND_MS);
      CU_ASSERT (net->sent <= counts[i] * 7 * 10);
      CU_ASSERT (net->to_other_domains <= 4 * 20 * 10);
      net_free (net);
    }
}

/* The same bounds hold for 1,000 fronts: the collectors send to their whole failure domain within
 * two rounds, whatever its size. If they sent to as many as at 360 fronts, the last known request
 * on the old version would be five rounds old, and its engines would stop under a running one. */
static void
test_reports_reach_1000_fronts_as_fast (void)
{
  Net *net = net_new (1000, 6, 10);

  CU_ASSERT (rounds_until_all_know (net) <= 14);
  net_free (net);
  CU_ASSERT (oldest_report_ms (1000) <= AGE_MAX_MS);
  CU_ASSERT (rounds_until_all_know_bad (1000) <= 3);
}

/* One of 360 fronts streams on the old version for seconds. The roll-out is reported as completed,
 * and its old engines stop, once no front has reported such a request for a while. So while the
 * request runs, what all fronts know of it must be at most three rounds old. */
static void
test_old_version_reports_are_recent (void)
{
  CU_ASSERT (oldest_report_ms (360) <= AGE_MAX_MS);
}

/* When one front finds a version bad, all others know after two rounds; the bound is one more. */
static void
test_bad_version_is_known_within_three_rounds (void)
{
  CU_ASSERT (rounds_until_all_know_bad (360) <= 3);
}

/* Two services with eight routes each are rolled out at once over three failure domains, which is
 * more than fits one packet. A message that can't be encoded would not be sent, and no front would
 * learn of any other. */
static void
test_oversized_message_is_shortened (void)
{
  unsigned char data[PEER_MESSAGE_MAX];
  PeerMessage message = { .incarnation = 1, .rollout_count = PEER_ROLLOUTS_MAX }, out;

  message.member_count = PEER_MEMBERS_MAX;
  message.death_count = PEER_DEATHS_MAX;
  for (unsigned i = 0; i < PEER_DEATHS_MAX; i++)
    message.deaths[i].count = QUARANTINE_FLIGHT_MAX;
  for (unsigned i = 0; i < PEER_ROLLOUTS_MAX; i++)
    {
      PeerRollout *rollout = &message.rollouts[i];

      rollout->session_count = PEER_SESSIONS_MAX;
      rollout->domain_count = PEER_DOMAINS_MAX;
      for (unsigned route = 0; route < EVIDENCE_ROUTES; route++)
        {
          rollout->evidence.counts[EVIDENCE_NEW][route].answers = 1;
          for (unsigned j = 0; j < PEER_DOMAINS_MAX; j++)
            rollout->domains[j].evidence.counts[EVIDENCE_OLD][route].answers = 1;
        }
    }
  CU_ASSERT (peers_encode (&message, data, sizeof data) > 0);
  CU_ASSERT (peer_message_decode (&out, data, sizeof data));
  CU_ASSERT_EQUAL (out.rollout_count, PEER_ROLLOUTS_MAX);
  CU_ASSERT (out.rollouts[0].domain_count >= 1);
  CU_ASSERT (out.rollouts[1].domain_count >= 1);
}

static const SuiteCase cases[] = {
  { "evidence_reaches_360_fronts", test_evidence_reaches_360_fronts },
  { "evidence_reaches_fronts_of_smaller_sites", test_evidence_reaches_fronts_of_smaller_sites },
  { "messages_per_round_are_limited", test_messages_per_round_are_limited },
  { "reports_reach_1000_fronts_as_fast", test_reports_reach_1000_fronts_as_fast },
  { "old_version_reports_are_recent", test_old_version_reports_are_recent },
  { "bad_version_is_known_within_three_rounds", test_bad_version_is_known_within_three_rounds },
  { "oversized_message_is_shortened", test_oversized_message_is_shortened },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_peers", cases, SUITE_COUNT (cases));
}
