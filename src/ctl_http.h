/**
 * Client of the stewards' HTTP API for operators, with fail-over between stewards.
 */
#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include "ctl.h"

typedef struct
{
  int http_status;
  struct json_object *body; /**< NULL if it is not JSON */
  char retry_after[32];     /**< value of the Retry-After header; may be empty */
  bool outcome_unknown;     /**< an earlier steward may have executed the same request */
} CtlAnswer;

/**
 * Calls one steward after another until one answers; after a 503 the next one is tried. body may be
 * NULL. Returns CTL_NO_STEWARD, with each steward's error on standard error, if none answered;
 * otherwise CTL_DONE, even if the answer is a refusal. wait_ms is added to the read time-out.
 */
CtlExit ctl_http_call (const Ctl *ctl,
                       const char *method,
                       const char *path,
                       struct json_object *body,
                       int64_t wait_ms,
                       CtlAnswer *answer);
/** Frees the body; keeps outcome_unknown. */
void ctl_answer_clear (CtlAnswer *answer);

/** GET of a path that must exist. The caller frees *body; NULL on failure. Prints a refusal. */
CtlExit ctl_http_get (const Ctl *ctl, const char *path, struct json_object **body);
/** Prints a refusal, with --json also its JSON, and returns its exit status. */
CtlExit ctl_print_refusal (const Ctl *ctl, const CtlAnswer *answer);

/** Value of a member, or the fallback if it is absent or has another type. Strings are borrowed. */
const char *ctl_text (struct json_object *object, const char *name, const char *fallback);
int64_t ctl_number (struct json_object *object, const char *name, int64_t fallback);
/** An array member (borrowed) with its length; length 0 if it is absent or not an array. */
struct json_object *ctl_array (struct json_object *object, const char *name, size_t *count);
/** Prints a value as indented JSON on standard output. */
void ctl_print_json (struct json_object *value);

#endif
