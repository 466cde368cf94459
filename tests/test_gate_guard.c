/**
 * The check before the last byte of a request is sent: src/gate_guard.c, with src/gate_snapshot.c.
 */
#include "gate_guard.h"
#include "gate_request.h"
#include "suite.h"
#include "util_clock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HASH "00000000000000000000000000000000000000000000000000000000000000"
#define MODELS(state)                                                                              \
  "{\"models\":{\"draft\":{\"versions\":{\"v1\":{\"state\":\"" state                               \
  "\",\"cost_per_1k\":1},\"v2\":{\"state\":\"active\",\"cost_per_1k\":1}}}},"                      \
  "\"services\":{\"ledger\":{\"idempotent\":false}},"
#define SERVERS(port, leaving)                                                                     \
  "\"backend_servers\":{\"a\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":" port       \
  ",\"failure_domain\":\"oita\",\"serves\":[\"draft@v1\",\"draft@v2\"],\"slots\":4,"               \
  "\"checks_fencing\":true,\"leaving\":" leaving "}},"
#define TEAM(name, allow)                                                                          \
  "\"teams\":{\"" name "\":{\"key_hash\":\"" KEY_HASH "01\",\"allow\":[\"" allow "\"]}}}"

static const char first[] = MODELS ("active") SERVERS ("9001", "false") TEAM ("tender", "draft");

/** A gate with a grant and configuration 1 in force, and a request being sent to server a. */
typedef struct
{
  Gate gate;
  GateRequest request;
  GateAttempt attempt;
} Setup;

static Config *
parse (const char *text, int64_t number)
{
  CheckList list = { .file = "test" };
  Config *config = config_parse (text, strlen (text), number, &list);

  if (config == NULL)
    printf ("%s\n", list.text.data);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  check_free (&list);
  return config;
}

static void
publish (Gate *gate, const char *text, int64_t number, const char *braked_label)
{
  Config *config = parse (text, number);
  bool braked[8] = { false };

  if (braked_label != NULL)
    braked[config_find_label (config, braked_label)] = true;
  gate_snapshot_publish (&gate->snapshots, gate_snapshot_new (config, braked, &gate->servers));
}

static Setup *
setup (void)
{
  Setup *s = calloc (1, sizeof (*s));

  gate_servers_init (&s->gate.servers, "vm-1", "oita");
  publish (&s->gate, first, 1, NULL);
  s->gate.grant.until_ms = clock_boot_ms () + 60000;
  s->request.gate = &s->gate;
  s->request.snapshot = gate_snapshot_get (&s->gate.snapshots);
  s->attempt.request = &s->request;
  s->attempt.version = config_find_label (s->request.snapshot->config, "draft@v1");
  s->attempt.config_server = &s->request.snapshot->config->servers[0];
  return s;
}

static void
teardown (Setup *s)
{
  gate_snapshot_put (s->request.snapshot);
  gate_snapshot_put (s->gate.snapshots.newest);
  free (s);
}

/** A change that arrives after the request was planned and before its last byte is sent. */
typedef struct
{
  const char *name;
  const char *text; /**< of configuration 2; NULL: only the brake changes */
  const char *braked;
  int reason;
} GuardCase;

static const GuardCase cases[] = {
  { "nothing relevant changed",
    MODELS ("active") SERVERS ("9001", "false") TEAM ("tender", "draft"), NULL, REASON_NONE },
  { "version withdrawn", MODELS ("withdrawn") SERVERS ("9001", "false") TEAM ("tender", "draft"),
    NULL, REASON_VERSION_WITHDRAWN },
  { "version removed",
    "{\"models\":{\"draft\":{\"versions\":{\"v2\":{\"state\":\"active\",\"cost_per_1k\":1}}}},"
    "\"backend_servers\":{\"a\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":9001,"
    "\"failure_domain\":\"oita\",\"serves\":[\"draft@v2\"],\"slots\":4,\"checks_fencing\":true}}"
    "," TEAM ("tender", "draft"),
    NULL, REASON_VERSION_WITHDRAWN },
  { "version braked", NULL, "draft@v1", REASON_VERSION_BRAKED },
  { "another version braked", NULL, "draft@v2", REASON_NONE },
  { "team lost the version",
    MODELS ("active") SERVERS ("9001", "false") TEAM ("tender", "draft@v2"), NULL,
    REASON_NOT_ALLOWED },
  { "team removed", MODELS ("active") SERVERS ("9001", "false") TEAM ("branch", "draft"), NULL,
    REASON_NOT_ALLOWED },
  { "server leaving", MODELS ("active") SERVERS ("9001", "true") TEAM ("tender", "draft"), NULL,
    REASON_NO_SERVER },
  { "server at another port", MODELS ("active") SERVERS ("9002", "false") TEAM ("tender", "draft"),
    NULL, REASON_NO_SERVER },
};

