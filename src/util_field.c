#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 512 /* bytes */
#define NAME_SIZE 256 /* bytes */

/* How a type is described in errors, recognised and stored. */
typedef struct
{
  const char *expected;
  enum json_type type;
  bool (*store) (const FieldSpec *spec,
                 struct json_object *value,
                 char *member,
                 const char *path,
                 CheckList *list);
} FieldKind;

static bool store_string (const FieldSpec *spec,
                          struct json_object *value,
                          char *member,
                          const char *path,
                          CheckList *list);
static bool store_int (const FieldSpec *spec,
                       struct json_object *value,
                       char *member,
                       const char *path,
                       CheckList *list);
static bool store_number (const FieldSpec *spec,
                          struct json_object *value,
                          char *member,
                          const char *path,
                          CheckList *list);
static bool store_bool (const FieldSpec *spec,
                        struct json_object *value,
                        char *member,
                        const char *path,
                        CheckList *list);
static bool store_borrowed (const FieldSpec *spec,
                            struct json_object *value,
                            char *member,
                            const char *path,
                            CheckList *list);

static const FieldKind kinds[] = {
  [FIELD_STRING] = { "a string", json_type_string, store_string },
  [FIELD_INT] = { "a whole number", json_type_int, store_int },
  [FIELD_NUMBER] = { "a number", json_type_double, store_number },
  [FIELD_BOOL] = { "true or false", json_type_boolean, store_bool },
  [FIELD_OBJECT] = { "an object", json_type_object, store_borrowed },
  [FIELD_ARRAY] = { "an array", json_type_array, store_borrowed },
};

static bool
has_bounds (const FieldSpec *spec)
{
  return spec->min != 0 || spec->max != 0;
}

static bool
in_range (const FieldSpec *spec, double value)
{
  return !has_bounds (spec) || (value >= spec->min && value <= spec->max);
}

static bool
store_string (const FieldSpec *spec,
              struct json_object *value,
              char *member,
              const char *path,
              CheckList *list)
{
  const char *s = json_object_get_string (value);
  size_t len = (size_t)json_object_get_string_len (value);
  char **target = (char **)(void *)member;

  if (strlen (s) != len)
    {
      check_add (list, path, "expected a string without NUL characters");
      return false;
    }
  if (!in_range (spec, (double)len))
    {
      check_add (list, path, "expected a string of %.0f to %.0f bytes, found %zu bytes", spec->min,
                 spec->max, len);
      return false;
    }
  free (*target);
  *target = memory_strdup (s);
  return true;
}

static bool
store_int (const FieldSpec *spec,
           struct json_object *value,
           char *member,
           const char *path,
           CheckList *list)
{
  int64_t n = json_object_get_int64 (value);

  /* json-c silently clamps numbers that do not fit; no field needs the two extreme values. */
  if (n == INT64_MAX || n == INT64_MIN)
    {
      check_add (list, path, "expected a whole number of at most 63 bits");
      return false;
    }
  if (!in_range (spec, (double)n))
    {
      check_add (list, path, "expected a whole number from %.0f to %.0f, found %lld", spec->min,
                 spec->max, (long long)n);
      return false;
    }
  memcpy (member, &n, sizeof n);
  return true;
}

static bool
store_number (const FieldSpec *spec,
              struct json_object *value,
              char *member,
              const char *path,
              CheckList *list)
{
  double n = json_object_get_double (value);

  /* NaN and infinity are not valid JSON, but json-c accepts them. */
  if (!(n - n == 0))
    {
      check_add (list, path, "expected a finite number");
      return false;
    }
  if (!in_range (spec, n))
    {
      check_add (list, path, "expected a number from %g to %g, found %g", spec->min, spec->max, n);
      return false;
    }
  memcpy (member, &n, sizeof n);
  return true;
}

static bool
store_bool (const FieldSpec *spec,
            struct json_object *value,
            char *member,
            const char *path,
            CheckList *list)
{
  bool b = json_object_get_boolean (value);

  (void)spec;
  (void)path;
  (void)list;
  memcpy (member, &b, sizeof b);
  return true;
}

static bool
store_borrowed (const FieldSpec *spec,
                struct json_object *value,
                char *member,
                const char *path,
                CheckList *list)
{
  struct json_object **target = (struct json_object **)(void *)member;

  (void)spec;
  (void)path;
  (void)list;
  *target = value;
  return true;
}

static bool
type_matches (FieldType type, struct json_object *value)
{
  if (type == FIELD_NUMBER && json_object_is_type (value, json_type_int))
    return true;
  return json_object_is_type (value, kinds[type].type);
}

static void
member_path (char out[PATH_SIZE], const char *path, const char *name)
{
  static const char truncated_mark[] = "...";
  char quoted[NAME_SIZE];
  int len;

  /* An unescaped line break in a name from outside could forge a line of the error list. */
  log_quote (name, quoted, sizeof quoted);
  len = snprintf (out, PATH_SIZE, "%s%s%s", path, *path ? "." : "", quoted);
  if (len >= PATH_SIZE)
    memcpy (out + PATH_SIZE - sizeof truncated_mark, truncated_mark, sizeof truncated_mark);
}

static bool
member_read (const FieldSpec *spec,
             struct json_object *value,
             void *out,
             const char *path,
             CheckList *list)
{
  const FieldKind *kind = &kinds[spec->type];

  if (!type_matches (spec->type, value))
    {
      check_add (list, path, "expected %s, found %s", kind->expected,
                 json_type_to_name (json_object_get_type (value)));
      return false;
    }
  return kind->store (spec, value, (char *)out + spec->offset, path, list);
}

static const FieldSpec *
spec_find (const FieldSpec *specs, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (specs[i].name, name) == 0)
        return &specs[i];
    }
  return NULL;
}

static void
add_unknown (const FieldSpec *specs, size_t count, const char *path, CheckList *list)
{
  Buffer names = { 0 };

  for (size_t i = 0; i < count; i++)
    buffer_printf (&names, "%s%s", i ? ", " : "", specs[i].name);
  check_add (list, path, "unknown name, expected one of: %s", count ? names.data : "none");
  buffer_free (&names);
}

bool
field_read (const FieldSpec *specs,
            size_t count,
            struct json_object *obj,
            void *out,
            const char *path,
            CheckList *list)
{
  unsigned before = list->count;
  char at[PATH_SIZE];

  if (!json_object_is_type (obj, json_type_object))
    {
      check_add (list, path, "expected an object, found %s",
                 json_type_to_name (json_object_get_type (obj)));
      return false;
    }
  json_object_object_foreach (obj, name, value)
  {
    const FieldSpec *spec = spec_find (specs, count, name);

    member_path (at, path, name);
    if (spec)
      member_read (spec, value, out, at, list);
    else
      add_unknown (specs, count, at, list);
  }
  for (size_t i = 0; i < count; i++)
    {
      if (specs[i].required && !json_object_object_get_ex (obj, specs[i].name, NULL))
        {
          member_path (at, path, specs[i].name);
          check_add (list, at, "expected %s, found nothing", kinds[specs[i].type].expected);
        }
    }
  return list->count == before;
}
