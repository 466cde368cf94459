/** The platform's formats: platform/wire_call.c, wire_config.c, wire_rollout.c, wire_server.c,
 *  wire_store.c; and the table of rows: src/front_table.c. */
#include "suite.h"
#include "util_unused.h"
#include "wire_call.h"
#include "wire_config.h"
#include "wire_rollout.h"
#include "wire_server.h"
#include "wire_store.h"
#include <stdlib.h>
#include <string.h>

#define ROWS_MAX 10000 /* rows of one answer: more than these tests have */

static const char config_text[]
    = "{\"Version\":7,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"a.example\",\"Prefix\":\"/x/\","
      "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"SloMs\":1500,\"Priority\":2,"
      "\"Sizes\":[\"small\",\"large\"],\"Service\":\"s1\",\"MaxAttempts\":3,\"Resumable\":true,"
      "\"GapAimMs\":900,\"Later\":{\"a\":1}},{\"Name\":\"r2\",\"Host\":\"a.example\","
      "\"Prefix\":\"/x/y/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"TrafficSplit\":["
      "{\"Service\":\"s1\",\"Weight\":90},{\"Service\":\"s2\",\"Weight\":10}]}],"
      "\"Services\":[{\"Name\":\"s1\",\"Engine\":{\"Slots\":48,\"KvCapacity\":444000,\"Stride\":9,"
      "\"Models\":[{\"Name\":\"small\",\"Cost\":0.02}]}},{\"Name\":\"s2\"}],"
      "\"Limits\":{\"MaxHeaderBytes\":100,\"MaxBodyBytes\":200,\"HeaderTimeoutMs\":300,"
      "\"IdleTimeoutMs\":400},\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\",\"k2\"],"
      "\"Priority\":0},{\"Name\":\"t2\",\"ApiKeys\":[\"k3\"]}]}";

static void
test_config_is_decoded (void)
{
  Status status;
  FrontConfig *config = wire_config_decode (config_text, strlen (config_text), &status);
  const FrontRoute *route;

  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  if (!config)
    return;
  CU_ASSERT_EQUAL (config->version, 7);
  CU_ASSERT_EQUAL (config->limits.idle_timeout_ms, 400);
  route = front_config_route (config, span_of ("A.Example"), span_of ("/x/abc"));
  CU_ASSERT_STRING_EQUAL (route->name, "r1");
  CU_ASSERT_EQUAL (route->kind, ROUTE_STREAM);
  CU_ASSERT_EQUAL (route->model_count, 2);
  CU_ASSERT (front_route_is_idempotent (route));
  route = front_config_route (config, span_of ("a.example"), span_of ("/x/y/z"));
  CU_ASSERT_STRING_EQUAL (route->name, "r2");
  CU_ASSERT_EQUAL (route->target_count, 2);
  CU_ASSERT (!front_route_is_idempotent (route));
  CU_ASSERT_PTR_NULL (front_config_route (config, span_of ("a.example"), span_of ("/x")));
  CU_ASSERT_PTR_NULL (front_config_route (config, span_of ("b.example"), span_of ("/x/")));
  CU_ASSERT_STRING_EQUAL (front_config_team (config, span_of ("k2"))->name, "t1");
  CU_ASSERT_PTR_NULL (front_config_team (config, span_of ("k")));
  CU_ASSERT_EQUAL (front_config_priority (route, front_config_team (config, span_of ("k1"))), 0);
  CU_ASSERT_EQUAL (front_config_service (config, "s1")->kv_tokens, 444000);
  CU_ASSERT_EQUAL (front_config_service (config, "s2")->kv_tokens, 0);
  front_config_unref (config);
}

/* Values for servers that have just started: if absent, malformed or far out of range they impose
 * no limit. */
