/**
 * Parsing of JSON with comments; on top of json-c it reports the position of errors and refuses
 * duplicate member names.
 */
#include "util_buffer.h"
#include "util_field.h"
#include "util_log.h"
#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#define READ_SIZE 4096          /* bytes */
#define NAME_SIZE 256           /* bytes */
#define TEXT_MAX  (INT_MAX / 2) /* bytes; json-c counts in int */

/* State of parsing one text, which the tokener receives in parts. */
typedef struct
{
  struct json_tokener *tok;
  const char *text;
  size_t len;
  CheckList *list;
} Parse;

static void
add_error_at (const Parse *parse,
              size_t offset,
              const char *path,
              const char *what,
              const char *name)
{
  unsigned line = 1;
  size_t line_start = 0;

  if (offset > parse->len)
    offset = parse->len;
  for (size_t i = 0; i < offset; i++)
    {
      if (parse->text[i] == '\n')
        {
          line++;
          line_start = i + 1;
        }
    }
  check_add (parse->list, path, "line %u, column %zu: %s%s", line, offset - line_start + 1, what,
             name);
}

static void
tokener_path (const struct json_tokener *tok, Buffer *out)
{
  char quoted[NAME_SIZE];

  for (int i = 0; i <= tok->depth; i++)
    {
      struct json_object *current = tok->stack[i].current;
      const char *name = tok->stack[i].obj_field_name;

      if (name)
        buffer_printf (out, "%s%s", out->len ? "." : "", log_quote (name, quoted, sizeof quoted));
      else if (json_object_is_type (current, json_type_array))
        buffer_printf (out, "[%zu]", json_object_array_length (current));
    }
}

/**
 * Reports a member name that its object already has: json-c silently keeps the last one, so a
 * team's list of allowed versions could be replaced further down in the file. After a ':' the
 * tokener has not added the name to the object yet, so a name found there is a duplicate. This
 * reads internal fields of json-c's tokener, because the only alternative is a second parser;
 * tests/test_util.c checks that it works with the installed json-c.
 */
static void
check_duplicate (const Parse *parse, size_t offset)
{
  const struct json_tokener *tok = parse->tok;
  const struct json_tokener_srec *top = &tok->stack[tok->depth];
  Buffer path = { 0 };

  if (top->state != json_tokener_state_eatws || top->saved_state != json_tokener_state_object_value)
    return;
  if (!top->obj_field_name || !json_object_object_get_ex (top->current, top->obj_field_name, NULL))
    return;
  tokener_path (tok, &path);
  add_error_at (parse, offset, path.data, "duplicate member name", "");
  buffer_free (&path);
}

/**
 * Reports text after the value that is neither white space nor a comment. json-c checks this:
 * with a 0 appended, the remaining text must parse as exactly that 0.
 */
static void
check_trailing_text (const Parse *parse, size_t offset)
{
  struct json_tokener *tok = parse->tok;
  struct json_object *zero;
  Buffer rest = { 0 };

  buffer_add (&rest, parse->text + offset, parse->len - offset);
  buffer_add_string (&rest, "\n0");
  json_tokener_reset (tok);
  zero = json_tokener_parse_ex (tok, rest.data, (int)rest.len + 1);
  if (!json_object_is_type (zero, json_type_int) || json_tokener_get_parse_end (tok) != rest.len)
    add_error_at (parse, offset, NULL, "expected the end of the text behind the value", "");
  json_object_put (zero);
  buffer_free (&rest);
}

/* Feeds the tokener up to and including each ':', where the member name is checked. */
static struct json_object *
parse_in_parts (const Parse *parse)
{
  struct json_object *obj = NULL;
  size_t offset = 0;

  while (offset <= parse->len)
    {
      const char *start = parse->text + offset;
      const char *colon = memchr (start, ':', parse->len - offset);
      /* The last part includes the terminating NUL, which ends a number at the end of the text. */
      size_t part_len = colon ? (size_t)(colon - start) + 1 : parse->len - offset + 1;

      obj = json_tokener_parse_ex (parse->tok, start, (int)part_len);
      if (json_tokener_get_error (parse->tok) != json_tokener_continue)
        {
          offset += json_tokener_get_parse_end (parse->tok);
          break;
        }
      offset += part_len;
      check_duplicate (parse, offset - 1);
    }
  if (json_tokener_get_error (parse->tok) != json_tokener_success)
    add_error_at (parse, offset, NULL,
                  "syntax error: ", json_tokener_error_desc (json_tokener_get_error (parse->tok)));
  else if (offset < parse->len)
    check_trailing_text (parse, offset);
  return obj;
}

struct json_object *
field_parse_string (const char *text, size_t len, CheckList *list)
{
  Buffer copy = { 0 };
  Parse parse = { .len = len, .list = list };
  unsigned before = list->count;
  struct json_object *obj;
  const char *nul = len ? memchr (text, '\0', len) : NULL;

  if (len > TEXT_MAX)
    {
      check_add (list, NULL, "expected at most %d bytes, found %zu", TEXT_MAX, len);
      return NULL;
    }
  buffer_add (&copy, text, len);
  parse.text = copy.data;
  if (nul)
    {
      add_error_at (&parse, (size_t)(nul - text), NULL, "syntax error: NUL character", "");
      buffer_free (&copy);
      return NULL;
    }
  parse.tok = json_tokener_new_ex (JSON_TOKENER_DEFAULT_DEPTH);
  json_tokener_set_flags (parse.tok, JSON_TOKENER_VALIDATE_UTF8);
  obj = parse_in_parts (&parse);
  json_tokener_free (parse.tok);
  buffer_free (&copy);
  if (!obj && list->count == before)
    check_add (list, NULL, "expected a value, found null");
  if (list->count == before)
    return obj;
  json_object_put (obj);
  return NULL;
}

struct json_object *
field_parse_file (const char *path, CheckList *list)
{
  Buffer text = { 0 };
  char block[READ_SIZE];
  struct json_object *obj = NULL;
  size_t got;
  FILE *file = fopen (path, "re");

  if (!file)
    {
      check_add (list, NULL, "can't be opened: %s", strerror (errno));
      return NULL;
    }
  while ((got = fread (block, 1, sizeof block, file)) > 0)
    buffer_add (&text, block, got);
  if (ferror (file))
    check_add (list, NULL, "can't be read: %s", strerror (errno));
  else
    obj = field_parse_string (text.data ? text.data : "", text.len, list);
  fclose (file);
  buffer_free (&text);
  return obj;
}