/*
 * Guards against a withdrawn version that answers a caller seconds after the withdrawal: a request
 * is planned under the old configuration, then its VM is suspended or its connection to the engine
 * is slow, and its last byte is sent although the new configuration has arrived meanwhile.
 */
static void
test_change_before_the_last_byte_is_detected (void)
{
  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    {
      const GuardCase *c = &cases[i];
      Setup *s = setup ();
      bool may;

      CU_ASSERT (gate_guard (&s->attempt));
      publish (&s->gate, c->text != NULL ? c->text : first, c->text != NULL ? 2 : 1, c->braked);
      may = gate_guard (&s->attempt);
      if (s->attempt.guard_reason != c->reason)
        printf ("case \"%s\": %s\n", c->name, reason_name ((Reason)s->attempt.guard_reason));
      CU_ASSERT_EQUAL (s->attempt.guard_reason, c->reason);
      CU_ASSERT_EQUAL (may, c->reason == REASON_NONE);
      teardown (s);
    }
}

/*
 * Guards against a disconnected VM that sends new requests under a configuration that has been
 * replaced elsewhere: its grant has expired, or it never had one.
 */
static void
test_no_grant_stops_the_send (void)
{
  Setup *s = setup ();

  s->gate.grant.until_ms = clock_boot_ms () - 1;
  CU_ASSERT (!gate_guard (&s->attempt));
  CU_ASSERT_EQUAL (s->attempt.guard_reason, REASON_NO_GRANT);
  s->gate.grant.until_ms = 0;
  CU_ASSERT (!gate_guard (&s->attempt));
  s->gate.grant.until_ms = clock_boot_ms () + 60000;
  CU_ASSERT (gate_guard (&s->attempt));
  teardown (s);
}

/** A request whose deadline passed while it connected must not start to run. */
static void
test_passed_deadline_stops_the_send (void)
{
  Setup *s = setup ();

  s->request.deadline_ms = clock_boot_ms () + 60000;
  CU_ASSERT (gate_guard (&s->attempt));
  s->request.deadline_ms = clock_boot_ms ();
  CU_ASSERT (!gate_guard (&s->attempt));
  CU_ASSERT_EQUAL (s->attempt.guard_reason, REASON_DEADLINE_PAST);
  teardown (s);
}

/** A request keeps the configuration that it started with, however many are published later. */
static void
test_request_keeps_its_snapshot (void)
{
  Setup *s = setup ();
  char label[CONFIG_LABEL_SIZE];

  for (int64_t number = 2; number < 20; number++)
    publish (&s->gate, cases[1].text, number, NULL);
  CU_ASSERT_EQUAL (s->request.snapshot->config->number, 1);
  config_label (s->request.snapshot->config, (unsigned)s->attempt.version, label);
  CU_ASSERT_STRING_EQUAL (label, "draft@v1");
  CU_ASSERT_EQUAL (s->gate.snapshots.newest->config->number, 19);
  CU_ASSERT_PTR_EQUAL (s->request.snapshot->servers[0], s->gate.snapshots.newest->servers[0]);
  teardown (s);
}

int
main (int argc, char **argv)
{
  static const SuiteCase suite[] = {
    { "change-before-the-last-byte-is-detected", test_change_before_the_last_byte_is_detected },
    { "no-grant-stops-the-send", test_no_grant_stops_the_send },
    { "passed-deadline-stops-the-send", test_passed_deadline_stops_the_send },
    { "request-keeps-its-snapshot", test_request_keeps_its_snapshot },
  };

  return suite_main (argc, argv, "gate_guard", suite, SUITE_COUNT (suite));
}
