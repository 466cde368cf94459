/**
 * Safety of withdrawals: grant_ms after a patch of the configuration is accepted, no steward lets
 * new work start on an earlier configuration number. Each test guards against a way in which the
 * protocol could break this.
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

/* w acknowledges patch 8 and is replaced; the new process at its address gets number 7 from
   {c, d, x}. If it voted in place of w, it would support grants on 7 while a accepts 8 by the
   majority {a, w, x}. */
static void
a_replaced_member_has_no_vote (void)
{
  static const uint64_t members[] = { A, W, X, C, D };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *a = fake_member_new (A, 8, &v);
  ClusterState *w = fake_member_new (W, 8, &v);
  ClusterState *x = fake_member_new (X, 7, &v);
  ClusterState *c = fake_member_new (C, 7, &v);
  ClusterState *d = fake_member_new (D, 7, &v);
  size_t needed;

  fake_exchange (a, w, 1000, 1000);
  ClusterState *w_restarted = fake_member_new (W_RESTARTED, 7, &v);
  fake_exchange (w_restarted, c, 1100, 1100);
  fake_exchange (w_restarted, d, 1100, 1100);
  CU_ASSERT_FALSE (has_grant (w_restarted, 1100));
  fake_exchange (w_restarted, x, 1100, 1100);
  /* Three members support it; its own vote is not needed. */
  CU_ASSERT_TRUE (has_grant (w_restarted, 1100));
  cluster_state_apply (x, 8);
  fake_exchange (a, x, 2000, 2000);
  CU_ASSERT_EQUAL (cluster_accept_count (a, &v, 8, &needed), 3);
  CU_ASSERT_EQUAL (cluster_accept_number (a, &v, 8, 7), 8);
  /* 8 is accepted at 2000; no grant on 7 may last beyond 2000 + grant_ms. c, d and the process that
     replaced w continue to exchange heartbeats. */
  for (int64_t now = 2000; now <= 2000 + FAKE_GRANT_MS; now += 500)
    {
      fake_exchange (c, d, now, now);
      fake_exchange (c, w_restarted, now, now);
      fake_exchange (w_restarted, c, now, now);
      fake_exchange (w_restarted, d, now, now);
    }
  CU_ASSERT_FALSE (has_grant (c, 2000 + FAKE_GRANT_MS));
  CU_ASSERT_FALSE (has_grant (w_restarted, 2000 + FAKE_GRANT_MS));
  free_all ((ClusterState *[]){ a, w, x, c, d, w_restarted }, 6);
}

/* {c, d, e}, a majority of the old five, are partitioned off from the table service. The others are
   replaced and more members join. The new members could accept a withdrawal without c, d and e,
   unless a majority of the old five must have seen the new view before. */
static void
previous_members_establish_a_view (void)
{
  static const uint64_t old_members[] = { A, B, C, D, E };
  static const uint64_t new_members[] = { F, G, C, D, E, W, X };
  ClusterView v = fake_view (1, 0, old_members, 5);
  ClusterView pending = fake_pending_view (2, 7, new_members, 7, old_members, 5);
  ClusterState *f = fake_member_new (F, 8, &pending);
  ClusterState *c = fake_member_new (C, 7, &v);
  ClusterState *d = fake_member_new (D, 7, &v);
  ClusterState *e = fake_member_new (E, 7, &v);
  ClusterView out;
  size_t needed;

  /* a and b are removed, which counts as confirmation; c, d, e have not seen the view. */
  CU_ASSERT_EQUAL (cluster_view_confirmed (&pending, f, &needed), 2);
  CU_ASSERT_EQUAL (needed, 3);
  CU_ASSERT_FALSE (cluster_view_establish (&pending, f, 8, &out));
  fake_exchange (c, d, 1000, 1000);
  fake_exchange (c, e, 1000, 1000);
  CU_ASSERT_TRUE (has_grant (c, 1000));
  /* d sees it: from now on the view can be established, and d no longer supports c's grant. */
  fake_exchange (d, f, 1500, 1500);
  fake_exchange (f, d, 1500, 1500);
  CU_ASSERT_EQUAL (cluster_view_confirmed (&pending, f, &needed), 3);
  CU_ASSERT_TRUE (cluster_view_establish (&pending, f, 8, &out));
  CU_ASSERT_TRUE (out.established);
  CU_ASSERT_EQUAL (out.number, 3);
  fake_exchange (c, d, 2000, 2000);
  fake_exchange (c, e, 2000, 2000);
  CU_ASSERT_FALSE (has_grant (c, 2000));
  free_all ((ClusterState *[]){ f, c, d, e }, 4);
}

