/**
 * Commands that run without a steward: checking files and hashing keys.
 */
#include "config.h"
#include "ctl.h"
#include "settings.h"
#include "util_field.h"
#include <stdio.h>
#include <string.h>

#define KEY_SIZE 256 /* bytes */

/** A kind of file, identified by a member that only this kind has. */
typedef struct
{
  const char *description;
  const char *member; /**< NULL: any other file */
  bool (*check) (const char *path, CheckList *list);
} FileKind;

static bool
check_gate (const char *path, CheckList *list)
{
  SettingsGate settings = { 0 };
  bool valid = settings_gate_read (path, &settings, list);

  settings_gate_clear (&settings);
  return valid;
}

static bool
check_steward (const char *path, CheckList *list)
{
  SettingsSteward settings = { 0 };
  bool valid = settings_steward_read (path, &settings, list);

  settings_steward_clear (&settings);
  return valid;
}

static bool
check_routing (const char *path, CheckList *list)
{
  Config *config = config_parse_file (path, 0, list);

  config_unref (config);
  return config != NULL;
}

static const FileKind kinds[] = {
  { "gate settings", "callers", check_gate },
  { "steward settings", "rpc", check_steward },
  { "steward settings", "operators", check_steward },
  { "routing configuration", NULL, check_routing },
};

static const FileKind *
find_kind (struct json_object *object)
{
  const FileKind *kind = kinds;

  while (kind->member != NULL && !json_object_object_get_ex (object, kind->member, NULL))
    kind++;
  return kind;
}

CtlExit
ctl_settings_check (Ctl *ctl, const CtlArgs *args)
{
  const char *path = args->operands[0];
  CheckList list = { .file = path };
  struct json_object *object = field_parse_file (path, &list);
  const FileKind *kind = NULL;
  CtlExit status;

  (void)ctl;
  if (list.count == 0)
    {
      kind = find_kind (json_object_is_type (object, json_type_object) ? object : NULL);
      kind->check (path, &list);
    }
  if (list.count == 0)
    printf ("%s: %s without errors\n", path, kind->description);
  else
    fputs (list.text.data, stderr);
  status = list.count == 0 ? CTL_DONE : CTL_REFUSED;
  json_object_put (object);
  check_free (&list);
  return status;
}

CtlExit
ctl_key_hash (Ctl *ctl, const CtlArgs *args)
{
  char key[KEY_SIZE];
  char hash[CONFIG_KEY_HASH_LEN + 1];

  (void)ctl;
  (void)args;
  if (fgets (key, sizeof key, stdin) == NULL)
    key[0] = '\0';
  key[strcspn (key, "\r\n")] = '\0';
  if (key[0] == '\0')
    {
      ctl_error ("expected a key on standard input");
      return CTL_USAGE;
    }
  config_key_hash (key, hash);
  explicit_bzero (key, sizeof key);
  printf ("%s\n", hash);
  return CTL_DONE;
}
