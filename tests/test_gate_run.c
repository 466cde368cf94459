/**
 * One request through the gate, from its plan to its usage record, against fake backend servers
 * with selectable faults and an in-memory platform: src/gate_run.c and what it calls.
 */
#include "fake_engine.h"
#include "fake_platform.h"
#include "gate_run.h"
#include "suite.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEMORY_BYTES ((int64_t)110 << 20)
#define SERVERS      7
#define KEY_HASH     "00000000000000000000000000000000000000000000000000000000000000"
#define BODY         "{\"model\":\"draft\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
#define STREAMED                                                                                   \
  "{\"model\":\"draft\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"

/**
 * A gate with a grant and configuration 1: one model, one non-idempotent class, one plain service.
 */
typedef struct
{
  Gate gate;
  FakeEngine *engines[SERVERS]; /**< the last one is the plain service */
} Site;

static void
document (const Site *site, const char *state, Buffer *out)
{
  buffer_printf (out,
                 "{\"models\":{\"draft\":{\"versions\":{\"v1\":{\"state\":\"%s\","
                 "\"cost_per_1k\":1000,\"prior_quality\":0.9}}}},"
                 "\"services\":{\"ledger\":{\"idempotent\":false}},"
                 "\"classes\":{\"issue\":{\"stages\":[\"draft\"],\"quality_target\":0.5,"
                 "\"idempotent\":false}},\"backend_servers\":{",
                 state);
  for (int i = 0; i < SERVERS - 1; i++)
    buffer_printf (out,
                   "\"e%d\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":%d,"
                   "\"failure_domain\":\"oita\",\"serves\":[\"draft@v1\"],\"slots\":4,"
                   "\"checks_fencing\":true},",
                   i, fake_engine_port (site->engines[i]));
  buffer_printf (out,
                 "\"s\":{\"kind\":\"service\",\"address\":\"127.0.0.1\",\"port\":%d,"
                 "\"failure_domain\":\"oita\",\"service\":\"ledger\",\"slots\":4}},"
                 "\"teams\":{\"tender\":{\"key_hash\":\"" KEY_HASH
                 "01\",\"allow\":[\"draft\"],\"services\":[\"ledger\"]}}}",
                 fake_engine_port (site->engines[SERVERS - 1]));
}

static void
publish (Site *site, const char *state, int64_t number)
{
  Buffer text = { 0 };
  CheckList list = { .file = "test" };
  bool braked[4] = { false };
  Config *config;

  document (site, state, &text);
  config = config_parse (text.data, text.len, number, &list);
  if (config == NULL)
    printf ("%s\n", list.text.data);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  gate_snapshot_publish (&site->gate.snapshots,
                         gate_snapshot_new (config, braked, &site->gate.servers));
  buffer_free (&text);
  check_free (&list);
}

static Site *
site_new (EngineBehaviour behaviour)
{
  Site *site = memory_alloc (sizeof (*site));
  Gate *gate = &site->gate;
  BillOptions bill = { .gate = 1, .spool_max = 1 << 20, .table_timeout_ms = 500 };

  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < SERVERS; i++)
    site->engines[i] = fake_engine_start (behaviour);
  gate->settings = (SettingsGate){ .common.vm = "vm-1",
                                   .common.failure_domain = "oita",
                                   .streams_max = 10,
                                   .body_max = 1 << 20,
                                   .first_byte_timeout_ms = 20000,
                                   .token_timeout_ms = 20000 };
  gate->policy = server_policy_find ("round-robin");
  gate->platform = fake_platform_new ();
  gate->group = platform_group_new (gate->platform, 1, 100, 500);
  bill.platform = gate->platform;
  bill.group = gate->group;
  gate->bill = bill_writer_new (&bill);
  gate->releaser = claim_releaser_new (gate->platform);
  gate->sessions = session_named_new (gate->group, 100);
  gate->retries = retry_budget_new (&retry_settings_default);
  gate->estimates = estimates_new (&estimate_settings_default);
  gate->evidence = gate_evidence_new ();
  gate_rating_init (&gate->rating);
  gate_limit_init (&gate->limit);
  gate_memory_init (&gate->memory, MEMORY_BYTES, gate->settings.streams_max);
  gate_limit_set_view (&gate->limit, 1, 0);
  gate->sampler = gate_sample_start (gate);
  gate_watch_start (&gate->watch);
  gate_servers_init (&gate->servers, "vm-1", "oita");
  publish (site, "active", 1);
  gate->grant.until_ms = clock_boot_ms () + 3600000;
  return site;
}

