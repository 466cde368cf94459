/** Encoding of the datagram between fronts: src/front_peer_message.c. */
#include "front_peer_message.h"
#include "suite.h"
#include "util_id.h"
#include <string.h>

static PeerMessage
full_message (void)
{
  PeerMessage message = { .incarnation = 7, .newest = { 1, 2, 3 } };

  message.service_count = 2;
  message.services[1] = 41;
  message.reach = (PeerReach){ .reached = 2, .lost = 1 };
  message.rollout_count = 1;
  message.rollouts[0].service = 99;
  message.rollouts[0].order = 12;
  message.rollouts[0].old_busy_age_ms = 4;
  message.rollouts[0].evidence.counts[EVIDENCE_OLD][3]
      = (EvidenceCount){ .answers = 20, .failed = 17 };
  message.rollouts[0].domain_count = 2;
  message.rollouts[0].domains[1].domain = 9;
  message.rollouts[0].domains[1].evidence.counts[EVIDENCE_NEW][7]
      = (EvidenceCount){ .answers = 5, .delays[EVIDENCE_DELAYS - 1] = 2 };
  message.rollouts[0].session_count = 2;
  message.rollouts[0].sessions[1] = (SessionUpdate){ .session = 5, .age_ms = 6 };
  message.death_count = 1;
  message.deaths[0].count = 3;
  message.deaths[0].flights[2] = 8;
  message.refusal_count = 2;
  message.refusals[1] = (QuarantineRefusal){ .fingerprint = 77, .left_ms = 1500 };
  message.part_death_count = 1;
  message.part_deaths[0] = (QuarantineDeath){ .server = 3, .count = 2, .flights = { 4, 5 } };
  message.cleared_count = 2;
  message.cleared[1] = (PartCleared){ .part = 6, .age_ms = 70 };
  message.return_count = 2;
  message.returns[1] = (PeerReturn){ .domain = 9, .age_ms = 250, .version = 12 };
  message.member_count = 2;
  message.members[1] = (PeerMember){
    .ip = 0x0a000001, .domain = 3, .age_ms = 40, .reach = { .reached = 129, .lost = 6 }
  };
  return message;
}

static void
test_message_survives_round_trip (void)
{
  PeerMessage in = full_message (), out;
  unsigned char data[PEER_MESSAGE_MAX], again[PEER_MESSAGE_MAX];
  size_t len = peer_message_encode (&in, data, sizeof data);

  CU_ASSERT (len > 0);
  CU_ASSERT (peer_message_decode (&out, data, len));
  CU_ASSERT_EQUAL (out.incarnation, 7);
  CU_ASSERT_EQUAL (out.newest[2], 3);
  CU_ASSERT_EQUAL (out.rollout_count, 1);
  CU_ASSERT_EQUAL (out.rollouts[0].service, 99);
  CU_ASSERT_EQUAL (out.rollouts[0].order, 12);
  CU_ASSERT_EQUAL (out.rollouts[0].old_busy_age_ms, 4);
  CU_ASSERT_EQUAL (out.rollouts[0].domain_count, 2);
  CU_ASSERT_EQUAL (out.rollouts[0].domains[1].domain, 9);
  CU_ASSERT_EQUAL (
      out.rollouts[0].domains[1].evidence.counts[EVIDENCE_NEW][7].delays[EVIDENCE_DELAYS - 1], 2);
  CU_ASSERT_EQUAL (out.rollouts[0].evidence.counts[EVIDENCE_OLD][3].failed, 17);
  CU_ASSERT_EQUAL (out.rollouts[0].session_count, 2);
  CU_ASSERT_EQUAL (out.rollouts[0].sessions[1].session, 5);
  CU_ASSERT_EQUAL (out.rollouts[0].sessions[1].age_ms, 6);
  CU_ASSERT_EQUAL (out.death_count, 1);
  CU_ASSERT_EQUAL (out.deaths[0].count, 3);
  CU_ASSERT_EQUAL (out.deaths[0].flights[2], 8);
  CU_ASSERT_EQUAL (out.refusal_count, 2);
  CU_ASSERT_EQUAL (out.refusals[1].fingerprint, 77);
  CU_ASSERT_EQUAL (out.refusals[1].left_ms, 1500);
  CU_ASSERT_EQUAL (out.return_count, 2);
  CU_ASSERT_EQUAL (out.returns[1].domain, 9);
  CU_ASSERT_EQUAL (out.returns[1].age_ms, 250);
  CU_ASSERT_EQUAL (out.returns[1].version, 12);
  CU_ASSERT_EQUAL (out.member_count, 2);
  CU_ASSERT_EQUAL (out.members[1].ip, 0x0a000001);
  CU_ASSERT_EQUAL (out.members[1].domain, 3);
  CU_ASSERT_EQUAL (out.members[1].age_ms, 40);
  CU_ASSERT_EQUAL (peer_message_encode (&out, again, sizeof again), len);
  CU_ASSERT_EQUAL (memcmp (data, again, len), 0);
}