static void
test_invalid_cold_limits_are_ignored (void)
{
  static const struct
  {
    const char *text;
    double per_s;
    int64_t start_ms;
  } rows[] = {
    { "\"ColdStartS\":3.5,\"ColdPerS\":18.0", 18, 3500 },
    { "\"ColdStartS\":3", 0, 3000 },
    { "\"ColdStartS\":-3,\"ColdPerS\":-1", 0, 0 },
    { "\"ColdStartS\":1e300,\"ColdPerS\":1e300", 0, 0 },
    { "\"ColdStartS\":\"long\",\"ColdPerS\":[]", 0, 0 },
    { "\"ColdPerS\":0", 0, 0 },
  };

  for (size_t i = 0; i < SUITE_COUNT (rows); i++)
    {
      char text[200];
      Status status;
      FrontConfig *config;

      snprintf (text, sizeof text, "{\"Version\":1,\"Services\":[{\"Name\":\"s\",%s}]}",
                rows[i].text);
      config = wire_config_decode (text, strlen (text), &status);
      CU_ASSERT_PTR_NOT_NULL_FATAL (config);
      CU_ASSERT_EQUAL (front_config_service (config, "s")->cold_per_s, rows[i].per_s);
      CU_ASSERT_EQUAL (front_config_service (config, "s")->cold_start_ms, rows[i].start_ms);
      front_config_unref (config);
    }
}

static void
check_config_refused (const char *text, const char *message)
{
  Status status = { 0 };

  CU_ASSERT_PTR_NULL (wire_config_decode (text, strlen (text), &status));
  CU_ASSERT_EQUAL (status.code, STATUS_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (status.message, message));
}

static void
test_bad_config_is_refused (void)
{
  check_config_refused ("", "no JSON");
  check_config_refused ("[1]", "no JSON");
  check_config_refused ("{\"Version\":1,\"Rou", "no JSON");
  check_config_refused ("{\"Routes\":[{\"Name\":\"r\",\"Prefix\":\"/\",\"Kind\":\"new\"}]}",
                        "r: unknown");
  check_config_refused ("{\"Routes\":[{\"Name\":\"r\",\"Kind\":\"streaming\"}]}", "r: prefix");
}

static void
read_request (HttpRequestParser *request_parser, const char *text)
{
  const HttpRequestLimits limits = { .head_max = 4000, .body_max = 4000 };
  size_t used;

  http_request_parser_init (request_parser, &limits);
  CU_ASSERT_EQUAL (http_request_parser_feed (request_parser, text, strlen (text), &used),
                   HTTP_PARSE_DONE);
}

static const char request_text[]
    = "POST /x/q?a=1 HTTP/1.1\r\nHost: a.example:80\r\nLovagehub-Request-Id: r17\r\n"
      "Lovagehub-Model: *\r\nLovagehub-Token-Counts: 1460,80\r\n"
      "Lovagehub-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nLovagehub-Deadline-Ms: 15000\r\n"
      "Lovagehub-Hold: h1\r\nKv-From: 1.2.3.4:5/6\r\nLovagehub-Tenant: forged\r\n"
      "Authorization: Token k1\r\nSession: s9\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Own: 2\r\n"
      "Last-Event-Id: 12\r\nContent-Length: 2\r\n\r\nhi";

static void
test_call_is_decoded (void)
{
  HttpRequestParser request_parser;
  FrontCall call;

  read_request (&request_parser, request_text);
  wire_call_decode (&request_parser, &call);
  CU_ASSERT (span_is (call.host, "a.example"));
  CU_ASSERT (span_is (call.path, "/x/q"));
  CU_ASSERT (span_is (call.id, "r17"));
  CU_ASSERT (span_is (call.key, "k1"));
  CU_ASSERT (span_is (call.session, "s9"));
  CU_ASSERT (span_is (call.model, "*"));
  CU_ASSERT_EQUAL (call.deadline_ms, 15000);
  CU_ASSERT_EQUAL (call.prompt_tokens, 1460);
  CU_ASSERT_EQUAL (call.after_event, 12);
  CU_ASSERT_EQUAL (call.part_count, 2);
  CU_ASSERT_EQUAL (call.parts[1].tokens, 410);
  http_request_parser_reset (&request_parser);
}

/* Fields that only the router may set, and the caller's key, must not be forwarded: an engine would
 * reserve memory for the caller or charge the work to another team. */
