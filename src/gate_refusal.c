#include "gate_refusal.h"
#include "util_assert.h"
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name; /**< NULL: use reason_name */
  int http_status;
  int64_t retry_after_ms;
  const char *text;
} RefusalEntry;

#define MS_PER_S 1000LL

static const RefusalEntry entries[REFUSAL_COUNT] = {
  [REASON_NONE] = { "none", 200, 0, "not refused" },
  [REASON_UNKNOWN_MODEL] = { NULL, 404, 0, "no model or quality class has that name" },
  [REASON_UNKNOWN_VERSION] = { NULL, 404, 0, "the model has no version of that name" },
  [REASON_NOT_ALLOWED] = { NULL, 403, 0, "the team may not use what it asked for" },
  [REASON_VERSION_WITHDRAWN]
  = { NULL, 409, 0, "the version was withdrawn; open a new session or name another version" },
  [REASON_VERSION_BRAKED] = { NULL, 503, 30 * MS_PER_S, "the version is stopped by a brake" },
  [REASON_NO_ALLOWED_VERSION]
  = { NULL, 503, 30 * MS_PER_S, "no version is left that the team may use now" },
  [REASON_NO_SERVER] = { NULL, 503, 1 * MS_PER_S, "no backend server can take the request now" },
  [REASON_TARGET_UNREACHABLE]
  = { NULL, 503, 30 * MS_PER_S, "no allowed plan meets the quality target" },
  [REASON_DEADLINE_PAST] = { NULL, 504, 0, "the deadline has passed" },
  [REASON_TEAM_LIMIT] = { NULL, 429, 1 * MS_PER_S, "the team's limit is reached" },
  [REASON_OVERLOAD] = { NULL, 503, 1 * MS_PER_S, "too many requests are in progress" },
  [REASON_QUARANTINED] = { NULL, 422, 0, "this request crashed backend servers before" },
  [REASON_NO_GRANT]
  = { NULL, 503, 1 * MS_PER_S, "this VM can't show now that its configuration is fresh" },
  [REASON_STOPPING] = { NULL, 503, 1 * MS_PER_S, "this VM is stopping; another one answers" },
  [REASON_SPOOL_FULL] = { NULL, 503, 5 * MS_PER_S, "no room for further usage records" },
  [REASON_CLAIM_UNAVAILABLE]
  = { NULL, 503, 2 * MS_PER_S, "no durable claim can be had now for a non-idempotent request" },
  [REFUSAL_MALFORMED] = { "malformed", 400, 0, "the request can't be read" },
  [REFUSAL_UNAUTHENTICATED] = { "unauthenticated", 401, 0, "no team has this key" },
  [REFUSAL_NO_ROUTE] = { "no_route", 404, 0, "nothing is served at this path" },
  [REFUSAL_METHOD] = { "method_not_allowed", 405, 0, "the path does not take this method" },
  [REFUSAL_TOO_LARGE] = { "too_large", 413, 0, "the body is longer than this system takes" },
  [REFUSAL_HEAD_TOO_LARGE]
  = { "head_too_large", 431, 0, "the head is longer than this system takes" },
  [REFUSAL_READ_TIMEOUT]
  = { "read_timeout", 408, 1 * MS_PER_S, "the request took too long to arrive" },
  [REFUSAL_BAD_SESSION] = { "bad_session", 400, 0, "the session token is not one for this team" },
  [REFUSAL_SESSION_UNAVAILABLE]
  = { "session_unavailable", 503, 2 * MS_PER_S, "a caller-named session can't be looked up now" },
  [REFUSAL_CLAIM_IN_PROGRESS]
  = { "claim_in_progress", 409, 2 * MS_PER_S, "another attempt under this key has started" },
  [REFUSAL_CLAIM_NOT_KEPT]
  = { "answer_not_kept", 409, 0, "the request ran under this key; its answer was not kept" },
  [REFUSAL_CLAIM_MISMATCH]
  = { "key_mismatch", 422, 0, "the idempotency key was used for another request" },
  [REFUSAL_NOT_TAKEN]
  = { "not_taken", 503, 1 * MS_PER_S, "no backend server that was tried took the request" },
  [REFUSAL_BACKEND_REJECTED]
  = { "backend_rejected", 502, 0, "the backend server refused the request as wrong" },
  [REFUSAL_BACKEND_FAILED]
  = { "backend_failed", 502, 1 * MS_PER_S, "the backend server gave no whole answer" },
  [REFUSAL_ANSWER_TOO_LARGE]
  = { "answer_too_large", 502, 0, "the answer is longer than this system holds" },
  [REFUSAL_CALLER_LEFT] = { "caller_left", 499, 0, "the caller left before its answer began" },
  [REFUSAL_INTERNAL] = { "internal", 500, 1 * MS_PER_S, "a fault of the router" },
};

static const RefusalEntry *
entry (int reason)
{
  INVARIANT (reason >= 0 && reason < REFUSAL_COUNT, "reason %d", reason);
  INVARIANT (entries[reason].text != NULL, "reason %d has no entry", reason);
  return &entries[reason];
}

const char *
refusal_name (int reason)
{
  const RefusalEntry *e = entry (reason);
  return e->name != NULL ? e->name : reason_name ((Reason)reason);
}

int
refusal_http_status (int reason)
{
  return entry (reason)->http_status;
}

const char *
refusal_text (int reason)
{
  return entry (reason)->text;
}

int64_t
refusal_retry_after_ms (int reason)
{
  return entry (reason)->retry_after_ms;
}

const char *
request_state_name (RequestState state)
{
  static const char *const names[] = {
    [REQUEST_ANSWERED] = "answered",
    [REQUEST_NOT_RUN] = "not_run",
    [REQUEST_UNKNOWN] = "unknown",
  };
  return names[state];
}

void
refusal_set (Refusal *refusal,
             int reason,
             RequestState state,
             const char *step,
             const char *format,
             ...)
{
  va_list args;

  refusal->reason = reason;
  refusal->state = state;
  refusal->retry_after_ms = refusal_retry_after_ms (reason);
  snprintf (refusal->step, sizeof (refusal->step), "%s", step);
  if (format == NULL)
    {
      snprintf (refusal->message, sizeof (refusal->message), "%s", refusal_text (reason));
      return;
    }
  va_start (args, format);
  vsnprintf (refusal->message, sizeof (refusal->message), format, args);
  va_end (args);
}

void
refusal_json (const Refusal *refusal, Buffer *out)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  json_object_object_add (error, "state",
                          json_object_new_string (request_state_name (refusal->state)));
  json_object_object_add (error, "reason", json_object_new_string (refusal_name (refusal->reason)));
  json_object_object_add (error, "step", json_object_new_string (refusal->step));
  json_object_object_add (error, "message", json_object_new_string (refusal->message));
  json_object_object_add (error, "retry_after_ms", json_object_new_int64 (refusal->retry_after_ms));
  json_object_object_add (root, "error", error);
  buffer_add_string (out, json_object_to_json_string_ext (
                              root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}
