/**
 * Documents as text: the canonical form, and JSON merge patches (RFC 7396), applied and generated.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER_SIZE   32                 /**< bytes of a number in text, with the final NUL */
#define DIGITS_MIN    15                 /**< every decimal of 15 digits is preserved by a double */
#define DIGITS_MAX    17                 /**< every double is preserved by 17 digits */
#define INTEGER_BOUND 9007199254740992.0 /**< 2^53: integers below it are exact in a double */

typedef struct json_object Json;

static Json *canonical_value (Json *value);

/*
 * Code that takes a JSON name or string as a C string would truncate it at an escaped NUL, so that
 * two names that differ in the text would be equal in the program.
 */
static bool
contains_nul (const char *text, size_t len)
{
  static const char escape[] = "u0000";
  bool escaped = false;

  for (size_t i = 0; i < len; i++)
    {
      if (text[i] == '\0')
        return true;
      if (escaped && len - i >= sizeof escape - 1
          && memcmp (text + i, escape, sizeof escape - 1) == 0)
        return true;
      escaped = text[i] == '\\' && !escaped;
    }
  return false;
}

/** True if value contains a number that is infinite or not a number, which canonical text can't
 *  represent. */
static bool
contains_non_finite (Json *value)
{
  if (json_object_is_type (value, json_type_double))
    return !isfinite (json_object_get_double (value));
  if (json_object_is_type (value, json_type_array))
    for (size_t i = 0; i < json_object_array_length (value); i++)
      if (contains_non_finite (json_object_array_get_idx (value, i)))
        return true;
  if (json_object_is_type (value, json_type_object))
    {
      json_object_object_foreach (value, name, member)
      {
        (void)name;
        if (contains_non_finite (member))
          return true;
      }
    }
  return false;
}

Json *
config_json_parse (const char *text, size_t len, CheckList *list)
{
  Json *value;

  if (len > CONFIG_TEXT_MAX)
    {
      check_add (list, "", "expected at most %d bytes, found %zu", CONFIG_TEXT_MAX, len);
      return NULL;
    }
  if (contains_nul (text, len))
    {
      check_add (list, "", "expected text without NUL characters");
      return NULL;
    }
  value = field_parse_string (text, len, list);
  if (contains_non_finite (value))
    {
      check_add (list, "", "expected finite numbers");
      json_object_put (value);
      return NULL;
    }
  return value;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

const char **
config_sorted_names (Json *object, size_t *count)
{
  const char **names;
  size_t n = 0;

  *count = (size_t)json_object_object_length (object);
  names = memory_array (*count + 1, sizeof *names);
  json_object_object_foreach (object, name, value)
  {
    (void)value;
    names[n++] = name;
  }
  qsort (names, *count, sizeof *names, compare_names);
  return names;
}

static Json *
canonical_double (double x)
{
  char text[NUMBER_SIZE];

  if (fabs (x) < INTEGER_BOUND && x == floor (x))
    return json_object_new_int64 ((int64_t)x);
  for (int digits = DIGITS_MIN; digits <= DIGITS_MAX; digits++)
    {
      snprintf (text, sizeof text, "%.*g", digits, x);
      if (strtod (text, NULL) == x)
        break;
    }
  return json_object_new_double_s (x, text);
}

static Json *
canonical_object (Json *object)
{
  Json *out = json_object_new_object ();
  size_t count;
  const char **names = config_sorted_names (object, &count);

  for (size_t i = 0; i < count; i++)
    json_object_object_add (out, names[i],
                            canonical_value (json_object_object_get (object, names[i])));
  free (names);
  return out;
}

static Json *
canonical_array (Json *array)
{
  Json *out = json_object_new_array ();

  for (size_t i = 0; i < json_object_array_length (array); i++)
    json_object_array_add (out, canonical_value (json_object_array_get_idx (array, i)));
  return out;
}

static Json *
canonical_value (Json *value)
{
  switch (json_object_get_type (value))
    {
    case json_type_object:
      return canonical_object (value);
    case json_type_array:
      return canonical_array (value);
    case json_type_double:
      return canonical_double (json_object_get_double (value));
    default:
      return json_object_get (value);
    }
}

char *
config_json_text (Json *value)
{
  Json *sorted = canonical_value (value);
  char *text = memory_strdup (json_object_to_json_string_ext (
      sorted, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

  json_object_put (sorted);
  return text;
}

char *
config_canonical (const char *text, size_t len, CheckList *list)
{
  unsigned errors = list->count;
  Json *value = config_json_parse (text, len, list);
  char *out;

  if (list->count > errors)
    return NULL;
  out = config_json_text (value);
  json_object_put (value);
  return out;
}

/** Applies patch to target and returns the result; takes ownership of target. */
static Json *
merge (Json *target, Json *patch)
{
  if (!json_object_is_type (patch, json_type_object))
    {
      json_object_put (target);
      return json_object_get (patch);
    }
  if (!json_object_is_type (target, json_type_object))
    {
      json_object_put (target);
      target = json_object_new_object ();
    }
  json_object_object_foreach (patch, name, value)
  {
    if (value == NULL)
      json_object_object_del (target, name);
    else
      json_object_object_add (
          target, name, merge (json_object_get (json_object_object_get (target, name)), value));
  }
  return target;
}

char *
config_patch_apply (const char *document, const char *patch, CheckList *list)
{
  unsigned errors = list->count;
  Json *target = config_json_parse (document, strlen (document), list);
  Json *change = config_json_parse (patch, strlen (patch), list);
  char *out = NULL;

  if (list->count == errors)
    {
      target = merge (target, change);
      out = config_json_text (target);
    }
  json_object_put (target);
  json_object_put (change);
  return out;
}

/** The merge patch from a to b, both objects. A merge patch can't set a member to null; documents
 *  that config_parse accepts have no null members. */
static Json *
merge_patch_between (Json *a, Json *b)
{
  Json *patch = json_object_new_object ();

  json_object_object_foreach (a, old_name, old_value)
  {
    (void)old_value;
    if (!json_object_object_get_ex (b, old_name, NULL))
      json_object_object_add (patch, old_name, NULL);
  }
  json_object_object_foreach (b, name, value)
  {
    Json *before = json_object_object_get (a, name);

    if (json_object_equal (before, value))
      continue;
    if (json_object_is_type (before, json_type_object)
        && json_object_is_type (value, json_type_object))
      json_object_object_add (patch, name, merge_patch_between (before, value));
    else
      json_object_object_add (patch, name, json_object_get (value));
  }
  return patch;
}

/** Parses a text to its canonical value, so that 1 and 1.0 are equal. */
static Json *
canonical_parse (const char *text, CheckList *list)
{
  Json *value = config_json_parse (text, strlen (text), list);
  Json *canonical = canonical_value (value);

  json_object_put (value);
  return canonical;
}

char *
config_diff (const char *a, const char *b, CheckList *list)
{
  unsigned errors = list->count;
  Json *before = canonical_parse (a, list);
  Json *after = canonical_parse (b, list);
  Json *patch = NULL;
  char *out = NULL;

  if (json_object_is_type (before, json_type_object)
      && json_object_is_type (after, json_type_object))
    patch = merge_patch_between (before, after);
  else
    patch = json_object_get (after);
  if (list->count == errors)
    out = config_json_text (patch);
  json_object_put (patch);
  json_object_put (before);
  json_object_put (after);
  return out;
}
