#include "gate_attempt_stream.h"
#include "gate_request.h"
#include "util_clock.h"
#include "util_counter.h"
#include <stdio.h>

#define STEP           "attempt.resume"
#define PAUSE_MS       50 /**< the n-th resumption (from 0) waits n times this */
#define PATH_MAX_BYTES (ATTEMPT_ID_MAX + 64)

static long stream_read (void *context, char *data, size_t len, Status *st);
static StatusCode stream_resume (void *context, int64_t from, Status *st);
static bool stream_caller_left (void *context);
static void stream_pause (void *context, unsigned n);

const GateStreamOps gate_attempt_stream_ops = {
  .read = stream_read,
  .resume = stream_resume,
  .caller_left = stream_caller_left,
  .pause = stream_pause,
};

static long
stream_read (void *context, char *data, size_t len, Status *st)
{
  GateAttempt *a = context;

  return a->exchange != NULL ? http_exchange_read (a->exchange, data, len, st) : -1;
}

static StatusCode
stream_resume (void *context, int64_t from, Status *st)
{
  GateAttempt *a = context;
  char path[PATH_MAX_BYTES];
  HttpRequest request = {
    .method = "GET",
    .address = a->config_server->address,
    .port = a->config_server->port,
    .path = path,
    .connect_timeout_ms = ATTEMPT_CONNECT_TIMEOUT_MS,
    .read_timeout_ms = (int)a->request->gate->settings.token_timeout_ms,
    .answer_max = ATTEMPT_ANSWER_MAX,
  };
  StatusCode code;
  int status;

  if (gate_request_past_deadline (a->request) && !gate_watch_is_relayed (&a->watch))
    return status_set (st, STATUS_NOT_FOUND, STEP, a->config_server->name,
                       "the deadline has passed");
  http_exchange_free (a->exchange);
  a->exchange = NULL;
  snprintf (path, sizeof (path), "/v1/streams/%s?from=%lld", a->id, (long long)from);
  counter_add (COUNTER_GATE_RESUMES, 1);
  code = http_exchange_begin (&request, &a->exchange, st);
  if (code != STATUS_OK)
    return code;
  status = http_exchange_status (a->exchange);
  if (status == 200)
    return status_ok (st);
  http_exchange_free (a->exchange);
  a->exchange = NULL;
  return status_set (st, STATUS_NOT_FOUND, STEP, a->config_server->name,
                     "resuming the stream gave HTTP status %d", status);
}

/* Called for each event, so it makes no system call: the watch thread polls the socket. */
static bool
stream_caller_left (void *context)
{
  const GateAttempt *a = context;

  return a->watched && gate_watch_caller_left (&a->watch);
}

static void
stream_pause (void *context, unsigned n)
{
  (void)context;
  clock_sleep_ms ((int64_t)n * PAUSE_MS);
}

StreamResult
gate_attempt_next (GateRequest *r, Buffer *out, Status *st)
{
  GateAttempt *a = r->attempt;
  StreamResult result = gate_stream_next (&a->stream, out, st);

  if (!a->first_token_seen && (result == STREAM_CHUNK || result == STREAM_END))
    {
      a->first_token_seen = true;
      a->first_token_ms = (double)(clock_boot_us () - a->begun_us) / 1000.0;
      gate_server_record_first_token (a->server, a->first_token_ms);
    }
  return result;
}

void
gate_attempt_cancel (GateRequest *r)
{
  if (r->cancel.id[0] == '\0')
    return;
  gate_watch_cancel (r->cancel.config_server->address, r->cancel.config_server->port, r->cancel.id);
  r->cancel.id[0] = '\0';
}
