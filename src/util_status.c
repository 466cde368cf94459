#include "util_status.h"
#include <stdio.h>

static const char *const code_names[] = {
  [STATUS_OK] = "ok",
  [STATUS_INVALID] = "invalid",
  [STATUS_NOT_FOUND] = "not_found",
  [STATUS_CONFLICT] = "conflict",
  [STATUS_DENIED] = "denied",
  [STATUS_UNAVAILABLE] = "unavailable",
  [STATUS_UNKNOWN] = "unknown",
  [STATUS_FULL] = "full",
  [STATUS_INTERNAL] = "internal",
};

StatusCode
status_set (Status *st,
            StatusCode code,
            const char *step,
            const char *peer,
            const char *format,
            ...)
{
  va_list args;

  if (!st)
    return code;
  st->code = code;
  snprintf (st->step, sizeof st->step, "%s", step ? step : "");
  snprintf (st->peer, sizeof st->peer, "%s", peer ? peer : "");
  va_start (args, format);
  vsnprintf (st->message, sizeof st->message, format, args);
  va_end (args);
  return code;
}

StatusCode
status_ok (Status *st)
{
  if (st)
    {
      st->code = STATUS_OK;
      st->step[0] = '\0';
      st->peer[0] = '\0';
      st->message[0] = '\0';
    }
  return STATUS_OK;
}

const char *
status_code_name (StatusCode code)
{
  size_t count = sizeof code_names / sizeof code_names[0];

  return (size_t)code < count ? code_names[code] : "invalid_code";
}
