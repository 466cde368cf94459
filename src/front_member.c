#include "front_member.h"
#include <json-c/json.h>
#include <stdio.h>

static const char name_vm[] = "vm";
static const char name_domain[] = "failure_domain";

void
front_member_encode (Buffer *out, const char *vm, const char *failure_domain)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, name_vm, json_object_new_string (vm));
  json_object_object_add (root, name_domain, json_object_new_string (failure_domain));
  buffer_add_string (out, json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

static bool
text_copy (struct json_object *root, const char *name, char out[MEMBER_TEXT_MAX])
{
  struct json_object *text;

  return json_object_object_get_ex (root, name, &text)
         && json_object_is_type (text, json_type_string)
         && (unsigned)snprintf (out, MEMBER_TEXT_MAX, "%s", json_object_get_string (text))
                < MEMBER_TEXT_MAX
         && out[0];
}

bool
front_member_decode (Span text, FrontMember *out)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (tokener, text.text, (int)text.len);
  bool good = root && json_object_is_type (root, json_type_object)
              && text_copy (root, name_vm, out->vm)
              && text_copy (root, name_domain, out->failure_domain);

  json_object_put (root);
  json_tokener_free (tokener);
  return good;
}