static void
test_call_is_encoded_without_forged_fields (void)
{
  HttpRequestParser request_parser;
  FrontCall call;
  Buffer out = { 0 };
  CallHeaders headers = {
    .server_id = "i-1",
    .team = "t1",
    .model = span_of ("small"),
    .deadline_ms = 900,
    .priority = 2,
    .after_event = -1,
  };

  read_request (&request_parser, request_text);
  wire_call_decode (&request_parser, &call);
  wire_call_encode (&out, &request_parser, &headers);
  CU_ASSERT_EQUAL (strncmp (out.data, "POST /x/q?a=1 HTTP/1.1\r\n", 24), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nHost: a.example:80\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLovagehub-Request-Id: r17\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLovagehub-Model: small\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLovagehub-Tenant: t1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLovagehub-Target-Instance: i-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLovagehub-Deadline-Ms: 900\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLast-Event-Id: 12\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nX-Own: 2\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nContent-Length: 2\r\n"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "forged"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "Token k1"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "Model: *"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "X-Hop"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "Hold"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "Kv-From"));
  headers.after_event = 30;
  buffer_clear (&out);
  wire_call_encode (&out, &request_parser, &headers);
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\r\nLast-Event-Id: 30\r\n"));
  CU_ASSERT_PTR_NULL (strstr (out.data, "Last-Event-Id: 12"));
  buffer_free (&out);
  http_request_parser_reset (&request_parser);
}

static void
test_rollout (void)
{
  static const char text[] = "{\"Service\":\"s1\",\"Target\":\"v2\",\"RampS\":12.5}";
  RolloutStatus status
      = { .target = "v2", .base = "v1", .state = FRONT_ROLLOUT_ROLLED_BACK, .started_ms = 77 };
  RolloutOrder order;
  Buffer out = { 0 };

  CU_ASSERT (wire_rollout_decode (span_of (text), 9, &order));
  CU_ASSERT_EQUAL (order.duration_ms, 12500);
  CU_ASSERT (!wire_rollout_decode (span_of ("{\"Service\":\"s1\"}"), 9, &order));
  CU_ASSERT (!wire_rollout_decode (span_of ("nonsense"), 9, &order));
  CU_ASSERT (wire_rollout_decode (span_of (text), 9, &order));
  wire_rollout_status_encode (&out, order.service, &status);
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\"State\":\"rolled_back\""));
  status = (RolloutStatus){ 0 };
  CU_ASSERT (wire_rollout_status_decode (span_of (out.data), &status));
  CU_ASSERT_STRING_EQUAL (status.target, "v2");
  CU_ASSERT_STRING_EQUAL (status.base, "v1");
  CU_ASSERT_EQUAL (status.state, FRONT_ROLLOUT_ROLLED_BACK);
  CU_ASSERT_EQUAL (status.started_ms, 77);
  CU_ASSERT (!wire_rollout_status_decode (span_of ("{\"State\":\"odd\"}"), &status));
  buffer_free (&out);
}

static void
test_server_entry_is_decoded (void)
{
  ServerEntry entry;

  CU_ASSERT (wire_server_decode ("i-1",
                                 span_of ("{\"Service\":\"s1\",\"Address\":\"1.2.3.4:80\",\"Zone\":"
                                          "\"z\",\"Version\":\"v1\",\"Slots\":48,\"State\":"
                                          "\"draining\",\"ColdLeftMs\":5,\"Seq\":3,\"born\":"
                                          "1796000000123}"),
                                 &entry));
  CU_ASSERT (entry.draining);
  CU_ASSERT_EQUAL (entry.slots, 48);
  CU_ASSERT_STRING_EQUAL (entry.failure_domain, "z");
  CU_ASSERT_EQUAL (entry.born_ms, 1796000000123);
  CU_ASSERT (!wire_server_decode ("i-1", span_of ("{\"Service\":\"s1\"}"), &entry));
  CU_ASSERT (!wire_server_decode ("i-1", span_of ("{"), &entry));
}

/* One field of a valid entry with another value. */
typedef struct
{
  const char *field;
  const char *value; /* NULL: the field is missing */
  bool good;
} FieldChange;

#define SERVER_FIELDS 8

