/** The platform's protocol: src/platform_http.c against the stand-in, and the fake platform. */
#include "../standin/platform_calls.h"
#include "../standin/platform_table.h"
#include "fake_platform.h"
#include "http_client.h"
#include "platform.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>

#define LOCALHOST  "127.0.0.1"
#define TIMEOUT_MS 5000
#define ODD_KEY    "a b&c=d+e%20/\xc3\xa9\"?#"

/* The HTTP client with the stand-in that it calls. It and the fake platform must pass the same
 * checks. */
typedef struct
{
  Platform *p;
  int port;
  struct MHD_Daemon *daemon;
} Site;

static Site
site_new_http (void)
{
  Site site = { .port = suite_free_port () };
  CU_ASSERT_TRUE_FATAL (table_open ());
  site.daemon = standin_http_start (LOCALHOST, site.port, &platform_routes);
  CU_ASSERT_PTR_NOT_NULL_FATAL (site.daemon);
  site.p = platform_http_new (LOCALHOST, site.port);
  return site;
}

static void
site_free (Site *site)
{
  platform_free (site->p);
  if (!site->daemon)
    return;
  standin_http_stop (site->daemon);
  table_close ();
}

static int
call_standin (const Site *site, const char *method, const char *path, const char *body)
{
  HttpRequest request = { .method = method,
                          .address = LOCALHOST,
                          .port = site->port,
                          .path = path,
                          .body = body,
                          .body_len = strlen (body),
                          .connect_timeout_ms = TIMEOUT_MS,
                          .read_timeout_ms = TIMEOUT_MS };
  Buffer answer = { 0 };
  int http_status = 0;
  http_call (&request, &http_status, &answer, NULL);
  buffer_free (&answer);
  return http_status;
}

static void
set_fault (const Site *site, const char *fault)
{
  CU_ASSERT_EQUAL (call_standin (site, "POST", "/v1/fault", fault), 204);
}

static StatusCode
put (Platform *p, const char *key, const char *value)
{
  TxnOp op = { .kind = TXN_PUT, .table = "t", .key = key, .value = value };
  return p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL);
}

/* Version of a row of table "t"; -1 if it cannot be read or has another value. */
static int64_t
version_of (Platform *p, const char *key, const char *value)
{
  PlatformRow row;
  if (p->ops->get (p, "t", key, TIMEOUT_MS, &row, NULL) != STATUS_OK)
    return -1;
  int64_t version = row.version;
  if (version && strcmp (row.value, value) != 0)
    version = -1;
  platform_row_clear (&row);
  return version;
}

static void
check_rows (Platform *p)
{
  CU_ASSERT_EQUAL (version_of (p, ODD_KEY, ""), 0);
  CU_ASSERT_EQUAL (put (p, ODD_KEY, "{\"a\":\"\\\"\"}"), STATUS_OK);
  CU_ASSERT_EQUAL (version_of (p, ODD_KEY, "{\"a\":\"\\\"\"}"), 1);
  CU_ASSERT_EQUAL (put (p, ODD_KEY, "2"), STATUS_OK);
  CU_ASSERT_EQUAL (version_of (p, ODD_KEY, "2"), 2);
  TxnOp op = { .kind = TXN_DELETE, .table = "t", .key = ODD_KEY };
  CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (op.row_version, 0);
  CU_ASSERT_EQUAL (version_of (p, ODD_KEY, ""), 0);
}

