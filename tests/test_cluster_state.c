/**
 * Progress of members: merging, ages, and what each kind of message may prove.
 */
#include "cluster_grant.h"
#include "cluster_state.h"
#include "fake_members.h"
#include "suite.h"
#include "util_memory.h"
#include <gsl/gsl_rng.h>
#include <stdlib.h>

static const uint64_t five[] = { 1, 2, 3, 4, 5 };

static ClusterHeartbeat *
new_heartbeat (uint64_t nonce, uint64_t incarnation, int64_t number, int64_t view)
{
  ClusterHeartbeat *h = memory_alloc (sizeof *h);

  h->nonce = nonce;
  h->incarnation = incarnation;
  h->number = number;
  h->view = view;
  return h;
}

static void
numbers_only_rise (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);

  CU_ASSERT_FALSE (cluster_state_apply (s, 7));
  CU_ASSERT_FALSE (cluster_state_apply (s, 6));
  CU_ASSERT_EQUAL (cluster_state_number (s), 7);
  CU_ASSERT_TRUE (cluster_state_apply (s, 9));
  CU_ASSERT_EQUAL (cluster_state_number (s), 9);
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s), 9);
  cluster_state_free (s);
}

/* A steward without patch 8 sees its number in a peer's ask, in the head row, or as accepted. In
   each case the number must become wanted, so that it is fetched, and must not count as applied. */
static void
newer_numbers_become_wanted (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *ask = new_heartbeat (50, 2, 8, 3);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  CU_ASSERT_TRUE (cluster_state_handle_ask (s, ask, 1000, answer));
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s), 8);
  CU_ASSERT_EQUAL (cluster_state_wanted_view (s), 3);
  CU_ASSERT_EQUAL (answer->number, 7);
  CU_ASSERT_EQUAL (answer->view, 3);
  cluster_state_table_read (s, 1000, 9, 6);
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s), 9);
  CU_ASSERT_EQUAL (cluster_state_accepted (s), 6);
  ask->accepted = 11;
  cluster_state_handle_ask (s, ask, 1000, answer);
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s), 11);
  CU_ASSERT_EQUAL (cluster_state_accepted (s), 11);
  CU_ASSERT_EQUAL (cluster_state_number (s), 7);
  free (ask);
  free (answer);
  cluster_state_free (s);
}

/* An answer made before a withdrawal is delayed in a queue for a minute. If it counted from its
   receipt, the withdrawn version would get work. */
static void
an_answer_counts_from_its_ask (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = new_heartbeat (77, 2, 7, 1);

  cluster_state_make_ask (s, 77, 1000, ask);
  CU_ASSERT_TRUE (cluster_state_handle_answer (s, answer, 61000));
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->as_of, 1000);
  free (ask);
  free (answer);
  cluster_state_free (s);
}

/* Nothing bounds the age of an ask, or of an answer to an ask that we never sent. They prove only
   what has been applied at least. */
static void
unsolicited_messages_are_lower_bounds (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *unsolicited = new_heartbeat (78, 2, 6, 1);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  unsolicited->news_count = 1;
  unsolicited->news[0] = (ClusterNews){ .incarnation = 3, .number = 5, .view = 1, .age_ms = 0 };
  CU_ASSERT_FALSE (cluster_state_handle_answer (s, unsolicited, 5000));
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->number, 6);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->as_of, CLUSTER_NEVER);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 3)->number, 5);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 3)->as_of, CLUSTER_NEVER);
  CU_ASSERT_TRUE (cluster_state_handle_ask (s, unsolicited, 5000, answer));
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->as_of, CLUSTER_NEVER);
  free (unsolicited);
  free (answer);
  cluster_state_free (s);
}

/* News relayed over two hops must never seem more recent than it is: ages add up, and each hop adds
   the possible clock drift and the time since the ask was sent. */
static void
ages_of_relayed_news_add_up (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *a = fake_member_new (1, 7, &v);
  ClusterState *b = fake_member_new (2, 7, &v);
  ClusterState *c = fake_member_new (3, 7, &v);

  CU_ASSERT_TRUE (fake_exchange (b, c, 1000, 1400));
  CU_ASSERT_EQUAL (cluster_state_progress (b, 3)->as_of, 1000);
  CU_ASSERT_TRUE (fake_exchange (a, b, 2000, 2900));
  CU_ASSERT_EQUAL (cluster_state_progress (a, 2)->as_of, 2000);
  /* At 2900 it was 1900 ms old; the ask was sent at 2000; 1 ms for truncation, 2 ms for drift. */
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->as_of, 2000 - 1901 - 2);
  cluster_state_free (a);
  cluster_state_free (b);
  cluster_state_free (c);
}

