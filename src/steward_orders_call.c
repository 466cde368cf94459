#include "steward_orders_call.h"
#include "http_client.h"
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS    1000
#define ANSWER_BYTES_MAX   ((size_t)256 * 1024)
#define HTTP_OK            200
/* HTTP status of an engine that has seen a newer fencing number. */
#define HTTP_PRECONDITION_FAILED 412

/* Called directly before the order's last byte: an engine executes no incomplete order. A holder
   that was paused while it connected or sent the rest stops here. */
static bool
still_held (void *context)
{
  return steward_duty_may_order (context);
}

static StatusCode
exchange (const HttpRequest *request, const char *step, Buffer *answer, Status *st)
{
  int http_status = 0;
  char peer[STATUS_PEER_MAX];
  StatusCode code = http_call (request, &http_status, answer, st);

  if (code != STATUS_OK || http_status == HTTP_OK)
    return code;
  snprintf (peer, sizeof peer, "%s:%d", request->address, request->port);
  return status_set (st,
                     http_status == HTTP_PRECONDITION_FAILED ? STATUS_DENIED : STATUS_UNAVAILABLE,
                     step, peer, "HTTP status %d", http_status);
}

StatusCode
orders_send (const ConfigServer *server, struct json_object *order, StewardDuty *duty, Status *st)
{
  const char *text = json_object_to_json_string_ext (order, JSON_C_TO_STRING_PLAIN);
  const HttpHeader headers[] = { { "Content-Type", "application/json" } };
  HttpRequest request = { .method = "POST",
                          .address = server->address,
                          .port = server->port,
                          .path = "/v1/orders",
                          .headers = headers,
                          .header_count = sizeof headers / sizeof *headers,
                          .body = text,
                          .body_len = strlen (text),
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                          .read_timeout_ms = READ_TIMEOUT_MS,
                          .total_timeout_ms = (int)STEWARD_DUTY_ORDER_TIMEOUT_MS,
                          .answer_max = ANSWER_BYTES_MAX,
                          .may_finish = still_held,
                          .context = duty };
  Buffer answer = { 0 };
  StatusCode code = exchange (&request, "order", &answer, st);

  buffer_free (&answer);
  return code;
}

StatusCode
orders_read_back (const ConfigServer *server, struct json_object **out, Status *st)
{
  HttpRequest request = { .method = "GET",
                          .address = server->address,
                          .port = server->port,
                          .path = "/v1/load",
                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                          .read_timeout_ms = READ_TIMEOUT_MS,
                          .total_timeout_ms = (int)STEWARD_DUTY_ORDER_TIMEOUT_MS,
                          .answer_max = ANSWER_BYTES_MAX };
  Buffer answer = { 0 };
  StatusCode code = exchange (&request, "order.read_back", &answer, st);

  if (code == STATUS_OK)
    {
      buffer_add_string (&answer, "");
      *out = json_tokener_parse (answer.data);
      if (!json_object_is_type (*out, json_type_object))
        {
          json_object_put (*out);
          code = status_set (st, STATUS_INVALID, "order.read_back", server->name,
                             "the report can't be read");
        }
    }
  buffer_free (&answer);
  return code;
}
