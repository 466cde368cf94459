/**
 * The two proofs of a grant (a read of the head row, a majority of peers), and acceptance of
 * numbers.
 */
#include "cluster_accept.h"
#include "cluster_grant.h"
#include "cluster_view.h"
#include "fake_members.h"
#include "suite.h"
#include "util_memory.h"
#include <stdlib.h>

enum
{
  A = 1,
  B,
  C,
  D,
  E,
  F,
  G,
  W,
  X,
  W_RESTARTED /**< the process that replaced W at its address */
};

static bool
has_grant (const ClusterState *s, int64_t now)
{
  ClusterGrant grant = cluster_grant (s, now);

  return cluster_grant_left (&grant, now) > 0;
}

static void
free_all (ClusterState **states, size_t count)
{
  for (size_t i = 0; i < count; i++)
    cluster_state_free (states[i]);
}

static void
a_head_read_counts_from_its_send_time (void)
{
  ClusterState *s = fake_member_new (A, 7, NULL);

  CU_ASSERT_FALSE (has_grant (s, 1000));
  cluster_state_table_read (s, 1000, 7, 7);
  ClusterGrant grant = cluster_grant (s, 3000);
  CU_ASSERT_EQUAL (grant.until, 1000 + FAKE_GRANT_MS);
  CU_ASSERT_EQUAL (grant.proof, CLUSTER_PROOF_TABLE);
  CU_ASSERT_EQUAL (grant.number, 7);
  CU_ASSERT_EQUAL (cluster_grant_left (&grant, 3000), 2000);
  CU_ASSERT_TRUE (has_grant (s, 999 + FAKE_GRANT_MS));
  CU_ASSERT_FALSE (has_grant (s, 1000 + FAKE_GRANT_MS));
  cluster_state_free (s);
}

/* A read returns head 8, but the document of 8 is not fetched yet. The read proves nothing for 7;
   once 8 is applied it proves the grant for 8, from the read's send time. */
static void
a_head_read_of_a_newer_number_counts_once_applied (void)
{
  ClusterState *s = fake_member_new (A, 7, NULL);

  cluster_state_table_read (s, 1000, 8, 7);
  CU_ASSERT_FALSE (has_grant (s, 1100));
  cluster_state_apply (s, 8);
  ClusterGrant grant = cluster_grant (s, 1200);
  CU_ASSERT_EQUAL (grant.until, 1000 + FAKE_GRANT_MS);
  CU_ASSERT_EQUAL (grant.number, 8);
  cluster_state_table_read (s, 900, 8, 7);
  CU_ASSERT_EQUAL (cluster_grant (s, 1200).until, 1000 + FAKE_GRANT_MS);
  cluster_state_free (s);
}

/* The thread that serves a gate reads the clock and waits for the lock. Meanwhile another thread
   sends a read and merges its result, so that the proof is later than the clock reading. This must
   not fail the invariant and end the process. */
static void
the_clock_may_be_read_before_the_proof (void)
{
  ClusterState *s = fake_member_new (A, 7, NULL);

  cluster_state_table_read (s, 1005, 7, 7);
  ClusterGrant grant = cluster_grant (s, 1000);
  CU_ASSERT_EQUAL (grant.until, 1000 + FAKE_GRANT_MS);
  CU_ASSERT_EQUAL (grant.proof, CLUSTER_PROOF_TABLE);
  cluster_state_free (s);
}

static void
a_majority_of_peers_is_a_proof (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *s[]
      = { fake_member_new (A, 7, &v), fake_member_new (B, 7, &v), fake_member_new (C, 7, &v) };

  CU_ASSERT_FALSE (has_grant (s[0], 1000));
  fake_exchange (s[0], s[1], 1000, 1010);
  CU_ASSERT_FALSE (has_grant (s[0], 1010));
  fake_exchange (s[0], s[2], 1200, 1210);
  ClusterGrant grant = cluster_grant (s[0], 1300);
  CU_ASSERT_EQUAL (grant.until, 1000 + FAKE_GRANT_MS);
  CU_ASSERT_EQUAL (grant.proof, CLUSTER_PROOF_PEERS);
  CU_ASSERT_EQUAL (grant.voters, 3);
  CU_ASSERT_EQUAL (grant.needed, 3);
  free_all (s, 3);
}

/* A VM that reaches neither the table service nor a majority can't know whether a withdrawal was
   accepted without it, so that it must have no grant. */
