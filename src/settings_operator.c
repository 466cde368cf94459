/* Reads and checks the list of operators in the steward's settings. */
#include "settings_common.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HASH_LEN     64  /* hexadecimal digits */
#define PATH_SIZE        64  /* bytes of an operator's path in an error message */
#define MEMBER_PATH_SIZE 128 /* bytes of a member's path in an error message */

typedef struct
{
  SettingsOperator op;
  struct json_object *roles;
} OperatorDraft;

typedef struct
{
  const char *name;
  size_t offset; /* offset of the role's flag in SettingsOperator */
} Role;

static const Role roles[] = {
  { "read", offsetof (SettingsOperator, read) },
  { "patch", offsetof (SettingsOperator, patch) },
  { "brake", offsetof (SettingsOperator, brake) },
};

static const FieldSpec operator_specs[] = {
  { .name = "name",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (OperatorDraft, op.name),
    .min = 1,
    .max = SETTINGS_NAME_MAX },
  { .name = "key_hash",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (OperatorDraft, op.key_hash),
    .min = KEY_HASH_LEN,
    .max = KEY_HASH_LEN },
  { .name = "roles",
    .type = FIELD_ARRAY,
    .required = true,
    .offset = offsetof (OperatorDraft, roles) },
};

static void
member_error (const char *path, const char *member, const char *message, CheckList *list)
{
  char at[MEMBER_PATH_SIZE];

  snprintf (at, sizeof at, "%s.%s", path, member);
  check_add (list, at, "%s", message);
}

static bool *
role_find (SettingsOperator *op, struct json_object *value)
{
  if (!json_object_is_type (value, json_type_string))
    return NULL;
  for (size_t i = 0; i < sizeof roles / sizeof roles[0]; i++)
    {
      if (strcmp (roles[i].name, json_object_get_string (value)) == 0)
        return (bool *)(void *)((char *)op + roles[i].offset);
    }
  return NULL;
}

static void
roles_read (OperatorDraft *draft, const char *path, CheckList *list)
{
  size_t count = json_object_array_length (draft->roles);
  char at[MEMBER_PATH_SIZE];

  for (size_t i = 0; i < count; i++)
    {
      bool *role = role_find (&draft->op, json_object_array_get_idx (draft->roles, i));

      snprintf (at, sizeof at, "%s.roles[%zu]", path, i);
      if (!role)
        check_add (list, at, "expected one of: read, patch, brake");
      else if (*role)
        check_add (list, at, "duplicate role");
      else
        *role = true;
    }
  if (count == 0)
    member_error (path, "roles", "expected at least one role, found none", list);
}

static void
operator_read (struct json_object *obj, SettingsOperator *out, const char *path, CheckList *list)
{
  OperatorDraft draft = { 0 };

  field_read (operator_specs, sizeof operator_specs / sizeof operator_specs[0], obj, &draft, path,
              list);
  if (draft.op.key_hash
      && strspn (draft.op.key_hash, "0123456789abcdefABCDEF") != strlen (draft.op.key_hash))
    member_error (path, "key_hash", "expected 64 hexadecimal digits", list);
  if (draft.roles)
    roles_read (&draft, path, list);
  *out = draft.op;
}

/* Operators that share a name or a key could not be told apart in the audit trail. */
static void
clash_check (const SettingsOperator *operators, size_t i, const char *path, CheckList *list)
{
  const SettingsOperator *op = &operators[i];

  for (size_t j = 0; j < i; j++)
    {
      const SettingsOperator *other = &operators[j];

      if (op->name && other->name && strcmp (op->name, other->name) == 0)
        member_error (path, "name", "an operator before has the same name", list);
      if (op->key_hash && other->key_hash && strcasecmp (op->key_hash, other->key_hash) == 0)
        member_error (path, "key_hash", "an operator before has the same key", list);
    }
}

void
settings_operators_read (struct json_object *array,
                         SettingsOperator **out,
                         size_t *count,
                         CheckList *list)
{
  char path[PATH_SIZE];

  *count = json_object_array_length (array);
  *out = memory_array (*count, sizeof **out);
  for (size_t i = 0; i < *count; i++)
    {
      snprintf (path, sizeof path, "operator_list[%zu]", i);
      operator_read (json_object_array_get_idx (array, i), &(*out)[i], path, list);
      clash_check (*out, i, path, list);
    }
}

void
settings_operators_clear (SettingsOperator *operators, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (operators[i].name);
      free (operators[i].key_hash);
    }
  free (operators);
}
