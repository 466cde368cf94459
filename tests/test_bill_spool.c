/**
 * The spool of a gate: its limits, and the records that it spills to the object store.
 */
#include "bill_spool.h"
#include "fake_gate.h"
#include "suite.h"
#include "util_clock.h"
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SPOOL_MAX (1U << 20)

typedef struct
{
  FakeSite site;
  FakeGate *gate;
} Fixture;

static void
fixture_init (Fixture *w)
{
  w->site = fake_site_new ();
  w->gate = fake_gate_new (&w->site, 1, SPOOL_MAX);
}

static void
fixture_free (Fixture *w)
{
  CU_ASSERT_EQUAL (fake_gate_free (w->gate, 30000), 0);
  fake_site_free (&w->site);
}

/* Room for about fifty records. */
#define SPILL_SPOOL_MAX 65536
/* Longer than the writer's interval between two writes of the gate's row. */
#define INDEX_WAIT_MS 1200

static bool
spool_is_empty (void *context)
{
  BillBacklog backlog;

  bill_backlog (context, &backlog);
  return backlog.count == 0;
}

/* Every place is down. All records of accepted requests must be kept; new work must be refused as
 * soon as the spool is full, and accepted again after the table is back. */
static void
test_full_spool_refuses_new_work (void)
{
  Fixture w;
  BillBacklog backlog;
  int n = 0;

  fixture_init (&w);
  fake_link_set (w.gate->link, CALL_ALL | CALL_COPY, LINK_REFUSED);
  while (bill_has_room (w.gate->writer))
    fake_gate_commit (w.gate, n++);
  CU_ASSERT_TRUE (n > 500);
  for (int i = 0; i < 50; i++)
    fake_gate_commit (w.gate, n++);
  bill_backlog (w.gate->writer, &backlog);
  CU_ASSERT_EQUAL (backlog.count, (size_t)n);
  CU_ASSERT_TRUE (backlog.bytes <= SPOOL_MAX && backlog.table_down);
  fake_link_set (w.gate->link, CALL_ALL | CALL_COPY, LINK_UP);
  CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
  CU_ASSERT_TRUE (bill_has_room (w.gate->writer));
  CU_ASSERT_EQUAL (fake_platform_rows (w.site.platform, BILL_TABLE), (size_t)n);
  fixture_free (&w);
}

