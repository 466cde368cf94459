/**
 * Claims: an order runs at most once, with callers' retries, killed holders, lost replies and
 * delayed writes.
 */
#include "fake_link.h"
#include "fake_order.h"
#include "suite.h"
#include "util_memory.h"
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 16

/* Writes the settlement, as the transaction of the usage record does. */
static void
settle (const OrderSite *site, const Claim *claim, const char *answer)
{
  ClaimSettlement settlement = {
    .claim = claim,
    .http_status = 200,
    .content_type = "application/json",
    .answer = answer,
    .answer_len = answer != NULL ? strlen (answer) : 0,
  };
  char *text = claim_settlement_text (&settlement);
  TxnOp op = { .kind = TXN_PUT, .table = CLAIM_TABLE, .key = claim->key, .value = text };

  CU_ASSERT_EQUAL (platform_group_submit (site->group, &op, 1, NULL), STATUS_OK);
  free (text);
}

/* A caller retries a dispatch order while the first attempt is running and after it was answered.
 * The order must run once: the caller's retries get "in progress", then the stored answer. */
static void
test_retry_does_not_run_again (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome first, again;

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &first), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  settle (&site, &first.claim, "crew \x01 3");
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &again), CLAIM_ANSWERED);
  CU_ASSERT_EQUAL (again.http_status, 200);
  CU_ASSERT_STRING_EQUAL (again.content_type, "application/json");
  CU_ASSERT_STRING_EQUAL (again.answer.data, "crew \x01 3");
  claim_outcome_clear (&again);
  order_site_free (&site);
}

/* The VM that has the order is killed at the write of its claim, before or after the write takes
 * effect; after the claim was taken and bytes may have been sent; and after the usage record was
 * written, before the end of the answer. A caller's retry at another VM may run the order only in
 * the first case, and must get the answer in the last. */
static void
test_order_of_a_killed_holder_runs_at_most_once (void)
{
  for (int after_effect = 0; after_effect < 2; after_effect++)
    {
      OrderSite site = order_site_new ();
      Platform *link = fake_link_new (site.p);
      OrderSite killed = { .p = link, .group = platform_group_new (link, 0, 64, 1000) };
      ClaimOutcome out;

      fake_link_kill_at (link, 1, after_effect);
      CU_ASSERT_EQUAL (order_claim (&killed, ORDER_BODY, &out), CLAIM_UNAVAILABLE);
      CU_ASSERT_EQUAL (order_caller_retry (&site), after_effect ? CLAIM_IN_PROGRESS : CLAIM_TAKEN);
      platform_group_free (killed.group);
      platform_free (link);
      order_site_free (&site);
    }
  for (int billed = 0; billed < 2; billed++)
    {
      OrderSite site = order_site_new ();
      ClaimOutcome out;

      CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
      if (billed)
        settle (&site, &out.claim, "crew 3");
      for (int i = 0; i < 3; i++)
        CU_ASSERT_EQUAL (order_caller_retry (&site), billed ? CLAIM_ANSWERED : CLAIM_IN_PROGRESS);
      order_site_free (&site);
    }
}

static void
test_another_body_is_a_mismatch (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY + 1, &out), CLAIM_MISMATCH);
  order_site_free (&site);
}

/* An answer over the limit is not stored, and the caller's retry gets no answer rather than a part
 * of it. */
static void
test_too_long_answer_is_not_stored (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome first, again;
  char *answer = memory_alloc (CLAIM_ANSWER_MAX + 2);

  memset (answer, 'x', CLAIM_ANSWER_MAX + 1);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &first), CLAIM_TAKEN);
  settle (&site, &first.claim, answer);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &again), CLAIM_ANSWERED);
  CU_ASSERT_EQUAL (again.answer.len, 0);
  claim_outcome_clear (&again);
  free (answer);
  order_site_free (&site);
}

/* The reply to the claim's write is lost after the write took effect. Without the nonce the gate
 * would treat its own row as another attempt's, and the order would never run. */
