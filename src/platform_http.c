/**
 * Client of the platform's HTTP and JSON protocol.
 */
#include "http_client.h"
#include "http_reader.h"
#include "platform.h"
#include "platform_wire.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include <ne_alloc.h>
#include <ne_uri.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX ((size_t)64 * 1024 * 1024) /* bytes */
/* Few reads run concurrently; additional ones open temporary connections. */
#define IDLE_CONNECTIONS 4

typedef struct
{
  Platform base;
  char *address;
  int port;
  HttpReader *reader; /* for GET requests, over persistent connections */
} HttpPlatform;

/* One call and its result. */
typedef struct
{
  const char *step;
  const char *method;
  const char *path;
  const void *body;
  size_t body_len;
  int timeout_ms;
  int http_status;
  Buffer answer;
} Call;

static StatusCode
run_call (Platform *p, Call *call, Status *st)
{
  HttpPlatform *h = (HttpPlatform *)p;
  HttpHeader type = { "Content-Type", "application/json" };
  HttpRequest request = { .method = call->method,
                          .address = h->address,
                          .port = h->port,
                          .path = call->path,
                          .headers = &type,
                          .header_count = call->body_len > 0,
                          .body = call->body,
                          .body_len = call->body_len,
                          .connect_timeout_ms = call->timeout_ms,
                          .read_timeout_ms = call->timeout_ms,
                          .total_timeout_ms = call->timeout_ms,
                          .answer_max = ANSWER_MAX };
  counter_add (COUNTER_PLATFORM_CALLS, 1);
  return http_call (&request, &call->http_status, &call->answer, st);
}

/* Maps the HTTP status of an answer to a status code. */
static StatusCode
code_of_http_status (int status)
{
  if (status == 200 || status == 204)
    return STATUS_OK;
  if (status == 503)
    return STATUS_UNAVAILABLE;
  if (status == 404)
    return STATUS_NOT_FOUND;
  if (status == 409)
    return STATUS_CONFLICT;
  if (status >= 400 && status < 500)
    return STATUS_INVALID;
  return STATUS_UNKNOWN;
}

static void
count_code (StatusCode code)
{
  if (code == STATUS_UNAVAILABLE)
    counter_add (COUNTER_PLATFORM_UNAVAILABLE, 1);
  if (code == STATUS_UNKNOWN)
    counter_add (COUNTER_PLATFORM_UNKNOWN, 1);
  if (code == STATUS_CONFLICT)
    counter_add (COUNTER_PLATFORM_CONFLICTS, 1);
}

/* Status code and message for the HTTP status of a complete answer. */
static StatusCode
status_of_answer (const Call *call, Status *st)
{
  StatusCode code = code_of_http_status (call->http_status);
  if (code == STATUS_OK)
    return status_ok (st);
  return status_set (st, code, call->step, NULL, "HTTP status %d", call->http_status);
}

static StatusCode
call_write (Platform *p, Call *call, Status *st)
{
  StatusCode code = run_call (p, call, st);
  if (code == STATUS_OK)
    code = status_of_answer (call, st);
  count_code (code);
  return code;
}

/* Runs a call that has no effect. Only GET may use the reader, which can send a request twice. */
static StatusCode
run_read (Platform *p, Call *call, Status *st)
{
  HttpPlatform *h = (HttpPlatform *)p;
  HttpRead read = { .path = call->path,
                    .connect_timeout_ms = call->timeout_ms,
                    .read_timeout_ms = call->timeout_ms,
                    .total_timeout_ms = call->timeout_ms,
                    .answer_max = ANSWER_MAX };
  if (strcmp (call->method, "GET") != 0)
    return run_call (p, call, st);
  counter_add (COUNTER_PLATFORM_CALLS, 1);
  return http_reader_get (h->reader, &read, &call->http_status, &call->answer, st);
}

