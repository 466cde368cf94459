/**
 * Roll-out commands; each submits a patch of the model's entry in "rollouts".
 */
#include "ctl_submit.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STAGES_DEFAULT "0.01,0.1,0.5,1"
#define SHARE_SIZE     64 /* bytes */

typedef struct json_object Json;

/** Parses a list such as "0.01,0.1,1", whose digits are kept as given. Prints an error and returns
 * NULL if a share is not between 0 (excluded) and 1. */
static Json *
parse_stages (const char *text)
{
  Json *stages = json_object_new_array ();
  const char *s = text;

  for (;;)
    {
      char *end;
      double share = strtod (s, &end);
      char digits[SHARE_SIZE];

      if (!(share > 0 && share <= 1) || end - s >= SHARE_SIZE || (*end != ',' && *end != '\0'))
        break;
      if (strspn (s, "0123456789.") != (size_t)(end - s))
        break;
      snprintf (digits, sizeof digits, "%.*s", (int)(end - s), s);
      json_object_array_add (stages, json_object_new_double_s (share, digits));
      if (*end == '\0')
        return stages;
      s = end + 1;
    }
  ctl_error ("expected shares of callers such as " STAGES_DEFAULT ", found '%s'", text);
  json_object_put (stages);
  return NULL;
}

static bool
is_withdrawn (const CtlHead *head, const char *model, const char *version)
{
  const char *const path[] = { "models", model, "versions", version, NULL };

  return strcmp (ctl_text (ctl_member_at (head->text, path), "state", ""), "withdrawn") == 0;
}

static CtlExit
build_start (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  const char *const path[] = { "rollouts", args->operands[0], NULL };
  const char *state = ctl_text (ctl_member_at (head->text, path), "state", "done");
  Json *stages;
  Json *entry;

  if (strcmp (state, "running") == 0 || strcmp (state, "paused") == 0)
    {
      ctl_error ("the model's roll-out is %s in number %lld: back it out or let it end first",
                 state, (long long)head->number);
      return CTL_REFUSED;
    }
  if (is_withdrawn (head, args->operands[0], args->to))
    {
      ctl_error ("%s@%s is withdrawn in number %lld", args->operands[0], args->to,
                 (long long)head->number);
      return CTL_REFUSED;
    }
  stages = parse_stages (args->stages == NULL ? STAGES_DEFAULT : args->stages);
  if (stages == NULL)
    return CTL_USAGE;
  entry = json_object_new_object ();
  json_object_object_add (entry, "from", json_object_new_string (args->from));
  json_object_object_add (entry, "to", json_object_new_string (args->to));
  json_object_object_add (entry, "stages", stages);
  json_object_object_add (entry, "stage", json_object_new_int (0));
  json_object_object_add (entry, "state", json_object_new_string ("running"));
  *patch = ctl_nested (path, entry);
  return CTL_DONE;
}

CtlExit
ctl_rollout_start (Ctl *ctl, const CtlArgs *args)
{
  if (args->from == NULL || args->to == NULL)
    {
      ctl_error ("rollout start needs --from VERSION and --to VERSION");
      return CTL_USAGE;
    }
  return ctl_submit_built (ctl, args, "rollout start", build_start);
}

/** Advances to the next stage, or ends the roll-out after the last one. */
static CtlExit
build_advance (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  const char *const path[] = { "rollouts", args->operands[0], NULL };
  const char *const stage_path[] = { "rollouts", args->operands[0], "stage", NULL };
  const char *const state_path[] = { "rollouts", args->operands[0], "state", NULL };
  Json *entry = ctl_member_at (head->text, path);
  const char *state = ctl_text (entry, "state", "running");
  int64_t next = ctl_number (entry, "stage", 0) + 1;
  size_t count;

  if (entry == NULL || (strcmp (state, "running") != 0 && strcmp (state, "paused") != 0))
    {
      ctl_error ("number %lld has no open roll-out of %s", (long long)head->number,
                 args->operands[0]);
      return CTL_REFUSED;
    }
  ctl_array (entry, "stages", &count);
  if (next < (int64_t)count)
    *patch = ctl_nested (stage_path, json_object_new_int64 (next));
  else
    *patch = ctl_nested (state_path, json_object_new_string ("done"));
  return CTL_DONE;
}

CtlExit
ctl_rollout_advance (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "rollout advance", build_advance);
}

static CtlExit
build_state_change (const CtlArgs *args, const CtlHead *head, const char *state, Json **patch)
{
  const char *const path[] = { "rollouts", args->operands[0], NULL };
  const char *const state_path[] = { "rollouts", args->operands[0], "state", NULL };
  Json *entry = ctl_member_at (head->text, path);
  const char *current = ctl_text (entry, "state", "running");

  if (entry == NULL)
    {
      ctl_error ("number %lld has no roll-out of %s", (long long)head->number, args->operands[0]);
      return CTL_REFUSED;
    }
  if (strcmp (current, state) == 0)
    printf ("the roll-out of %s is %s already, in number %lld\n", args->operands[0], state,
            (long long)head->number);
  else
    *patch = ctl_nested (state_path, json_object_new_string (state));
  return CTL_DONE;
}

static CtlExit
build_pause (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  return build_state_change (args, head, "paused", patch);
}

static CtlExit
build_resume (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  return build_state_change (args, head, "running", patch);
}

static CtlExit
build_back_out (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  return build_state_change (args, head, "backed_out", patch);
}

CtlExit
ctl_rollout_pause (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "rollout pause", build_pause);
}

CtlExit
ctl_rollout_resume (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "rollout resume", build_resume);
}

CtlExit
ctl_rollout_back_out (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "rollout back-out", build_back_out);
}