static void
server_text (char *out, size_t size, const FieldChange *change)
{
  static const char *const fields[SERVER_FIELDS][2] = {
    { "Service", "\"s1\"" }, { "Address", "\"1.2.3.4:80\"" },
    { "Zone", "\"z\"" },     { "Version", "\"v1\"" },
    { "Slots", "48" },       { "State", "\"ready\"" },
    { "ColdLeftMs", "0" },   { "Seq", "7" },
  };
  size_t len = (size_t)snprintf (out, size, "{\"Models\":[]");
  bool placed = !change->value;

  for (unsigned i = 0; i < SERVER_FIELDS; i++)
    {
      bool changed = strcmp (fields[i][0], change->field) == 0;
      const char *value = changed ? change->value : fields[i][1];

      placed |= changed;
      if (value)
        len += (size_t)snprintf (out + len, size - len, ",\"%s\":%s", fields[i][0], value);
    }
  if (!placed)
    len += (size_t)snprintf (out + len, size - len, ",\"%s\":%s", change->field, change->value);
  snprintf (out + len, size - len, "}");
}

/* Another program may write into the table of servers. If such a row were used, requests would go
 * to an address without a server, or four billion of them to one server. */
static void
test_invalid_server_entries_are_rejected (void)
{
  static const FieldChange field_changes[] = {
    { "State", "\"ready\"", true },
    { "State", "\"draining\"", true },
    { "State", "\"resting\"", false },
    { "State", "7", false },
    { "State", NULL, false },
    { "Service", NULL, false },
    { "Service", "\"\"", false },
    { "Service", "[\"s1\"]", false },
    { "Address", "17", false },
    { "Zone", NULL, false },
    { "Zone", "{}", false },
    { "Version", "1", false },
    { "Slots", "-1", false },
    { "Slots", "0", false },
    { "Slots", "48.5", false },
    { "Slots", "\"48\"", false },
    { "Slots", "1e18", false },
    { "Slots", "9000000000", false },
    { "Slots", NULL, false },
    { "ColdLeftMs", "-5", false },
    { "ColdLeftMs", "1e99", false },
    { "ColdLeftMs", "null", false },
    { "Seq", "true", false },
    { "Seq", NULL, false },
    { "born", "1796000000123", true },
    { "born", NULL, true },
    { "born", "1796000000123.5", false },
    { "born", "\"1796000000123\"", false },
    { "born", "-1", false },
    { "born", "null", false },
  };

  for (size_t i = 0; i < SUITE_COUNT (field_changes); i++)
    {
      const FieldChange *change = &field_changes[i];
      char text[400];
      ServerEntry entry;

      server_text (text, sizeof text, change);
      if (wire_server_decode ("i-1", span_of (text), &entry) != change->good)
        printf ("%s\n", text);
      CU_ASSERT_EQUAL (wire_server_decode ("i-1", span_of (text), &entry), change->good);
    }
}

static char changes[400];

static void
record_change (void *user UNUSED, const StoreRow *row)
{
  size_t len = strlen (changes);

  snprintf (changes + len, sizeof changes - len, "%s%s=%s ", row->removed ? "-" : "", row->key,
            row->value ? row->value : "");
}

static void
apply (FrontTable *table, bool snapshot, const char *text, const char *expected)
{
  StoreAnswer answer;

  changes[0] = '\0';
  CU_ASSERT (wire_store_decode (text, strlen (text), &answer));
  if (snapshot)
    front_table_apply_snapshot (table, &answer, record_change, NULL);
  else
    front_table_apply_changes (table, &answer, record_change, NULL);
  store_answer_clear (&answer);
  CU_ASSERT_STRING_EQUAL (changes, expected);
}

/* A front that is cut off from the store gets rows from another front; an older copy of a row that
 * arrives after a newer one must not replace it. */
