/**
 * Commands that change the configuration with a patch.
 */
#include "config.h"
#include "ctl_submit.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_SIZE 64 /* bytes */

typedef struct json_object Json;

CtlExit
ctl_patch_submit (Ctl *ctl, const CtlArgs *args)
{
  CheckList list = { .file = args->operands[0] };
  Buffer text = { 0 };
  char *canonical = NULL;
  Json *patch = NULL;
  CtlExit status = CTL_REFUSED;

  if (args->base < 0)
    {
      ctl_error ("patch submit needs --base N, the number that the patch was made against");
      return CTL_USAGE;
    }
  if (config_file_read (args->operands[0], &text, &list))
    canonical = config_canonical (text.data, text.len, &list);
  if (canonical != NULL)
    patch = json_tokener_parse (canonical);
  if (list.count == 0 && !json_object_is_type (patch, json_type_object))
    check_add (&list, NULL, "expected a JSON object, a merge patch");
  if (list.count == 0)
    status = ctl_submit (ctl, args, args->base, patch);
  else
    fputs (list.text.data, stderr);
  json_object_put (patch);
  free (canonical);
  check_free (&list);
  buffer_free (&text);
  return status;
}

/** Splits MODEL@VERSION; prints an error and returns false if the text has another form. */
static bool
split_label (const char *label, char model[LABEL_SIZE], const char **version)
{
  const char *at = strchr (label, '@');

  if (at == NULL || at - label >= LABEL_SIZE)
    {
      ctl_error ("expected MODEL@VERSION, found '%s'", label);
      return false;
    }
  memcpy (model, label, (size_t)(at - label));
  model[at - label] = '\0';
  *version = at + 1;
  return true;
}

/** Finds the version named by the command's operand in the document of head; sets model and version
 * to the parts of the operand. */
static CtlExit
find_version (const CtlArgs *args,
              const CtlHead *head,
              char model[LABEL_SIZE],
              const char **version,
              Json **entry)
{
  if (!split_label (args->operands[0], model, version))
    return CTL_USAGE;
  const char *const path[] = { "models", model, "versions", *version, NULL };

  *entry = ctl_member_at (head->text, path);
  if (*entry != NULL)
    return CTL_DONE;
  ctl_error ("number %lld has no version %s", (long long)head->number, args->operands[0]);
  return CTL_REFUSED;
}

static CtlExit
build_withdrawal (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  char model[LABEL_SIZE];
  const char *version;
  Json *entry;
  CtlExit status = find_version (args, head, model, &version, &entry);

  if (status != CTL_DONE)
    return status;
  const char *const state[] = { "models", model, "versions", version, "state", NULL };

  if (strcmp (ctl_text (entry, "state", ""), "withdrawn") == 0)
    printf ("%s is withdrawn already, in number %lld\n", args->operands[0],
            (long long)head->number);
  else
    *patch = ctl_nested (state, json_object_new_string ("withdrawn"));
  return CTL_DONE;
}

CtlExit
ctl_withdraw (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "withdraw", build_withdrawal);
}

/** A brake is in force until the version's "released" reaches the number at which the brake was
 * raised, so a brake raised after this patch's base stays in force. */
static CtlExit
build_release (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  char model[LABEL_SIZE];
  const char *version;
  Json *entry;
  CtlExit status = find_version (args, head, model, &version, &entry);

  if (status != CTL_DONE)
    return status;
  const char *const released[] = { "models", model, "versions", version, "released", NULL };

  *patch = ctl_nested (released, json_object_new_int64 (head->number));
  return CTL_DONE;
}

CtlExit
ctl_brake_release (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "brake release", build_release);
}

static CtlExit
build_leave (const CtlArgs *args, const CtlHead *head, Json **patch)
{
  const char *const path[] = { "backend_servers", args->operands[0], NULL };
  const char *const leaving[] = { "backend_servers", args->operands[0], "leaving", NULL };
  Json *entry = ctl_member_at (head->text, path);

  if (entry == NULL)
    {
      ctl_error ("number %lld has no backend server %s", (long long)head->number,
                 args->operands[0]);
      return CTL_REFUSED;
    }
  if (json_object_get_boolean (json_object_object_get (entry, "leaving")))
    printf ("%s leaves already, in number %lld\n", args->operands[0], (long long)head->number);
  else
    *patch = ctl_nested (leaving, json_object_new_boolean (true));
  return CTL_DONE;
}

CtlExit
ctl_server_leave (Ctl *ctl, const CtlArgs *args)
{
  return ctl_submit_built (ctl, args, "server leave", build_leave);
}