/* A pending view is changed before it is established. A member that has seen only its first version
   may support a grant that counts the members of that version, so it must not confirm the
   second. */
static void
a_changed_pending_view_needs_new_confirmations (void)
{
  static const uint64_t old_members[] = { A, B, C };
  static const uint64_t first_members[] = { A, C, D };
  static const uint64_t second_members[] = { A, C, D, E, F, G };
  ClusterView first = fake_pending_view (2, 7, first_members, 3, old_members, 3);
  ClusterView second = fake_pending_view (3, 7, second_members, 6, old_members, 3);
  ClusterState *g = fake_member_new (G, 7, &second);
  ClusterHeartbeat *heartbeat = memory_alloc (sizeof *heartbeat);
  ClusterView out;

  /* Of the three previous members b is removed in both versions, which counts; a or c must have
     seen the second version. */
  heartbeat->number = 7;
  heartbeat->incarnation = A;
  heartbeat->view = 2;
  cluster_state_handle_answer (g, heartbeat, 1000);
  CU_ASSERT_FALSE (cluster_view_establish (&second, g, 7, &out));
  /* Conversely, a supports c's grant under the first version until it has seen the second. */
  ClusterState *c = fake_member_new (C, 7, &first);
  ClusterState *a = fake_member_new (A, 7, &first);
  fake_exchange (c, a, 1500, 1500);
  CU_ASSERT_TRUE (has_grant (c, 1500));
  fake_exchange (a, g, 1600, 1600);
  fake_exchange (c, a, 1700, 1700);
  CU_ASSERT_FALSE (has_grant (c, 1700));
  fake_exchange (g, a, 1800, 1800);
  CU_ASSERT_TRUE (cluster_view_establish (&second, g, 7, &out));
  free (heartbeat);
  free_all ((ClusterState *[]){ a, c, g }, 3);
}

/* Under a pending view the previous members still accept numbers, and the new members may do so at
   any time: a majority of only one of the two sets must give no grant. */
static void
a_pending_view_needs_both_majorities (void)
{
  static const uint64_t old_members[] = { A, B, C };
  static const uint64_t new_members[] = { A, D, E, F, G };
  ClusterView v = fake_pending_view (2, 7, new_members, 5, old_members, 3);
  ClusterState *a = fake_member_new (A, 7, &v);
  ClusterState *b = fake_member_new (B, 7, &v);
  ClusterState *d = fake_member_new (D, 7, &v);
  ClusterState *e = fake_member_new (E, 7, &v);

  /* d, e, a: a majority of the five, but only a of the three. */
  fake_exchange (d, e, 900, 900);
  fake_exchange (d, a, 900, 900);
  CU_ASSERT_FALSE (has_grant (d, 900));
  /* a, b: a majority of the three, but only a of the five. */
  fake_exchange (a, b, 1000, 1000);
  CU_ASSERT_FALSE (has_grant (a, 1000));
  fake_exchange (a, e, 1100, 1100);
  CU_ASSERT_FALSE (has_grant (a, 1100));
  fake_exchange (a, d, 1200, 1200);
  CU_ASSERT_EQUAL (cluster_grant (a, 1200).until, 1000 + FAKE_GRANT_MS);
  free_all ((ClusterState *[]){ a, b, d, e }, 4);
}

/* Patch 8 is accepted by {a, b, c}, which then die and are removed from the view. {d, e} are left,
   both at 7. They are all members of the new view, and would continue with a withdrawn version if
   they could adopt that view before they have applied its head number, the newest durable one when
   the view was written. */
