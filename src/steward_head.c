#include "steward_head.h"
#include "util_field.h"
#include "util_memory.h"
#include <json-c/json.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

static const FieldSpec head_specs[] = {
  { "number", FIELD_INT, true, offsetof (StewardHead, number), 1, 999999999999 },
  { "accepted", FIELD_INT, true, offsetof (StewardHead, accepted), 0, 999999999999 },
};

static bool
parse_head (const char *text, StewardHead *out)
{
  CheckList list = { .file = "config_head/head" };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);
  bool good
      = obj != NULL
        && field_read (head_specs, sizeof head_specs / sizeof *head_specs, obj, out, "", &list)
        && out->accepted <= out->number;

  json_object_put (obj);
  check_free (&list);
  return good;
}

StatusCode
steward_head_read (Platform *p, int timeout_ms, StewardHead *out, Status *st)
{
  PlatformRow row = { 0 };
  StatusCode code = p->ops->get (p, "config_head", "head", timeout_ms, &row, st);

  *out = (StewardHead){ 0 };
  if (code != STATUS_OK)
    return code;
  out->version = row.version;
  if (row.version != 0 && !parse_head (row.value, out))
    code = status_set (st, STATUS_INVALID, "head.read", NULL, "the head row can't be read");
  platform_row_clear (&row);
  return code;
}

char *
steward_head_text (int64_t number, int64_t accepted)
{
  char text[96];

  snprintf (text, sizeof text, "{\"number\":%lld,\"accepted\":%lld}", (long long)number,
            (long long)accepted);
  return memory_strdup (text);
}

void
steward_number_key (int64_t number, char out[STEWARD_KEY_SIZE])
{
  snprintf (out, STEWARD_KEY_SIZE, "%012lld", (long long)(number % 1000000000000));
}
