/**
 * News of members: merging, ages, and what each kind of message may prove.
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

/* A steward that missed patch 8 hears of it from a peer's ask, from the head row, or as accepted:
   each tells it to fetch. None of them is taken for being applied. */
static void
newer_numbers_are_wanted (void)
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

/* A steward sends work on a withdrawn version for a minute: an answer made before the withdrawal
   sat in a queue, and its receipt was taken for the time at which it was true. */
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

/* The same with an ask, or with an answer to an ask that we never sent: neither has any time at
   which it was certainly true, so it proves only what has been applied. */
static void
messages_without_an_ask_are_lower_bounds (void)
{
  ClusterState *s = fake_member_new (1, 7, NULL);
  ClusterHeartbeat *stray = new_heartbeat (78, 2, 6, 1);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  stray->news_count = 1;
  stray->news[0] = (ClusterNews){ .incarnation = 3, .number = 5, .view = 1, .age_ms = 0 };
  CU_ASSERT_FALSE (cluster_state_handle_answer (s, stray, 5000));
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->number, 6);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->as_of, CLUSTER_NEVER);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 3)->number, 5);
  CU_ASSERT_EQUAL (cluster_state_progress (s, 3)->as_of, CLUSTER_NEVER);
  CU_ASSERT_TRUE (cluster_state_handle_ask (s, stray, 5000, answer));
  CU_ASSERT_EQUAL (cluster_state_progress (s, 2)->as_of, CLUSTER_NEVER);
  free (stray);
  free (answer);
  cluster_state_free (s);
}

/* Hearsay over two hops must never come out younger than the word itself: the ages add up, each hop
   adds what the clocks may differ by, and the way of the messages counts against it. */
static void
hearsay_ages_add_up (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *a = fake_member_new (1, 7, &v);
  ClusterState *b = fake_member_new (2, 7, &v);
  ClusterState *c = fake_member_new (3, 7, &v);

  CU_ASSERT_TRUE (fake_exchange (b, c, 1000, 1400));
  CU_ASSERT_EQUAL (cluster_state_progress (b, 3)->as_of, 1000);
  CU_ASSERT_TRUE (fake_exchange (a, b, 2000, 2900));
  CU_ASSERT_EQUAL (cluster_state_progress (a, 2)->as_of, 2000);
  /* At 2900 it was 1900 old; the ask was sent at 2000; 1 for parts of a millisecond, 2 of drift. */
  CU_ASSERT_EQUAL (cluster_state_progress (a, 3)->as_of, 2000 - 1901 - 2);
  cluster_state_free (a);
  cluster_state_free (b);
  cluster_state_free (c);
}

/* A word older than a grant lasts can support nothing; its number still counts for acceptance. */
static void
old_hearsay_is_a_lower_bound (void)
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
equal_knowledge (const ClusterState *a, const ClusterState *b, uint64_t incarnation)
{
  const ClusterProgress *x = cluster_state_progress (a, incarnation);
  const ClusterProgress *y = cluster_state_progress (b, incarnation);

  return x->number == y->number && x->view == y->view && x->as_of == y->as_of;
}

#define ORDER_MESSAGES ((size_t)40)

/* UDP reorders and doubles: whatever the order, two stewards that got the same answers know the
   same, and no part of it ever went down. */
static void
order_and_repetition_do_not_matter (void)
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
    CU_ASSERT_TRUE (equal_knowledge (a, b, incarnation));
  for (size_t i = 0; i < ORDER_MESSAGES; i++)
    free (sent[i]);
  free (ask);
  cluster_state_free (a);
  cluster_state_free (b);
  gsl_rng_free (rng);
}

/* What others say of ourselves is old: taking it over would let an echo of our own earlier word
   raise a number that we never applied. */
static void
an_echo_of_ourselves_is_ignored (void)
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
a_view_waits_for_its_head (void)
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

#define STRANGERS 5000

/* Years of replaced VMs in one long-lived steward: what it knows stays bounded, and members are
   never forgotten. */
static void
strangers_are_forgotten_members_are_not (void)
{
  ClusterView v = fake_view (1, 0, five, 5);
  ClusterState *s = fake_member_new (1, 7, &v);
  ClusterHeartbeat *h = new_heartbeat (9, 2, 7, 1);
  size_t known = 0;

  for (uint64_t i = 2; i < STRANGERS; i++)
    {
      h->incarnation = i;
      cluster_state_handle_answer (s, h, 1000);
    }
  for (uint64_t i = 2; i < STRANGERS; i++)
    known += cluster_state_progress (s, i) != NULL;
  CU_ASSERT_TRUE (known < 2048);
  for (uint64_t i = 2; i <= 5; i++)
    CU_ASSERT_EQUAL (cluster_state_progress (s, i)->number, 7);
  CU_ASSERT_EQUAL (cluster_state_number (s), 7);
  free (h);
  cluster_state_free (s);
}

/* Packed ages may make news older, by less than a unit, but never younger, and lose nothing else:
   a member that applies another number goes unpacked. */
static void
packed_news_says_the_same (void)
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

/* Two stewards with different views number their members differently: ages packed under one view
   must not be given to other members under another. */
static void
packed_news_of_another_view_is_dropped (void)
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
  /* b has heard of view 2 by the ask but has not taken it over. */
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
  { "newer_numbers_are_wanted", newer_numbers_are_wanted },
  { "an_answer_counts_from_its_ask", an_answer_counts_from_its_ask },
  { "messages_without_an_ask_are_lower_bounds", messages_without_an_ask_are_lower_bounds },
  { "hearsay_ages_add_up", hearsay_ages_add_up },
  { "old_hearsay_is_a_lower_bound", old_hearsay_is_a_lower_bound },
  { "order_and_repetition_do_not_matter", order_and_repetition_do_not_matter },
  { "an_echo_of_ourselves_is_ignored", an_echo_of_ourselves_is_ignored },
  { "a_view_waits_for_its_head", a_view_waits_for_its_head },
  { "strangers_are_forgotten_members_are_not", strangers_are_forgotten_members_are_not },
  { "packed_news_says_the_same", packed_news_says_the_same },
  { "packed_news_of_another_view_is_dropped", packed_news_of_another_view_is_dropped },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_state", cases, SUITE_COUNT (cases));
}
