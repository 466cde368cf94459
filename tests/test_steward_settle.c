/**
 * What a steward does at its planned stop with the usage records that it holds for other VMs.
 */
#include "fake_gate.h"
#include "steward_settle.h"
#include "suite.h"
#include "util_clock.h"
#include <stdlib.h>

#define GATE      7U
#define SPOOL_MAX (1U << 20)
#define RECORDS   20
#define LEAVE_MS  200

/* Records of a gate, taken a moment ago. */
static void
take_copies (FakeSite *site)
{
  for (int n = 0; n < RECORDS; n++)
    {
      BillRecord record = fake_bill (n);
      BillEntry *entry = bill_entry_new (&record, NULL);
      char *text = bill_entry_json (entry);
      const char *const texts[] = { text };

      CU_ASSERT_TRUE (bill_replica_take (site->replica, GATE, texts, 1, clock_boot_ms ()));
      free (text);
      bill_entry_unref (entry);
    }
}

/*
 * Answers are not billed at all. Their VM was cut off from the platform, so that their records were
 * with stewards of other VMs only, and then it died; within the minute after which a gate counts as
 * gone those VMs were replaced as planned, and their stewards forgot the records. Found by the soak
 * run.
 */
static void
test_planned_stop_brings_copies_to_the_table (void)
{
  FakeSite site = fake_site_new ();
  Steward s = { .bills = site.replica, .platform = site.platform };

  take_copies (&site);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), 0);
  CU_ASSERT_EQUAL (steward_settle_leave (&s, LEAVE_MS), 0);
  for (int n = 0; n < RECORDS; n++)
    CU_ASSERT_TRUE (fake_site_is_billed (&site, n));
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  fake_site_free (&site);
}

/* The same while the gate goes on and writes its records itself later: each is there once. */
static void
test_copies_of_a_living_gate_are_billed_once (void)
{
  FakeSite site = fake_site_new ();
  Steward s = { .bills = site.replica, .platform = site.platform };
  FakeGate *gate = fake_gate_new (&site, GATE, SPOOL_MAX);

  take_copies (&site);
  CU_ASSERT_EQUAL (steward_settle_leave (&s, LEAVE_MS), 0);
  for (int n = 0; n < RECORDS; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_TABLE);
  CU_ASSERT_EQUAL (fake_gate_free (gate, LEAVE_MS), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  fake_site_free (&site);
}

/* The table is away: the stop goes on after its bound, and says how many records are lost here. */
static void
test_table_away_bounds_the_stop (void)
{
  FakeSite site = fake_site_new ();
  Platform *link = fake_link_new (site.platform);
  Steward s = { .bills = site.replica, .platform = link };

  take_copies (&site);
  fake_link_set (link, CALL_TXN | CALL_GET | CALL_SCAN, LINK_REFUSED);
  CU_ASSERT_EQUAL (steward_settle_leave (&s, LEAVE_MS), RECORDS);
  fake_link_set (link, CALL_TXN | CALL_GET | CALL_SCAN, LINK_UP);
  CU_ASSERT_EQUAL (steward_settle_leave (&s, LEAVE_MS), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  platform_free (link);
  fake_site_free (&site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "planned-stop-brings-copies-to-the-table", test_planned_stop_brings_copies_to_the_table },
    { "copies-of-a-living-gate-are-billed-once", test_copies_of_a_living_gate_are_billed_once },
    { "table-away-bounds-the-stop", test_table_away_bounds_the_stop },
  };

  return suite_main (argc, argv, "steward_settle", cases, SUITE_COUNT (cases));
}
