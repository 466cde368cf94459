/**
 * Random attempts on one claimed order, under every fault of the table service.
 */
#include "fake_order.h"
#include "suite.h"
#include <gsl/gsl_rng.h>
#include <sodium.h>

/* Attempts on one order from several VMs, with delayed writes. A second attempt may run only after
 * proof that the earlier one did not; an attempt that was told "not run" must never run. */
typedef struct
{
  OrderSite site;
  gsl_rng *rng;
  Claim running; /* the attempt that has the claim, if any */
  bool has_running;
  Claim released[64]; /* told "not run", with a row that has to be released */
  size_t released_count;
  unsigned runs, faults;
} Fixture;

static void
fixture_fault (Fixture *w)
{
  static const FakeFault faults[]
      = { FAULT_NONE, FAULT_NONE, FAULT_DOWN, FAULT_LOSE_REPLY, FAULT_LOSE_CALL, FAULT_SLOW };
  FakeFault fault = faults[gsl_rng_uniform_int (w->rng, sizeof faults / sizeof faults[0])];

  w->faults += fault != FAULT_NONE;
  fake_platform_fault (w->site.p, fault, gsl_rng_uniform_int (w->rng, 2) ? CALL_ALL : CALL_TXN,
                       (unsigned)gsl_rng_uniform_int (w->rng, 6));
}

static void
fixture_take (Fixture *w)
{
  ClaimOutcome out;
  ClaimResult result = order_claim (&w->site, ORDER_BODY, &out);

  if (result == CLAIM_TAKEN)
    {
      CU_ASSERT_FALSE (w->has_running);
      w->running = out.claim;
      w->has_running = true;
      w->runs++;
    }
  if (result == CLAIM_UNAVAILABLE && out.outcome_unknown && w->released_count < 64)
    w->released[w->released_count++] = out.claim;
  claim_outcome_clear (&out);
}

static void
fixture_release (Fixture *w)
{
  if (w->released_count > 0
      && claim_release (w->site.p, &w->released[w->released_count - 1], NULL) == STATUS_OK)
    w->released_count--;
}

/* The attempt that has the claim is refused by its backend server: it did not run. */
static void
fixture_not_run (Fixture *w)
{
  if (!w->has_running)
    return;
  w->has_running = false;
  if (claim_release (w->site.p, &w->running, NULL) != STATUS_OK && w->released_count < 64)
    w->released[w->released_count++] = w->running;
}

static void
test_random_attempts (void)
{
  Fixture w = { .site = order_site_new (), .rng = gsl_rng_alloc (gsl_rng_mt19937) };

  gsl_rng_set (w.rng, 4711);
  for (int step = 0; step < 20000; step++)
    switch (gsl_rng_uniform_int (w.rng, 6))
      {
      case 0:
        fixture_fault (&w);
        break;
      case 1:
        fake_platform_late_effects (w.site.p);
        break;
      case 2:
        fixture_release (&w);
        break;
      case 3:
        fixture_not_run (&w);
        break;
      default:
        fixture_take (&w);
        break;
      }
  CU_ASSERT_TRUE (w.runs > 100 && w.faults > 1000);
  /* At the end the order can run: no row stays in progress. */
  fake_platform_fault (w.site.p, FAULT_NONE, 0, 0);
  fake_platform_late_effects (w.site.p);
  fixture_not_run (&w);
  while (w.released_count > 0)
    fixture_release (&w);
  fake_platform_late_effects (w.site.p);
  CU_ASSERT_EQUAL (order_resend (&w.site), CLAIM_TAKEN);
  gsl_rng_free (w.rng);
  order_site_free (&w.site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "random_attempts", test_random_attempts },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "claim_random", cases, SUITE_COUNT (cases));
}
