#include "front_refused_row.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

static const char name_refused[] = "refused";
static const char name_fingerprint[] = "fingerprint";
static const char name_until[] = "until_ms";

#define FINGERPRINT_TEXT 17 /* hexadecimal, with the terminating NUL */

void
front_refused_row_encode (Buffer *out,
                          const QuarantineRefusal *refusals,
                          size_t count,
                          int64_t now_ms)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *entry = json_object_new_object ();
      char text[FINGERPRINT_TEXT];

      snprintf (text, sizeof text, "%016" PRIx64, refusals[i].fingerprint);
      json_object_object_add (entry, name_fingerprint, json_object_new_string (text));
      json_object_object_add (entry, name_until,
                              json_object_new_int64 (now_ms + refusals[i].left_ms));
      json_object_array_add (list, entry);
    }
  json_object_object_add (root, name_refused, list);
  buffer_add_string (out, json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

static bool
entry_decode (struct json_object *entry, QuarantineRefusal *out, int64_t now_ms)
{
  struct json_object *fingerprint, *until;
  int64_t left_ms;

  if (!json_object_object_get_ex (entry, name_fingerprint, &fingerprint)
      || !json_object_is_type (fingerprint, json_type_string)
      || !json_object_object_get_ex (entry, name_until, &until)
      || !json_object_is_type (until, json_type_int)
      || sscanf (json_object_get_string (fingerprint), "%16" SCNx64, &out->fingerprint) != 1)
    return false;
  left_ms = json_object_get_int64 (until) - now_ms;
  if (left_ms <= 0 || left_ms > UINT32_MAX)
    return false;
  out->left_ms = (uint32_t)left_ms;
  return true;
}

size_t
front_refused_row_decode (Span text, QuarantineRefusal out[REFUSED_ROW_MAX], int64_t now_ms)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (tokener, text.text, (int)text.len);
  struct json_object *list;
  size_t count = 0;

  if (root && json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, name_refused, &list)
      && json_object_is_type (list, json_type_array))
    {
      for (size_t i = 0; i < json_object_array_length (list) && count < REFUSED_ROW_MAX; i++)
        count += entry_decode (json_object_array_get_idx (list, i), &out[count], now_ms);
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return count;
}
