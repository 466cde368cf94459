/**
 * Random attempts on one claimed order, under every fault of the table service.
 */
#include "fake_order.h"
#include "suite.h"
#include <gsl/gsl_rng.h>
#include <sodium.h>

/* Attempts on one order from several VMs, with delayed writes. A second attempt may run only after
 * proof that the earlier one did not; an attempt refused as "not run" must never run. */
typedef struct
{
  OrderSite site;
  gsl_rng *rng;
  Claim running; /* the attempt that has the claim, if any */
  bool has_running;
  Claim unreleased[64]; /* of attempts refused as "not run"; each has to be released */
  size_t unreleased_count;
  unsigned runs, faults;
} Fixture;

static void
fixture_fault (Fixture *f)
{
  static const FakeFault faults[]
      = { FAULT_NONE, FAULT_NONE, FAULT_DOWN, FAULT_LOSE_REPLY, FAULT_LOSE_CALL, FAULT_SLOW };
  FakeFault fault = faults[gsl_rng_uniform_int (f->rng, sizeof faults / sizeof faults[0])];

  f->faults += fault != FAULT_NONE;
  fake_platform_fault (f->site.p, fault, gsl_rng_uniform_int (f->rng, 2) ? CALL_ALL : CALL_TXN,
                       (unsigned)gsl_rng_uniform_int (f->rng, 6));
}

static void
fixture_take (Fixture *f)
{
  ClaimOutcome out;
  ClaimResult result = order_claim (&f->site, ORDER_BODY, &out);

  if (result == CLAIM_TAKEN)
    {
      CU_ASSERT_FALSE (f->has_running);
      f->running = out.claim;
      f->has_running = true;
      f->runs++;
    }
  if (result == CLAIM_UNAVAILABLE && out.outcome_unknown && f->unreleased_count < 64)
    f->unreleased[f->unreleased_count++] = out.claim;
  claim_outcome_clear (&out);
}

static void
fixture_release (Fixture *f)
{
  if (f->unreleased_count > 0
      && claim_release (f->site.p, &f->unreleased[f->unreleased_count - 1], NULL) == STATUS_OK)
    f->unreleased_count--;
}

/* The attempt that has the claim is refused by its backend server: it did not run. */
static void
fixture_not_run (Fixture *f)
{
  if (!f->has_running)
    return;
  f->has_running = false;
  if (claim_release (f->site.p, &f->running, NULL) != STATUS_OK && f->unreleased_count < 64)
    f->unreleased[f->unreleased_count++] = f->running;
}

static void
test_random_attempts (void)
{
  Fixture f = { .site = order_site_new (), .rng = gsl_rng_alloc (gsl_rng_mt19937) };

  gsl_rng_set (f.rng, 4711);
  for (int step = 0; step < 20000; step++)
    switch (gsl_rng_uniform_int (f.rng, 6))
      {
      case 0:
        fixture_fault (&f);
        break;
      case 1:
        fake_platform_late_effects (f.site.p);
        break;
      case 2:
        fixture_release (&f);
        break;
      case 3:
        fixture_not_run (&f);
        break;
      default:
        fixture_take (&f);
        break;
      }
  CU_ASSERT_TRUE (f.runs > 100 && f.faults > 1000);
  /* At the end the order can run: no row stays in progress. */
  fake_platform_fault (f.site.p, FAULT_NONE, 0, 0);
  fake_platform_late_effects (f.site.p);
  fixture_not_run (&f);
  while (f.unreleased_count > 0)
    fixture_release (&f);
  fake_platform_late_effects (f.site.p);
  CU_ASSERT_EQUAL (order_caller_retry (&f.site), CLAIM_TAKEN);
  gsl_rng_free (f.rng);
  order_site_free (&f.site);
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
