/**
 * Calls of the operators' HTTP API: the first steward that answers will do.
 */
#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include "ctl.h"

typedef struct
{
  int http_status;
  struct json_object *body; /**< NULL if it was no JSON */
  char retry_after[32];     /**< value of that header; may be empty */
  bool outcome_unknown;     /**< an earlier steward may have taken the same call */
} CtlAnswer;

/**
 * Asks one steward after another until one answers; one that says 503 is passed over for the next.
 * body may be NULL. CTL_NO_STEWARD, with the reason of each on standard error, if none answered;
 * else CTL_DONE, also when the answer is a refusal. wait_ms is added to the time allowed.
 */
CtlExit ctl_http_call (const Ctl *ctl,
                       const char *method,
                       const char *path,
                       struct json_object *body,
                       int64_t wait_ms,
                       CtlAnswer *answer);
void ctl_answer_clear (CtlAnswer *answer);

/** GET of a path that has to be there: *body is the caller's. A refusal is printed. */
CtlExit ctl_http_get (const Ctl *ctl, const char *path, struct json_object **body);
/** Prints a refusal (or the JSON of it) and returns the exit status for it. */
CtlExit ctl_print_refusal (const Ctl *ctl, const CtlAnswer *answer);

/** Members of an object; the fallback if absent or of another type. Strings are borrowed. */
const char *ctl_text (struct json_object *object, const char *name, const char *fallback);
int64_t ctl_number (struct json_object *object, const char *name, int64_t fallback);
/** An array member with its length; length 0 if absent. */
struct json_object *ctl_array (struct json_object *object, const char *name, size_t *count);
/** Prints a value as indented JSON on standard output. */
void ctl_print_json (struct json_object *value);

#endif