static void
check_transactions (Platform *p)
{
  TxnOp ops[] = { { .kind = TXN_CHECK, .table = "t", .key = "a", .version = 0 },
                  { .kind = TXN_PUT, .table = "t", .key = "a", .value = "1" },
                  { .kind = TXN_INSERT, .table = "t", .key = "b", .value = "2" },
                  { .kind = TXN_INSERT, .table = "t", .key = "b", .value = "3" } };
  CU_ASSERT_EQUAL (p->ops->txn (p, ops, 4, TIMEOUT_MS, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (ops[0].row_version, 1);
  CU_ASSERT_TRUE (ops[2].inserted);
  CU_ASSERT_PTR_NULL (ops[2].existing);
  CU_ASSERT_FALSE (ops[3].inserted);
  CU_ASSERT_STRING_EQUAL (ops[3].existing, "2");
  txn_ops_clear (ops, 4);
  /* If a check fails, an earlier operation of the same transaction must not take effect either. */
  TxnOp late[] = { { .kind = TXN_PUT, .table = "t", .key = "c", .value = "4" },
                   { .kind = TXN_CHECK, .table = "t", .key = "a", .version = 7 } };
  Status st;
  CU_ASSERT_EQUAL (p->ops->txn (p, late, 2, TIMEOUT_MS, &st), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (st.code, STATUS_CONFLICT);
  CU_ASSERT_EQUAL (version_of (p, "c", ""), 0);
  CU_ASSERT_EQUAL (version_of (p, "a", "1"), 1);
}

static size_t
count_rows (Platform *p, const char *from, const char *prefix, size_t limit, const char *first)
{
  PlatformRows rows;
  CU_ASSERT_EQUAL_FATAL (p->ops->scan (p, "s", from, prefix, limit, TIMEOUT_MS, &rows, NULL),
                         STATUS_OK);
  size_t count = rows.count;
  CU_ASSERT_TRUE (count == 0 || strcmp (rows.rows[0].key, first) == 0);
  for (size_t i = 1; i < count; i++)
    CU_ASSERT_TRUE (strcmp (rows.rows[i - 1].key, rows.rows[i].key) < 0);
  platform_rows_clear (&rows);
  return count;
}

static void
check_scan (Platform *p)
{
  const char *const keys[] = { "b/2", "a/1", "b/1", "b%", "c", "a/2" };
  for (size_t i = 0; i < SUITE_COUNT (keys); i++)
    {
      TxnOp op = { .kind = TXN_PUT, .table = "s", .key = keys[i], .value = "{}" };
      CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL), STATUS_OK);
    }
  CU_ASSERT_EQUAL (count_rows (p, "", NULL, 100, "a/1"), 6);
  CU_ASSERT_EQUAL (count_rows (p, "", "b/", 100, "b/1"), 2);
  CU_ASSERT_EQUAL (count_rows (p, "b/2", "b/", 100, "b/2"), 1);
  CU_ASSERT_EQUAL (count_rows (p, "b", NULL, 2, "b%"), 2);
  CU_ASSERT_EQUAL (count_rows (p, "d", NULL, 2, ""), 0);
}

/* Guards against a key that changes the URL of the next page. */
static void
check_pages (Platform *p)
{
  static const char *const keys[] = { "\n", " z", "#z", "%41", "%z", "&from=a", "&z",
                                      "+z", "=z", "?z", "A",   "b",  "b\x01",   "\xc3\xa9" };
  Buffer from = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (keys); i++)
    {
      TxnOp op = { .kind = TXN_PUT, .table = "p", .key = keys[i], .value = "{}" };
      CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL), STATUS_OK);
    }
  for (size_t i = 0; i < SUITE_COUNT (keys); i++)
    {
      PlatformRows rows;
      CU_ASSERT_EQUAL_FATAL (p->ops->scan (p, "p", from.data, NULL, 1, TIMEOUT_MS, &rows, NULL),
                             STATUS_OK);
      CU_ASSERT_EQUAL_FATAL (rows.count, 1);
      CU_ASSERT_STRING_EQUAL (rows.rows[0].key, keys[i]);
      CU_ASSERT_EQUAL (platform_rows_next (&rows, &from, NULL), STATUS_OK);
      platform_rows_clear (&rows);
    }
  buffer_free (&from);
}

