/**
 * Settings files of lovage-gate and lovage-steward: defaults, and the errors reported for invalid
 * ones.
 */
#include "settings.h"
#include "suite.h"
#include <stdio.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

#define TEXT_SIZE 2048
#define HASH_A    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B    "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"

#define COMMON                                                                                     \
  "\"vm\":\"vm1\", \"failure_domain\":\"leon\", \"site_key_file\":\"/dev/null\","                  \
  "\"platform\":{\"address\":\"127.0.0.1\",\"port\":9000},"
#define GATE_ENDPOINTS                                                                             \
  "\"callers\":{\"address\":\"127.0.0.1\",\"port\":8000},"                                         \
  "\"local\":{\"address\":\"::1\",\"port\":8000},"                                                 \
  "\"steward\":{\"address\":\"127.0.0.1\",\"port\":8002}"
#define STEWARD_ENDPOINTS                                                                          \
  "\"rpc\":{\"address\":\"127.0.0.1\",\"port\":8002},"                                             \
  "\"operators\":{\"address\":\"127.0.0.1\",\"port\":8003},"                                       \
  "\"local\":{\"address\":\"127.0.0.1\",\"port\":8004},"

typedef struct
{
  char path[SUITE_PATH_SIZE];
  CheckList list;
} Input;

static void
input_begin (Input *input, const char *text)
{
  *input = (Input){ .list = { .file = "f.json" } };
  suite_file (input->path, text);
}

/* Checks that the reported errors are exactly these lines. */
static void
input_end (Input *input, const char *errors)
{
  const char *found = input->list.text.data ? input->list.text.data : "";

  CU_ASSERT_STRING_EQUAL (found, errors);
  if (strcmp (found, errors) != 0)
    printf ("\n  found %s", found);
  unlink (input->path);
  check_free (&input->list);
}

static void
expect_gate_errors (const char *text, const char *errors)
{
  SettingsGate s;
  Input input;

  input_begin (&input, text);
  CU_ASSERT_EQUAL (settings_gate_read (input.path, &s, &input.list), !*errors);
  /* Refused settings must leave nothing in the output that could be applied. */
  CU_ASSERT (!*errors || (!s.common.vm && !s.callers.address && !s.streams_max));
  settings_gate_clear (&s);
  input_end (&input, errors);
}

static void
expect_steward_errors (const char *text, const char *errors)
{
  SettingsSteward s;
  Input input;

  input_begin (&input, text);
  CU_ASSERT_EQUAL (settings_steward_read (input.path, &s, &input.list), !*errors);
  CU_ASSERT (!*errors || (!s.common.vm && !s.operator_list && !s.operator_count));
  settings_steward_clear (&s);
  input_end (&input, errors);
}

static void
test_gate_defaults (void)
{
  SettingsGate s;
  Input input;

  input_begin (&input, "{ // a gate\n" COMMON GATE_ENDPOINTS ", \"streams_max\": 7, /* few */ }");
  CU_ASSERT_FATAL (settings_gate_read (input.path, &s, &input.list));
  CU_ASSERT_STRING_EQUAL (s.common.vm, "vm1");
  CU_ASSERT_STRING_EQUAL (s.common.platform.address, "127.0.0.1");
  CU_ASSERT_STRING_EQUAL (s.common.log_priority, "info");
  CU_ASSERT_STRING_EQUAL (s.local.address, "::1");
  CU_ASSERT_EQUAL (s.steward.port, 8002);
  CU_ASSERT_EQUAL (s.streams_max, 7);
  CU_ASSERT_EQUAL (s.body_max, 4 << 20);
  CU_ASSERT_EQUAL (s.header_max, 16 << 10);
  CU_ASSERT_EQUAL (s.read_timeout_ms, 10000);
  CU_ASSERT_EQUAL (s.idle_timeout_ms, 60000);
  CU_ASSERT_EQUAL (s.first_byte_timeout_ms, 30000);
  CU_ASSERT_EQUAL (s.token_timeout_ms, 20000);
  CU_ASSERT_EQUAL (s.spool_max, 8 << 20);
  CU_ASSERT_EQUAL (s.stop_timeout_ms, 30000);
  CU_ASSERT_EQUAL (s.sample_share, 0.1);
  CU_ASSERT_PTR_NULL (s.tls_key_file);
  CU_ASSERT_PTR_NOT_NULL (s.server_policy);
  settings_gate_clear (&s);
  CU_ASSERT_PTR_NULL (s.common.vm);
  input_end (&input, "");
}