static void
a_minority_has_no_grant (void)
{
  static const uint64_t members[] = { A, B, C, D };
  ClusterView v = fake_view (1, 0, members, 4);
  ClusterState *s[] = { fake_member_new (A, 7, &v), fake_member_new (B, 7, &v) };

  for (int64_t now = 1000; now < 9000; now += 500)
    {
      fake_exchange (s[0], s[1], now, now);
      CU_ASSERT_FALSE (has_grant (s[0], now));
    }
  free_all (s, 2);
}

/* Members that have applied a newer number are not counted but don't end the grant either: a
   majority of the others still proves that nothing newer was accepted at their as_of times. */
static void
members_with_newer_numbers_do_not_end_the_grant (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *s[]
      = { fake_member_new (A, 7, &v), fake_member_new (B, 7, &v), fake_member_new (C, 7, &v),
          fake_member_new (D, 8, &v), fake_member_new (E, 8, &v) };

  for (size_t i = 1; i < 5; i++)
    fake_exchange (s[0], s[i], 1000, 1000);
  CU_ASSERT_TRUE (has_grant (s[0], 1000));
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s[0]), 8);
  cluster_state_apply (s[1], 8);
  fake_exchange (s[0], s[1], 2000, 2000);
  /* Now 8 may have been accepted, at 1000 at the earliest; B no longer supports 7. */
  CU_ASSERT_FALSE (has_grant (s[0], 2000));
  free_all (s, 5);
}

/* The accepted number is the newest one that a majority has reached or passed, even if few members
   apply exactly that number. It must not be above the head that was read with it. */
static void
acceptance_takes_the_newest_number_of_a_majority (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *a = fake_member_new (A, 12, &v);
  ClusterState *s[]
      = { fake_member_new (B, 11, &v), fake_member_new (C, 9, &v), fake_member_new (D, 3, &v) };

  for (size_t i = 0; i < 3; i++)
    fake_exchange (a, s[i], 1000, 1000);
  CU_ASSERT_EQUAL (cluster_accept_number (a, &v, 12, 2), 9);
  CU_ASSERT_EQUAL (cluster_accept_number (a, &v, 8, 2), 8);
  ClusterView none = { 0 };
  CU_ASSERT_EQUAL (cluster_accept_number (a, &none, 12, 2), 0);
  cluster_state_free (a);
  free_all (s, 3);
}

/* VMs restart while the table service is unavailable. A new process gets the number from its peers
   and a grant by a majority of the members. Once a majority has restarted no steward has a grant
   until the service is back. */
static void
no_grant_once_a_majority_has_restarted (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *s[]
      = { fake_member_new (A, 7, &v), fake_member_new (B, 7, &v), fake_member_new (C, 7, &v) };
  ClusterState *w_restarted = fake_member_new (W_RESTARTED, 7, &v);

  for (size_t i = 0; i < 3; i++)
    fake_exchange (w_restarted, s[i], 1000, 1000);
  CU_ASSERT_TRUE (has_grant (w_restarted, 1000));
  /* c restarts as well: two of the five members are left. */
  fake_exchange (w_restarted, s[0], 7000, 7000);
  fake_exchange (w_restarted, s[1], 7000, 7000);
  fake_exchange (s[0], s[1], 7000, 7000);
  fake_exchange (s[0], w_restarted, 7000, 7000);
  CU_ASSERT_FALSE (has_grant (w_restarted, 7000));
  CU_ASSERT_FALSE (has_grant (s[0], 7000));
  cluster_state_free (w_restarted);
  free_all (s, 3);
}

static const SuiteCase cases[] = {
  { "a_head_read_counts_from_its_send_time", a_head_read_counts_from_its_send_time },
  { "a_head_read_of_a_newer_number_counts_once_applied",
    a_head_read_of_a_newer_number_counts_once_applied },
  { "the_clock_may_be_read_before_the_proof", the_clock_may_be_read_before_the_proof },
  { "a_majority_of_peers_is_a_proof", a_majority_of_peers_is_a_proof },
  { "a_minority_has_no_grant", a_minority_has_no_grant },
  { "members_with_newer_numbers_do_not_end_the_grant",
    members_with_newer_numbers_do_not_end_the_grant },
  { "acceptance_takes_the_newest_number_of_a_majority",
    acceptance_takes_the_newest_number_of_a_majority },
  { "no_grant_once_a_majority_has_restarted", no_grant_once_a_majority_has_restarted },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_grant", cases, SUITE_COUNT (cases));
}
