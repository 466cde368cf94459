#include "gate_attempt_send.h"
#include "gate_attempt_stream.h"
#include "gate_guard.h"
#include "gate_request.h"
#include "util_clock.h"
#include "util_counter.h"
#include <json-c/json.h>
#include <stdio.h>

#define HEADERS_MAX           6
#define NUMBER_MAX            24 /* bytes of a number in text, with the final NUL */
#define PRIORITY_USUAL        "0"
#define PRIORITY_BEYOND_SHARE "-1" /* beyond the team's fair share */

static int
read_timeout_ms (const GateRequest *r)
{
  int64_t ms = r->gate->settings.first_byte_timeout_ms;
  int64_t left;

  if (r->deadline_ms == 0)
    return (int)ms;
  left = r->deadline_ms - clock_boot_ms ();
  if (left < 1)
    left = 1;
  return (int)(left < ms ? left : ms);
}

static const char *
attempt_body (GateRequest *r, int version, size_t *len)
{
  const Config *config = r->snapshot->config;
  char name[BILL_NAME_MAX];
  const char *text;

  if (version < 0)
    {
      *len = r->body.len;
      return r->body.data;
    }
  config_label (config, (unsigned)version, name);
  json_object_object_add (r->json, "model", json_object_new_string (name));
  json_object_object_add (r->json, "stream", json_object_new_boolean (true));
  text = json_object_to_json_string_length (
      r->json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, len);
  return text;
}

StatusCode
gate_attempt_send (GateAttempt *a, Status *st)
{
  GateRequest *r = a->request;
  char config_number[NUMBER_MAX];
  size_t body_len = 0;
  const char *body = attempt_body (r, a->version, &body_len);
  const char *type = a->version < 0 ? r->content_type : "application/json";
  HttpHeader headers[HEADERS_MAX] = {
    { .name = "X-Lovage-Request", .value = a->id },
    { .name = "X-Lovage-Config", .value = config_number },
    { .name = "X-Lovage-Priority",
      .value = r->beyond_fair_share ? PRIORITY_BEYOND_SHARE : PRIORITY_USUAL },
  };
  HttpRequest request = {
    .method = r->method,
    .address = a->config_server->address,
    .port = a->config_server->port,
    .path = r->path,
    .headers = headers,
    .header_count = 3,
    .body = body,
    .body_len = body_len,
    .connect_timeout_ms = ATTEMPT_CONNECT_TIMEOUT_MS,
    .read_timeout_ms = read_timeout_ms (r),
    .answer_max = ATTEMPT_ANSWER_MAX,
    .may_finish = gate_guard,
    .context = a,
  };

  snprintf (config_number, sizeof (config_number), "%lld", (long long)r->snapshot->config->number);
  if (type != NULL)
    headers[request.header_count++] = (HttpHeader){ .name = "Content-Type", .value = type };
  if (r->key[0] != '\0')
    headers[request.header_count++] = (HttpHeader){ .name = "Idempotency-Key", .value = r->key };
  counter_add (COUNTER_GATE_ATTEMPTS, 1);
  return http_exchange_begin (&request, &a->exchange, st);
}
