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

static const QuarantineSettings short_lived = { .servers = 3,
                                                .retention_ms = 60000,
                                                .outage_ms = 1000,
                                                .same_death_ms = 3000,
                                                .hold_ms = 120000,
                                                .final_after_ms = 1000 };
/* The same, where some number of deaths is enough whatever else died. */
static const QuarantineSettings repeated = { .servers = 3,
                                             .repeated_deaths = 4,
                                             .suspect_hold_ms = 10000,
                                             .retention_ms = 60000,
                                             .outage_ms = 1000,
                                             .same_death_ms = 3000,
                                             .hold_ms = 120000,
                                             .final_after_ms = 1000 };
static const QuarantineReportLimit report_limit = { .deaths = 24, .flights = 32, .age_ms = 3000 };

static bool
reports (const QuarantineDeath *deaths, size_t count, uint64_t server, uint64_t fingerprint)
{
  for (size_t i = 0; i < count; i++)
    {
      for (uint32_t j = 0; j < deaths[i].count && deaths[i].server == server; j++)
        {
          if (deaths[i].flights[j] == fingerprint)
            return true;
        }
    }
  return false;
}

/* Three requests crash servers in turn, within a second. Guards against deaths under one of them
 * that speak against the others. */
static void
test_several_causes_are_refused (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 12; i++)
    add_death (i + 1, CRASHER + 2 * (i % 3), 0, 1000 + 50 * (int64_t)i);
  for (uint64_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER + 2 * i, 2000));
  quarantine_free (quarantine);
}

/* A harmless request is retried at three servers that another one crashes. Guards against its
 * refusal, and against the other's being put off. */
static void
test_retried_beside_a_cause_is_not_refused (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 5; i++)
    add_death (i + 1, CRASHER, i > 0 && i < 4 ? BYSTANDER : 0, 1000 + 100 * (int64_t)i);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 12000));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 12000));
  quarantine_free (quarantine);
}

/* All four servers of a service die under two requests that were at each of them. Guards against a
 * wait for a death that tells them apart, which costs another server each time. */
static void
test_causes_at_the_same_deaths_are_refused (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 4; i++)
    add_death (i + 1, CRASHER, CRASHER + 2, 1000 + 100 * (int64_t)i);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 2000));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER + 2, 2000));
  quarantine_free (quarantine);
}

/* A pool dies within two seconds, and each request is retried at three of its servers at most.
 * Guards against their refusal for longer than callers wait, and against telling others of it. */
static void
test_retried_in_an_outage_is_suspended (void)
{
  QuarantineRefusal told[8];

  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 18; i++)
    add_death (i + 1, 0x5001 + 2 * (i / 3), 0x7001 + 2 * (i / 2), 1000 + 110 * (int64_t)i);
  for (uint64_t i = 0; i < 6; i++)
    {
      CU_ASSERT_TRUE (quarantine_contains (quarantine, 0x5001 + 2 * i, 3000));
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x5001 + 2 * i, 13000));
      CU_ASSERT_FALSE (quarantine_contains (quarantine, 0x7001 + 2 * i, 3000));
    }
  CU_ASSERT_EQUAL (quarantine_refusals (quarantine, told, 8, 0, 4000), 0);
  quarantine_free (quarantine);
}

/* A request that many callers send alike is at eight of eighteen deaths of a pool. Guards against
 * its refusal where it is answered all the time. */
static void
test_answered_request_is_not_suspected (void)
{
  quarantine = quarantine_new (&repeated);
  quarantine_note_answer (quarantine, BYSTANDER, 500);
  for (uint64_t i = 0; i < 18; i++)
    add_death (i + 1, i < 8 ? BYSTANDER : 0, 0, 1000 + 10 * (int64_t)i);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 2000));
  quarantine_free (quarantine);
}

/* A service has two servers, which start again under their ids each time that a request crashes
 * them. Guards against counting their ids, of which there are never enough. */
static void
test_servers_that_start_again_count (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 3; i++)
    add_death (1 + i % 2, CRASHER, 0, 4000 * (int64_t)i);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 17900));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 18000));
  add_death (2, CRASHER, 0, 22000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 22000 + repeated.hold_ms - 1));
  quarantine_free (quarantine);
}