/* News older than grant_ms can't support a grant; its number still counts for acceptance. */
static void
old_relayed_news_is_a_lower_bound (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *a = fake_member_new (1, 7, &v);
  ClusterState *b = fake_member_new (2, 7, &v);
  ClusterState *c = fake_member_new (3, 6, &v);

  fake_exchange (b, c, 1000, 1000);
  fake_exchange (a, b, 1001 + FAKE_GRANT_MS, 1001 + FAKE_GRANT_MS);
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->number, 6);
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->as_of, CLUSTER_NEVER);
  cluster_state_free (a);
  cluster_state_free (b);
  cluster_state_free (c);
}

static bool
equal_progress (const ClusterState *a, const ClusterState *b, uint64_t incarnation)
{
  const ClusterProgress *x = cluster_state_progress (a, incarnation);
  const ClusterProgress *y = cluster_state_progress (b, incarnation);

  return x->number == y->number && x->view == y->view && x->as_of == y->as_of;
}

#define ORDER_MESSAGES ((size_t)40)

/* UDP reorders and duplicates messages. Two stewards that got the same answers, in any order, must
   have the same state. */
static void
merging_does_not_depend_on_order_or_duplicates (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  ClusterState *a = fake_member_new (1, 7, NULL);
  ClusterState *b = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *sent[ORDER_MESSAGES];
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);

  gsl_rng_set (rng, 11);
  for (uint64_t i = 0; i < ORDER_MESSAGES; i++)
    {
      sent[i] = new_heartbeat (100 + i, 2 + gsl_rng_uniform_int (rng, 4),
                               (int64_t)gsl_rng_uniform_int (rng, 9), 1);
      sent[i]->news_count = 1;
      sent[i]->news[0] = (ClusterNews){ .incarnation = 2 + gsl_rng_uniform_int (rng, 4),
                                        .number = (int64_t)gsl_rng_uniform_int (rng, 9),
                                        .view = (int64_t)gsl_rng_uniform_int (rng, 5),
                                        .age_ms = (uint32_t)gsl_rng_uniform_int (rng, 500) };
      cluster_state_make_ask (a, 100 + i, (int64_t)(1000 + 10 * i), ask);
      cluster_state_make_ask (b, 100 + i, (int64_t)(1000 + 10 * i), ask);
    }
  for (size_t i = 0; i < ORDER_MESSAGES; i++)
    cluster_state_handle_answer (a, sent[i], 9000);
  for (size_t i = 0; i < 10 * ORDER_MESSAGES; i++)
    cluster_state_handle_answer (b, sent[gsl_rng_uniform_int (rng, ORDER_MESSAGES)], 9000);
  for (size_t i = ORDER_MESSAGES; i-- > 0;)
    cluster_state_handle_answer (b, sent[i], 9000);
  for (uint64_t incarnation = 2; incarnation < 6; incarnation++)
    CU_ASSERT_TRUE (equal_progress (a, b, incarnation));
  for (size_t i = 0; i < ORDER_MESSAGES; i++)
    free (sent[i]);
  free (ask);
  cluster_state_free (a);
  cluster_state_free (b);
  gsl_rng_free (rng);
}

/* A peer's news of ourselves is older than our own state. Merging it could set our number to one
   that we have not applied. */
static void
news_of_ourselves_is_ignored (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *h = new_heartbeat (9, 2, 7, 1);

  h->news_count = 2;
  h->news[0] = (ClusterNews){ .incarnation = 1, .number = 9, .view = 1, .age_ms = 0 };
  h->news[1] = (ClusterNews){ .incarnation = 0, .number = 3, .view = 1, .age_ms = 0 };
  cluster_state_handle_answer (s, h, 1000);
  CU_ASSERT_EQUAL (cluster_state_number (s), 7);
  free (h);
  cluster_state_free (s);
}

static void
a_view_is_adopted_after_its_head_number (void)
{
  ClusterView v = fake_view (4, 9, five, 5);
  ClusterState *s = fake_member_new (1, 8, NULL);

  CU_ASSERT_FALSE (cluster_state_adopt_view (s, &v));
  CU_ASSERT_EQUAL (cluster_state_view (s)->number, 0);
  CU_ASSERT_EQUAL (cluster_state_wanted_view (s), 4);
  CU_ASSERT_EQUAL (cluster_state_wanted_number (s), 9);
  cluster_state_apply (s, 9);
  CU_ASSERT_TRUE (cluster_state_adopt_view (s, &v));
  CU_ASSERT_FALSE (cluster_state_adopt_view (s, &v));
  v.number = 3;
  CU_ASSERT_FALSE (cluster_state_adopt_view (s, &v));
  CU_ASSERT_EQUAL (cluster_state_view (s)->number, 4);
  cluster_state_free (s);
}

#define INCARNATIONS 5000

/* A steward that runs for years sees many replaced VMs. Its memory must stay bounded, and entries
   of members must not be removed. */
