#include "gate_attempt.h"
#include "gate_attempt_send.h"
#include "gate_attempt_stream.h"
#include "gate_learn.h"
#include "gate_pick.h"
#include "gate_probe.h"
#include "gate_request.h"
#include "gate_run.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP           "attempt"
#define ERROR_BODY_MAX 4096 /* bytes of an error body read to find whether the request ran */
/** A refused connection takes one round trip. A failure that takes longer counts as an attempt. */
#define REFUSED_WITHIN_US INT64_C (100000)
#define PROBE_TIMEOUT_MS  200
/** Longest wait for the death reports of other VMs before a request whose server died is sent
 *  again. */
#define RENEWAL_WAIT_MS 100

/** Result of starting an attempt. */
typedef enum
{
  BEGIN_OK,
  BEGIN_NEXT, /**< no answer from this server; another one may be tried */
  BEGIN_STOP  /**< the request is refused; r->refusal is set */
} BeginResult;

static int
pick_server (GateRequest *r, int version)
{
  const Config *config = r->snapshot->config;
  ServerQuery query = {
    .config = config,
    .version = version < 0 ? 0 : (unsigned)version,
    .failure_domain = r->gate->settings.common.failure_domain,
    .excluded = r->excluded,
    .prefix_hash = r->prefix_hash,
    .random = id_random_u64 (),
    .now_ms = clock_boot_ms (),
    .service = version < 0 ? r->asked : NULL,
    .index = r->snapshot->index,
  };

  return gate_pick (r->gate->policy, r->snapshot->servers, &query);
}

/* True if the body is {"error":{"code":C}} and the code says that the request did not run. */
static bool
body_says_not_run (const char *body)
{
  struct json_object *root = json_tokener_parse (body);
  struct json_object *error;
  struct json_object *code;
  bool said = false;

  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "error", &error)
      && json_object_is_type (error, json_type_object)
      && json_object_object_get_ex (error, "code", &code))
    {
      const char *text = json_object_get_string (code);
      said = text != NULL && (strcmp (text, "not_run") == 0 || strcmp (text, "wrong_version") == 0);
    }
  json_object_put (root);
  return said;
}

/* The bytes read stay in a->peeked: a plain service's 503 or 409 may be its regular answer. */
static bool
response_says_not_run (GateAttempt *a)
{
  char block[ERROR_BODY_MAX];
  long n = 1;

  if (a->http_status != 503 && a->http_status != 409)
    return false;
  while (a->peeked.len < ERROR_BODY_MAX && n > 0)
    {
      n = http_exchange_read (a->exchange, block, sizeof (block), NULL);
      if (n > 0)
        buffer_add (&a->peeked, block, (size_t)n);
    }
  return n == 0 && a->peeked.len > 0 && body_says_not_run (a->peeked.data);
}

static void
refuse_outcome_unknown (GateRequest *r, int reason, const Status *st)
{
  r->may_have_run = true;
  refusal_set (&r->refusal, reason, REQUEST_UNKNOWN, st->step[0] != '\0' ? st->step : STEP,
               "%s: %s", refusal_text (reason), st->message);
}

/* The request may have run at this server. */
static BeginResult
begin_outcome_unknown (GateRequest *r, const Status *st, ServerResult result)
{
  refuse_outcome_unknown (r, REFUSAL_BACKEND_FAILED, st);
  r->lost_answers++;
  gate_learn_error (r);
  gate_attempt_bill (r, false);
  gate_attempt_end (r, result);
  return BEGIN_NEXT;
}

/* The gate itself ended the request while it waited for the head of the response. */
static BeginResult
begin_ended (GateRequest *r, int reason)
{
  r->may_have_run = true;
  refusal_set (&r->refusal, reason, REQUEST_UNKNOWN, STEP, NULL);
  gate_attempt_bill (r, true);
  gate_attempt_end (r, SERVER_NEUTRAL);
  return BEGIN_STOP;
}

static BeginResult
begin_failed (GateRequest *r, GateAttempt *a, StatusCode code, const Status *st)
{
  if (a->guard_reason != REASON_NONE)
    {
      int reason = a->guard_reason;
      gate_attempt_end (r, SERVER_NEUTRAL);
      if (reason == REASON_NO_SERVER)
        return BEGIN_NEXT;
      refusal_set (&r->refusal, reason, r->may_have_run ? REQUEST_UNKNOWN : REQUEST_NOT_RUN,
                   "attempt.guard", NULL);
      return BEGIN_STOP;
    }
  if (code == STATUS_INVALID)
    {
      gate_attempt_end (r, SERVER_NEUTRAL);
      refusal_set (&r->refusal, REFUSAL_MALFORMED,
                   r->may_have_run ? REQUEST_UNKNOWN : REQUEST_NOT_RUN, STEP, "%s", st->message);
      return BEGIN_STOP;
    }
  if (code != STATUS_UNAVAILABLE && a->watched && gate_request_caller_left (r))
    return begin_ended (r, REFUSAL_CALLER_LEFT);
  if (code != STATUS_UNAVAILABLE && gate_request_past_deadline (r))
    return begin_ended (r, REASON_DEADLINE_PAST);
  if (code != STATUS_UNAVAILABLE)
    return begin_outcome_unknown (r, st, SERVER_FAILED);
  gate_attempt_end (r, SERVER_UNREACHABLE);
  return BEGIN_NEXT;
}