static void
a_smaller_view_requires_its_head_number (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  static const uint64_t dead[] = { A, B, C };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *d = fake_member_new (D, 7, &v);
  ClusterState *e = fake_member_new (E, 7, &v);
  ClusterView pending;
  ClusterView settled;

  CU_ASSERT_TRUE (cluster_view_remove (&v, dead, 3, 8, &pending));
  CU_ASSERT_TRUE (cluster_view_establish (&pending, d, 8, &settled));
  CU_ASSERT_EQUAL (settled.count, 2);
  CU_ASSERT_EQUAL (settled.head, 8);
  CU_ASSERT_FALSE (cluster_state_adopt_view (d, &settled));
  CU_ASSERT_FALSE (cluster_state_adopt_view (e, &settled));
  for (int64_t now = 1000; now < 3000; now += 500)
    {
      fake_exchange (d, e, now, now);
      fake_exchange (e, d, now, now);
      CU_ASSERT_FALSE (has_grant (d, now));
      CU_ASSERT_FALSE (has_grant (e, now));
    }
  cluster_state_apply (d, 8);
  cluster_state_apply (e, 8);
  CU_ASSERT_TRUE (cluster_state_adopt_view (d, &settled));
  CU_ASSERT_TRUE (cluster_state_adopt_view (e, &settled));
  fake_exchange (d, e, 4000, 4000);
  CU_ASSERT_TRUE (has_grant (d, 4000));
  free_all ((ClusterState *[]){ d, e }, 2);
}

/* The steward that wrote patch 8 dies before the patch is accepted. Any other steward that has seen
   a majority apply it must be able to accept it; a second attempt has nothing to do. */
static void
any_steward_can_accept_a_durable_number (void)
{
  static const uint64_t members[] = { A, B, C };
  ClusterView v = fake_view (1, 0, members, 3);
  ClusterState *b = fake_member_new (B, 8, &v);
  ClusterState *c = fake_member_new (C, 7, &v);
  size_t needed;

  CU_ASSERT_EQUAL (cluster_accept_number (b, &v, 8, 7), 0);
  fake_exchange (b, c, 1000, 1000);
  CU_ASSERT_EQUAL (cluster_accept_number (b, &v, 8, 7), 0);
  CU_ASSERT_EQUAL (cluster_accept_count (b, &v, 8, &needed), 1);
  cluster_state_apply (c, 8);
  fake_exchange (b, c, 2000, 2000);
  CU_ASSERT_EQUAL (cluster_accept_number (b, &v, 8, 7), 8);
  CU_ASSERT_EQUAL (cluster_accept_number (b, &v, 8, 8), 0);
  free_all ((ClusterState *[]){ b, c }, 2);
}

/* A partition separates four members with the table service from five without. The four apply new
   numbers and get grants by reading the head row, but can't accept a number; the five get grants by
   their majority. */