static void
site_free (Site *site)
{
  Gate *gate = &site->gate;

  CU_ASSERT_EQUAL (gate->in_flight, 0);
  gate_watch_stop (&gate->watch);
  gate_sample_stop (gate->sampler);
  claim_releaser_free (gate->releaser);
  bill_writer_free (gate->bill, 2000);
  session_named_free (gate->sessions);
  platform_group_free (gate->group);
  platform_free (gate->platform);
  retry_budget_free (gate->retries);
  estimates_free (gate->estimates);
  gate_evidence_free (gate->evidence);
  gate_limit_clear (&gate->limit);
  gate_snapshot_put (gate->snapshots.newest);
  for (int i = 0; i < SERVERS; i++)
    fake_engine_stop (site->engines[i]);
  free (site);
}

/** A request in the state after its body has been read. */
static GateRequest *
request_new (Site *site, const char *asked, const char *key, const char *body)
{
  GateRequest *r = memory_alloc (sizeof (*r));

  r->gate = &site->gate;
  r->fd = -1;
  id_random (r->id);
  r->begun_ms = clock_boot_ms ();
  r->method = memory_strdup ("POST");
  r->service = -1;
  r->previous_version = -1;
  r->snapshot = gate_snapshot_get (&site->gate.snapshots);
  snprintf (r->key, sizeof (r->key), "%s", key);
  buffer_add_string (&r->body, body);
  if (strcmp (asked, "ledger") == 0)
    {
      r->kind = REQUEST_SERVICE;
      r->path = memory_strdup ("/orders");
      snprintf (r->asked, sizeof (r->asked), "%s", asked);
      return r;
    }
  r->path = memory_strdup ("/v1/chat/completions");
  CU_ASSERT (gate_request_read_body (r));
  snprintf (r->asked, sizeof (r->asked), "%s", asked);
  return r;
}

static size_t
requests_run (const Site *site)
{
  size_t n = 0;

  for (int i = 0; i < SERVERS; i++)
    n += fake_engine_ran (site->engines[i]);
  return n;
}

static void
check_refused (GateRequest *r, int reason, RequestState state)
{
  CU_ASSERT_EQUAL (gate_run (r), RUN_REFUSED);
  if (r->refusal.reason != reason)
    printf ("refused: %s: %s\n", refusal_name (r->refusal.reason), r->refusal.message);
  CU_ASSERT_EQUAL (r->refusal.reason, reason);
  CU_ASSERT_EQUAL (r->refusal.state, state);
  gate_request_free (r);
}

static void
check_answered (GateRequest *r, const char *text)
{
  CU_ASSERT_EQUAL (gate_run (r), RUN_COMPLETE);
  CU_ASSERT (r->out.data != NULL && strstr (r->out.data, text) != NULL);
  gate_request_free (r);
}

