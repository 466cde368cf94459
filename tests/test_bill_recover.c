/**
 * Recovery of the records that a gate left in the object store or as copies on other VMs.
 */
#include "bill_fallback.h"
#include "fake_gate.h"
#include "suite.h"
#include "util_memory.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SPOOL_MAX (1U << 20)
#define PAGE_ROWS 256 /* that a recovery reads at once */
#define KEY_SIZE  64  /* bytes of a key of another writer */

static bool
is_alive (void *context, uint64_t gate)
{
  (void)gate;
  return *(bool *)context;
}

/* The table is down, records are stored in the object store, and the VM dies. Two stewards, one
 * after the other, recover them: each record must be in the table once. */
static void
test_objects_of_a_terminated_gate_are_recovered (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 0xfedcba9876543210U, SPOOL_MAX);
  BillRecovery recovery;
  bool alive = true;

  fake_link_set (gate->link, CALL_TXN, LINK_REFUSED);
  for (int n = 0; n < 20; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_OBJECT_STORE);
  fake_gate_kill (gate);
  bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL);
  CU_ASSERT_EQUAL (recovery.objects, 0);
  alive = false;
  CU_ASSERT_EQUAL (bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL),
                   STATUS_OK);
  CU_ASSERT_EQUAL (recovery.records, 20);
  for (int n = 0; n < 20; n++)
    CU_ASSERT_TRUE (fake_site_is_billed (&site, n));
  bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL);
  CU_ASSERT_EQUAL (recovery.objects, 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), 20);
  fake_site_free (&site);
}

typedef struct
{
  FakeGate *gate;
  int n;
} Commit;

static bool
reaches_object_store (void *context)
{
  const Commit *c = context;

  return fake_gate_commit (c->gate, c->n) == BILL_AT_OBJECT_STORE;
}

/* Some writes to the object store fail or lose their reply. If such a number were skipped,
 * recovery, which reads one number after the other, would stop there and miss the rest. */
static void
test_object_numbers_are_consecutive (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  static const LinkState faults[] = { LINK_CALL_LOST, LINK_REPLY_LOST, LINK_REFUSED };

  fake_link_set (gate->link, CALL_TXN | CALL_COPY, LINK_REFUSED);
  for (int n = 0; n < 12; n += 2)
    {
      Commit c = { .gate = gate, .n = n };

      fake_link_set (gate->link, CALL_OBJECT_PUT, faults[n / 2 % 3]);
      CU_ASSERT_EQUAL (fake_gate_commit (gate, n + 1), BILL_AT_SPOOL);
      fake_link_set (gate->link, CALL_OBJECT_PUT, LINK_UP);
      CU_ASSERT_TRUE (suite_wait (reaches_object_store, &c));
    }
  fake_gate_kill (gate);
  fake_site_settle (&site, NULL);
  for (int n = 0; n < 12; n += 2)
    CU_ASSERT_TRUE (fake_site_is_billed (&site, n));
  fake_site_free (&site);
}

/* A gate that starts while the table is down has no row by which its objects are found, so that
 * they would be lost if it died. Its records must be copied to replicas instead. */
static void
test_no_objects_without_the_gate_row (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new_disconnected (&site, 1, SPOOL_MAX, CALL_TXN);

  CU_ASSERT_EQUAL (fake_gate_commit (gate, 1), BILL_AT_REPLICA);
  fake_gate_kill (gate);
  fake_site_settle (&site, NULL);
  CU_ASSERT_TRUE (fake_site_is_billed (&site, 1));
  fake_site_free (&site);
}

/* A write to the object store takes effect long after its gate died. The gate's row must be kept
 * for many passes without a new object, so that this object is recovered; in the end the row is
 * deleted. */
static void
test_delayed_object_is_recovered (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  BillRecord record = fake_bill (1);
  BillEntry *entry = bill_entry_new (&record, NULL);
  char *json = bill_entry_json (entry);
  Buffer content = { .data = NULL };
  char name[BILL_OBJECT_NAME_MAX];

  fake_gate_kill (gate);
  for (int i = 0; i < BILL_RECOVER_PASSES - 1; i++)
    fake_site_settle (&site, NULL);
  buffer_printf (&content, "[%s]", json);
  bill_object_name (1, 0, name);
  site.platform->ops->object_put (site.platform, name, content.data, content.len, 1000, NULL);
  fake_site_settle (&site, NULL);
  CU_ASSERT_TRUE (fake_site_is_billed (&site, 1));
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, BILL_GATE_TABLE), 1);
  for (int i = 0; i < BILL_RECOVER_PASSES; i++)
    fake_site_settle (&site, NULL);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, BILL_GATE_TABLE), 0);
  buffer_free (&content);
  free (json);
  bill_entry_unref (entry);
  fake_site_free (&site);
}

