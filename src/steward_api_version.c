/**
 * Operators' calls that read versions of the configuration and submit new ones.
 */
#include "steward_call.h"
#include "steward_publish.h"
#include "steward_submit.h"
#include "steward_wait.h"
#include "util_log.h"
#include "util_memory.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Versions in one answer. */
#define LIST_DEFAULT    200
#define LIST_MAX        1000
#define WAIT_DEFAULT_MS 8000
#define WAIT_MAX_MS     600000
#define REASON_MAX      512 /* bytes */
#define QUOTED_SIZE     (2 * REASON_MAX)

typedef struct json_object Json;

static const char *const listed[] = { "number", "base", "operator", "reason", "at_ms" };

/* The entry of a list for a row of config_version, with only the JSON members named in listed. */
static Json *
list_entry (const PlatformRow *row)
{
  Json *version = json_tokener_parse (row->value);
  Json *entry = json_object_new_object ();
  Json *value;

  for (size_t i = 0; i < sizeof listed / sizeof *listed; i++)
    if (json_object_object_get_ex (version, listed[i], &value))
      json_object_object_add (entry, listed[i], json_object_get (value));
  json_object_put (version);
  return entry;
}

void
steward_api_versions (StewardCall *call)
{
  Platform *p = call->s->platform;
  PlatformRows rows = { 0 };
  char from[STEWARD_KEY_SIZE];
  StewardHead head;
  int64_t limit;
  Status st = { 0 };

  if (!steward_call_number (call, "limit", 1, LIST_MAX, LIST_DEFAULT, &limit))
    return;
  if (steward_head_read (p, STEWARD_TABLE_TIMEOUT_MS, &head, &st) != STATUS_OK)
    {
      steward_call_unavailable (call, &st);
      return;
    }
  steward_number_key (head.number > limit ? head.number - limit + 1 : 1, from);
  if (p->ops->scan (p, "config_version", from, "", (size_t)limit, STEWARD_TABLE_TIMEOUT_MS, &rows,
                    &st)
      != STATUS_OK)
    {
      steward_call_unavailable (call, &st);
      return;
    }
  Json *answer = json_object_new_object ();
  Json *versions = json_object_new_array ();
  for (size_t i = 0; i < rows.count; i++)
    json_object_array_add (versions, list_entry (&rows.rows[i]));
  platform_rows_clear (&rows);
  json_object_object_add (answer, "head", json_object_new_int64 (head.number));
  json_object_object_add (answer, "accepted", json_object_new_int64 (head.accepted));
  json_object_object_add (answer, "versions", versions);
  steward_call_done (call, answer);
}

static bool
read_row (StewardCall *call, const char *table, const char *key, Json **out)
{
  Platform *p = call->s->platform;
  PlatformRow row = { 0 };
  Status st = { 0 };

  *out = NULL;
  if (p->ops->get (p, table, key, STEWARD_TABLE_TIMEOUT_MS, &row, &st) != STATUS_OK)
    {
      steward_call_unavailable (call, &st);
      return false;
    }
  if (row.version != 0)
    *out = json_tokener_parse (row.value);
  else
    (void)steward_call_error (call, MHD_HTTP_NOT_FOUND, "not_found", "there is no such version");
  platform_row_clear (&row);
  return *out != NULL;
}

void
steward_api_version (StewardCall *call)
{
  char key[STEWARD_KEY_SIZE];
  char *end = NULL;
  Json *version, *text;

  errno = 0;
  long long number = strtoll (call->rest, &end, 10);
  if (errno != 0 || *end != '\0' || number < 1)
    {
      (void)steward_call_error (call, MHD_HTTP_NOT_FOUND, "not_found", "expected a number");
      return;
    }
  steward_number_key (number, key);
  if (!read_row (call, "config_version", key, &version))
    return;
  if (!read_row (call, "config_text", key, &text))
    {
      json_object_put (version);
      return;
    }
  json_object_object_del (version, "nonce");
  json_object_object_add (version, "text", text);
  steward_call_done (call, version);
}

static bool
read_wait (StewardCall *call, StewardNumberState *until, int64_t *wait_ms)
{
  const char *wait = steward_call_query (call, "wait");

  *until = STEWARD_IN_FORCE;
  if (wait != NULL && strcmp (wait, "none") == 0)
    *until = STEWARD_DURABLE;
  else if (wait != NULL && strcmp (wait, "accepted") == 0)
    *until = STEWARD_ACCEPTED;
  else if (wait != NULL && strcmp (wait, "in_force") != 0)
    {
      (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                "wait: expected none, accepted or in_force");
      return false;
    }
  return steward_call_number (call, "wait_ms", 0, WAIT_MAX_MS, WAIT_DEFAULT_MS, wait_ms);
}