/** Checks that there is exactly one usage record, and returns it. */
static BillRecord
only_bill (Site *site)
{
  Platform *p = site->gate.platform;
  PlatformRows rows = { 0 };
  BillRecord record = { 0 };

  CU_ASSERT_EQUAL (p->ops->scan (p, "bill", "", "", 10, 100, &rows, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (rows.count, 1);
  if (rows.count == 1)
    CU_ASSERT (bill_parse (rows.rows[0].value, &record));
  platform_rows_clear (&rows);
  return record;
}

static void
test_answer_is_billed (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  BillRecord bill;

  check_answered (request_new (site, "draft", "", BODY), "\"content\":\"one two three\"");
  bill = only_bill (site);
  CU_ASSERT_EQUAL (bill.outcome, BILL_ANSWERED);
  CU_ASSERT_EQUAL (bill.attempt_count, 1);
  CU_ASSERT_EQUAL (bill.attempts[0].prompt_tokens, 7);
  CU_ASSERT_EQUAL (bill.attempts[0].completion_tokens, 3);
  CU_ASSERT_DOUBLE_EQUAL (bill.attempts[0].cost, 10, 1e-9);
  site_free (site);
}

/**
 * If a server answers that it did not run the request, another one is tried and nothing is billed.
 */
static void
test_not_run_is_tried_elsewhere (void)
{
  Site *site = site_new (ENGINE_NOT_RUN);

  check_refused (request_new (site, "issue", "order-1", BODY), REFUSAL_NOT_TAKEN, REQUEST_NOT_RUN);
  CU_ASSERT_EQUAL (fake_platform_rows (site->gate.platform, "bill"), 0);
  CU_ASSERT (requests_run (site) >= 2);
  site_free (site);
}

/*
 * If an engine breaks off its answer to an idempotent request, the request runs again at another
 * server and the caller gets a complete answer. The tokens of the first attempt are free.
 */
static void
test_idempotent_runs_again (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  Platform *p = site->gate.platform;
  size_t attempts = 0;
  PlatformRows rows = { 0 };

  /* One engine breaks off its answers; with round-robin it is chosen once. */
  fake_engine_set_behaviour (site->engines[0], ENGINE_CUTS);
  for (int i = 0; i < SERVERS - 1; i++)
    check_answered (request_new (site, "draft", "", BODY), "one two three");
  CU_ASSERT_EQUAL (fake_engine_ran (site->engines[0]), 1);
  CU_ASSERT_EQUAL (p->ops->scan (p, "bill", "", "", 200, 100, &rows, NULL), STATUS_OK);
  for (size_t i = 0; i < rows.count; i++)
    {
      BillRecord bill = { 0 };
      CU_ASSERT (bill_parse (rows.rows[i].value, &bill));
      CU_ASSERT_EQUAL (bill.outcome, BILL_ANSWERED);
      CU_ASSERT_DOUBLE_EQUAL (bill.attempts[bill.attempt_count - 1].cost, 10, 1e-9);
      if (bill.attempt_count == 2)
        CU_ASSERT_EQUAL (bill.attempts[0].cost, 0);
      attempts += bill.attempt_count;
    }
  CU_ASSERT_EQUAL (attempts, rows.count + 1);
  platform_rows_clear (&rows);
  site_free (site);
}

/*
 * The server of a non-idempotent request breaks the connection without an answer, so the request
 * may have run. It must not run at a second server, and neither may the caller's retry.
 */
static void
test_non_idempotent_runs_at_most_once (void)
{
  Site *site = site_new (ENGINE_CLOSES);
  BillRecord bill;

  check_refused (request_new (site, "issue", "order-1", BODY), REFUSAL_BACKEND_FAILED,
                 REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), 1);
  check_refused (request_new (site, "issue", "order-1", BODY), REFUSAL_CLAIM_IN_PROGRESS,
                 REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), 1);
  bill = only_bill (site);
  CU_ASSERT_EQUAL (bill.outcome, BILL_UNKNOWN);
  CU_ASSERT_EQUAL (bill.attempts[0].cost, 0);
  check_refused (request_new (site, "ledger", "order-2", "{}"), REFUSAL_BACKEND_FAILED,
                 REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), 2);
  site_free (site);
}

/** A caller's retry with the same idempotency key gets the stored answer; the request runs once. */
static void
test_callers_retry_gets_stored_answer (void)
{
  Site *site = site_new (ENGINE_ANSWERS);

  check_answered (request_new (site, "ledger", "order-1", "{}"), "{\"order\":17}");
  check_answered (request_new (site, "ledger", "order-1", "{}"), "{\"order\":17}");
  CU_ASSERT_EQUAL (requests_run (site), 1);
  CU_ASSERT_EQUAL (fake_platform_rows (site->gate.platform, "bill"), 1);
  check_refused (request_new (site, "ledger", "order-1", "{\"other\":1}"), REFUSAL_CLAIM_MISMATCH,
                 REQUEST_NOT_RUN);
  site_free (site);
}

