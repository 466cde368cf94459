/**
 * Brakes: merging in any order, release by a later configuration, limits.
 */
#include "cluster_brake.h"
#include "suite.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

static ClusterBrake
brake (const char *version, int64_t since, const char *by)
{
  ClusterBrake k = { .since = since };

  strcpy (k.model, "draft");
  strcpy (k.version, version);
  strcpy (k.by, by);
  strcpy (k.why, "9 of 20 answers failed");
  return k;
}

static void
a_brake_is_active_until_released (void)
{
  ClusterBrakes *b = cluster_brakes_new ();
  ClusterBrake early = brake ("v8", 4, "vm-1");
  ClusterBrake late = brake ("v8", 6, "vm-2");

  CU_ASSERT_PTR_NULL (cluster_brakes_find (b, "draft", "v8"));
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &early), CLUSTER_BRAKE_ADDED);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &early), CLUSTER_BRAKE_KNOWN);
  CU_ASSERT_EQUAL (cluster_brakes_find (b, "draft", "v8")->since, 4);
  CU_ASSERT_PTR_NULL (cluster_brakes_find (b, "draft", "v7"));
  cluster_brakes_release (b, "draft", "v8", 3);
  CU_ASSERT_PTR_NOT_NULL (cluster_brakes_find (b, "draft", "v8"));
  cluster_brakes_release (b, "draft", "v8", 4);
  CU_ASSERT_PTR_NULL (cluster_brakes_find (b, "draft", "v8"));
  /* A peer that has not applied the release yet still sends the brake. */
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &early), CLUSTER_BRAKE_RELEASED);
  CU_ASSERT_PTR_NULL (cluster_brakes_find (b, "draft", "v8"));
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &late), CLUSTER_BRAKE_ADDED);
  CU_ASSERT_STRING_EQUAL (cluster_brakes_find (b, "draft", "v8")->by, "vm-2");
  cluster_brakes_release (b, "draft", "v8", 2);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &early), CLUSTER_BRAKE_RELEASED);
  cluster_brakes_free (b);
}

/* A steward applies the releasing patch first and then gets the released brake from a peer: it must
   not become active. */
static void
a_release_may_arrive_before_its_brake (void)
{
  ClusterBrakes *b = cluster_brakes_new ();
  ClusterBrake k = brake ("v8", 4, "vm-1");

  cluster_brakes_release (b, "draft", "v8", 4);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &k), CLUSTER_BRAKE_RELEASED);
  CU_ASSERT_EQUAL (cluster_brakes_digest (b), 0);
  cluster_brakes_free (b);
}

#define BRAKES 12
#define ROUNDS 200

/* Heartbeats are delayed, duplicated and reordered. Two VMs that received the same brakes in any
   order must have equal sets with equal digests, and different sets must have different digests. */
static void
merging_does_not_depend_on_order (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  ClusterBrake sent[BRAKES];
  ClusterBrake x[CLUSTER_BRAKES_MAX];
  ClusterBrake y[CLUSTER_BRAKES_MAX];

  gsl_rng_set (rng, 5);
  for (int round = 0; round < ROUNDS; round++)
    {
      ClusterBrakes *a = cluster_brakes_new ();
      ClusterBrakes *b = cluster_brakes_new ();
      for (int i = 0; i < BRAKES; i++)
        sent[i] = brake (gsl_rng_uniform_int (rng, 2) ? "v8" : "v9",
                         (int64_t)gsl_rng_uniform_int (rng, 3),
                         gsl_rng_uniform_int (rng, 2) ? "vm-1" : "vm-2");
      cluster_brakes_merge (a, sent, BRAKES);
      for (int i = 0; i < 3 * BRAKES; i++)
        cluster_brakes_add (b, &sent[gsl_rng_uniform_int (rng, BRAKES)]);
      for (int i = BRAKES; i-- > 0;)
        cluster_brakes_add (b, &sent[i]);
      size_t count = cluster_brakes_list (a, x);
      CU_ASSERT_EQUAL (cluster_brakes_list (b, y), count);
      CU_ASSERT_EQUAL (memcmp (x, y, count * sizeof *x), 0);
      CU_ASSERT_EQUAL (cluster_brakes_digest (a), cluster_brakes_digest (b));
      ClusterBrake more = brake ("v9", 50, "vm-1");
      cluster_brakes_add (b, &more);
      CU_ASSERT_NOT_EQUAL (cluster_brakes_digest (a), cluster_brakes_digest (b));
      cluster_brakes_free (a);
      cluster_brakes_free (b);
    }
  gsl_rng_free (rng);
}

static bool
is_even (void *context, const char *model, const char *version)
{
  (void)context;
  (void)model;
  return (version[strlen (version) - 1] - '0') % 2 == 0;
}

static void
the_set_has_a_limit (void)
{
  ClusterBrakes *b = cluster_brakes_new ();
  ClusterBrake list[CLUSTER_BRAKES_MAX];
  char name[16];

  for (int i = 0; i < CLUSTER_BRAKES_MAX; i++)
    {
      snprintf (name, sizeof name, "v%d", i);
      ClusterBrake k = brake (name, 1, "vm-1");
      CU_ASSERT_EQUAL (cluster_brakes_add (b, &k), CLUSTER_BRAKE_ADDED);
    }
  ClusterBrake more = brake ("other", 1, "vm-1");
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &more), CLUSTER_BRAKE_FULL);
  ClusterBrake later = brake ("v0", 2, "vm-1");
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &later), CLUSTER_BRAKE_ADDED);
  cluster_brakes_prune (b, is_even, NULL);
  CU_ASSERT_EQUAL (cluster_brakes_list (b, list), CLUSTER_BRAKES_MAX / 2);
  CU_ASSERT_PTR_NOT_NULL (cluster_brakes_find (b, "draft", "v0"));
  CU_ASSERT_PTR_NULL (cluster_brakes_find (b, "draft", "v1"));
  cluster_brakes_free (b);
}

static void
invalid_brakes_are_rejected (void)
{
  ClusterBrakes *b = cluster_brakes_new ();
  ClusterBrake no_version = brake ("", 1, "vm-1");
  ClusterBrake negative = brake ("v8", -1, "vm-1");
  ClusterBrake unterminated = brake ("v8", 1, "vm-1");

  memset (unterminated.why, 'x', sizeof unterminated.why);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &no_version), CLUSTER_BRAKE_INVALID);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &negative), CLUSTER_BRAKE_INVALID);
  CU_ASSERT_EQUAL (cluster_brakes_add (b, &unterminated), CLUSTER_BRAKE_INVALID);
  CU_ASSERT_EQUAL (cluster_brakes_digest (b), 0);
  cluster_brakes_free (b);
}

static const SuiteCase cases[] = {
  { "a_brake_is_active_until_released", a_brake_is_active_until_released },
  { "a_release_may_arrive_before_its_brake", a_release_may_arrive_before_its_brake },
  { "merging_does_not_depend_on_order", merging_does_not_depend_on_order },
  { "the_set_has_a_limit", the_set_has_a_limit },
  { "invalid_brakes_are_rejected", invalid_brakes_are_rejected },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_brake", cases, SUITE_COUNT (cases));
}
