#include "gate_answer.h"
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define ANSWER_DEPTH_MAX 32 /* nesting of the JSON in one chunk */
#define STEP             "answer"

static struct json_object *
member (struct json_object *obj, const char *name, enum json_type type)
{
  struct json_object *value;

  if (obj == NULL || !json_object_is_type (obj, json_type_object))
    return NULL;
  if (!json_object_object_get_ex (obj, name, &value) || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static void
add_usage (GateAnswer *answer, struct json_object *root)
{
  struct json_object *usage = member (root, "usage", json_type_object);
  struct json_object *prompt = member (usage, "prompt_tokens", json_type_int);
  struct json_object *completion = member (usage, "completion_tokens", json_type_int);

  if (prompt == NULL || completion == NULL)
    return;
  if (json_object_get_int64 (prompt) < 0 || json_object_get_int64 (completion) < 0)
    return;
  answer->has_usage = true;
  answer->prompt_tokens = json_object_get_int64 (prompt);
  answer->completion_tokens = json_object_get_int64 (completion);
}

static StatusCode
add_content (GateAnswer *answer, struct json_object *content, Status *st)
{
  size_t len;

  if (content == NULL || json_object_get_string_len (content) == 0)
    return status_ok (st);
  answer->chunks++;
  if (!answer->keep_content)
    return status_ok (st);
  len = (size_t)json_object_get_string_len (content);
  if (answer->content.len + len > answer->content_max && answer->content_optional)
    {
      answer->keep_content = false;
      buffer_free (&answer->content);
      return status_ok (st);
    }
  if (answer->content.len + len > answer->content_max)
    return status_set (st, STATUS_FULL, STEP, NULL, "answer longer than %zu bytes",
                       answer->content_max);
  buffer_add (&answer->content, json_object_get_string (content), len);
  return status_ok (st);
}

static StatusCode
add_chunk (GateAnswer *answer, struct json_object *root, Status *st)
{
  struct json_object *choices = member (root, "choices", json_type_array);
  struct json_object *choice;
  struct json_object *finish;
  struct json_object *delta;

  add_usage (answer, root);
  if (choices == NULL)
    return status_set (st, STATUS_INVALID, STEP, NULL, "a piece has no \"choices\"");
  if (json_object_array_length (choices) == 0)
    return status_ok (st);
  choice = json_object_array_get_idx (choices, 0);
  delta = member (choice, "delta", json_type_object);
  finish = member (choice, "finish_reason", json_type_string);
  if (finish != NULL)
    snprintf (answer->finish_reason, sizeof (answer->finish_reason), "%s",
              json_object_get_string (finish));
  return add_content (answer, member (delta, "content", json_type_string), st);
}

StatusCode
answer_add (GateAnswer *answer, const char *data, size_t len, Status *st)
{
  struct json_object *root;
  StatusCode code;

  if (len == 6 && memcmp (data, "[DONE]", 6) == 0)
    {
      answer->done = true;
      return status_ok (st);
    }
  if (answer->tokener == NULL)
    answer->tokener = json_tokener_new_ex (ANSWER_DEPTH_MAX);
  json_tokener_reset (answer->tokener);
  root = json_tokener_parse_ex (answer->tokener, data, (int)len);
  if (json_tokener_get_error (answer->tokener) != json_tokener_success)
    code = status_set (st, STATUS_INVALID, STEP, NULL, "a piece is no JSON object");
  else
    code = add_chunk (answer, root, st);
  json_object_put (root);
  return code;
}

bool
answer_is_complete (const GateAnswer *answer)
{
  return answer->done && answer->finish_reason[0] != '\0';
}

int64_t
answer_completion_tokens (const GateAnswer *answer)
{
  return answer->has_usage ? answer->completion_tokens : answer->chunks;
}

void
answer_json (const GateAnswer *answer, const char *id, const char *model, Buffer *out)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *choices = json_object_new_array ();
  struct json_object *choice = json_object_new_object ();
  struct json_object *message = json_object_new_object ();
  struct json_object *usage = json_object_new_object ();
  int64_t completion = answer_completion_tokens (answer);

  json_object_object_add (message, "role", json_object_new_string ("assistant"));
  json_object_object_add (
      message, "content",
      json_object_new_string_len (answer->content.data != NULL ? answer->content.data : "",
                                  (int)answer->content.len));
  json_object_object_add (choice, "index", json_object_new_int (0));
  json_object_object_add (choice, "message", message);
  json_object_object_add (choice, "finish_reason", json_object_new_string (answer->finish_reason));
  json_object_array_add (choices, choice);
  json_object_object_add (usage, "prompt_tokens", json_object_new_int64 (answer->prompt_tokens));
  json_object_object_add (usage, "completion_tokens", json_object_new_int64 (completion));
  json_object_object_add (usage, "total_tokens",
                          json_object_new_int64 (answer->prompt_tokens + completion));
  json_object_object_add (root, "id", json_object_new_string (id));
  json_object_object_add (root, "object", json_object_new_string ("chat.completion"));
  json_object_object_add (root, "model", json_object_new_string (model));
  json_object_object_add (root, "choices", choices);
  json_object_object_add (root, "usage", usage);
  buffer_add_string (out, json_object_to_json_string_ext (
                              root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

void
answer_free (GateAnswer *answer)
{
  buffer_free (&answer->content);
  if (answer->tokener != NULL)
    json_tokener_free (answer->tokener);
}