static void
test_older_rows_never_replace_newer (void)
{
  FrontTable table, other;
  Buffer out = { 0 };

  front_table_init (&table);
  front_table_init (&other);
  apply (
      &table, true,
      "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"MQ==\",\"Ver\":5},{\"Key\":\"b\",\"Value\":\"Mg==\","
      "\"Ver\":6}],\"Ver\":9}",
      "a=1 b=2 ");
  CU_ASSERT_EQUAL (table.version, 9);
  CU_ASSERT_EQUAL (table.newest, 6);
  apply (&table, false, "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"Mw==\",\"Ver\":12}],\"Ver\":12}",
         "a=3 ");
  apply (&table, false, "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"MQ==\",\"Ver\":5}],\"Ver\":12}", "");
  CU_ASSERT_STRING_EQUAL (front_table_find (&table, "a")->value, "3");
  wire_store_encode (&out, &table, &(StorePart){ .since = 0, .rows_max = ROWS_MAX });
  apply (&other, true, out.data, "b=2 a=3 "); /* in the order of their versions */
  CU_ASSERT_EQUAL (other.version, 12);
  /* In a complete read, missing rows count as removed, except those newer than its version. */
  apply (&table, true, "{\"Rows\":[{\"Key\":\"c\",\"Value\":\"MQ==\",\"Ver\":8}],\"Ver\":11}",
         "c=1 -b= ");
  apply (&table, false, "{\"Rows\":[{\"Key\":\"a\",\"Tombstone\":true,\"Ver\":15}],\"Ver\":15}",
         "-a= ");
  CU_ASSERT_PTR_NULL (front_table_find (&table, "a"));
  CU_ASSERT_EQUAL (table.newest, 15);
  /* Another front gets the changes since its own version, the removal included. */
  buffer_clear (&out);
  wire_store_encode (&out, &table, &(StorePart){ .since = 12, .rows_max = ROWS_MAX });
  apply (&other, false, out.data, "-a= ");
  CU_ASSERT_PTR_NULL (front_table_find (&other, "a"));
  CU_ASSERT (front_table_keeps_changes_since (&table, 1));
  buffer_free (&out);
  front_table_clear (&table);
  front_table_clear (&other);
}

/* The store drops its history while a server leaves. A front then reads all rows and never sees the
 * removal, whose version others report. If it considered itself behind, it would fetch the same
 * rows ten times a second and drop its connection to the store each time. */
static void
test_complete_read_is_not_behind (void)
{
  FrontTable table;

  front_table_init (&table);
  CU_ASSERT (front_table_is_behind (&table, 1));
  apply (&table, true, "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"MQ==\",\"Ver\":5}],\"Ver\":20}",
         "a=1 ");
  CU_ASSERT_EQUAL (table.newest, 5);
  CU_ASSERT (!front_table_is_behind (&table, 15));
  CU_ASSERT (front_table_is_behind (&table, 21));
  front_table_clear (&table);
}

static void
test_write_body_is_encoded (void)
{
  StoreWrite write
      = { .table = "status", .key = "k", .value = span_of ("node-1"), .expected_version = 0 };
  Buffer out = { 0 };
  StoreAnswer answer;

  wire_write_body (&out, &write);
  CU_ASSERT_STRING_EQUAL (out.data, "{\"ExpectedRev\":[{\"Table\":\"status\",\"part\":\"\",\"Key\":"
                                    "\"k\",\"Ver\":0}],\"Writes\":[{\"Table\":\"status\",\"part\":"
                                    "\"\",\"Key\":\"k\",\"Value\":\"bm9kZS0x\"}],\"Remove\":[]}");
  buffer_clear (&out);
  write.expected_version = -1;
  wire_write_body (&out, &write);
  CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "\"ExpectedRev\":[]"));
  buffer_free (&out);
  CU_ASSERT (!wire_store_decode ("busy", 4, &answer));
}

static const SuiteCase cases[] = {
  { "config_is_decoded", test_config_is_decoded },
  { "invalid_cold_limits_are_ignored", test_invalid_cold_limits_are_ignored },
  { "bad_config_is_refused", test_bad_config_is_refused },
  { "call_is_decoded", test_call_is_decoded },
  { "call_is_encoded_without_forged_fields", test_call_is_encoded_without_forged_fields },
  { "rollout", test_rollout },
  { "server_entry_is_decoded", test_server_entry_is_decoded },
  { "invalid_server_entries_are_rejected", test_invalid_server_entries_are_rejected },
  { "older_rows_never_replace_newer", test_older_rows_never_replace_newer },
  { "complete_read_is_not_behind", test_complete_read_is_not_behind },
  { "write_body_is_encoded", test_write_body_is_encoded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_wire", cases, SUITE_COUNT (cases));
}
