#include "ctl_submit.h"
#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX 5   /* submissions of a patch that is rebuilt after each conflict */
#define REASON_SIZE  160 /* bytes */

typedef struct json_object Json;

void
ctl_head_clear (CtlHead *head)
{
  json_object_put (head->text);
  *head = (CtlHead){ 0 };
}

static CtlExit
read_head_number (const Ctl *ctl, int64_t *number)
{
  Json *versions;
  CtlExit status = ctl_http_get (ctl, "/v1/versions?limit=1", &versions);

  *number = ctl_number (versions, "head", 0);
  json_object_put (versions);
  return status;
}

CtlExit
ctl_head_read (const Ctl *ctl, const CtlArgs *args, CtlHead *head)
{
  char path[CTL_PATH_SIZE];
  Json *version;
  CtlExit status = CTL_DONE;

  *head = (CtlHead){ .number = args->base };
  if (args->base < 0)
    status = read_head_number (ctl, &head->number);
  if (status != CTL_DONE || head->number == 0)
    return status;
  snprintf (path, sizeof path, "/v1/versions/%lld", (long long)head->number);
  status = ctl_http_get (ctl, path, &version);
  head->text = json_object_get (json_object_object_get (version, "text"));
  json_object_put (version);
  return status;
}

void
ctl_submit_path (const CtlArgs *args, const char *collection, char out[CTL_PATH_SIZE])
{
  snprintf (out, CTL_PATH_SIZE, "/v1/%s?wait=%s&wait_ms=%lld", collection, args->wait,
            (long long)args->wait_ms);
}

CtlExit
ctl_submit_result (const Ctl *ctl, Json *body)
{
  long long number = (long long)ctl_number (body, "number", 0);
  const char *state = ctl_text (body, "state", "durable");
  bool accepted = strcmp (state, "durable") != 0;

  if (ctl->json)
    ctl_print_json (body);
  else if (accepted)
    printf ("number %lld is accepted; in force on %lld of %lld VMs\n", number,
            (long long)ctl_number (body, "members_in_force", 0),
            (long long)ctl_number (body, "members", 0));
  else
    printf ("number %lld is durable but not yet accepted; it will be (see lovagectl status)\n",
            number);
  return accepted ? CTL_DONE : CTL_DURABLE;
}

bool
ctl_submit_was_applied (const Ctl *ctl,
                        const CtlAnswer *answer,
                        int64_t base,
                        const char *member,
                        Json *change)
{
  char path[CTL_PATH_SIZE];
  CtlAnswer version;
  bool is_ours;

  if (answer->http_status != 409 || !answer->outcome_unknown)
    return false;
  snprintf (path, sizeof path, "/v1/versions/%lld", (long long)base + 1);
  if (ctl_http_call (ctl, "GET", path, NULL, 0, &version) != CTL_DONE)
    return false;
  is_ours = version.http_status == 200 && ctl_number (version.body, "base", -1) == base
            && json_object_equal (json_object_object_get (version.body, member), change) == 1;
  if (is_ours)
    printf ("number %lld has this change; its first answer was lost (see lovagectl status)\n",
            (long long)base + 1);
  ctl_answer_clear (&version);
  return is_ours;
}

/** Submits a patch and prints the result. Returns false, without printing, if another patch was
 *  accepted first. */
static bool
send_patch (const Ctl *ctl,
            const CtlArgs *args,
            int64_t base,
            Json *patch,
            CtlAnswer *answer,
            CtlExit *status)
{
  char path[CTL_PATH_SIZE];
  Json *body = json_object_new_object ();
  bool conflict;

  json_object_object_add (body, "base", json_object_new_int64 (base));
  json_object_object_add (body, "patch", json_object_get (patch));
  json_object_object_add (body, "reason", json_object_new_string (args->reason));
  ctl_submit_path (args, "patches", path);
  *status = ctl_http_call (ctl, "POST", path, body, args->wait_ms, answer);
  json_object_put (body);
  if (*status != CTL_DONE)
    return true;
  conflict = answer->http_status == 409;
  if (ctl_submit_was_applied (ctl, answer, base, "patch", patch))
    {
      *status = CTL_DURABLE;
      return true;
    }
  if (answer->http_status == 200)
    *status = ctl_submit_result (ctl, answer->body);
  else if (!conflict)
    *status = ctl_print_refusal (ctl, answer);
  return !conflict;
}

CtlExit
ctl_submit (const Ctl *ctl, const CtlArgs *args, int64_t base, Json *patch)
{
  CtlAnswer answer;
  CtlExit status;

  if (!send_patch (ctl, args, base, patch, &answer, &status))
    status = ctl_print_refusal (ctl, &answer);
  ctl_answer_clear (&answer);
  return status;
}

/** One attempt; sets *retry if another patch was accepted first and last is false. */
static CtlExit
submit_built_once (const Ctl *ctl,
                   const CtlArgs *args,
                   CtlPatchBuilder build,
                   bool last,
                   bool *retry)
{
  CtlHead head;
  Json *patch = NULL;
  CtlAnswer answer = { 0 };
  CtlExit status = ctl_head_read (ctl, args, &head);

  *retry = false;
  if (status == CTL_DONE && head.text == NULL)
    {
      ctl_error ("there is no version yet: use lovagectl version create");
      return CTL_REFUSED;
    }
  if (status == CTL_DONE)
    status = build (args, &head, &patch);
  if (status == CTL_DONE && patch != NULL
      && !send_patch (ctl, args, head.number, patch, &answer, &status))
    {
      *retry = !last;
      status = last ? ctl_print_refusal (ctl, &answer) : CTL_CONFLICT;
    }
  ctl_answer_clear (&answer);
  json_object_put (patch);
  ctl_head_clear (&head);
  return status;
}

CtlExit
ctl_submit_built (const Ctl *ctl, const CtlArgs *args, const char *command, CtlPatchBuilder build)
{
  char reason[REASON_SIZE];
  CtlArgs submitted = *args;
  int attempts = args->base < 0 ? ATTEMPTS_MAX : 1;
  CtlExit status = CTL_DONE;
  bool retry = true;

  snprintf (reason, sizeof reason, "%s %s", command, args->operands[0]);
  if (args->reason[0] == '\0')
    submitted.reason = reason;
  for (int i = 1; retry; i++)
    status = submit_built_once (ctl, &submitted, build, i == attempts, &retry);
  return status;
}

Json *
ctl_member_at (Json *value, const char *const *names)
{
  for (; *names != NULL && value != NULL; names++)
    value = json_object_is_type (value, json_type_object) ? json_object_object_get (value, *names)
                                                          : NULL;
  return value;
}

Json *
ctl_nested (const char *const *names, Json *value)
{
  Json *object;

  if (*names == NULL)
    return value;
  object = json_object_new_object ();
  json_object_object_add (object, *names, ctl_nested (names + 1, value));
  return object;
}