static void
test_lost_reply_is_recognised_by_nonce (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;

  fake_platform_fault (site.p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  order_site_free (&site);
}

static void
test_lost_call_is_repeated (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;

  fake_platform_fault (site.p, FAULT_LOSE_CALL, CALL_TXN, 1);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  order_site_free (&site);
}

/* The table service is down, so that no claim can be made durable: the order must not run and the
 * caller gets "not run". Its retry may run without a release. */
static void
test_order_does_not_run_while_table_is_down (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;

  fake_platform_fault (site.p, FAULT_DOWN, CALL_ALL, 0);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_UNAVAILABLE);
  CU_ASSERT_FALSE (out.outcome_unknown);
  fake_platform_fault (site.p, FAULT_NONE, 0, 0);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_TAKEN);
  order_site_free (&site);
}

static size_t
free_releaser (ClaimReleaser *releaser)
{
  return claim_releaser_free (releaser);
}

/* The write takes effect, its reply is lost and then the service is unavailable. The caller gets
 * "not run". Without the release all of its retries would get "in progress". */
static void
test_unknown_outcome_is_released (void)
{
  OrderSite site = order_site_new ();
  ClaimReleaser *releaser = claim_releaser_new (site.p);
  ClaimOutcome out;

  fake_platform_fault (site.p, FAULT_LOSE_REPLY, CALL_ALL, 0);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_UNAVAILABLE);
  CU_ASSERT_TRUE (out.outcome_unknown);
  fake_platform_fault (site.p, FAULT_NONE, 0, 0);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  claim_releaser_add (releaser, &out.claim);
  CU_ASSERT_EQUAL (free_releaser (releaser), 0);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  order_site_free (&site);
}

/* The delayed write of an attempt refused as "not run" takes effect after the release. If the
 * release deleted the row, the write would create a claim that no attempt owns. */
static void
test_delayed_write_after_release_has_no_effect (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;

  fake_platform_fault (site.p, FAULT_SLOW, CALL_ALL, 0);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_UNAVAILABLE);
  CU_ASSERT_TRUE (out.outcome_unknown);
  fake_platform_fault (site.p, FAULT_NONE, 0, 0);
  CU_ASSERT_EQUAL (claim_release (site.p, &out.claim, NULL), STATUS_OK);
  fake_platform_late_effects (site.p);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_TAKEN);
  fake_platform_late_effects (site.p);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  order_site_free (&site);
}

/* Attempt B takes over a released row, its write is delayed, and B is refused as "not run". Its
 * release finds the row still released and must prevent the delayed write from taking effect. */
static void
test_delayed_take_over_after_release_has_no_effect (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome a, b;

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &a), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (claim_release (site.p, &a.claim, NULL), STATUS_OK);
  fake_platform_fault (site.p, FAULT_SLOW, CALL_TXN, 0);
  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &b), CLAIM_UNAVAILABLE);
  fake_platform_fault (site.p, FAULT_NONE, 0, 0);
  CU_ASSERT_TRUE (b.outcome_unknown);
  CU_ASSERT_EQUAL (claim_release (site.p, &b.claim, NULL), STATUS_OK);
  fake_platform_late_effects (site.p);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_TAKEN);
  order_site_free (&site);
}

typedef struct
{
  const OrderSite *site;
  ClaimOutcome *taken;
  int transactions;
  bool done;
} Racer;

/* Between the read and the write of a release of attempt A, another release of A succeeds and B
 * takes the row over. The first release must not change B's claim. */
static void
race_with_release (void *context, FakeCall call)
{
  Racer *racer = context;
  char *text;
  TxnOp op;

  if (call != CALL_TXN || racer->done)
    return;
  racer->done = true;
  text = claim_row_text (&racer->taken->claim, CLAIM_STARTED);
  op = (TxnOp){
    .kind = TXN_PUT,
    .table = CLAIM_TABLE,
    .key = racer->taken->claim.key,
    .value = text,
  };
  racer->site->p->ops->txn (racer->site->p, &op, 1, 1000, NULL);
  free (text);
}