/* Checks the status of the response. An engine's 5xx, or a body that says that the request did not
   run, rules out this server only; any other status but 200 refuses the request. */
static BeginResult
check_head (GateRequest *r, GateAttempt *a)
{
  Status st;

  a->http_status = http_exchange_status (a->exchange);
  if (response_says_not_run (a))
    {
      gate_attempt_end (r, SERVER_BUSY);
      return BEGIN_NEXT;
    }
  if (a->version < 0 || a->http_status == 200)
    return BEGIN_OK;
  status_set (&st, STATUS_UNKNOWN, STEP, a->config_server->name, "HTTP status %d", a->http_status);
  if (a->http_status >= 500)
    return begin_outcome_unknown (r, &st, SERVER_FAILED);
  refuse_outcome_unknown (r, REFUSAL_BACKEND_REJECTED, &st);
  gate_attempt_bill (r, false);
  gate_attempt_end (r, SERVER_NEUTRAL);
  return BEGIN_STOP;
}

/* Requests with a claim are not watched: they run to their end even if the caller leaves. */
static void
watch_caller (GateRequest *r, GateAttempt *a)
{
  a->watched = a->version >= 0 && !r->claimed;
  if (!a->watched)
    return;
  a->watch.fd = r->fd;
  a->watch.deadline_ms = r->deadline_ms;
  a->watch.config_server = a->config_server;
  snprintf (a->watch.id, sizeof (a->watch.id), "%s", a->id);
  gate_watch_add (&r->gate->watch, &a->watch);
}

/* A connection refused at once cost nothing and the request certainly did not run, so it does not
   count as an attempt. */
static void
count_attempt (GateRequest *r, const GateAttempt *a, StatusCode code)
{
  bool quick = clock_boot_us () - a->begun_us < REFUSED_WITHIN_US;

  if (code == STATUS_UNAVAILABLE && quick)
    {
      r->stage_unsent++;
      return;
    }
  r->stage_attempts++;
  r->retry_granted = false;
}

static BeginResult
begin_at (GateRequest *r, int version, unsigned server)
{
  GateAttempt *a = memory_alloc (sizeof (*a));
  StatusCode code;
  Status st = { 0 };

  r->attempt = a;
  a->request = r;
  a->version = version;
  a->config_server = &r->snapshot->config->servers[server];
  a->server = r->snapshot->servers[server];
  a->begun_us = clock_boot_us ();
  snprintf (a->id, sizeof (a->id), "%s-%u", r->id, ++r->attempt_number % 100);
  gate_stream_init (&a->stream, &gate_attempt_stream_ops, a);
  gate_server_begin_attempt (a->server, clock_boot_ms ());
  r->excluded[server] = 1;
  watch_caller (r, a);
  code = gate_attempt_send (a, &st);
  count_attempt (r, a, code);
  if (code != STATUS_OK)
    return begin_failed (r, a, code, &st);
  return check_head (r, a);
}

/*
 * No server is left to try. Keeps the refusal of the last attempt if there is one. Returns false.
 */
static bool
refuse_no_server (GateRequest *r)
{
  if (r->refusal.reason != REASON_NONE)
    return false;
  if (r->stage_attempts + r->stage_unsent == 0)
    refusal_set (&r->refusal, REASON_NO_SERVER, REQUEST_NOT_RUN, STEP, NULL);
  else
    refusal_set (&r->refusal, REFUSAL_NOT_TAKEN, REQUEST_NOT_RUN, STEP, NULL);
  if (r->may_have_run)
    r->refusal.state = REQUEST_UNKNOWN;
  return false;
}

/* True if the same request has crashed servers here or at other VMs. After a death the reports of
   the other VMs are fetched first, since this request may have crashed servers there too. */
static bool
is_quarantined (GateRequest *r)
{
  if (r->server_died && !r->retry_granted)
    gate_grant_renew_and_wait (r->gate, RENEWAL_WAIT_MS);
  return r->may_have_run && gate_request_quarantined (r);
}

/* True if the next attempt needs no further retry from the budget: it is the first one that is
   sent, or the retry granted last has not been sent yet, and neither the deadline nor
   REQUEST_UNSENT_MAX forbids it. */