static void
grants_of_a_partitioned_side_end_after_acceptance (void)
{
  static const uint64_t members[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  ClusterView v = fake_view (1, 0, members, 9);
  ClusterState *s[9];

  for (size_t i = 0; i < 9; i++)
    s[i] = fake_member_new (members[i], 7, &v);
  for (size_t i = 0; i < 4; i++)
    {
      cluster_state_apply (s[i], 8);
      cluster_state_table_read (s[i], 1000, 8, 7);
    }
  for (size_t i = 0; i < 9; i++)
    for (size_t j = 0; j < 9; j++)
      if (i != j && (i < 4) == (j < 4))
        fake_exchange (s[i], s[j], 1000, 1000);
  for (size_t i = 0; i < 9; i++)
    CU_ASSERT_TRUE (has_grant (s[i], 1500));
  CU_ASSERT_EQUAL (cluster_grant (s[0], 1500).proof, CLUSTER_PROOF_TABLE);
  CU_ASSERT_EQUAL (cluster_grant (s[8], 1500).proof, CLUSTER_PROOF_PEERS);
  CU_ASSERT_EQUAL (cluster_accept_number (s[0], &v, 8, 7), 0);
  /* One of the five joins the other side: that side can accept, and the remaining four lose their
     grants. */
  cluster_state_apply (s[4], 8);
  fake_exchange (s[0], s[4], 2000, 2000);
  CU_ASSERT_EQUAL (cluster_accept_number (s[0], &v, 8, 7), 8);
  for (size_t i = 5; i < 9; i++)
    for (size_t j = 5; j < 9; j++)
      if (i != j)
        fake_exchange (s[i], s[j], 2000 + FAKE_GRANT_MS, 2000 + FAKE_GRANT_MS);
  for (size_t i = 5; i < 9; i++)
    CU_ASSERT_FALSE (has_grant (s[i], 2000 + FAKE_GRANT_MS));
  free_all (s, 9);
}

/* The VM is paused between the check of the grant and the send of the reply to the gate. The
   grant's end is a time on a clock that advances during the pause, so after a pause of a minute the
   grant has ended. */
static void
a_grant_does_not_outlive_a_pause (void)
{
  ClusterState *s = fake_member_new (A, 7, NULL);

  cluster_state_table_read (s, 1000, 7, 7);
  ClusterGrant grant = cluster_grant (s, 1500);
  CU_ASSERT_EQUAL (cluster_grant_left (&grant, 1500), FAKE_GRANT_MS - 500);
  CU_ASSERT_EQUAL (cluster_grant_left (&grant, 60000), 0);
  CU_ASSERT_EQUAL (cluster_grant (s, 60000).proof, CLUSTER_PROOF_NONE);
  cluster_state_free (s);
}

/* A VM is frozen for a minute and then reads answers from its socket that peers sent before and
   during the freeze. The ages in them must be counted from the time at which it sent its asks, not
   from the time at which it reads them. */
static void
a_resumed_steward_has_no_grant (void)
{
  static const uint64_t members[] = { A, B, C };
  ClusterView v = fake_view (1, 0, members, 3);
  ClusterState *a = fake_member_new (A, 7, &v);
  ClusterState *b = fake_member_new (B, 7, &v);
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  cluster_state_make_ask (a, 900, 1000, ask);
  cluster_state_handle_ask (b, ask, 1001, answer);
  CU_ASSERT_TRUE (cluster_state_handle_answer (a, answer, 61000));
  CU_ASSERT_FALSE (has_grant (a, 61000));
  fake_exchange (a, b, 61000, 61001);
  CU_ASSERT_TRUE (has_grant (a, 61001));
  free (ask);
  free (answer);
  free_all ((ClusterState *[]){ a, b }, 2);
}

/* A stopping VM removes itself from the view, which counts as a proof of death. If it still
   answered, it could support a grant that acceptance under the next view does not take into
   account. */
static void
a_leaving_steward_sends_no_answers (void)
{
  static const uint64_t members[] = { A, B };
  ClusterView v = fake_view (1, 0, members, 2);
  ClusterState *a = fake_member_new (A, 7, &v);
  ClusterState *b = fake_member_new (B, 7, &v);

  cluster_state_table_read (a, 1000, 7, 7);
  CU_ASSERT_TRUE (fake_exchange (b, a, 1000, 1000));
  CU_ASSERT_TRUE (has_grant (a, 1000));
  cluster_state_leave (a);
  CU_ASSERT_FALSE (fake_exchange (b, a, 1500, 1500));
  CU_ASSERT_FALSE (has_grant (a, 1500));
  CU_ASSERT_EQUAL (cluster_state_progress (b, A)->as_of, 1000);
  free_all ((ClusterState *[]){ a, b }, 2);
}

static const SuiteCase cases[] = {
  { "a_replaced_member_has_no_vote", a_replaced_member_has_no_vote },
  { "previous_members_establish_a_view", previous_members_establish_a_view },
  { "a_changed_pending_view_needs_new_confirmations",
    a_changed_pending_view_needs_new_confirmations },
  { "a_pending_view_needs_both_majorities", a_pending_view_needs_both_majorities },
  { "a_smaller_view_requires_its_head_number", a_smaller_view_requires_its_head_number },
  { "any_steward_can_accept_a_durable_number", any_steward_can_accept_a_durable_number },
  { "grants_of_a_partitioned_side_end_after_acceptance",
    grants_of_a_partitioned_side_end_after_acceptance },
  { "a_grant_does_not_outlive_a_pause", a_grant_does_not_outlive_a_pause },
  { "a_resumed_steward_has_no_grant", a_resumed_steward_has_no_grant },
  { "a_leaving_steward_sends_no_answers", a_leaving_steward_sends_no_answers },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_safety", cases, SUITE_COUNT (cases));
}