/** A prompt that crashes each engine that runs it takes down REQUEST_LOST_MAX engines, not all. */
static void
test_crash_prompt_loses_few_servers (void)
{
  Site *site = site_new (ENGINE_CLOSES);

  check_refused (request_new (site, "draft", "", BODY), REFUSAL_BACKEND_FAILED, REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), REQUEST_LOST_MAX);
  site_free (site);
}

/*
 * The caller of a crash prompt retries at once. The deaths of the first two engines are known
 * before the refusal is sent, so the retry takes down none. The retry-after time of the refusal is
 * long enough for the death reports to reach the other VMs. Engines that only break off an answer
 * are not dead.
 */
static void
test_retried_crash_prompt_is_quarantined (void)
{
  Site *site = site_new (ENGINE_DIES);
  GateRequest *r = request_new (site, "draft", "", BODY);

  site->gate.servers.quarantine = quarantine_new (&quarantine_settings_default);
  CU_ASSERT_EQUAL (gate_run (r), RUN_REFUSED);
  CU_ASSERT_EQUAL (r->refusal.reason, REFUSAL_BACKEND_FAILED);
  CU_ASSERT (r->refusal.retry_after_ms >= REQUEST_DEATH_PROPAGATION_MS);
  gate_request_free (r);
  check_refused (request_new (site, "draft", "", BODY), REASON_QUARANTINED, REQUEST_NOT_RUN);
  CU_ASSERT_EQUAL (requests_run (site), REQUEST_LOST_MAX);
  for (int i = 0; i < SERVERS; i++)
    fake_engine_set_behaviour (site->engines[i], ENGINE_CLOSES);
  for (int i = 0; i < 2; i++)
    check_refused (request_new (site, "draft", "", STREAMED), REFUSAL_BACKEND_FAILED,
                   REQUEST_UNKNOWN);
  quarantine_free (site->gate.servers.quarantine);
  site_free (site);
}

/** With all engines but one dead, the connections that they refuse do not count as attempts and use
 * no retry budget. */
static void
test_refused_connections_are_no_attempts (void)
{
  int64_t retries = counter_value (COUNTER_GATE_RETRIES);

  for (int alive = 0; alive < SERVERS - 1; alive++)
    {
      Site *site = site_new (ENGINE_ANSWERS);
      for (int i = 0; i < SERVERS - 1; i++)
        if (i != alive)
          fake_engine_die (site->engines[i]);
      check_answered (request_new (site, "issue", "order-1", BODY), "one two three");
      CU_ASSERT_EQUAL (only_bill (site).attempt_count, 1);
      site_free (site);
    }
  CU_ASSERT_EQUAL (counter_value (COUNTER_GATE_RETRIES), retries);
}

/** A plain service's own 503 is relayed as its answer, including the bytes read to look for
 * "not_run". */
static void
test_service_503_is_its_answer (void)
{
  Site *site = site_new (ENGINE_PLAIN_503);
  GateRequest *r = request_new (site, "ledger", "", "{}");

  CU_ASSERT_EQUAL (gate_run (r), RUN_COMPLETE);
  CU_ASSERT_EQUAL (r->http_status, 503);
  CU_ASSERT_STRING_EQUAL (r->out.data, "{\"sorry\":\"later\"}");
  gate_request_free (r);
  site_free (site);
}

/** A request that an engine rejects as invalid is not tried at another one. */
static void
test_rejected_is_not_retried (void)
{
  Site *site = site_new (ENGINE_REFUSES);

  check_refused (request_new (site, "draft", "", BODY), REFUSAL_BACKEND_REJECTED, REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), 1);
  site_free (site);
}

/** While the table service is down, a non-idempotent request cannot be claimed: it does not run,
 * and its refusal says so. */
static void
test_no_claim_no_run (void)
{
  Site *site = site_new (ENGINE_ANSWERS);

  fake_platform_fault (site->gate.platform, FAULT_DOWN, CALL_ALL, 0);
  check_refused (request_new (site, "issue", "order-1", BODY), REASON_CLAIM_UNAVAILABLE,
                 REQUEST_NOT_RUN);
  CU_ASSERT_EQUAL (requests_run (site), 0);
  fake_platform_fault (site->gate.platform, FAULT_NONE, CALL_ALL, 0);
  site_free (site);
}

