#include "gate_respond.h"
#include "gate_refused.h"
#include "gate_run.h"
#include "gate_session.h"
#include "util_assert.h"
#include "util_counter.h"
#include <stdio.h>
#include <string.h>

#define STREAM_BLOCK 4096 /* bytes that libmicrohttpd requests at once */

static ssize_t read_stream (void *cls, uint64_t pos, char *buf, size_t max);

unsigned
gate_idle_timeout_s (const Gate *gate)
{
  return (unsigned)((gate->settings.idle_timeout_ms + 999) / 1000);
}

void
gate_respond_pause_timeout (GateRequest *r)
{
  MHD_set_connection_option (r->connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
}

void
gate_respond_resume_timeout (GateRequest *r)
{
  MHD_set_connection_option (r->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             gate_idle_timeout_s (r->gate));
}

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  enum MHD_Result added = MHD_add_response_header (response, name, value);

  INVARIANT (added == MHD_YES, "header=\"%s\"", name);
}

static void
add_common (GateRequest *r, struct MHD_Response *response, const char *type, RequestState state)
{
  char number[24];

  add_header (response, "Content-Type", type);
  add_header (response, "X-Lovage-Request", r->id);
  if (r->phase != RELAY_OPEN || r->attempt == NULL || r->billed)
    add_header (response, "X-Lovage-State", request_state_name (state));
  if (r->snapshot == NULL)
    return;
  snprintf (number, sizeof (number), "%lld", (long long)r->snapshot->config->number);
  add_header (response, "X-Lovage-Config", number);
}

/* Adds the version that answers and the session that is bound to it. */
static void
add_version (GateRequest *r, struct MHD_Response *response)
{
  char name[BILL_NAME_MAX];
  char session[SESSION_TOKEN_MAX];

  if (r->attempt == NULL || r->attempt->version < 0)
    return;
  config_label (r->snapshot->config, (unsigned)r->attempt->version, name);
  add_header (response, "X-Lovage-Version", name);
  gate_session_value (r, (unsigned)r->attempt->version, session);
  add_header (response, "X-Lovage-Session", session);
}

static enum MHD_Result
queue (GateRequest *r, unsigned status, struct MHD_Response *response)
{
  enum MHD_Result queued = MHD_queue_response (r->connection, status, response);

  MHD_destroy_response (response);
  return queued;
}

enum MHD_Result
gate_respond_refusal (GateRequest *r)
{
  Buffer body = { 0 };
  struct MHD_Response *response;
  char seconds[24];

  gate_refused_record (r);
  refusal_json (&r->refusal, &body);
  response = MHD_create_response_from_buffer (body.len, body.data, MHD_RESPMEM_MUST_FREE);
  INVARIANT (response != NULL, "request=\"%s\"", r->id);
  add_common (r, response, "application/json", r->refusal.state);
  if (r->refusal.retry_after_ms > 0)
    {
      snprintf (seconds, sizeof (seconds), "%lld",
                (long long)(r->refusal.retry_after_ms + 999) / 1000);
      add_header (response, "Retry-After", seconds);
    }
  if (r->refusal.reason == REFUSAL_UNAUTHENTICATED)
    add_header (response, "WWW-Authenticate", "Bearer");
  return queue (r, (unsigned)refusal_http_status (r->refusal.reason), response);
}

enum MHD_Result
gate_respond_complete (GateRequest *r)
{
  struct MHD_Response *response;

  counter_add (COUNTER_GATE_ANSWERED, 1);
  response = MHD_create_response_from_buffer (r->out.len, r->out.data, MHD_RESPMEM_MUST_FREE);
  INVARIANT (response != NULL, "request=\"%s\"", r->id);
  r->out = (Buffer){ 0 };
  add_common (r, response, r->answer_type, REQUEST_ANSWERED);
  add_version (r, response);
  gate_attempt_end (r, SERVER_SUCCEEDED);
  return queue (r, (unsigned)r->http_status, response);
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  GateRequest *r = cls;
  size_t len;
  bool caller_present = true;

  (void)pos;
  if (r->sent == r->out.len)
    {
      if (r->phase == RELAY_CLOSING)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (r->phase == RELAY_FAILING)
        return MHD_CONTENT_READER_END_WITH_ERROR;
      gate_respond_pause_timeout (r);
      caller_present = gate_run_next (r);
      gate_respond_resume_timeout (r);
    }
  if (!caller_present)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  len = r->out.len - r->sent;
  if (len > max)
    len = max;
  memcpy (buf, r->out.data + r->sent, len);
  r->sent += len;
  return (ssize_t)len;
}

enum MHD_Result
gate_respond_stream (GateRequest *r)
{
  struct MHD_Response *response;

  counter_add (COUNTER_GATE_ANSWERED, 1);
  response
      = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream, r, NULL);
  INVARIANT (response != NULL, "request=\"%s\"", r->id);
  add_common (r, response, r->answer_type, REQUEST_ANSWERED);
  add_version (r, response);
  add_header (response, "Cache-Control", "no-store");
  return queue (r, (unsigned)r->http_status, response);
}