/* An object that can't be parsed must not prevent the recovery of the next objects. */
static void
test_invalid_object_is_skipped (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  char name[BILL_OBJECT_NAME_MAX];

  fake_link_set (gate->link, CALL_TXN, LINK_REFUSED);
  CU_ASSERT_EQUAL (fake_gate_commit (gate, 1), BILL_AT_OBJECT_STORE);
  CU_ASSERT_EQUAL (fake_gate_commit (gate, 2), BILL_AT_OBJECT_STORE);
  bill_object_name (1, 0, name);
  site.platform->ops->object_put (site.platform, name, "[{\"key\":7},", 11, 1000, NULL);
  fake_gate_kill (gate);
  fake_site_settle (&site, NULL);
  CU_ASSERT_FALSE (fake_site_is_billed (&site, 1));
  CU_ASSERT_TRUE (fake_site_is_billed (&site, 2));
  fake_site_free (&site);
}

/* Calls to the table or their replies are lost in the middle of a recovery. The next pass must
 * complete it. */
static void
test_recovery_is_resumed (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  BillRecovery recovery;
  bool alive = false;

  fake_link_set (gate->link, CALL_TXN, LINK_REFUSED);
  for (int n = 0; n < 8; n++)
    fake_gate_commit (gate, n);
  fake_gate_kill (gate);
  for (int i = 0; i < 4; i++)
    {
      fake_platform_fault (site.platform, i % 2 ? FAULT_LOSE_REPLY : FAULT_LOSE_CALL, CALL_TXN, 1);
      CU_ASSERT_EQUAL (bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL),
                       STATUS_UNKNOWN);
    }
  CU_ASSERT_EQUAL (bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL),
                   STATUS_OK);
  for (int n = 0; n < 8; n++)
    CU_ASSERT_TRUE (fake_site_is_billed (&site, n));
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), 8);
  fake_site_free (&site);
}

/* The table service rejects one record of a terminated gate as malformed, in an object and in a
 * copy. The others must be written, and that one tried again until the service accepts it. */
static void
test_malformed_record_is_retried (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  Platform *link = fake_link_new (site.platform);
  BillRecord bad[] = { fake_bill (3), fake_bill (13) };
  BillRecovery recovery;
  bool alive = false;
  size_t written;

  fake_link_set (gate->link, CALL_TXN, LINK_REFUSED);
  for (int n = 0; n < 8; n++)
    fake_gate_commit (gate, n);
  fake_link_set (gate->link, CALL_OBJECT_PUT, LINK_REFUSED);
  for (int n = 10; n < 18; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_REPLICA);
  fake_gate_kill (gate);
  fake_link_reject_key (link, bad[0].key);
  for (int pass = 0; pass < 2; pass++)
    CU_ASSERT_EQUAL (bill_recover_objects (link, is_alive, &alive, &recovery, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (recovery.refused, 1);
  fake_link_reject_key (link, bad[1].key);
  CU_ASSERT_EQUAL (bill_replica_flush (site.replica, link, is_alive, &alive, 0, &written, NULL),
                   STATUS_OK);
  for (int n = 0; n < 18; n++)
    CU_ASSERT_EQUAL (fake_site_is_billed (&site, n), n != 3 && n != 13 && n != 8 && n != 9);
  fake_link_reject_key (link, NULL);
  bill_recover_objects (link, is_alive, &alive, &recovery, NULL);
  bill_replica_flush (site.replica, link, is_alive, &alive, BILL_REFUSED_RETRY_MS, &written, NULL);
  CU_ASSERT_TRUE (fake_site_is_billed (&site, 3) && fake_site_is_billed (&site, 13));
  platform_free (link);
  fake_site_free (&site);
}

static bool
has_no_copies (void *context)
{
  BillReplicaSize size;

  bill_replica_size (context, &size);
  return size.count == 0 && size.bytes == 0;
}

/* The table and the object store are down, so that records are copied to another VM. When the table
 * is back the gate writes them, and the other VM must remove its copies. */
static void
test_replica_removes_done_records (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 1, SPOOL_MAX);
  BillReplicaSize size;

  fake_link_set (gate->link, CALL_TXN | CALL_OBJECT_PUT, LINK_REFUSED);
  for (int n = 0; n < 300; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_REPLICA);
  bill_replica_size (site.replica, &size);
  CU_ASSERT_EQUAL (size.count, 300);
  fake_link_set (gate->link, CALL_ALL, LINK_UP);
  CU_ASSERT_TRUE (fake_gate_wait_settled (gate));
  CU_ASSERT_TRUE (suite_wait (has_no_copies, site.replica));
  CU_ASSERT_EQUAL (fake_gate_free (gate, 0), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site.platform, "bill"), 300);
  fake_site_free (&site);
}

static char *
record_json (int n)
{
  BillRecord record = fake_bill (n);
  BillEntry *entry = bill_entry_new (&record, NULL);
  char *json = bill_entry_json (entry);

  bill_entry_unref (entry);
  return json;
}

static bool
take (BillReplica *replica, uint64_t gate, int n, int64_t now_ms)
{
  char *json = record_json (n);
  const char *const records[] = { json };
  bool taken = bill_replica_take (replica, gate, records, 1, now_ms);

  free (json);
  return taken;
}