/*
 * A version is withdrawn after a request was planned and before its last byte is sent. The engine
 * gets an incomplete body, the refusal says that the request did not run, and nothing is billed.
 */
static void
test_withdrawal_before_the_last_byte_stops_the_send (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  GateRequest *r = request_new (site, "draft", "", BODY);
  size_t unfinished = 0;

  publish (site, "withdrawn", 2);
  check_refused (r, REASON_VERSION_WITHDRAWN, REQUEST_NOT_RUN);
  CU_ASSERT_EQUAL (requests_run (site), 0);
  CU_ASSERT_EQUAL (fake_platform_rows (site->gate.platform, "bill"), 0);
  for (int i = 0; i < 500 && unfinished == 0; i++)
    {
      clock_sleep_ms (10);
      for (int j = 0; j < SERVERS; j++)
        unfinished += fake_engine_incomplete (site->engines[j]);
    }
  CU_ASSERT_EQUAL (unfinished, 1);
  site_free (site);
}

/** When a caller leaves during a stream, the answer is cancelled at the engine, and the tokens so
 * far are billed. */
static void
test_abandoned_stream_is_cancelled (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  GateRequest *r = request_new (site, "draft", "", STREAMED);
  size_t cancelled = 0;
  BillRecord bill;

  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  CU_ASSERT (strstr (r->out.data, "one") != NULL && strstr (r->out.data, "two") == NULL);
  gate_request_free (r);
  for (int i = 0; i < SERVERS; i++)
    cancelled += fake_engine_cancelled (site->engines[i]);
  CU_ASSERT_EQUAL (cancelled, 1);
  bill = only_bill (site);
  CU_ASSERT_EQUAL (bill.outcome, BILL_CANCELLED);
  CU_ASSERT_EQUAL (bill.attempts[0].completion_tokens, 1);
  site_free (site);
}

/** When a caller leaves a claimed stream, the request runs to its end, and a caller's retry gets
 * the complete answer. */
static void
test_abandoned_claimed_stream_runs_to_its_end (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  GateRequest *r = request_new (site, "issue", "order-1", STREAMED);

  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  gate_request_free (r);
  CU_ASSERT_EQUAL (only_bill (site).outcome, BILL_ANSWERED);
  r = request_new (site, "issue", "order-1", STREAMED);
  CU_ASSERT_EQUAL (gate_run (r), RUN_COMPLETE);
  CU_ASSERT (strstr (r->out.data, "one") != NULL && strstr (r->out.data, "three") != NULL);
  CU_ASSERT (strstr (r->out.data, "data: [DONE]") != NULL);
  gate_request_free (r);
  CU_ASSERT_EQUAL (requests_run (site), 1);
  site_free (site);
}

/** A stream that cannot be completed ends with an error event and no end mark, and is billed as
 * cut. */
static void
test_cut_stream_ends_with_error (void)
{
  Site *site = site_new (ENGINE_CUTS);
  GateRequest *r = request_new (site, "draft", "", STREAMED);

  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  while (r->phase == RELAY_OPEN)
    CU_ASSERT (gate_run_next (r));
  CU_ASSERT_EQUAL (r->phase, RELAY_FAILING);
  CU_ASSERT (strstr (r->out.data, "event: error") != NULL);
  CU_ASSERT (strstr (r->out.data, "\"state\":\"unknown\"") != NULL);
  CU_ASSERT (strstr (r->out.data, "[DONE]") == NULL);
  gate_request_free (r);
  CU_ASSERT_EQUAL (only_bill (site).outcome, BILL_CUT);
  site_free (site);
}

/* Bytes of the engine's head, the shortest of which has 70, after which it stops: within the status
 * line, at its end, within a field's name and value, and before the empty line. */
static const size_t head_cuts[] = { 1, 12, 15, 16, 17, 25, 40, 60 };