/* Splits the list of errors, one per line, into elements of an array. */
static Json *
error_lines (const CheckList *list)
{
  Json *errors = json_object_new_array ();
  char *text = memory_strdup (list->text.data == NULL ? "" : list->text.data);
  char *rest = text;
  char *line;

  while ((line = strsep (&rest, "\n")) != NULL)
    if (*line != '\0')
      json_object_array_add (errors, json_object_new_string (line));
  free (text);
  return errors;
}

static void
answer_refusal (StewardCall *call, const StewardSubmitResult *result)
{
  Json *error;

  switch (result->outcome)
    {
    case STEWARD_SUBMIT_CONFLICT:
      error = steward_call_error (call, MHD_HTTP_CONFLICT, "conflict",
                                  "another change came first: the newest number is %lld",
                                  (long long)result->head);
      json_object_object_add (error, "head", json_object_new_int64 (result->head));
      break;
    case STEWARD_SUBMIT_INVALID:
      error = steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                  "nothing was changed: %u errors", result->errors.count);
      json_object_object_add (error, "errors", error_lines (&result->errors));
      break;
    case STEWARD_SUBMIT_UNKNOWN:
      (void)steward_call_error (
          call, MHD_HTTP_SERVICE_UNAVAILABLE, "unknown",
          "it is not known whether the change was made: look at the versions");
      call->retry_after_s = 2;
      break;
    default:
      steward_call_unavailable (call, &result->st);
    }
  log_msg (MSG_STEWARD_PATCH_REFUSED, "operator=\"%s\" status=\"%u\" head=\"%lld\"",
           call->operator->name, call->status, (long long)result->head);
}

static void
answer_state (StewardCall *call, int64_t number, StewardNumberState until, int64_t wait_ms)
{
  size_t in_force, members;
  StewardNumberState state = steward_wait (call->s, number, until, wait_ms, &in_force, &members);
  Json *answer = json_object_new_object ();

  json_object_object_add (answer, "number", json_object_new_int64 (number));
  json_object_object_add (answer, "state",
                          json_object_new_string (steward_number_state_name (state)));
  json_object_object_add (answer, "members_in_force", json_object_new_int64 ((int64_t)in_force));
  json_object_object_add (answer, "members", json_object_new_int64 ((int64_t)members));
  steward_call_done (call, answer);
}

static void
submit (StewardCall *call, int64_t base, Json *change)
{
  const char *reason = steward_call_text (call, "reason");
  char quoted[QUOTED_SIZE];
  StewardSubmitResult result;
  StewardNumberState until;
  int64_t wait_ms;
  int64_t known_number;
  char *known_text;

  if (!read_wait (call, &until, &wait_ms))
    return;
  if (reason == NULL)
    reason = "";
  if (strlen (reason) > REASON_MAX)
    {
      (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                "reason: expected at most %d bytes", REASON_MAX);
      return;
    }
  known_text = steward_document_text (&call->s->document, &known_number);
  StewardSubmission submission = { .operator_name = call->operator->name,
                                   .reason = reason,
                                   .base = base,
                                   .change = json_object_to_json_string (change),
                                   .known_number = known_number,
                                   .known_text = known_text };
  steward_submit (call->s->platform, &submission, &result);
  free (known_text);
  if (result.outcome == STEWARD_SUBMIT_DURABLE)
    {
      log_msg (MSG_STEWARD_PATCH, "config=\"%lld\" operator=\"%s\" reason=\"%s\"",
               (long long)result.number, call->operator->name,
               log_quote (reason, quoted, sizeof quoted));
      (void)steward_publish_document (call->s, result.number, result.text);
      answer_state (call, result.number, until, wait_ms);
    }
  else
    answer_refusal (call, &result);
  steward_submit_clear (&result);
}

void
steward_api_create (StewardCall *call)
{
  Json *text;

  if (!json_object_object_get_ex (call->body, "text", &text)
      || !json_object_is_type (text, json_type_object))
    {
      (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                "text: expected the document, a JSON object");
      return;
    }
  submit (call, 0, text);
}

void
steward_api_patch (StewardCall *call)
{
  Json *base, *patch;

  if (!json_object_object_get_ex (call->body, "base", &base)
      || !json_object_is_type (base, json_type_int) || json_object_get_int64 (base) < 1)
    {
      (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                "base: expected the number that the patch was made against");
      return;
    }
  if (!json_object_object_get_ex (call->body, "patch", &patch)
      || !json_object_is_type (patch, json_type_object))
    {
      (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                                "patch: expected a JSON merge patch, an object");
      return;
    }
  submit (call, json_object_get_int64 (base), patch);
}
