#include "steward_call.h"
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define MESSAGE_SIZE  512 /* bytes */
#define RETRY_AFTER_S 2

void
steward_call_done (StewardCall *call, struct json_object *answer)
{
  json_object_put (call->answer);
  call->answer = answer;
  call->status = MHD_HTTP_OK;
}

struct json_object *
steward_call_error (StewardCall *call, unsigned status, const char *reason, const char *format, ...)
{
  struct json_object *error = json_object_new_object ();
  char message[MESSAGE_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  json_object_object_add (error, "reason", json_object_new_string (reason));
  json_object_object_add (error, "message", json_object_new_string (message));
  steward_call_done (call, json_object_new_object ());
  json_object_object_add (call->answer, "error", error);
  call->status = status;
  return error;
}

void
steward_call_unavailable (StewardCall *call, const Status *st)
{
  (void)steward_call_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, "platform_unavailable",
                            "not done: %s %s: %s", st->step, st->peer, st->message);
  call->retry_after_s = RETRY_AFTER_S;
}

const char *
steward_call_query (const StewardCall *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND, name);
}

bool
steward_call_number (StewardCall *call,
                     const char *name,
                     int64_t min,
                     int64_t max,
                     int64_t fallback,
                     int64_t *out)
{
  const char *text = steward_call_query (call, name);
  char *end = NULL;

  *out = fallback;
  if (text == NULL)
    return true;
  errno = 0;
  *out = strtoll (text, &end, 10);
  if (errno == 0 && end != text && *end == '\0' && *out >= min && *out <= max)
    return true;
  (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                            "%s: expected a number from %lld to %lld", name, (long long)min,
                            (long long)max);
  return false;
}

const char *
steward_call_text (const StewardCall *call, const char *name)
{
  struct json_object *value;

  if (!json_object_object_get_ex (call->body, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}
