/* Parses and checks the body of a chat-completions request. */
#include "gate_request.h"
#include "util_id.h"
#include <stdio.h>
#include <string.h>

#define STEP             "request.body"
#define BODY_DEPTH_MAX   32   /* nesting of the JSON */
#define PREFIX_HASH_MAX  1024 /* bytes of the first message that are hashed */
#define PREFIX_HASH_SEED 1
#define TABLE_BYTES      800      /* of json-c, for an object or array */
#define VALUE_BYTES      128      /* of json-c, for another value and its allocation */
#define MAX_TOKENS_MAX   10000000 /* largest max_tokens of a request */

static bool parse (GateRequest *r);
static bool check_members (GateRequest *r);

static bool
refuse (GateRequest *r, const char *path, const char *expected)
{
  refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP, "%s: expected %s", path,
               expected);
  return false;
}

/* Converts json-c's byte offset into line and column, which are easier to find in an editor. */
static bool
refuse_syntax (GateRequest *r, size_t offset, const char *what)
{
  unsigned line = 1;
  size_t line_start = 0;

  for (size_t i = 0; i < offset && i < r->body.len; i++)
    {
      if (r->body.data[i] != '\n')
        continue;
      line++;
      line_start = i + 1;
    }
  refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP, "line %u, column %zu: %s",
               line, offset - line_start + 1, what);
  return false;
}

/* Bytes of memory that json-c takes for the values of the body, besides their text: any value may
 * be followed by a comma, and each object and array has a table of its own. */
static size_t
values_bytes (const Buffer *body)
{
  size_t bytes = 0;
  bool in_string = false;

  for (size_t i = 0; i < body->len; i++)
    {
      char c = body->data[i];

      if (in_string && c == '\\')
        i++;
      else if (c == '"')
        in_string = !in_string;
      else if (!in_string && (c == '{' || c == '['))
        bytes += TABLE_BYTES;
      else if (!in_string && (c == ',' || c == ':'))
        bytes += VALUE_BYTES;
    }
  return bytes;
}

/* Counts the memory of the parsed body. */
static bool
take_values (GateRequest *r)
{
  GateMemory *memory = &r->gate->memory;
  size_t bytes = values_bytes (&r->body);

  if (bytes > (size_t)r->gate->settings.body_max)
    {
      refusal_set (&r->refusal, REFUSAL_TOO_LARGE, REQUEST_NOT_RUN, STEP,
                   "the body has too many values");
      return false;
    }
  if (!gate_memory_take_request (memory, bytes, bytes <= GATE_MEMORY_SHORT_BYTES))
    {
      refusal_set (&r->refusal, REASON_OVERLOAD, REQUEST_NOT_RUN, STEP, NULL);
      return false;
    }
  r->held_values = bytes;
  return true;
}

static bool
parse (GateRequest *r)
{
  struct json_tokener *tokener;
  enum json_tokener_error error;
  size_t end;

  if (r->body.len == 0)
    return refuse_syntax (r, 0, "the body is empty");
  if (!take_values (r))
    return false;
  tokener = json_tokener_new_ex (BODY_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  r->json = json_tokener_parse_ex (tokener, r->body.data, (int)r->body.len);
  error = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  if (error == json_tokener_continue)
    return refuse_syntax (r, r->body.len, "the body ends within the JSON document");
  if (error != json_tokener_success)
    return refuse_syntax (r, end, json_tokener_error_desc (error));
  if (!json_object_is_type (r->json, json_type_object))
    return refuse (r, "body", "an object");
  return true;
}

static bool
check_messages (GateRequest *r, struct json_object *messages)
{
  size_t count = json_object_array_length (messages);
  char path[64];

  if (count == 0)
    return refuse (r, "messages", "at least one message");
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);
      struct json_object *role;
      struct json_object *content;
      snprintf (path, sizeof (path), "messages[%zu]", i);
      if (!json_object_is_type (message, json_type_object))
        return refuse (r, path, "an object");
      if (!json_object_object_get_ex (message, "role", &role)
          || !json_object_is_type (role, json_type_string))
        return refuse (r, path, "\"role\", a string");
      if (!json_object_object_get_ex (message, "content", &content))
        return refuse (r, path, "\"content\"");
      if (i > 0 || !json_object_is_type (content, json_type_string))
        continue;
      size_t len = (size_t)json_object_get_string_len (content);
      if (len > PREFIX_HASH_MAX)
        len = PREFIX_HASH_MAX;
      r->prefix_hash = id_hash (json_object_get_string (content), len, PREFIX_HASH_SEED);
    }
  return true;
}

static bool
check_int (GateRequest *r, const char *name, int64_t max)
{
  struct json_object *value;
  int64_t n;

  if (!json_object_object_get_ex (r->json, name, &value))
    return true;
  n = json_object_is_type (value, json_type_int) ? json_object_get_int64 (value) : 0;
  if (n >= 1 && n <= max)
    return true;
  refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP,
               "%s: expected a whole number from 1 to %lld", name, (long long)max);
  return false;
}

static bool
check_members (GateRequest *r)
{
  struct json_object *value;

  if (!json_object_object_get_ex (r->json, "model", &value)
      || !json_object_is_type (value, json_type_string) || json_object_get_string_len (value) == 0
      || json_object_get_string_len (value) >= BILL_NAME_MAX)
    return refuse (r, "model", "a MODEL, MODEL@VERSION or quality class");
  snprintf (r->asked, sizeof (r->asked), "%s", json_object_get_string (value));
  if (!json_object_object_get_ex (r->json, "messages", &value)
      || !json_object_is_type (value, json_type_array))
    return refuse (r, "messages", "an array");
  if (!check_messages (r, value))
    return false;
  if (json_object_object_get_ex (r->json, "stream", &value))
    {
      if (!json_object_is_type (value, json_type_boolean))
        return refuse (r, "stream", "true or false");
      r->stream = json_object_get_boolean (value);
    }
  return check_int (r, "max_tokens", MAX_TOKENS_MAX) && check_int (r, "n", 1);
}

bool
gate_request_read_body (GateRequest *r)
{
  if (r->kind == REQUEST_SERVICE)
    return true;
  return parse (r) && check_members (r);
}