static void
check_objects (Platform *p)
{
  static const char data[] = "a\0b\xff";
  Buffer out = { 0 };
  CU_ASSERT_EQUAL (p->ops->object_get (p, "x/ y", TIMEOUT_MS, &out, NULL), STATUS_NOT_FOUND);
  CU_ASSERT_EQUAL (p->ops->object_put (p, "x/ y", data, sizeof data, TIMEOUT_MS, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (p->ops->object_get (p, "x/ y", TIMEOUT_MS, &out, NULL), STATUS_OK);
  CU_ASSERT_EQUAL_FATAL (out.len, sizeof data);
  CU_ASSERT_EQUAL (memcmp (out.data, data, sizeof data), 0);
  buffer_clear (&out);
  CU_ASSERT_EQUAL (p->ops->object_put (p, "x/ y", NULL, 0, TIMEOUT_MS, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (p->ops->object_get (p, "x/ y", TIMEOUT_MS, &out, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (out.len, 0);
  buffer_free (&out);
}

static void
check_vms (Platform *p)
{
  PlatformVms vms;
  CU_ASSERT_EQUAL_FATAL (p->ops->vm_list (p, TIMEOUT_MS, &vms, NULL), STATUS_OK);
  CU_ASSERT_EQUAL_FATAL (vms.count, 1);
  CU_ASSERT_STRING_EQUAL (vms.vms[0].name, "vm1");
  CU_ASSERT_STRING_EQUAL (vms.vms[0].failure_domain, "leon");
  CU_ASSERT_TRUE (vms.vms[0].leaving);
  platform_vms_clear (&vms);
}

static void
check_rating (Platform *p)
{
  double score = -1;
  CU_ASSERT_EQUAL (p->ops->rate (p, "draft", "write", "ok [q=0.25]", TIMEOUT_MS, &score, NULL),
                   STATUS_OK);
  CU_ASSERT_DOUBLE_EQUAL (score, 0.25, 1e-9);
}

static void
check_all (Platform *p)
{
  check_rows (p);
  check_transactions (p);
  check_scan (p);
  check_pages (p);
  check_objects (p);
  check_vms (p);
  check_rating (p);
}

static void
test_http_client_follows_protocol (void)
{
  Site site = site_new_http ();
  CU_ASSERT_EQUAL (call_standin (&site, "PUT", "/v1/vms",
                                 "{\"vms\":[{\"name\":\"vm1\",\"address\":\"127.0.0.1\","
                                 "\"failure_domain\":\"leon\",\"leaving\":true}]}"),
                   204);
  check_all (site.p);
  site_free (&site);
}

static void
test_fake_follows_protocol (void)
{
  Platform *p = fake_platform_new ();
  fake_platform_vm (p, "vm1", LOCALHOST, "leon", true);
  fake_platform_score (p, "[q=0.25]", 0.25);
  check_all (p);
  platform_free (p);
}

/* A fault in the stand-in and in the fake, the code that a write must return, and the row's version
 * after it. */
typedef struct
{
  const char *http;
  FakeFault fake;
  StatusCode code;
  int64_t version;
} WriteFault;

static const WriteFault write_faults[] = {
  { "{\"kind\":\"down\",\"count\":1}", FAULT_DOWN, STATUS_UNAVAILABLE, 0 },
  { "{\"kind\":\"lose_call\",\"count\":1}", FAULT_LOSE_CALL, STATUS_UNKNOWN, 0 },
  { "{\"kind\":\"lose_reply\",\"count\":1}", FAULT_LOSE_REPLY, STATUS_UNKNOWN, 1 },
};

static void
test_write_outcome_is_reported (void)
{
  /*
   * Guards against writes that are repeated or abandoned because their outcome is misreported: a
   * call whose reply was lost after the commit must be distinguished from one that was not
   * executed.
   */
  Site site = site_new_http ();
  Platform *fake = fake_platform_new ();
  for (size_t i = 0; i < SUITE_COUNT (write_faults); i++)
    {
      const WriteFault *fault = &write_faults[i];
      char key[2] = { (char)('a' + i), 0 };
      set_fault (&site, fault->http);
      CU_ASSERT_EQUAL (put (site.p, key, "1"), fault->code);
      CU_ASSERT_EQUAL (version_of (site.p, key, "1"), fault->version);
      fake_platform_fault (fake, fault->fake, CALL_TXN, 1);
      CU_ASSERT_EQUAL (put (fake, key, "1"), fault->code);
      CU_ASSERT_EQUAL (version_of (fake, key, "1"), fault->version);
    }
  platform_free (fake);
  site_free (&site);
}

static void
check_read_fault (Platform *p)
{
  /* A read has no effect, so its failure is never reported as unknown. */
  PlatformRow row;
  PlatformRows rows;
  PlatformVms vms;
  Buffer out = { 0 };
  Status st;
  CU_ASSERT_EQUAL (p->ops->get (p, "t", "a", TIMEOUT_MS, &row, &st), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (st.code, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (p->ops->scan (p, "t", "", NULL, 9, TIMEOUT_MS, &rows, NULL), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (p->ops->object_get (p, "a", TIMEOUT_MS, &out, NULL), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (p->ops->vm_list (p, TIMEOUT_MS, &vms, NULL), STATUS_UNAVAILABLE);
  platform_row_clear (&row);
  platform_rows_clear (&rows);
  platform_vms_clear (&vms);
  buffer_free (&out);
}

static void
test_failed_reads_are_unavailable (void)
{
  Site site = site_new_http ();
  Platform *fake = fake_platform_new ();
  for (size_t i = 0; i < SUITE_COUNT (write_faults); i++)
    {
      char fault[64];
      snprintf (fault, sizeof fault, "%.*s}",
                (int)(strrchr (write_faults[i].http, ',') - write_faults[i].http),
                write_faults[i].http);
      set_fault (&site, fault);
      check_read_fault (site.p);
      CU_ASSERT_EQUAL (call_standin (&site, "DELETE", "/v1/fault", ""), 204);
      fake_platform_fault (fake, write_faults[i].fake, CALL_ALL, 0);
      check_read_fault (fake);
    }
  platform_free (fake);
  site_free (&site);
}

typedef struct
{
  Platform *p;
  const char *key;
} Row;

static bool
row_exists (void *context)
{
  const Row *row = context;
  return version_of (row->p, row->key, "1") == 1;
}

static void
test_unknown_write_may_take_effect_late (void)
{
  /* A write reported as unknown can take effect after its caller has timed out. */
  Site site = site_new_http ();
  Platform *fake = fake_platform_new ();
  TxnOp op = { .kind = TXN_PUT, .table = "t", .key = "a", .value = "1" };
  set_fault (&site, "{\"kind\":\"slow\",\"value\":2000,\"count\":1}");
  CU_ASSERT_EQUAL (site.p->ops->txn (site.p, &op, 1, 1000, NULL), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (version_of (site.p, "a", ""), 0);
  CU_ASSERT_TRUE (suite_wait (row_exists, &(Row){ site.p, "a" }));
  fake_platform_fault (fake, FAULT_SLOW, CALL_TXN, 1);
  CU_ASSERT_EQUAL (put (fake, "a", "1"), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (version_of (fake, "a", ""), 0);
  CU_ASSERT_EQUAL (fake_platform_late_effects (fake), 1);
  CU_ASSERT_EQUAL (version_of (fake, "a", "1"), 1);
  platform_free (fake);
  site_free (&site);
}

static void
test_late_transaction_is_checked (void)
{
  /* A late transaction must not take effect if its check no longer holds. */
  Platform *fake = fake_platform_new ();
  TxnOp ops[] = { { .kind = TXN_CHECK, .table = "t", .key = "a", .version = 0 },
                  { .kind = TXN_PUT, .table = "t", .key = "a", .value = "late" } };
  fake_platform_fault (fake, FAULT_SLOW, CALL_TXN, 1);
  CU_ASSERT_EQUAL (fake->ops->txn (fake, ops, 2, TIMEOUT_MS, NULL), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (put (fake, "a", "1"), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_late_effects (fake), 0);
  CU_ASSERT_EQUAL (version_of (fake, "a", "1"), 1);
  platform_free (fake);
}

/* Guards against scans without end, of rows that a platform gives again. */
static void
test_repeated_rows_end_a_scan (void)
{
  static const char *const keys[] = { "b", "b", "a", "" };
  Buffer from = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (keys); i++)
    {
      char key[2];
      PlatformRow row = { .key = strcpy (key, keys[i]) };
      const PlatformRows rows = { .rows = &row, .count = 1 };
      Status st;

      CU_ASSERT_EQUAL (platform_rows_next (&rows, &from, &st),
                       i == 0 ? STATUS_OK : STATUS_UNAVAILABLE);
      CU_ASSERT_STRING_EQUAL (from.data, "b\x01");
    }
  buffer_free (&from);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "http_client_follows_protocol", test_http_client_follows_protocol },
          { "fake_follows_protocol", test_fake_follows_protocol },
          { "write_outcome_is_reported", test_write_outcome_is_reported },
          { "failed_reads_are_unavailable", test_failed_reads_are_unavailable },
          { "unknown_write_may_take_effect_late", test_unknown_write_may_take_effect_late },
          { "late_transaction_is_checked", test_late_transaction_is_checked },
          { "repeated_rows_end_a_scan", test_repeated_rows_end_a_scan } };
  return suite_main (argc, argv, "platform", cases, SUITE_COUNT (cases));
}
