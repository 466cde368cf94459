/**
 * Usage records that a steward holds for other VMs, at its graceful stop.
 */
#include "fake_gate.h"
#include "steward_recover.h"
#include "suite.h"
#include "util_clock.h"
#include <stdlib.h>

#define GATE             7U
#define SPOOL_MAX        (1U << 20)
#define RECORDS          20
#define LEAVE_TIMEOUT_MS 200

/* Stores copies of a gate's records, received just now. */
static void
add_copies (FakeSite *site)
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
 * Guards against answers that are never billed: their VM is cut off from the platform, so that only
 * stewards of other VMs hold their records, and dies. Those VMs are replaced as planned within the
 * minute after which a gate counts as terminated.
 */
static void
test_graceful_stop_writes_copies_to_the_table (void)
{
  FakeSite site = fake_site_new ();
  Steward s = { .bills = site.replica, .platform = site.platform };

  add_copies (&site);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), 0);
  CU_ASSERT_EQUAL (steward_recover_at_stop (&s, LEAVE_TIMEOUT_MS), 0);
  for (int n = 0; n < RECORDS; n++)
    CU_ASSERT_TRUE (fake_site_is_billed (&site, n));
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  fake_site_free (&site);
}

/* The same while the gate still runs and writes its records itself later: each must be stored
   once. */
static void
test_copies_of_a_running_gate_are_billed_once (void)
{
  FakeSite site = fake_site_new ();
  Steward s = { .bills = site.replica, .platform = site.platform };
  FakeGate *gate = fake_gate_new (&site, GATE, SPOOL_MAX);

  add_copies (&site);
  CU_ASSERT_EQUAL (steward_recover_at_stop (&s, LEAVE_TIMEOUT_MS), 0);
  for (int n = 0; n < RECORDS; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_TABLE);
  CU_ASSERT_EQUAL (fake_gate_free (gate, LEAVE_TIMEOUT_MS), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  fake_site_free (&site);
}

/* With the table unavailable, the stop must end within its limit and return how many records are
   lost. */
static void
test_unavailable_table_bounds_the_stop (void)
{
  FakeSite site = fake_site_new ();
  Platform *link = fake_link_new (site.platform);
  Steward s = { .bills = site.replica, .platform = link };

  add_copies (&site);
  fake_link_set (link, CALL_TXN | CALL_GET | CALL_SCAN, LINK_REFUSED);
  CU_ASSERT_EQUAL (steward_recover_at_stop (&s, LEAVE_TIMEOUT_MS), RECORDS);
  fake_link_set (link, CALL_TXN | CALL_GET | CALL_SCAN, LINK_UP);
  CU_ASSERT_EQUAL (steward_recover_at_stop (&s, LEAVE_TIMEOUT_MS), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), RECORDS);
  platform_free (link);
  fake_site_free (&site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "graceful_stop_writes_copies_to_the_table", test_graceful_stop_writes_copies_to_the_table },
    { "copies_of_a_running_gate_are_billed_once", test_copies_of_a_running_gate_are_billed_once },
    { "unavailable_table_bounds_the_stop", test_unavailable_table_bounds_the_stop },
  };

  return suite_main (argc, argv, "steward_recover", cases, SUITE_COUNT (cases));
}
