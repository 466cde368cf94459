/** Requests that crash backend servers: src/choose_quarantine.c. */
#include "choose_quarantine.h"
#include "suite.h"
#include "util_id.h"
#include <string.h>

#define CRASHER   0x1001
#define BYSTANDER 0x2001

static Quarantine *quarantine;
static const QuarantineSettings *settings = &quarantine_settings_default;

/** A death of a server under two fingerprints and some of its own. */
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
die (uint64_t server, uint64_t a, uint64_t b, int64_t now_ms)
{
  QuarantineDeath death = death_of (server, a, b);

  quarantine_add (quarantine, &death, now_ms);
}

static void
test_fingerprint (void)
{
  CU_ASSERT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                   quarantine_fingerprint ("a", "body", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                       quarantine_fingerprint ("b", "body", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("a", "body", 4),
                       quarantine_fingerprint ("a", "bode", 4));
  CU_ASSERT_NOT_EQUAL (quarantine_fingerprint ("", "", 0), 0);
}

/* Story: a prompt crashes each engine that runs it, and its caller sends it again. After the second
   engine it is refused. */
static void
test_two_servers (void)
{
  quarantine = quarantine_new (settings);
  die (1, CRASHER, 0, 1000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 1000));
  die (1, CRASHER, 0, 20000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 20000));
  die (2, CRASHER, 0, 30000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 30000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, id_hash ("x", 1, 1) | 1, 30000));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 30000 + settings->hold_ms - 1));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 30000 + settings->hold_ms));
  quarantine_free (quarantine);
}

/* Story: a bystander was in flight beside the crasher on the first engine, was retried, and met it
   again on the second. Both explain both deaths; refusing both would refuse an innocent caller. The
   third death tells them apart. */
static void
test_bystander (void)
{
  quarantine = quarantine_new (settings);
  die (1, CRASHER, BYSTANDER, 1000);
  die (2, CRASHER, BYSTANDER, 2000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 2000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 2000));
  die (3, CRASHER, 0, 3000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 3000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 3000));
  quarantine_free (quarantine);
}

/* Story: all engines of a failure domain die within seconds. Requests are retried from one to the
   next while they die; each was at two or three dying engines, and its caller is refused for an
   hour though it did nothing. */
static void
test_pool_outage (void)
{
  unsigned i;

  quarantine = quarantine_new (settings);
  for (i = 0; i < 20; i++)
    die (i + 1, 0x5001 + 2 * (uint64_t)(i / 2), 0x7001 + 2 * (uint64_t)(i / 3),
         1000 + 100 * (int64_t)i);
  for (i = 0; i < 20; i++)
    {
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x5001 + 2 * (uint64_t)i, 5000));
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x7001 + 2 * (uint64_t)i, 5000));
    }
  quarantine_free (quarantine);
}

/* Story: the pool dies engine by engine, half a minute apart. The first two have one request in
   common, which is refused as if it had killed them, until the next engines die without it. */
static void
test_slow_pool_outage_lets_go (void)
{
  quarantine = quarantine_new (settings);
  die (1, BYSTANDER, 0, 0);
  die (2, BYSTANDER, 0, 30000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, BYSTANDER, 30000));
  die (3, 0, 0, 60000);
  die (4, 0, 0, 90000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 90000));
  quarantine_free (quarantine);
}

/* Story: engines die of age on other days; a crasher after that is still found. */
static void
test_old_deaths_fade (void)
{
  int64_t later = settings->retention_ms + 1000;

  quarantine = quarantine_new (settings);
  die (8, CRASHER, 0, 0);
  die (9, 0, 0, later);
  die (1, CRASHER, 0, later);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, later));
  die (2, CRASHER, 0, later + 1000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, later + 1000));
  quarantine_free (quarantine);
}

/* Story: the caller sends the prompt to another VM after each crash; each VM alone sees one engine
   die, and a site of nine VMs loses eighteen engines. */
static void
test_news_between_vms (void)
{
  QuarantineDeath news[QUARANTINE_DEATHS_MAX];
  Quarantine *other = quarantine_new (settings);
  size_t i, n;

  quarantine = quarantine_new (settings);
  die (1, CRASHER, 0, 1000);
  n = quarantine_recent_deaths (quarantine, news, QUARANTINE_DEATHS_MAX, 1500);
  CU_ASSERT_EQUAL (n, 1);
  CU_ASSERT_EQUAL (news[0].age_ms, 500);
  for (i = 0; i < 3; i++)
    quarantine_add (other, &news[0], 777000 + 100 * (int64_t)i);
  CU_ASSERT_FALSE (quarantine_contains (other, CRASHER, 777000));
  /* The same death seen by the other VM too, under other requests of its own. */
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

static void
test_bounds (void)
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
  /* Far more crashers than are held: no two of them near each other. */
  for (i = 0; i < 3UL * QUARANTINE_HELD_MAX; i++)
    {
      int64_t at = (int64_t)i * 2 * settings->retention_ms;

      die (100 + i, 0x10001 + 2 * i, 0, at);
      die (900000 + i, 0x10001 + 2 * i, 0, at + 1000);
      CU_ASSERT_TRUE (quarantine_contains (quarantine, 0x10001 + 2 * i, at + 1000));
    }
  quarantine_free (quarantine);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "fingerprint", test_fingerprint },
    { "two_servers", test_two_servers },
    { "bystander", test_bystander },
    { "pool_outage", test_pool_outage },
    { "slow_pool_outage_lets_go", test_slow_pool_outage_lets_go },
    { "old_deaths_fade", test_old_deaths_fade },
    { "news_between_vms", test_news_between_vms },
    { "bounds", test_bounds },
  };

  return suite_main (argc, argv, "choose_quarantine", cases, SUITE_COUNT (cases));
}