/* A read has no effect, so a lost answer is reported as STATUS_UNAVAILABLE, not as unknown. */
static StatusCode
call_read (Platform *p, Call *call, Status *st)
{
  StatusCode code = run_read (p, call, st);
  if (code == STATUS_OK)
    code = status_of_answer (call, st);
  if (code == STATUS_UNKNOWN)
    {
      code = STATUS_UNAVAILABLE;
      if (st)
        st->code = code;
    }
  count_code (code);
  return code;
}

static StatusCode
bad_answer (const Call *call, StatusCode code, Status *st)
{
  log_msg (MSG_PLATFORM_BAD_ANSWER, "step=\"%s\" bytes=\"%zu\"", call->step, call->answer.len);
  count_code (code);
  return status_set (st, code, call->step, NULL, "the answer breaks the protocol");
}

static void
set_json_body (Call *call, struct json_object *body)
{
  size_t len;
  call->body = json_object_to_json_string_length (body, JSON_C_TO_STRING_PLAIN, &len);
  call->body_len = len;
}

static StatusCode
platform_http_txn (Platform *p, TxnOp *ops, size_t count, int timeout_ms, Status *st)
{
  Call call = { "platform.txn", "POST", "/v1/txn", .timeout_ms = timeout_ms };
  struct json_object *body = platform_wire_txn (ops, count);
  set_json_body (&call, body);
  for (size_t i = 0; i < count; i++)
    ops[i].existing = NULL;
  StatusCode code = call_write (p, &call, st);
  if (code == STATUS_NOT_FOUND)
    code = status_set (st, STATUS_INVALID, call.step, NULL, "no such call at the platform");
  struct json_object *answer = NULL;
  if (code == STATUS_OK)
    {
      /* The transaction may have been committed even if the answer cannot be parsed. */
      answer = platform_wire_parse (call.answer.data, call.answer.len);
      if (!answer || !platform_wire_results (answer, ops, count))
        code = bad_answer (&call, STATUS_UNKNOWN, st);
    }
  json_object_put (answer);
  json_object_put (body);
  buffer_free (&call.answer);
  return code;
}

/* Appends name=value to the query, percent-encoded. */
static void
add_query (Buffer *path, const char *name, const char *value)
{
  char *escaped = ne_path_escape (value);
  buffer_printf (path, "%c%s=", strchr (path->data, '?') ? '&' : '?', name);
  buffer_add_string (path, escaped);
  ne_free (escaped);
}

/* Runs a read whose answer is a JSON object; *answer is freed with json_object_put. */
static StatusCode
read_json (Platform *p, Call *call, struct json_object **answer, Status *st)
{
  *answer = NULL;
  StatusCode code = call_read (p, call, st);
  if (code == STATUS_OK)
    {
      *answer = platform_wire_parse (call->answer.data, call->answer.len);
      if (!*answer)
        code = bad_answer (call, STATUS_UNAVAILABLE, st);
    }
  return code;
}

static StatusCode
platform_http_get (Platform *p,
                   const char *table,
                   const char *key,
                   int timeout_ms,
                   PlatformRow *row,
                   Status *st)
{
  Buffer path = { 0 };
  buffer_add_string (&path, "/v1/row");
  add_query (&path, "table", table);
  add_query (&path, "key", key);
  Call call = { "platform.get", "GET", path.data, .timeout_ms = timeout_ms };
  struct json_object *answer;
  *row = (PlatformRow){ 0 };
  StatusCode code = read_json (p, &call, &answer, st);
  if (code == STATUS_OK && !platform_wire_row (answer, row))
    code = bad_answer (&call, STATUS_UNAVAILABLE, st);
  if (code == STATUS_NOT_FOUND)
    code = status_ok (st);
  json_object_put (answer);
  buffer_free (&call.answer);
  buffer_free (&path);
  return code;
}