static void
test_reach_survives_round_trip (void)
{
  PeerMessage in = full_message (), out;
  unsigned char data[PEER_MESSAGE_MAX];
  size_t len;

  in.members[0].age_ms = PEER_AGE_MAX_MS + 1;
  len = peer_message_encode (&in, data, sizeof data);
  CU_ASSERT (peer_message_decode (&out, data, len));
  CU_ASSERT_EQUAL (out.service_count, 2);
  CU_ASSERT_EQUAL (out.services[1], 41);
  CU_ASSERT_EQUAL (out.reach.reached, 2);
  CU_ASSERT_EQUAL (out.reach.lost, 1);
  CU_ASSERT_EQUAL (out.members[1].reach.reached, 129);
  CU_ASSERT_EQUAL (out.members[1].reach.lost, 6);
  CU_ASSERT_EQUAL (out.members[0].age_ms, PEER_AGE_MAX_MS);
}

static void
test_parts_survive_round_trip (void)
{
  PeerMessage in = full_message (), out;
  unsigned char data[PEER_MESSAGE_MAX];
  size_t len = peer_message_encode (&in, data, sizeof data);

  CU_ASSERT (peer_message_decode (&out, data, len));
  CU_ASSERT_EQUAL (out.part_death_count, 1);
  CU_ASSERT_EQUAL (out.part_deaths[0].server, 3);
  CU_ASSERT_EQUAL (out.part_deaths[0].count, 2);
  CU_ASSERT_EQUAL (out.part_deaths[0].flights[1], 5);
  CU_ASSERT_EQUAL (out.cleared_count, 2);
  CU_ASSERT_EQUAL (out.cleared[1].part, 6);
  CU_ASSERT_EQUAL (out.cleared[1].age_ms, 70);
}

static void
test_too_small_buffer_is_reported (void)
{
  PeerMessage in = full_message ();
  unsigned char data[64];

  CU_ASSERT_EQUAL (peer_message_encode (&in, data, sizeof data), 0);
}

/* Stray datagrams, truncated ones and those of another release must be rejected, without writing
 * beyond the arrays. */
static void
test_malformed_messages_are_rejected (void)
{
  PeerMessage in = full_message (), out;
  unsigned char data[PEER_MESSAGE_MAX], copy[PEER_MESSAGE_MAX];
  size_t len = peer_message_encode (&in, data, sizeof data);
  uint64_t state = 1;

  CU_ASSERT (len > 0);
  if (len == 0)
    return;
  for (size_t cut = 0; cut < len; cut++)
    CU_ASSERT (!peer_message_decode (&out, data, cut));
  for (unsigned i = 0; i < 20000; i++)
    {
      memcpy (copy, data, len);
      state = id_hash (&i, sizeof i, state);
      copy[state % len] = (unsigned char)(state >> 32);
      if (!peer_message_decode (&out, copy, len))
        continue;
      CU_ASSERT (out.rollout_count <= PEER_ROLLOUTS_MAX);
      CU_ASSERT (out.rollouts[0].domain_count <= PEER_DOMAINS_MAX);
      CU_ASSERT (out.death_count <= PEER_DEATHS_MAX);
      CU_ASSERT (out.refusal_count <= PEER_REFUSALS_MAX);
      CU_ASSERT (out.return_count <= PEER_RETURNS_MAX);
      CU_ASSERT (out.member_count <= PEER_MEMBERS_MAX);
      CU_ASSERT (out.service_count <= PEER_SERVICES_MAX);
      CU_ASSERT (out.part_death_count <= PARTS_REPORT_MAX);
      CU_ASSERT (out.cleared_count <= PARTS_REPORT_MAX);
    }
  data[0] ^= 1;
  CU_ASSERT (!peer_message_decode (&out, data, len));
}

static const SuiteCase cases[] = {
  { "message_survives_round_trip", test_message_survives_round_trip },
  { "reach_survives_round_trip", test_reach_survives_round_trip },
  { "parts_survive_round_trip", test_parts_survive_round_trip },
  { "too_small_buffer_is_reported", test_too_small_buffer_is_reported },
  { "malformed_messages_are_rejected", test_malformed_messages_are_rejected },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_peer_message", cases, SUITE_COUNT (cases));
}
