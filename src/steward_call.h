/**
 * One call of the operators' HTTP API: its arguments and its answer.
 */
#ifndef STEWARD_CALL_H
#define STEWARD_CALL_H

#include "steward.h"
#include <json-c/json.h>
#include <microhttpd.h>

typedef struct
{
  Steward *s;
  const SettingsOperator *operator; /**< the authenticated caller */
  struct MHD_Connection *connection;
  const char *rest; /**< rest of the path after the route's own, without the slash; may be empty */
  struct json_object *body; /**< NULL for GET */
  unsigned status;          /**< HTTP status of the answer */
  struct json_object *answer;
  int retry_after_s; /**< value of the Retry-After header, 0: no header */
} StewardCall;

/** One route. */
typedef struct
{
  const char *method;
  const char *path; /**< if it ends in a slash, the rest of the URL's path is put into call->rest */
  size_t role;      /**< role that the caller needs: offset of its bool in SettingsOperator */
  void (*run) (StewardCall *call);
} StewardRoute;

void steward_api_versions (StewardCall *call);
void steward_api_version (StewardCall *call);
void steward_api_create (StewardCall *call);
void steward_api_patch (StewardCall *call);
void steward_api_status (StewardCall *call);
void steward_api_audit (StewardCall *call);
void steward_api_usage (StewardCall *call);
void steward_api_rollouts (StewardCall *call);
void steward_api_brake (StewardCall *call);

/** Answers 200 with this object and takes ownership of it. */
void steward_call_done (StewardCall *call, struct json_object *answer);
/** Answers {"error":{"reason","message"}}. Returns the error object, so that the caller can add
 * members. */
struct json_object *
steward_call_error (StewardCall *call, unsigned status, const char *reason, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** Answers 503 with Retry-After: the table service does not answer. */
void steward_call_unavailable (StewardCall *call, const Status *st);
/** Value of a query argument, or NULL if it is absent. */
const char *steward_call_query (const StewardCall *call, const char *name);
/** Reads an integer from the query, or fallback if it is absent. False, after an error answer, if
 * it is no integer from min to max. */
bool steward_call_number (StewardCall *call,
                          const char *name,
                          int64_t min,
                          int64_t max,
                          int64_t fallback,
                          int64_t *out);
/** A string member of the body, or NULL. */
const char *steward_call_text (const StewardCall *call, const char *name);

#endif