static Site *
site_with_cut_heads (EngineBehaviour behaviour, size_t len, bool reset)
{
  Site *site = site_new (behaviour);

  for (int i = 0; i < SERVERS; i++)
    fake_engine_set_head_cut (site->engines[i], len, reset);
  return site;
}

static void
check_cut_head (size_t len, bool reset)
{
  Site *site = site_with_cut_heads (ENGINE_CUTS_HEAD, len, reset);

  check_refused (request_new (site, "draft", "", BODY), REFUSAL_BACKEND_FAILED, REQUEST_UNKNOWN);
  check_refused (request_new (site, "draft", "", STREAMED), REFUSAL_BACKEND_FAILED,
                 REQUEST_UNKNOWN);
  check_refused (request_new (site, "issue", "order-1", BODY), REFUSAL_BACKEND_FAILED,
                 REQUEST_UNKNOWN);
  check_refused (request_new (site, "ledger", "order-2", "{}"), REFUSAL_BACKEND_FAILED,
                 REQUEST_UNKNOWN);
  site_free (site);
}

/* Guards against an answer whose server stopped in the middle of its head, and that callers get as
 * a whole one with an empty body. */
static void
test_cut_head_is_no_answer (void)
{
  for (size_t i = 0; i < SUITE_COUNT (head_cuts); i++)
    {
      check_cut_head (head_cuts[i], false);
      check_cut_head (head_cuts[i], true);
    }
}

static void
check_cut_resumed_head (size_t len, bool reset)
{
  Site *site = site_with_cut_heads (ENGINE_CUTS_RESUMED_HEAD, len, reset);
  GateRequest *r = request_new (site, "draft", "", STREAMED);

  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  while (r->phase == RELAY_OPEN)
    CU_ASSERT (gate_run_next (r));
  CU_ASSERT_EQUAL (r->phase, RELAY_FAILING);
  CU_ASSERT (strstr (r->out.data, "event: error") != NULL);
  CU_ASSERT (strstr (r->out.data, "[DONE]") == NULL);
  gate_request_free (r);
  CU_ASSERT_EQUAL (only_bill (site).outcome, BILL_CUT);
  site_free (site);
}

/* Guards against a stream that ends as complete, as the engine that was to go on with it stopped in
 * the middle of its answer's head. */
static void
test_cut_resumed_head_ends_with_error (void)
{
  for (size_t i = 0; i < SUITE_COUNT (head_cuts); i++)
    {
      check_cut_resumed_head (head_cuts[i], false);
      check_cut_resumed_head (head_cuts[i], true);
    }
}

/** The end of a stream is relayed only after its usage record is in the table. */
static void
test_end_is_relayed_after_the_usage_record (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  GateRequest *r = request_new (site, "draft", "", STREAMED);

  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  while (r->phase == RELAY_OPEN)
    {
      CU_ASSERT_EQUAL (fake_platform_rows (site->gate.platform, "bill"), 0);
      CU_ASSERT (strstr (r->out.data, "\"finish_reason\":\"stop\"") == NULL);
      CU_ASSERT (gate_run_next (r));
    }
  CU_ASSERT_EQUAL (fake_platform_rows (site->gate.platform, "bill"), 1);
  CU_ASSERT (strstr (r->out.data, "[DONE]") != NULL);
  gate_request_free (r);
  site_free (site);
}

/** Without a grant, while stopping, and with too many requests in progress, a request is refused at
 * once and not sent. */
static void
test_request_not_admitted_is_not_sent (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  Gate *gate = &site->gate;

  gate->grant.until_ms = clock_boot_ms ();
  check_refused (request_new (site, "draft", "", BODY), REASON_NO_GRANT, REQUEST_NOT_RUN);
  gate->grant.until_ms = clock_boot_ms () + 3600000;
  gate->stopping = true;
  check_refused (request_new (site, "draft", "", BODY), REASON_STOPPING, REQUEST_NOT_RUN);
  gate->stopping = false;
  gate->in_flight = gate->settings.streams_max;
  check_refused (request_new (site, "draft", "", BODY), REASON_OVERLOAD, REQUEST_NOT_RUN);
  gate->in_flight = 0;
  CU_ASSERT_EQUAL (requests_run (site), 0);
  site_free (site);
}

