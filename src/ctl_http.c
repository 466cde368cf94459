#include "ctl_http.h"
#include "http_client.h"
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000
#define READ_TIMEOUT_MS    10000
#define ANSWER_MAX         ((size_t)16 << 20) /* bytes */
#define READ_SIZE          16384              /* bytes */
#define AUTHORIZATION_SIZE 512                /* bytes */
#define HEADERS_MAX        3                  /* headers of a request */

typedef struct json_object Json;

static StatusCode
read_body (HttpExchange *exchange, Buffer *out, Status *st)
{
  char block[READ_SIZE];
  long got = http_exchange_read (exchange, block, sizeof block, st);

  while (got > 0 && out->len <= ANSWER_MAX)
    {
      buffer_add (out, block, (size_t)got);
      got = http_exchange_read (exchange, block, sizeof block, st);
    }
  if (got < 0)
    return STATUS_UNKNOWN;
  if (got > 0)
    return status_set (st, STATUS_UNKNOWN, "ctl.read", NULL, "the answer is too long");
  return STATUS_OK;
}

static void
store_answer (HttpExchange *exchange, const Buffer *text, CtlAnswer *answer)
{
  const char *retry_after = http_exchange_header (exchange, "Retry-After");

  ctl_answer_clear (answer);
  answer->http_status = http_exchange_status (exchange);
  answer->body = text->data == NULL ? NULL : json_tokener_parse (text->data);
  snprintf (answer->retry_after, sizeof answer->retry_after, "%s",
            retry_after == NULL ? "" : retry_after);
}

static StatusCode
call_steward (const Ctl *ctl,
              const CtlSteward *steward,
              HttpRequest *request,
              CtlAnswer *answer,
              Status *st)
{
  HttpExchange *exchange = NULL;
  Buffer text = { 0 };
  StatusCode code;

  request->address = steward->address;
  request->port = steward->port;
  request->tls = ctl->trust_file != NULL;
  request->trust_file = ctl->trust_file;
  code = http_exchange_begin (request, &exchange, st);
  if (code != STATUS_OK)
    return code;
  code = read_body (exchange, &text, st);
  if (code == STATUS_OK)
    store_answer (exchange, &text, answer);
  http_exchange_free (exchange);
  buffer_free (&text);
  return code;
}

static void
add_failure (Buffer *failures, const CtlSteward *steward, const char *message)
{
  buffer_printf (failures, "lovagectl: steward %s port %d: %s\n", steward->address, steward->port,
                 message);
}

/** True if the steward reports that the outcome of the change at the platform is unknown. */
static bool
reports_unknown_outcome (const CtlAnswer *answer)
{
  Json *error = json_object_object_get (answer->body, "error");

  return strcmp (ctl_text (error, "reason", ""), "unknown") == 0;
}

/*
 * Calls the stewards in turn until one answers. A steward that did not answer may still have
 * executed the request. Repeating it elsewhere is safe: a read has no effect, and a patch names the
 * number that it was made against, for which the table service accepts only one patch, so it cannot
 * be applied twice. After such a failure answer->outcome_unknown is set, and the caller determines
 * which attempt was applied.
 */
static bool
call_stewards (const Ctl *ctl, HttpRequest *request, CtlAnswer *answer, Buffer *failures)
{
  bool answered = false;

  for (size_t i = 0; i < ctl->steward_count; i++)
    {
      const CtlSteward *steward = &ctl->stewards[i];
      bool earlier_unknown = answer->outcome_unknown;
      Status st = { 0 };
      StatusCode code = call_steward (ctl, steward, request, answer, &st);

      answer->outcome_unknown = earlier_unknown;
      if (code != STATUS_OK)
        {
          /* Without a connection, or with an invalid request or trust file, nothing was executed.
           */
          answer->outcome_unknown |= code != STATUS_UNAVAILABLE && code != STATUS_INVALID;
          add_failure (failures, steward, st.message);
          continue;
        }
      answered = true;
      if (answer->http_status != 503)
        break;
      answer->outcome_unknown |= reports_unknown_outcome (answer);
      add_failure (failures, steward, "not possible now (503)");
    }
  return answered;
}