static void
test_gate_all_errors_in_one_pass (void)
{
  expect_gate_errors (
      "{" COMMON "\"callers\":{\"address\":\"localhost\",\"port\":8000},"
      "\"local\":{\"address\":\"0.0.0.0\",\"port\":8001,\"prot\":1},"
      "\"steward\":{\"address\":\"127.0.0.1\",\"port\":8001},"
      "\"streams_max\":0,\"sample_share\":2,\"log_priority\":\"loud\",\"colour\":1,"
      "\"tls_key_file\":\"/dev/null\",\"server_policy\":\"best\"}",
      "f.json: streams_max: expected a whole number from 1 to 100000, found 0\n"
      "f.json: sample_share: expected a number from 0 to 1, found 2\n"
      "f.json: colour: unknown name, expected one of: vm, failure_domain, site_key_file, "
      "log_priority, platform, callers, local, steward, tls_certificate_file, tls_key_file, "
      "streams_max, body_max, memory_max, header_max, read_timeout_ms, idle_timeout_ms, "
      "first_byte_timeout_ms, token_timeout_ms, spool_max, stop_timeout_ms, sample_share, "
      "server_policy\n"
      "f.json: callers.address: expected an IP number, found \"localhost\"\n"
      "f.json: local.prot: unknown name, expected one of: address, port\n"
      "f.json: steward: expected a port other than that of local, found 8001\n"
      "f.json: log_priority: expected one of: err, warning, notice, info, debug\n"
      "f.json: tls_certificate_file: expected a file beside tls_key_file, found nothing\n"
      "f.json: server_policy: there is no policy \"best\"\n");
}

static void
test_gate_missing_members_are_reported (void)
{
  SettingsGate s;
  CheckList list = { .file = "none.json" };

  expect_gate_errors ("{}", "f.json: vm: expected a string, found nothing\n"
                            "f.json: failure_domain: expected a string, found nothing\n"
                            "f.json: site_key_file: expected a string, found nothing\n"
                            "f.json: platform: expected an object, found nothing\n"
                            "f.json: callers: expected an object, found nothing\n"
                            "f.json: local: expected an object, found nothing\n"
                            "f.json: steward: expected an object, found nothing\n");
  expect_gate_errors ("{\n  \"vm\": \"a\"\n  \"b\" }",
                      "f.json: line 3, column 3: syntax error: object value separator ',' "
                      "expected\n");
  CU_ASSERT_FALSE (settings_gate_read ("/nonexistent/f.json", &s, &list));
  CU_ASSERT_STRING_EQUAL (list.text.data,
                          "none.json: can't be opened: No such file or directory\n");
  check_free (&list);
}

static void
test_gate_names_and_files_are_checked (void)
{
  expect_gate_errors (
      "{\"vm\":\"a b\",\"failure_domain\":\"Le\303\263n\",\"site_key_file\":\"/nonexistent\","
      "\"platform\":{\"address\":\"127.0.0.1\",\"port\":8002}," GATE_ENDPOINTS "}",
      "f.json: platform: expected a port other than that of steward, found 8002\n"
      "f.json: vm: expected a name of a-z, 0-9, '.', '_' and '-' as in routing "
      "documents\n"
      "f.json: failure_domain: expected a name of a-z, 0-9, '.', '_' and '-' as in "
      "routing documents\n"
      "f.json: site_key_file: expected a file that can be read, found "
      "\"/nonexistent\": No such file or directory\n");
}

static void
test_steward_values_are_read (void)
{
  SettingsSteward s;
  Input input;

  input_begin (&input,
               "{" COMMON STEWARD_ENDPOINTS "\"operator_list\":["
               "{\"name\":\"ana\",\"key_hash\":\"" HASH_A "\",\"roles\":[\"read\"]},"
               "{\"name\":\"ken\",\"key_hash\":\"" HASH_B "\",\"roles\":[\"brake\",\"patch\"]}]}");
  CU_ASSERT_FATAL (settings_steward_read (input.path, &s, &input.list));
  CU_ASSERT_EQUAL (s.rpc.port, 8002);
  CU_ASSERT_EQUAL (s.heartbeat_ms, 250);
  CU_ASSERT_EQUAL (s.poll_ms, 500);
  CU_ASSERT_EQUAL (s.grant_ms, 3000);
  CU_ASSERT_EQUAL_FATAL (s.operator_count, 2);
  CU_ASSERT_STRING_EQUAL (s.operator_list[0].name, "ana");
  CU_ASSERT (s.operator_list[0].read && !s.operator_list[0].patch && !s.operator_list[0].brake);
  CU_ASSERT (!s.operator_list[1].read && s.operator_list[1].patch && s.operator_list[1].brake);
  settings_steward_clear (&s);
  input_end (&input, "");
}