static bool
is_within_budget (const GateRequest *r, const RetryQuery *query)
{
  bool past_deadline = query->deadline_ms != 0 && query->now_ms >= query->deadline_ms;

  return (r->stage_attempts == 0 || r->retry_granted) && query->server_left && !past_deadline;
}

/* True if another server may be tried after one failed; otherwise r->refusal says why not. A
   request that is not idempotent may be sent again only if no attempt of it can have run. */
static bool
may_retry (GateRequest *r)
{
  RetryQuery query = {
    .idempotent = r->idempotent || !r->may_have_run,
    .attempts = r->stage_attempts,
    .server_left = r->stage_unsent < REQUEST_UNSENT_MAX,
    .now_ms = clock_boot_ms (),
    .deadline_ms = r->deadline_ms,
  };
  RetryAnswer answer;

  if (r->lost_answers >= REQUEST_LOST_MAX)
    return refuse_no_server (r);
  if (is_quarantined (r))
    {
      refusal_set (&r->refusal, REASON_QUARANTINED, REQUEST_UNKNOWN, STEP, NULL);
      return false;
    }
  if (is_within_budget (r, &query))
    return true;
  answer = retry_policy_default.decide (r->gate->retries, &query);
  if (answer.verdict == RETRY_NOW)
    {
      counter_add (COUNTER_GATE_RETRIES, 1);
      r->retry_granted = true;
      return true;
    }
  if (answer.verdict == RETRY_NO_BUDGET)
    counter_add (COUNTER_GATE_BUDGET_EMPTY, 1);
  refuse_no_server (r);
  r->refusal.retry_after_ms = answer.retry_after_ms;
  return false;
}

bool
gate_attempt_begin (GateRequest *r, int version)
{
  for (;;)
    {
      int server = pick_server (r, version);
      if (server < 0 || r->bill.attempt_count >= BILL_ATTEMPTS_MAX)
        return refuse_no_server (r);
      if (r->stage_attempts + r->stage_unsent == 0)
        retry_budget_add_first (r->gate->retries, clock_boot_ms ());
      else if (!may_retry (r))
        return false;
      switch (begin_at (r, version, (unsigned)server))
        {
        case BEGIN_OK:
          r->refusal.reason = REASON_NONE;
          return true;
        case BEGIN_STOP:
          return false;
        case BEGIN_NEXT:
          break;
        }
      if (!r->claimed && gate_request_caller_left (r))
        return refuse_no_server (r);
    }
}

void
gate_attempt_bill (GateRequest *r, bool charged)
{
  const GateAttempt *a = r->attempt;
  const Config *config = r->snapshot->config;
  BillAttempt *bill;

  INVARIANT (r->bill.attempt_count < BILL_ATTEMPTS_MAX, "request=\"%s\"", r->id);
  bill = &r->bill.attempts[r->bill.attempt_count++];
  snprintf (bill->server, sizeof (bill->server), "%s", a->config_server->name);
  if (a->version < 0)
    {
      snprintf (bill->version, sizeof (bill->version), "%s", r->asked);
      return;
    }
  config_label (config, (unsigned)a->version, bill->version);
  bill->prompt_tokens = a->stream.answer.prompt_tokens;
  bill->completion_tokens = answer_completion_tokens (&a->stream.answer);
  if (charged)
    bill->cost = (double)(bill->prompt_tokens + bill->completion_tokens)
                 * config->versions[a->version].cost_per_1k / 1000.0;
}

/* The server broke off an answer. One connection attempt shows whether it is dead, so that the
   death is recorded here and reported to the other VMs before the request is sent elsewhere or
   refused. */
static void
confirm_death (GateRequest *r, const GateAttempt *a)
{
  const ConfigServer *server = a->config_server;

  if (!gate_probe_refused (server->address, server->port, PROBE_TIMEOUT_MS))
    return;
  r->server_died = true;
  gate_server_record_missed_report (a->server, true, clock_boot_ms ());
}

void
gate_attempt_end (GateRequest *r, ServerResult result)
{
  GateAttempt *a = r->attempt;

  if (a == NULL)
    return;
  if (result == SERVER_NEUTRAL && a->exchange != NULL && a->http_status == 200 && a->version >= 0
      && !gate_watch_caller_left (&a->watch))
    {
      snprintf (r->cancel.id, sizeof (r->cancel.id), "%s", a->id);
      r->cancel.config_server = a->config_server;
    }
  if (a->watched)
    gate_watch_remove (&r->gate->watch, &a->watch);
  http_exchange_free (a->exchange);
  gate_server_end_attempt (a->server, result, r->fingerprint, clock_boot_ms ());
  if (result == SERVER_FAILED)
    confirm_death (r, a);
  gate_stream_free (&a->stream);
  buffer_free (&a->peeked);
  free (a);
  r->attempt = NULL;
}
