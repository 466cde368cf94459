/**
 * The promise that after a patch is accepted, and grant_ms more, no steward lets new work start on
 * what came before it: each way in which a first version of the protocol broke it.
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
  W_AGAIN /**< what replaced W at its address */
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

/* Amnesia. A guarantee is drafted on a withdrawn version because w acknowledged patch 8 and was
   replaced; the new process at its address learned 7 from {c, d, x} and spoke for w's vote, while a
   counted {a, w, x} and accepted 8. */
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
  ClusterState *again = fake_member_new (W_AGAIN, 7, &v);
  fake_exchange (again, c, 1100, 1100);
  fake_exchange (again, d, 1100, 1100);
  CU_ASSERT_FALSE (has_grant (again, 1100));
  fake_exchange (again, x, 1100, 1100);
  /* Three members say so, and it needs no word of its own. */
  CU_ASSERT_TRUE (has_grant (again, 1100));
  cluster_state_apply (x, 8);
  fake_exchange (a, x, 2000, 2000);
  CU_ASSERT_EQUAL (cluster_accept_count (a, &v, 8, &needed), 3);
  CU_ASSERT_EQUAL (cluster_accept_number (a, &v, 8, 7), 8);
  /* Accepted at 2000. The bound ends at 2000 + grant_ms; c, d and w's successor go on asking. */
  for (int64_t now = 2000; now <= 2000 + FAKE_GRANT_MS; now += 500)
    {
      fake_exchange (c, d, now, now);
      fake_exchange (c, again, now, now);
      fake_exchange (again, c, now, now);
      fake_exchange (again, d, now, now);
    }
  CU_ASSERT_FALSE (has_grant (c, 2000 + FAKE_GRANT_MS));
  CU_ASSERT_FALSE (has_grant (again, 2000 + FAKE_GRANT_MS));
  free_all ((ClusterState *[]){ a, w, x, c, d, again }, 6);
}

/* Views that differ. {c, d, e}, a majority of the old five, sit together without the service. The
   others are replaced and joined by more, and accept a withdrawal without them, unless a majority
   of the old five had to know the new view first. */
static void
a_view_is_established_by_the_one_before (void)
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

  /* a and b are gone, which counts; c, d, e have not heard of the view. */
  CU_ASSERT_EQUAL (cluster_view_confirmed (&pending, f, &needed), 2);
  CU_ASSERT_EQUAL (needed, 3);
  CU_ASSERT_FALSE (cluster_view_establish (&pending, f, 8, &out));
  fake_exchange (c, d, 1000, 1000);
  fake_exchange (c, e, 1000, 1000);
  CU_ASSERT_TRUE (has_grant (c, 1000));
  /* d hears of it: the view can be established from here on, and d's word no longer helps c. */
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

/* A pending view is amended while it waits. A member that knows only its first form may support a
   grant that counts on that form; so it must not help to establish the second. */
static void
an_amended_view_must_be_known_itself (void)
{
  static const uint64_t old_members[] = { A, B, C };
  static const uint64_t first_form[] = { A, C, D };
  static const uint64_t second_form[] = { A, C, D, E, F, G };
  ClusterView first = fake_pending_view (2, 7, first_form, 3, old_members, 3);
  ClusterView second = fake_pending_view (3, 7, second_form, 6, old_members, 3);
  ClusterState *g = fake_member_new (G, 7, &second);
  ClusterHeartbeat *told = memory_alloc (sizeof *told);
  ClusterView out;

  /* Of the three before, b is gone from both forms, which counts; a or c must know the form. */
  told->number = 7;
  told->incarnation = A;
  told->view = 2;
  cluster_state_handle_answer (g, told, 1000);
  CU_ASSERT_FALSE (cluster_view_establish (&second, g, 7, &out));
  /* The other side of it: a's word still gives c a grant under the first form, until a knows
   * better. */
  ClusterState *c = fake_member_new (C, 7, &first);
  ClusterState *a = fake_member_new (A, 7, &first);
  fake_exchange (c, a, 1500, 1500);
  CU_ASSERT_TRUE (has_grant (c, 1500));
  fake_exchange (a, g, 1600, 1600);
  fake_exchange (c, a, 1700, 1700);
  CU_ASSERT_FALSE (has_grant (c, 1700));
  fake_exchange (g, a, 1800, 1800);
  CU_ASSERT_TRUE (cluster_view_establish (&second, g, 7, &out));
  free (told);
  free_all ((ClusterState *[]){ a, c, g }, 3);
}

/* Under a pending view the members of before still accept, and the new ones will at any moment: a
   majority of either alone proves nothing. */
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

/* Patch 8 is accepted by {a, b, c}; then they die for good and are taken out of the view, which
   leaves {d, e}, both at 7. Together they are all of the new view, and would go on with a withdrawn
   version if they could take it over without the number that was the head when it was written. */
static void
a_shrunken_view_brings_its_head (void)
{
  static const uint64_t members[] = { A, B, C, D, E };
  static const uint64_t dead[] = { A, B, C };
  ClusterView v = fake_view (1, 0, members, 5);
  ClusterState *d = fake_member_new (D, 7, &v);
  ClusterState *e = fake_member_new (E, 7, &v);
  ClusterView smaller;
  ClusterView settled;

  CU_ASSERT_TRUE (cluster_view_remove (&v, dead, 3, 8, &smaller));
  CU_ASSERT_TRUE (cluster_view_establish (&smaller, d, 8, &settled));
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

/* The steward that wrote patch 8 dies before it is accepted. Nobody was told yet; any other steward
   that hears of a majority finishes it, and a second try finds nothing to do. */
static void
any_steward_finishes_a_durable_number (void)
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

/* A region is cut in half, four members with the service and five without. The four apply what is
   new at once and go on by the head row, but can't accept; the five go on by their majority. */
static void
a_region_cut_in_half (void)
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
  /* One of the five crosses over: the four can accept, and the other four refuse. */
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

/* The VM is paused between the check of the grant and the send of its answer to the gate. What
   counts is the end, a time on a clock that goes on while paused: late looks find nothing left. */
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

/* A VM frozen for a minute wakes with answers in its socket that peers made before the freeze and
   during it. They count from its own asks, all of them old. */
static void
a_woken_steward_has_no_grant (void)
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

/* A stopping VM takes itself out of the view, which counts like a proof of death. If it still
   answered, its word could support a grant that the next view's acceptance doesn't know of. */
static void
a_leaving_steward_is_silent (void)
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
  { "a_view_is_established_by_the_one_before", a_view_is_established_by_the_one_before },
  { "an_amended_view_must_be_known_itself", an_amended_view_must_be_known_itself },
  { "a_pending_view_needs_both_majorities", a_pending_view_needs_both_majorities },
  { "a_shrunken_view_brings_its_head", a_shrunken_view_brings_its_head },
  { "any_steward_finishes_a_durable_number", any_steward_finishes_a_durable_number },
  { "a_region_cut_in_half", a_region_cut_in_half },
  { "a_grant_does_not_outlive_a_pause", a_grant_does_not_outlive_a_pause },
  { "a_woken_steward_has_no_grant", a_woken_steward_has_no_grant },
  { "a_leaving_steward_is_silent", a_leaving_steward_is_silent },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_safety", cases, SUITE_COUNT (cases));
}