/* The same, first answered after the deaths. */
static void
test_answer_ends_suspicion (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 9; i++)
    add_death (i + 1, i < 3 ? BYSTANDER : 0, 0, 1000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, BYSTANDER, 2000));
  quarantine_note_answer (quarantine, BYSTANDER, 2000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, BYSTANDER, 2000));
  quarantine_free (quarantine);
}

/* A request crashes three servers beside others that were found. Guards against its being sent on
 * until four died under it alone. */
static void
test_hidden_cause_is_suspended_then_refused (void)
{
  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 6; i++)
    add_death (i + 1, CRASHER, i < 3 ? CRASHER + 2 : 0, 1000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 1000));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER + 2, 10900));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER + 2, 11000));
  add_death (7, CRASHER + 2, 0, 12000);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER + 2, 12000));
  quarantine_free (quarantine);
}

/* A request is retried at three servers beside one that crashes them, and another one crashes three
 * servers. Guards against reports without the latter, which others have to know. */
static void
test_reports_put_unexplained_deaths_first (void)
{
  QuarantineReportLimit limit = { .deaths = 24, .flights = 8, .age_ms = 3000 };
  QuarantineDeath news[24];

  quarantine = quarantine_new (&repeated);
  for (uint64_t i = 0; i < 5; i++)
    add_death (i + 1, CRASHER, i > 0 && i < 4 ? BYSTANDER : 0, 1000);
  for (uint64_t i = 5; i < 8; i++)
    add_death (i + 1, CRASHER + 2, 0, 1000);
  for (unsigned turn = 0; turn < 20; turn++)
    {
      size_t count = quarantine_report (quarantine, news, &limit, turn, 1500);

      for (uint64_t i = 0; i < 8; i++)
        CU_ASSERT (reports (news, count, i + 1, i < 5 ? CRASHER : CRASHER + 2));
    }
  quarantine_free (quarantine);
}

/* Twenty servers die with seven requests each, which is more than a message holds. A request that
 * was at several of the deaths must be in each message, and the others in some. */
static void
test_reports_begin_with_suspects (void)
{
  QuarantineDeath news[24];
  unsigned turns_until_all = 0;
  bool seen[20] = { false };
  unsigned missing = 20;

  quarantine = quarantine_new (&short_lived);
  for (uint64_t i = 0; i < 20; i++)
    add_death (i + 1, i % 3 ? CRASHER : 0, 0, 1000);
  for (; missing > 0 && turns_until_all < 60; turns_until_all++)
    {
      size_t count = quarantine_report (quarantine, news, &report_limit, turns_until_all, 1500);

      CU_ASSERT_EQUAL (count, 20);
      for (uint64_t i = 0; i < 20; i++)
        {
          unsigned own = 0;
          bool has_own = reports (news, count, i + 1, id_hash (&own, sizeof own, i + 1) | 1);

          CU_ASSERT_EQUAL (reports (news, count, i + 1, CRASHER), i % 3 != 0);
          missing -= has_own && !seen[i];
          seen[i] |= has_own;
        }
    }
  CU_ASSERT_EQUAL (missing, 0);
  CU_ASSERT_EQUAL (quarantine_report (quarantine, news, &report_limit, 0, 4001), 0);
  quarantine_free (quarantine);
}

/* A server dies with more requests than are kept. The one that is at other deaths, too, must be
 * kept, though it is reported last. */
static void
test_full_death_keeps_suspects (void)
{
  QuarantineDeath full = { .server = 3, .count = QUARANTINE_FLIGHT_MAX };
  QuarantineDeath last = { .server = 3, .count = 2, .flights = { 0x9001, CRASHER } };

  for (uint32_t i = 0; i < full.count; i++)
    full.flights[i] = 0x8001 + 2 * (uint64_t)i;
  quarantine = quarantine_new (&short_lived);
  add_death (1, CRASHER, 0, 1000);
  add_death (2, CRASHER, 0, 1000);
  quarantine_add (quarantine, &full, 1000);
  CU_ASSERT_FALSE (quarantine_contains (quarantine, CRASHER, 1000));
  CU_ASSERT_TRUE (quarantine_add (quarantine, &last, 1000));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, CRASHER, 1000));
  CU_ASSERT_FALSE (quarantine_add (quarantine, &last, 1000));
  quarantine_free (quarantine);
}