/* Commits records until that many have been spilled; returns how many were committed. */
static int
commit_until_spilled (Fixture *w, size_t spilled)
{
  BillBacklog backlog = { 0 };
  int wrong = 0;
  int n = 0;

  fake_link_set (w->gate->link, CALL_TXN, LINK_REFUSED);
  while (backlog.spilled < spilled)
    {
      if (!bill_has_room (w->gate->writer))
        clock_sleep_ms (1);
      else if (fake_gate_commit (w->gate, n++) != BILL_AT_OBJECT_STORE)
        wrong++;
      bill_backlog (w->gate->writer, &backlog);
      wrong += backlog.bytes > SPILL_SPOOL_MAX;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  return n;
}

static void
check_all_billed (Fixture *w, int count)
{
  CU_ASSERT_EQUAL (fake_platform_rows (w->site.platform, BILL_TABLE), (size_t)count);
  for (int n = 0; n < count; n++)
    CU_ASSERT_TRUE (fake_site_is_billed (&w->site, n));
}

/* The table is down for a long time while the object store is up. Records that are in an object
 * must be removed from memory, so that new work is accepted, and must reach the table from the
 * object store. */
static void
test_long_outage_spills_to_object_store (void)
{
  Fixture w = { .site = fake_site_new () };
  int n;

  w.gate = fake_gate_new (&w.site, 1, SPILL_SPOOL_MAX);
  n = commit_until_spilled (&w, 500);
  fake_link_set (w.gate->link, CALL_TXN, LINK_UP);
  CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
  check_all_billed (&w, n);
  fixture_free (&w);
}

/* The gate dies when its spool is empty but its spilled records are not in the table yet. Its row
 * must still lead to the objects with these records. */
static void
test_spilled_records_of_a_killed_gate_are_recovered (void)
{
  Fixture w = { .site = fake_site_new () };
  int n;

  w.gate = fake_gate_new (&w.site, 1, SPILL_SPOOL_MAX);
  n = commit_until_spilled (&w, 100);
  fake_link_set (w.gate->link, CALL_OBJECT_GET, LINK_REFUSED);
  fake_link_set (w.gate->link, CALL_TXN, LINK_UP);
  CU_ASSERT_TRUE (suite_wait (spool_is_empty, w.gate->writer));
  clock_sleep_ms (INDEX_WAIT_MS);
  fake_link_kill (w.gate->link);
  CU_ASSERT_TRUE (fake_gate_free (w.gate, 0) >= 100);
  fake_site_settle (&w.site, NULL);
  check_all_billed (&w, n);
  fake_site_free (&w.site);
}

/* While spilled records are read back the table loses calls again. Records that were read but not
 * written must be read again. */
static void
test_spilled_records_are_read_again (void)
{
  Fixture w = { .site = fake_site_new () };
  int n;

  w.gate = fake_gate_new (&w.site, 1, SPILL_SPOOL_MAX);
  n = commit_until_spilled (&w, 100);
  fake_link_set (w.gate->link, CALL_OBJECT_GET, LINK_REFUSED);
  fake_link_set (w.gate->link, CALL_TXN, LINK_UP);
  CU_ASSERT_TRUE (suite_wait (spool_is_empty, w.gate->writer));
  fake_link_set (w.gate->link, CALL_TXN, LINK_CALL_LOST);
  fake_link_set (w.gate->link, CALL_OBJECT_GET, LINK_UP);
  clock_sleep_ms (INDEX_WAIT_MS);
  fake_link_set (w.gate->link, CALL_TXN, LINK_UP);
  CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
  check_all_billed (&w, n);
  fixture_free (&w);
}

/* Only records that are in the object store may be removed from memory, oldest first. */
static void
test_only_records_in_object_store_are_spilled (void)
{
  static const BillPlace places[] = { BILL_AT_SPOOL, BILL_AT_OBJECT_STORE, BILL_AT_REPLICA };
  BillSpool spool;
  BillEntry *left[4096];
  size_t added = 0;
  size_t spilled;
  size_t count;

  bill_spool_init (&spool, SPOOL_MAX, 0);
  for (; bill_spool_has_room (&spool); added++)
    {
      BillRecord record = fake_bill ((int)added);
      BillEntry *entry = bill_entry_new (&record, NULL);

      bill_spool_add (&spool, entry);
      bill_spool_update_place (&spool, entry, places[added % 3]);
      bill_entry_unref (entry);
    }
  spilled = bill_spool_spill (&spool);
  CU_ASSERT_EQUAL (spilled, added / 3);
  CU_ASSERT_FALSE (bill_spool_may_spill (&spool));
  count = bill_spool_oldest (&spool, 0, left, SUITE_COUNT (left));
  CU_ASSERT_EQUAL (count, added - spilled);
  for (size_t i = 0; i < count; i++)
    CU_ASSERT_NOT_EQUAL (left[i]->place, BILL_AT_OBJECT_STORE);
  bill_spool_clear (&spool);
}

/* Settled claims contain their answers. When the room is used up answers must be dropped, and never
 * bills. */
static void
test_full_spool_drops_answers (void)
{
  BillSpool spool;
  char answer[4096];
  Claim claim = { .key = "t/k", .nonce = "n" };
  ClaimSettlement settlement
      = { .claim = &claim, .http_status = 200, .answer = answer, .answer_len = sizeof answer };
  size_t complete = 0;
  size_t dropped = 0;

  memset (answer, 'x', sizeof answer);
  bill_spool_init (&spool, SPOOL_MAX, 100);
  CU_ASSERT_EQUAL (spool.bytes_max, SPOOL_MAX - 100 * BILL_RESERVE_BYTES);
  for (int n = 0; bill_spool_has_room (&spool); n++)
    {
      BillRecord record = fake_bill (n);
      BillEntry *entry = bill_entry_new (&record, &settlement);

      if (bill_spool_add (&spool, entry))
        complete++;
      else
        dropped++;
      CU_ASSERT_TRUE (spool.bytes <= spool.bytes_max);
      bill_entry_unref (entry);
    }
  CU_ASSERT_TRUE (complete > 100 && dropped > 0);
  CU_ASSERT_EQUAL (spool.count, complete + dropped);
  bill_spool_clear (&spool);
  CU_ASSERT_EQUAL (spool.bytes, 0);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "full_spool_refuses_new_work", test_full_spool_refuses_new_work },
    { "long_outage_spills_to_object_store", test_long_outage_spills_to_object_store },
    { "spilled_records_of_a_killed_gate_are_recovered",
      test_spilled_records_of_a_killed_gate_are_recovered },
    { "spilled_records_are_read_again", test_spilled_records_are_read_again },
    { "only_records_in_object_store_are_spilled", test_only_records_in_object_store_are_spilled },
    { "full_spool_drops_answers", test_full_spool_drops_answers },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "bill_spool", cases, SUITE_COUNT (cases));
}