/** Requests of a team at its limit, and at a gate that has no share of the limit yet, are refused.
 * Once a request has ended, another one is admitted. */
static void
test_team_at_its_limit_is_refused (void)
{
  Site *site = site_new (ENGINE_ANSWERS);
  GateRequest *r = request_new (site, "draft", "", STREAMED);
  ConfigTeam *team = &site->gate.snapshots.newest->config->teams[0];

  team->concurrent = 1;
  check_refused (request_new (site, "draft", "", BODY), REASON_TEAM_LIMIT, REQUEST_NOT_RUN);
  limiter_free (site->gate.limit.limiter);
  site->gate.limit.limiter = limiter_new (&limit_settings_default);
  limiter_set_view (site->gate.limit.limiter, 1, 0, clock_boot_ms () - 3600000);
  CU_ASSERT_EQUAL (gate_run (r), RUN_STREAM);
  check_refused (request_new (site, "draft", "", BODY), REASON_TEAM_LIMIT, REQUEST_NOT_RUN);
  gate_request_free (r);
  check_answered (request_new (site, "draft", "", BODY), "one two three");
  CU_ASSERT_EQUAL (requests_run (site), 2);
  site_free (site);
}

/*
 * A deadline passes while the engine sends nothing. The request is refused then, not when the read
 * times out seconds later, and its answer is cancelled at the engine.
 */
static void
test_passed_deadline_ends_the_wait (void)
{
  Site *site = site_new (ENGINE_HANGS);
  GateRequest *r = request_new (site, "draft", "", STREAMED);
  size_t cancelled = 0;

  r->deadline_ms = clock_boot_ms () + 100;
  check_refused (r, REASON_DEADLINE_PAST, REQUEST_UNKNOWN);
  CU_ASSERT_EQUAL (requests_run (site), 1);
  for (int i = 0; i < SERVERS; i++)
    cancelled += fake_engine_cancelled (site->engines[i]);
  CU_ASSERT_EQUAL (cancelled, 1);
  CU_ASSERT_EQUAL (only_bill (site).outcome, BILL_UNKNOWN);
  site_free (site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase suite[] = {
    { "answered", test_answer_is_billed },
    { "not-run-is-tried-elsewhere", test_not_run_is_tried_elsewhere },
    { "idempotent-runs-again", test_idempotent_runs_again },
    { "non-idempotent-runs-at-most-once", test_non_idempotent_runs_at_most_once },
    { "callers-retry-gets-stored-answer", test_callers_retry_gets_stored_answer },
    { "crash-prompt-loses-few-servers", test_crash_prompt_loses_few_servers },
    { "cut-head-is-no-answer", test_cut_head_is_no_answer },
    { "cut-resumed-head-ends-with-error", test_cut_resumed_head_ends_with_error },
    { "retried-crash-prompt-is-quarantined", test_retried_crash_prompt_is_quarantined },
    { "refused-connections-are-no-attempts", test_refused_connections_are_no_attempts },
    { "service-503-is-its-answer", test_service_503_is_its_answer },
    { "rejected-is-not-retried", test_rejected_is_not_retried },
    { "no-claim-no-run", test_no_claim_no_run },
    { "withdrawal-before-the-last-byte-stops-the-send",
      test_withdrawal_before_the_last_byte_stops_the_send },
    { "abandoned-stream-is-cancelled", test_abandoned_stream_is_cancelled },
    { "abandoned-claimed-stream-runs-to-its-end", test_abandoned_claimed_stream_runs_to_its_end },
    { "cut-stream-ends-with-error", test_cut_stream_ends_with_error },
    { "end-is-relayed-after-the-usage-record", test_end_is_relayed_after_the_usage_record },
    { "request-not-admitted-is-not-sent", test_request_not_admitted_is_not_sent },
    { "team-at-its-limit-is-refused", test_team_at_its_limit_is_refused },
    { "passed-deadline-ends-the-wait", test_passed_deadline_ends_the_wait },
  };

  return suite_main (argc, argv, "gate_run", suite, SUITE_COUNT (suite));
}
