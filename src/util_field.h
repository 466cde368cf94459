/**
 * Reads the members of a JSON object into a struct, described by a table of fields. An unknown
 * name, a wrong type or a value out of range is reported with its path. An absent optional member
 * leaves the struct's value unchanged, so the caller sets the defaults first.
 */
#ifndef UTIL_FIELD_H
#define UTIL_FIELD_H

#include "util_check.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  FIELD_STRING, /**< char *, allocated; the old value is freed */
  FIELD_INT,    /**< int64_t */
  FIELD_NUMBER, /**< double */
  FIELD_BOOL,   /**< bool */
  FIELD_OBJECT, /**< struct json_object *, borrowed */
  FIELD_ARRAY   /**< struct json_object *, borrowed */
} FieldType;

typedef struct
{
  const char *name;
  FieldType type;
  bool required;
  size_t offset; /**< of the member in the struct */
  double min;    /**< smallest value; strings: minimum length in bytes */
  double max;    /**< largest value or maximum length; min and max both 0: no bound */
} FieldSpec;

/** Reads obj into *out; path is the location of obj in its document ("" for the root). Returns
 * false if errors were added to list. */
bool field_read (const FieldSpec *specs,
                 size_t count,
                 struct json_object *obj,
                 void *out,
                 const char *path,
                 CheckList *list);

/** Parses JSON with comments from a file or a string of len bytes. A syntax error is added to list
 *  with its line and column, and NULL is returned. Duplicate member names in one object are errors.
 *  The result is freed with json_object_put. */
struct json_object *field_parse_file (const char *path, CheckList *list);
struct json_object *field_parse_string (const char *text, size_t len, CheckList *list);

#endif