static void
test_steward_operator_errors_are_reported (void)
{
  expect_steward_errors (
      "{" COMMON STEWARD_ENDPOINTS "\"operator_list\":["
      "{\"name\":\"ana\",\"key_hash\":\"" HASH_B "\",\"roles\":[]},"
      "{\"name\":\"ana\",\"key_hash\":\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
      "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\",\"roles\":[\"read\",\"root\",\"read\",5]},"
      "{\"name\":\"ken\",\"key_hash\":\"z\"}, 7]}",
      "f.json: operator_list[0].roles: expected at least one role, found none\n"
      "f.json: operator_list[1].roles[1]: expected one of: read, patch, brake\n"
      "f.json: operator_list[1].roles[2]: duplicate role\n"
      "f.json: operator_list[1].roles[3]: expected one of: read, patch, brake\n"
      "f.json: operator_list[1].name: an operator before has the same name\n"
      "f.json: operator_list[1].key_hash: an operator before has the same key\n"
      "f.json: operator_list[2].key_hash: expected a string of 64 to 64 bytes, found 1 bytes\n"
      "f.json: operator_list[2].roles: expected an array, found nothing\n"
      "f.json: operator_list[3]: expected an object, found int\n");
  expect_steward_errors ("{" COMMON STEWARD_ENDPOINTS "\"operator_list\":["
                         "{\"name\":\"ana\",\"key_hash\":\"zaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
                         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\",\"roles\":[\"read\"]}]}",
                         "f.json: operator_list[0].key_hash: expected 64 hexadecimal digits\n");
}

/*
 * A grant shorter than two heartbeats would make a site refuse all new requests whenever one
 * datagram is lost; it must be reported as an error.
 */
static void
test_steward_short_grant_is_refused (void)
{
  expect_steward_errors ("{" COMMON STEWARD_ENDPOINTS "\"heartbeat_ms\":1000,\"grant_ms\":1999,"
                         "\"operator_list\":[]}",
                         "f.json: grant_ms: expected at least 2 times heartbeat_ms (1000), "
                         "found 1999\n");
  expect_steward_errors ("{" COMMON STEWARD_ENDPOINTS "\"heartbeat_ms\":1000,\"grant_ms\":2000,"
                         "\"operator_list\":[]}",
                         "");
}

/*
 * A steward that listens on 0.0.0.0 needs "advertise"; without it, the other stewards would send
 * their heartbeats to 0.0.0.0, that is to themselves. The advertised port is the same as that of
 * rpc.
 */
static void
test_steward_on_any_address_needs_advertise (void)
{
  const char *endpoints = "\"operators\":{\"address\":\"127.0.0.1\",\"port\":8003},"
                          "\"local\":{\"address\":\"127.0.0.1\",\"port\":8004},"
                          "\"rpc\":{\"address\":\"0.0.0.0\",\"port\":8002},\"operator_list\":[]";
  const char *reachable = "\"advertise\":{\"address\":\"10.0.0.1\",\"port\":8002}";
  const char *unreachable = "\"advertise\":{\"address\":\"::\",\"port\":8002}";
  char text[TEXT_SIZE];

  snprintf (text, sizeof text, "{%s%s}", COMMON, endpoints);
  expect_steward_errors (text, "f.json: advertise: expected the address where other stewards "
                               "reach rpc, found nothing\n");
  snprintf (text, sizeof text, "{%s%s,%s}", COMMON, endpoints, reachable);
  expect_steward_errors (text, "");
  snprintf (text, sizeof text, "{%s%s,%s}", COMMON, endpoints, unreachable);
  expect_steward_errors (text, "f.json: advertise.address: expected an IP number that others can "
                               "reach, found \"::\"\n");
}

static void
test_log_priority_by_name (void)
{
  CU_ASSERT_EQUAL (settings_log_priority ("err"), LOG_ERR);
  CU_ASSERT_EQUAL (settings_log_priority ("debug"), LOG_DEBUG);
  CU_ASSERT_EQUAL (settings_log_priority ("loud"), -1);
}

static const SuiteCase cases[] = {
  { "gate_defaults", test_gate_defaults },
  { "gate_all_errors_in_one_pass", test_gate_all_errors_in_one_pass },
  { "gate_missing_members_are_reported", test_gate_missing_members_are_reported },
  { "gate_names_and_files_are_checked", test_gate_names_and_files_are_checked },
  { "steward_values_are_read", test_steward_values_are_read },
  { "steward_operator_errors_are_reported", test_steward_operator_errors_are_reported },
  { "steward_short_grant_is_refused", test_steward_short_grant_is_refused },
  { "steward_on_any_address_needs_advertise", test_steward_on_any_address_needs_advertise },
  { "log_priority", test_log_priority_by_name },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "settings", cases, SUITE_COUNT (cases));
}