/* Copies of a running gate are kept until it reports them as done or, since this report may be
 * lost, until the hold time is over and they are written. If that write fails they must be kept. */
static void
test_replica_writes_after_hold_time (void)
{
  FakeSite site = fake_site_new ();
  bool alive = true;
  size_t written;

  CU_ASSERT_TRUE (take (site.replica, 1, 1, 1000));
  bill_replica_flush (site.replica, site.platform, is_alive, &alive, 2000, &written, NULL);
  CU_ASSERT_EQUAL (written, 0);
  fake_platform_fault (site.platform, FAULT_LOSE_CALL, CALL_TXN, 0);
  CU_ASSERT_EQUAL (bill_replica_flush (site.replica, site.platform, is_alive, &alive,
                                       1000 + BILL_REPLICA_HOLD_MS, &written, NULL),
                   STATUS_UNKNOWN);
  fake_platform_fault (site.platform, FAULT_NONE, 0, 0);
  CU_ASSERT_FALSE (fake_site_is_billed (&site, 1));
  bill_replica_flush (site.replica, site.platform, is_alive, &alive, 1000 + BILL_REPLICA_HOLD_MS,
                      &written, NULL);
  CU_ASSERT_EQUAL (written, 1);
  CU_ASSERT_TRUE (fake_site_is_billed (&site, 1) && has_no_copies (site.replica));
  fake_site_free (&site);
}

/* A steward without room must refuse further copies at once and keep those it has; a record that is
 * sent again must use no more room. */
static void
test_replica_has_a_limit (void)
{
  BillReplica *replica = bill_replica_new (100000);
  BillReplicaSize size;
  const char *const garbage[] = { "{\"key\":1}" };
  int n = 0;

  CU_ASSERT_FALSE (bill_replica_take (replica, 1, garbage, 1, 0));
  while (take (replica, 1, n, 0))
    n++;
  CU_ASSERT_TRUE (n > 50);
  bill_replica_size (replica, &size);
  CU_ASSERT_EQUAL (size.count, (size_t)n);
  CU_ASSERT_TRUE (size.bytes <= 100000);
  bill_replica_free (replica);
  replica = bill_replica_new (100000);
  for (int i = 0; i < 1000; i++)
    CU_ASSERT_TRUE (take (replica, 1, 7, 0));
  bill_replica_size (replica, &size);
  CU_ASSERT_EQUAL (size.count, 1);
  bill_replica_free (replica);
}

static void
put_gate_row (Platform *platform, const char *key)
{
  TxnOp op = { .kind = TXN_PUT, .table = BILL_GATE_TABLE, .key = key, .value = "{}" };

  CU_ASSERT_EQUAL (platform->ops->txn (platform, &op, 1, 1000, NULL), STATUS_OK);
  txn_ops_clear (&op, 1);
}

/* Guards against a recovery that reads the same rows without end, behind a row of another writer
 * whose key is longer than that of a gate. */
static void
test_rows_behind_a_long_key_are_recovered (void)
{
  FakeSite site = fake_site_new ();
  FakeGate *gate = fake_gate_new (&site, 0xfedcba9876543210U, SPOOL_MAX);
  BillRecovery recovery;
  bool alive = false;
  char key[KEY_SIZE];

  fake_link_set (gate->link, CALL_TXN, LINK_REFUSED);
  for (int n = 0; n < 20; n++)
    CU_ASSERT_EQUAL (fake_gate_commit (gate, n), BILL_AT_OBJECT_STORE);
  fake_gate_kill (gate);
  for (int n = 0; n < PAGE_ROWS; n++)
    {
      snprintf (key, sizeof key, "%016x-of-another-writer-%04d", 0, n);
      put_gate_row (site.platform, key);
    }
  CU_ASSERT_EQUAL (bill_recover_objects (site.platform, is_alive, &alive, &recovery, NULL),
                   STATUS_OK);
  CU_ASSERT_EQUAL (recovery.records, 20);
  CU_ASSERT_EQUAL (recovery.gates, PAGE_ROWS + 1);
  fake_site_free (&site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "objects_of_a_terminated_gate_are_recovered",
      test_objects_of_a_terminated_gate_are_recovered },
    { "object_numbers_are_consecutive", test_object_numbers_are_consecutive },
    { "no_objects_without_the_gate_row", test_no_objects_without_the_gate_row },
    { "delayed_object_is_recovered", test_delayed_object_is_recovered },
    { "invalid_object_is_skipped", test_invalid_object_is_skipped },
    { "recovery_is_resumed", test_recovery_is_resumed },
    { "malformed_record_is_retried", test_malformed_record_is_retried },
    { "rows_behind_a_long_key_are_recovered", test_rows_behind_a_long_key_are_recovered },
    { "replica_removes_done_records", test_replica_removes_done_records },
    { "replica_writes_after_hold_time", test_replica_writes_after_hold_time },
    { "replica_has_a_limit", test_replica_has_a_limit },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "bill_recover", cases, SUITE_COUNT (cases));
}