static StatusCode
platform_http_scan (Platform *p,
                    const char *table,
                    const char *from,
                    const char *prefix,
                    size_t limit,
                    int timeout_ms,
                    PlatformRows *rows,
                    Status *st)
{
  Buffer path = { 0 };
  buffer_printf (&path, "/v1/scan?limit=%zu", limit);
  add_query (&path, "table", table);
  add_query (&path, "from", from ? from : "");
  if (prefix)
    add_query (&path, "prefix", prefix);
  Call call = { "platform.scan", "GET", path.data, .timeout_ms = timeout_ms };
  struct json_object *answer;
  *rows = (PlatformRows){ 0 };
  StatusCode code = read_json (p, &call, &answer, st);
  if (code == STATUS_OK && !platform_wire_rows (answer, rows))
    code = bad_answer (&call, STATUS_UNAVAILABLE, st);
  json_object_put (answer);
  buffer_free (&call.answer);
  buffer_free (&path);
  return code;
}

static char *
object_path (const char *name)
{
  Buffer path = { 0 };
  char *escaped = ne_path_escape (name);
  buffer_add_string (&path, "/v1/object/");
  buffer_add_string (&path, escaped);
  ne_free (escaped);
  return path.data;
}

static StatusCode
platform_http_object_put (Platform *p,
                          const char *name,
                          const void *data,
                          size_t len,
                          int timeout_ms,
                          Status *st)
{
  char *path = object_path (name);
  Call call = { "platform.object_put", "PUT", path, data, len, .timeout_ms = timeout_ms };
  StatusCode code = call_write (p, &call, st);
  buffer_free (&call.answer);
  free (path);
  return code;
}

static StatusCode
platform_http_object_get (Platform *p, const char *name, int timeout_ms, Buffer *out, Status *st)
{
  char *path = object_path (name);
  Call call = { "platform.object_get", "GET", path, .timeout_ms = timeout_ms };
  StatusCode code = call_read (p, &call, st);
  if (code == STATUS_OK)
    buffer_add (out, call.answer.data, call.answer.len);
  buffer_free (&call.answer);
  free (path);
  return code;
}

static StatusCode
platform_http_vm_list (Platform *p, int timeout_ms, PlatformVms *out, Status *st)
{
  Call call = { "platform.vm_list", "GET", "/v1/vms", .timeout_ms = timeout_ms };
  struct json_object *answer;
  *out = (PlatformVms){ 0 };
  StatusCode code = read_json (p, &call, &answer, st);
  if (code == STATUS_OK && !platform_wire_vms (answer, out))
    code = bad_answer (&call, STATUS_UNAVAILABLE, st);
  json_object_put (answer);
  buffer_free (&call.answer);
  return code;
}

static StatusCode
platform_http_rate (Platform *p,
                    const char *quality_class,
                    const char *prompt,
                    const char *answer,
                    int timeout_ms,
                    double *score,
                    Status *st)
{
  Call call = { "platform.rate", "POST", "/v1/rate", .timeout_ms = timeout_ms };
  struct json_object *body = platform_wire_rate (quality_class, prompt, answer);
  struct json_object *reply;
  set_json_body (&call, body);
  StatusCode code = read_json (p, &call, &reply, st);
  if (code == STATUS_OK && !platform_wire_score (reply, score))
    code = bad_answer (&call, STATUS_UNAVAILABLE, st);
  json_object_put (reply);
  json_object_put (body);
  buffer_free (&call.answer);
  return code;
}

static void
platform_http_free (Platform *p)
{
  HttpPlatform *h = (HttpPlatform *)p;
  http_reader_free (h->reader);
  free (h->address);
  free (h);
}

static const PlatformOps platform_http_ops = { .txn = platform_http_txn,
                                               .get = platform_http_get,
                                               .scan = platform_http_scan,
                                               .object_put = platform_http_object_put,
                                               .object_get = platform_http_object_get,
                                               .vm_list = platform_http_vm_list,
                                               .rate = platform_http_rate,
                                               .free = platform_http_free };

Platform *
platform_http_new (const char *address, int port)
{
  HttpPlatform *h = memory_alloc (sizeof *h);
  h->base.ops = &platform_http_ops;
  h->address = memory_strdup (address);
  h->port = port;
  h->reader = http_reader_new (address, port, IDLE_CONNECTIONS);
  return &h->base;
}