/* A VM that knows other deaths only must refuse what another one has refused for a while, and must
 * not release it for the deaths that it knows. What is refused for less may still be released. */
static void
test_final_refusal_is_told_and_kept (void)
{
  QuarantineRefusal told[2];
  Quarantine *other = quarantine_new (&short_lived);

  quarantine = quarantine_new (&short_lived);
  for (uint64_t i = 1; i <= 3; i++)
    add_death (i, CRASHER, 0, 1000);
  CU_ASSERT_EQUAL (quarantine_refusals (quarantine, told, 2, 0, 1999), 0);
  CU_ASSERT_EQUAL (quarantine_refusals (quarantine, told, 2, 0, 2000), 1);
  CU_ASSERT_EQUAL (told[0].fingerprint, CRASHER);
  CU_ASSERT_EQUAL (told[0].left_ms, short_lived.hold_ms - 1000);
  quarantine_add_refusal (other, &told[0], 500000);
  for (uint64_t i = 4; i <= 9; i++)
    {
      QuarantineDeath death = death_of (i, 0, 0);

      quarantine_add (other, &death, 500000);
    }
  CU_ASSERT_TRUE (quarantine_contains (other, CRASHER, 500000));
  quarantine_free (quarantine);
  quarantine_free (other);
}

/* Two VMs tell each other what they refuse for as long as they do. The refusal must end all the
 * same, whatever time each report takes. */
static void
test_refusal_is_not_prolonged_by_reports (void)
{
  QuarantineRefusal told, wrong = { .fingerprint = CRASHER, .left_ms = UINT32_MAX };
  Quarantine *vms[] = { quarantine_new (&short_lived), quarantine_new (&short_lived) };
  int64_t now_ms = 1000;

  for (uint64_t i = 1; i <= 3; i++)
    {
      QuarantineDeath death = death_of (i, CRASHER, 0);

      quarantine_add (vms[0], &death, now_ms);
    }
  for (unsigned i = 0; now_ms < 1000 + 2 * short_lived.hold_ms; i++, now_ms += 500)
    {
      if (quarantine_refusals (vms[i % 2], &told, 1, 0, now_ms) == 1)
        quarantine_add_refusal (vms[1 - i % 2], &told, now_ms + 100);
    }
  CU_ASSERT_FALSE (quarantine_contains (vms[0], CRASHER, now_ms));
  CU_ASSERT_FALSE (quarantine_contains (vms[1], CRASHER, now_ms));
  quarantine_add_refusal (vms[0], &wrong, now_ms);
  CU_ASSERT_FALSE (quarantine_contains (vms[0], CRASHER, now_ms));
  quarantine_free (vms[0]);
  quarantine_free (vms[1]);
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
    { "several_causes_are_refused", test_several_causes_are_refused },
    { "retried_beside_a_cause_is_not_refused", test_retried_beside_a_cause_is_not_refused },
    { "causes_at_the_same_deaths_are_refused", test_causes_at_the_same_deaths_are_refused },
    { "retried_in_an_outage_is_suspended", test_retried_in_an_outage_is_suspended },
    { "answered_request_is_not_suspected", test_answered_request_is_not_suspected },
    { "servers_that_start_again_count", test_servers_that_start_again_count },
    { "answer_ends_suspicion", test_answer_ends_suspicion },
    { "hidden_cause_is_suspended_then_refused", test_hidden_cause_is_suspended_then_refused },
    { "reports_put_unexplained_deaths_first", test_reports_put_unexplained_deaths_first },
    { "reports_begin_with_suspects", test_reports_begin_with_suspects },
    { "full_death_keeps_suspects", test_full_death_keeps_suspects },
    { "final_refusal_is_told_and_kept", test_final_refusal_is_told_and_kept },
    { "refusal_is_not_prolonged_by_reports", test_refusal_is_not_prolonged_by_reports },
    { "out_of_range_reports_and_full_table", test_out_of_range_reports_and_full_table },
  };

  return suite_main (argc, argv, "choose_quarantine", cases, SUITE_COUNT (cases));
}
