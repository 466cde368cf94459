/** Requests that crash backend servers: src/choose_quarantine.c. */
#include "choose_quarantine.h"
#include "suite.h"
#include "util_id.h"
#include <string.h>

#define CRASHER   0x1001
#define BYSTANDER 0x2001

static Quarantine *quarantine;
static const QuarantineSettings *settings = &quarantine_settings_default;

/** A death of a server with fingerprints a and b (0: none) and six of its own in flight. */
static QuarantineDeath
death_of (uint64_t server, uint64_t a, uint64_t b)
{
  QuarantineDeath death = { .server = server };
  unsigned i;

  if (a != 0)
    death.flights[death.count++] = a;
  if (b != 0)
    death.flights[death.count++] = b;
  for (i = 0; i < 6; i++)
    death.flights[death.count++] = id_hash (&i, sizeof i, server) | 1;
  return death;
}

static void
add_death (uint64_t server, uint64_t a, uint64_t b, int64_t now_ms)
{
  QuarantineDeath death = death_of (server, a, b);

  quarantine_add (quarantine, &death, now_ms);
}

static void
test_fingerprint_is_of_team_and_body (void)
{
  CU_ASSERT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                   quarantine_fingerprint ("a", "body", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                       quarantine_fingerprint ("b", "body", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                       quarantine_fingerprint ("a", "bode", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("", "", 0), 0);
}

/* A prompt that crashes each engine that runs it, and that its caller sends again, must be refused
   after the second engine. */
static void
test_refused_after_two_servers (void)
{
  quarantine = quarantine_new (settings);
  add_death (1, CRASHER, 0, 1000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 1000));
  add_death (1, CRASHER, 0, 20000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 20000));
  add_death (2, CRASHER, 0, 30000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 30000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, id_hash ("x", 1, 1) | 1, 30000));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 30000 + settings->hold_ms - 1));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 30000 + settings->hold_ms));
  quarantine_free (quarantine);
}

/* A harmless request was in flight beside the crashing one on two engines, as it was retried. Both
   may be the cause, so neither may be refused until the third death tells them apart. */
static void
test_ambiguous_cause_is_not_refused (void)
{
  quarantine = quarantine_new (settings);
  add_death (1, CRASHER, BYSTANDER, 1000);
  add_death (2, CRASHER, BYSTANDER, 2000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 2000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 2000));
  add_death (3, CRASHER, 0, 3000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 3000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 3000));
  quarantine_free (quarantine);
}

/* All engines of a failure domain die within seconds, and requests are retried from one to the
   next. A request that was in flight at two or three dying engines must not be refused. */
static void
test_pool_outage_refuses_nothing (void)
{
  unsigned i;

  quarantine = quarantine_new (settings);
  for (i = 0; i < 20; i++)
    add_death (i + 1, 0x5001 + 2 * (uint64_t)(i / 2), 0x7001 + 2 * (uint64_t)(i / 3),
               1000 + 100 * (int64_t)i);
  for (i = 0; i < 20; i++)
    {
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x5001 + 2 * (uint64_t)i, 5000));
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x7001 + 2 * (uint64_t)i, 5000));
    }
  quarantine_free (quarantine);
}

/* The pool dies engine by engine, 30 s apart, and the first two deaths share a request. It is
   refused as if it had caused them, and must be released when the next engines die without it. */
static void
test_slow_pool_outage_releases (void)
{
  quarantine = quarantine_new (settings);
  add_death (1, BYSTANDER, 0, 0);
  add_death (2, BYSTANDER, 0, 30000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, BYSTANDER, 30000));
  add_death (3, 0, 0, 60000);
  add_death (4, 0, 0, 90000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 90000));
  quarantine_free (quarantine);
}

/* Deaths older than the retention time must not prevent a crashing request from being found. */
static void
test_old_deaths_expire (void)
{
  int64_t later = settings->retention_ms + 1000;

  quarantine = quarantine_new (settings);
  add_death (8, CRASHER, 0, 0);
  add_death (9, 0, 0, later);
  add_death (1, CRASHER, 0, later);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, later));
  add_death (2, CRASHER, 0, later + 1000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, later + 1000));
  quarantine_free (quarantine);
}