static void
non_members_are_pruned_members_are_not (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *s = fake_member_new (1, 7, &v);
  ClusterHeartbeat *h = new_heartbeat (9, 2, 7, 1);
  size_t known = 0;

  for (uint64_t i = 2; i < INCARNATIONS; i++)
    {
      h->incarnation = i;
      cluster_state_handle_answer (s, h, 1000);
    }
  for (uint64_t i = 2; i < INCARNATIONS; i++)
    known += cluster_state_progress (s, i) != NULL;
  CU_ASSERT_TRUE (known < 2048);
  for (uint64_t i = 2; i <= 5; i++)
    CU_ASSERT_EQUAL (cluster_state_progress (s, i)->number, 7);
  CU_ASSERT_EQUAL (cluster_state_number (s), 7);
  free (h);
  cluster_state_free (s);
}

/* A packed age may be higher than the exact one, by less than a unit, but never lower. Nothing else
   may be lost: a member that applies another number is not packed. */
static void
packed_news_is_equivalent (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *a = fake_member_new (1, 7, &v);
  ClusterState *b = fake_member_new (2, 7, &v);
  ClusterState *c = fake_member_new (3, 7, &v);
  ClusterState *d = fake_member_new (4, 6, &v);
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  fake_exchange (b, c, 1000, 1000);
  fake_exchange (b, d, 1010, 1010);
  cluster_state_make_ask (a, 5, 2000, ask);
  cluster_state_handle_ask (b, ask, 2000, answer);
  cluster_heartbeat_pack (b, answer);
  CU_ASSERT_EQUAL (answer->ages_view, 1);
  CU_ASSERT_EQUAL (answer->ages_count, 5);
  CU_ASSERT_EQUAL (answer->ages[2], 32);
  CU_ASSERT_EQUAL (answer->ages[3], CLUSTER_AGE_SKIP);
  CU_ASSERT_EQUAL (answer->news_count, 2);
  CU_ASSERT_TRUE (cluster_state_handle_answer (a, answer, 2000));
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->number, 7);
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->as_of, 2000 - 32 * CLUSTER_AGE_UNIT_MS - 1 - 2);
  CU_ASSERT_EQUAL (cluster_state_progress (a, 4)->number, 6);
  CU_ASSERT_EQUAL (cluster_state_progress (a, 4)->as_of, 2000 - 990 - 1 - 1);
  free (ask);
  free (answer);
  cluster_state_free (a);
  cluster_state_free (b);
  cluster_state_free (c);
  cluster_state_free (d);
}

/* Two stewards with different views have their members at different indices: ages packed for one
   view must not be merged for the members of another. */
static void
packed_news_of_another_view_is_ignored (void)
{
  static const uint64_t other[] = { 1, 2, 4, 3, 5 };
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterView w = fake_view (2, 0, other, 5);
  ClusterState *a = fake_member_new (1, 7, &w);
  ClusterState *b = fake_member_new (2, 7, &v);
  ClusterState *c = fake_member_new (3, 7, &v);
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  fake_exchange (b, c, 1000, 1000);
  cluster_state_make_ask (a, 6, 2000, ask);
  cluster_state_handle_ask (b, ask, 2000, answer);
  /* b has seen view 2 in the ask but has not adopted it. */
  answer->ages_view = 1;
  answer->ages_count = 5;
  answer->ages[2] = 1;
  answer->news_count = 0;
  cluster_state_handle_answer (a, answer, 2000);
  CU_ASSERT_PTR_NULL (cluster_state_progress (a, 3));
  CU_ASSERT_PTR_NULL (cluster_state_progress (a, 4));
  free (ask);
  free (answer);
  cluster_state_free (a);
  cluster_state_free (b);
  cluster_state_free (c);
}

static const SuiteCase cases[] = {
  { "numbers_only_rise", numbers_only_rise },
  { "newer_numbers_become_wanted", newer_numbers_become_wanted },
  { "an_answer_counts_from_its_ask", an_answer_counts_from_its_ask },
  { "unsolicited_messages_are_lower_bounds", unsolicited_messages_are_lower_bounds },
  { "ages_of_relayed_news_add_up", ages_of_relayed_news_add_up },
  { "old_relayed_news_is_a_lower_bound", old_relayed_news_is_a_lower_bound },
  { "merging_does_not_depend_on_order_or_duplicates",
    merging_does_not_depend_on_order_or_duplicates },
  { "news_of_ourselves_is_ignored", news_of_ourselves_is_ignored },
  { "a_view_is_adopted_after_its_head_number", a_view_is_adopted_after_its_head_number },
  { "non_members_are_pruned_members_are_not", non_members_are_pruned_members_are_not },
  { "packed_news_is_equivalent", packed_news_is_equivalent },
  { "packed_news_of_another_view_is_ignored", packed_news_of_another_view_is_ignored },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_state", cases, SUITE_COUNT (cases));
}