static void
test_release_leaves_a_later_claim (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome a, b;
  Racer racer = { .site = &site, .taken = &b };

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &a), CLAIM_TAKEN);
  b = a;
  id_random (b.claim.nonce);
  fake_platform_hook (site.p, race_with_release, &racer);
  CU_ASSERT_EQUAL (claim_release (site.p, &a.claim, NULL), STATUS_OK);
  fake_platform_hook (site.p, NULL, NULL);
  CU_ASSERT_TRUE (racer.done);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  order_site_free (&site);
}

/* Runs the whole attempt of another caller's retry directly before the write of the take-over,
 * which is the second transaction, after the insert that found the released row. */
static void
race_with_take_over (void *context, FakeCall call)
{
  Racer *racer = context;

  if (call != CALL_TXN || ++racer->transactions != 2)
    return;
  racer->done = order_caller_retry (racer->site) == CLAIM_TAKEN;
}

/* Two callers' retries find the order released; the second takes it over between the first one's
 * read and write. If both ran it, two crews would be sent. */
static void
test_take_over_between_read_and_write_fails (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;
  Racer racer = { .site = &site };

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (claim_release (site.p, &out.claim, NULL), STATUS_OK);
  fake_platform_hook (site.p, race_with_take_over, &racer);
  CU_ASSERT_EQUAL (order_caller_retry (&site), CLAIM_IN_PROGRESS);
  fake_platform_hook (site.p, NULL, NULL);
  CU_ASSERT_TRUE (racer.done);
  order_site_free (&site);
}

static void *
take_one (void *argument)
{
  Racer *racer = argument;

  racer->done = order_caller_retry (racer->site) == CLAIM_TAKEN;
  return NULL;
}

/* Many callers' retries try to take over a released claim at once: one must get it. */
static void
test_take_over_has_one_winner (void)
{
  OrderSite site = order_site_new ();
  ClaimOutcome out;
  Racer racers[THREADS];
  pthread_t threads[THREADS];
  int winners = 0;

  CU_ASSERT_EQUAL (order_claim (&site, ORDER_BODY, &out), CLAIM_TAKEN);
  CU_ASSERT_EQUAL (claim_release (site.p, &out.claim, NULL), STATUS_OK);
  for (int i = 0; i < THREADS; i++)
    {
      racers[i] = (Racer){ .site = &site };
      pthread_create (&threads[i], NULL, take_one, &racers[i]);
    }
  for (int i = 0; i < THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      winners += racers[i].done;
    }
  CU_ASSERT_EQUAL (winners, 1);
  order_site_free (&site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "retry_does_not_run_again", test_retry_does_not_run_again },
    { "order_of_a_killed_holder_runs_at_most_once",
      test_order_of_a_killed_holder_runs_at_most_once },
    { "another_body_is_a_mismatch", test_another_body_is_a_mismatch },
    { "too_long_answer_is_not_stored", test_too_long_answer_is_not_stored },
    { "lost_reply_is_recognised_by_nonce", test_lost_reply_is_recognised_by_nonce },
    { "lost_call_is_repeated", test_lost_call_is_repeated },
    { "order_does_not_run_while_table_is_down", test_order_does_not_run_while_table_is_down },
    { "unknown_outcome_is_released", test_unknown_outcome_is_released },
    { "delayed_write_after_release_has_no_effect", test_delayed_write_after_release_has_no_effect },
    { "delayed_take_over_after_release_has_no_effect",
      test_delayed_take_over_after_release_has_no_effect },
    { "release_leaves_a_later_claim", test_release_leaves_a_later_claim },
    { "take_over_between_read_and_write_fails", test_take_over_between_read_and_write_fails },
    { "take_over_has_one_winner", test_take_over_has_one_winner },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "claim", cases, SUITE_COUNT (cases));
}