CtlExit
ctl_http_call (const Ctl *ctl,
               const char *method,
               const char *path,
               Json *body,
               int64_t wait_ms,
               CtlAnswer *answer)
{
  char authorization[AUTHORIZATION_SIZE];
  HttpHeader headers[HEADERS_MAX] = { { "Authorization", authorization },
                                      { "Accept", "application/json" },
                                      { "Content-Type", "application/json" } };
  const char *text = body == NULL ? NULL : json_object_to_json_string_ext (body, 0);
  HttpRequest request = {
    .method = method,
    .path = path,
    .headers = headers,
    .header_count = body == NULL ? HEADERS_MAX - 1 : HEADERS_MAX,
    .body = text,
    .body_len = text == NULL ? 0 : strlen (text),
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .read_timeout_ms = READ_TIMEOUT_MS + (int)wait_ms,
    .answer_max = ANSWER_MAX,
  };
  Buffer failures = { 0 };
  bool answered;

  *answer = (CtlAnswer){ 0 };
  snprintf (authorization, sizeof authorization, "Bearer %s", ctl->key == NULL ? "" : ctl->key);
  answered = call_stewards (ctl, &request, answer, &failures);
  explicit_bzero (authorization, sizeof authorization);
  if (!answered)
    {
      fputs (failures.data == NULL ? "" : failures.data, stderr);
      ctl_error ("no steward answered%s",
                 answer->outcome_unknown && body != NULL
                     ? "; one may have done it: see `lovagectl version list`"
                     : "");
    }
  buffer_free (&failures);
  return answered ? CTL_DONE : CTL_NO_STEWARD;
}

void
ctl_answer_clear (CtlAnswer *answer)
{
  json_object_put (answer->body);
  *answer = (CtlAnswer){ .outcome_unknown = answer->outcome_unknown };
}

CtlExit
ctl_http_get (const Ctl *ctl, const char *path, Json **body)
{
  CtlAnswer answer;
  CtlExit status = ctl_http_call (ctl, "GET", path, NULL, 0, &answer);

  *body = NULL;
  if (status != CTL_DONE)
    return status;
  if (answer.http_status == 200 && json_object_is_type (answer.body, json_type_object))
    *body = json_object_get (answer.body);
  else
    status = ctl_print_refusal (ctl, &answer);
  ctl_answer_clear (&answer);
  return status;
}

static void
print_errors (Json *error)
{
  size_t count;
  Json *errors = ctl_array (error, "errors", &count);

  for (size_t i = 0; i < count; i++)
    fprintf (stderr, "  %s\n", json_object_get_string (json_object_array_get_idx (errors, i)));
}

CtlExit
ctl_print_refusal (const Ctl *ctl, const CtlAnswer *answer)
{
  Json *error = json_object_object_get (answer->body, "error");
  const char *reason = ctl_text (error, "reason", "refused");
  bool conflict = answer->http_status == 409 && strcmp (reason, "conflict") == 0;

  if (ctl->json)
    ctl_print_json (answer->body);
  if (conflict)
    ctl_error ("lost the race: the newest number is %lld now",
               (long long)ctl_number (error, "head", 0));
  else
    ctl_error ("refused with %d (%s): %s", answer->http_status, reason,
               ctl_text (error, "message", "no message"));
  print_errors (error);
  if (answer->retry_after[0] != '\0')
    ctl_error ("retry after %s s", answer->retry_after);
  return conflict ? CTL_CONFLICT : CTL_REFUSED;
}

const char *
ctl_text (Json *object, const char *name, const char *fallback)
{
  Json *value = json_object_object_get (object, name);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : fallback;
}

int64_t
ctl_number (Json *object, const char *name, int64_t fallback)
{
  Json *value = json_object_object_get (object, name);

  return json_object_is_type (value, json_type_int) ? json_object_get_int64 (value) : fallback;
}

Json *
ctl_array (Json *object, const char *name, size_t *count)
{
  Json *value = json_object_object_get (object, name);

  *count = json_object_is_type (value, json_type_array) ? json_object_array_length (value) : 0;
  return value;
}

void
ctl_print_json (Json *value)
{
  printf ("%s\n",
          json_object_to_json_string_ext (value, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
                                                     | JSON_C_TO_STRING_NOSLASHESCAPE));
}