/* A caller sends a crashing prompt to another VM after each crash. Without reports between VMs each
   would see one death, and a site of nine VMs would lose eighteen engines. */
static void
test_deaths_reported_between_vms (void)
{
  QuarantineDeath news[QUARANTINE_DEATHS_MAX];
  Quarantine *other = quarantine_new (settings);
  size_t i, n;

  quarantine = quarantine_new (settings);
  add_death (1, CRASHER, 0, 1000);
  n = quarantine_recent_deaths (quarantine, news, QUARANTINE_DEATHS_MAX, 1500);
  CU_ASSERT_EQUAL (n, 1);
  CU_ASSERT_EQUAL (news[0].age_ms, 500);
  for (i = 0; i < 3; i++)
    quarantine_add (other, &news[0], 777000 + 100 * (int64_t)i);
  CU_ASSERT_FALSE (quarantine_contains (other, CRASHER, 777000));
  /* The same death observed by the other VM too, with another request in flight. */
  news[0] = death_of (1, 0x9001, 0);
  quarantine_add (other, &news[0], 777200);
  news[0] = death_of (2, CRASHER, 0);
  quarantine_add (other, &news[0], 780000);
  CU_ASSERT_TRUE (quarantine_contains (other, CRASHER, 780000));
  n = quarantine_recent_deaths (other, news, QUARANTINE_DEATHS_MAX, 780000);
  CU_ASSERT_EQUAL (n, 2);
  for (i = 0; i < n; i++)
    quarantine_add (quarantine, &news[i], 4000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 4000));
  quarantine_free (quarantine);
  quarantine_free (other);
}

/* Reports that another VM sent with wrong values must not be read out of bounds, and the newest
   crashing request must be refused also when the table is full. */
static void
test_out_of_range_reports_and_full_table (void)
{
  QuarantineDeath news[4];
  QuarantineDeath huge = { .server = 5, .count = ~0U };
  QuarantineDeath none = { .server = 0, .count = 1 };
  QuarantineDeath old = { .server = 6, .age_ms = ~0U };
  uint64_t i;

  quarantine = quarantine_new (settings);
  memset (huge.flights, 0x11, sizeof huge.flights);
  quarantine_add (quarantine, &huge, 0);
  quarantine_add (quarantine, &none, 0);
  quarantine_add (quarantine, &old, 0);
  CU_ASSERT_EQUAL (quarantine_recent_deaths (quarantine, news, 4, 0), 1);
  CU_ASSERT_EQUAL (news[0].count, 1);
  /* Three times as many crashing requests as are kept, far apart in time. */
  for (i = 0; i < 3UL * QUARANTINE_HELD_MAX; i++)
    {
      int64_t at = (int64_t)i * 2 * settings->retention_ms;

      add_death (100 + i, 0x10001 + 2 * i, 0, at);
      add_death (900000 + i, 0x10001 + 2 * i, 0, at + 1000);
      CU_ASSERT_TRUE (quarantine_contains (quarantine, 0x10001 + 2 * i, at + 1000));
    }
  quarantine_free (quarantine);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "fingerprint", test_fingerprint_is_of_team_and_body },
    { "refused_after_two_servers", test_refused_after_two_servers },
    { "ambiguous_cause_is_not_refused", test_ambiguous_cause_is_not_refused },
    { "pool_outage_refuses_nothing", test_pool_outage_refuses_nothing },
    { "slow_pool_outage_releases", test_slow_pool_outage_releases },
    { "old_deaths_expire", test_old_deaths_expire },
    { "deaths_reported_between_vms", test_deaths_reported_between_vms },
    { "out_of_range_reports_and_full_table", test_out_of_range_reports_and_full_table },
  };

  return suite_main (argc, argv, "choose_quarantine", cases, SUITE_COUNT (cases));
}
