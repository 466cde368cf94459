#include "cluster_view.h"
#include "util_field.h"
#include "util_memory.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INCARNATION_DIGITS 16
#define PATH_SIZE          64 /* bytes, for "members[N]" in an error message */

/** Fields of the row's JSON object, as field_read fills them. */
typedef struct
{
  int64_t number;
  int64_t head;
  bool established;
  struct json_object *members;
  struct json_object *previous;
} ViewFields;

typedef struct
{
  char *vm;
  char *address;
  int64_t port;
  char *failure_domain;
  char *incarnation;
} MemberFields;

static const FieldSpec view_specs[] = {
  { "number", FIELD_INT, true, offsetof (ViewFields, number), 1, 1e15 },
  { "head", FIELD_INT, true, offsetof (ViewFields, head), 0, 1e15 },
  { "established", FIELD_BOOL, true, offsetof (ViewFields, established), 0, 0 },
  { "members", FIELD_ARRAY, true, offsetof (ViewFields, members), 0, 0 },
  { "previous", FIELD_ARRAY, true, offsetof (ViewFields, previous), 0, 0 },
};

static const FieldSpec member_specs[] = {
  { "vm", FIELD_STRING, true, offsetof (MemberFields, vm), 1, CLUSTER_NAME_MAX - 1 },
  { "address", FIELD_STRING, true, offsetof (MemberFields, address), 1, CLUSTER_ADDRESS_MAX - 1 },
  { "port", FIELD_INT, true, offsetof (MemberFields, port), 1, 65535 },
  { "failure_domain", FIELD_STRING, true, offsetof (MemberFields, failure_domain), 0,
    CLUSTER_NAME_MAX - 1 },
  { "incarnation", FIELD_STRING, true, offsetof (MemberFields, incarnation), INCARNATION_DIGITS,
    INCARNATION_DIGITS },
};

static struct json_object *
incarnation_json (uint64_t incarnation)
{
  char digits[INCARNATION_DIGITS + 1];

  snprintf (digits, sizeof digits, "%016" PRIx64, incarnation);
  return json_object_new_string (digits);
}

static struct json_object *
member_json (const ClusterMember *m)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "vm", json_object_new_string (m->vm));
  json_object_object_add (o, "address", json_object_new_string (m->address));
  json_object_object_add (o, "port", json_object_new_int (m->port));
  json_object_object_add (o, "failure_domain", json_object_new_string (m->failure_domain));
  json_object_object_add (o, "incarnation", incarnation_json (m->incarnation));
  return o;
}

char *
cluster_view_text (const ClusterView *view)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *members = json_object_new_array ();
  struct json_object *previous = json_object_new_array ();

  for (size_t i = 0; i < view->count; i++)
    json_object_array_add (members, member_json (&view->members[i]));
  for (size_t i = 0; i < view->previous_count; i++)
    json_object_array_add (previous, incarnation_json (view->previous[i]));
  json_object_object_add (o, "number", json_object_new_int64 (view->number));
  json_object_object_add (o, "head", json_object_new_int64 (view->head));
  json_object_object_add (o, "established", json_object_new_boolean (view->established));
  json_object_object_add (o, "members", members);
  json_object_object_add (o, "previous", previous);
  char *text = memory_strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  return text;
}

static bool
parse_incarnation (const char *text, uint64_t *out, const char *path, CheckList *list)
{
  if (text != NULL && strlen (text) == INCARNATION_DIGITS
      && strspn (text, "0123456789abcdef") == INCARNATION_DIGITS)
    *out = strtoull (text, NULL, 16);
  else
    *out = 0;
  if (*out == 0)
    check_add (list, path, "expected 16 hexadecimal digits, not all 0");
  return *out != 0;
}

static bool
copy_member (const MemberFields *f, const char *path, ClusterMember *out, CheckList *list)
{
  *out = (ClusterMember){ .port = (int)f->port };
  snprintf (out->vm, sizeof out->vm, "%s", f->vm);
  snprintf (out->address, sizeof out->address, "%s", f->address);
  snprintf (out->failure_domain, sizeof out->failure_domain, "%s", f->failure_domain);
  return parse_incarnation (f->incarnation, &out->incarnation, path, list);
}

static bool
parse_member (struct json_object *o, size_t index, ClusterMember *out, CheckList *list)
{
  MemberFields f = { 0 };
  char path[PATH_SIZE];

  snprintf (path, sizeof path, "members[%zu]", index);
  bool ok = field_read (member_specs, sizeof member_specs / sizeof *member_specs, o, &f, path, list)
            && copy_member (&f, path, out, list);
  free (f.vm);
  free (f.address);
  free (f.failure_domain);
  free (f.incarnation);
  return ok;
}

static bool
parse_members (struct json_object *array, ClusterView *out, CheckList *list)
{
  size_t count = json_object_array_length (array);

  if (count > CLUSTER_MEMBERS_MAX)
    {
      check_add (list, "members", "expected at most %d, found %zu", CLUSTER_MEMBERS_MAX, count);
      return false;
    }
  for (size_t i = 0; i < count; i++)
    if (!parse_member (json_object_array_get_idx (array, i), i, &out->members[i], list))
      return false;
  out->count = count;
  return true;
}

static bool
parse_previous (struct json_object *array, ClusterView *out, CheckList *list)
{
  size_t count = json_object_array_length (array);

  if (count > CLUSTER_MEMBERS_MAX)
    {
      check_add (list, "previous", "expected at most %d, found %zu", CLUSTER_MEMBERS_MAX, count);
      return false;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *o = json_object_array_get_idx (array, i);
      const char *text
          = json_object_is_type (o, json_type_string) ? json_object_get_string (o) : NULL;
      if (!parse_incarnation (text, &out->previous[i], "previous", list))
        return false;
    }
  out->previous_count = count;
  return true;
}

/* An established view has no previous members and a pending one has some. Another row was not
   written by these functions, and it is not known whose votes count under it. */
static bool
is_consistent (const ClusterView *v, CheckList *list)
{
  if (v->established == (v->previous_count == 0))
    return true;
  check_add (list, "previous", "expected none in an established view and some in a pending one");
  return false;
}

bool
cluster_view_parse (const char *text, ClusterView *out, CheckList *list)
{
  ViewFields f = { 0 };
  struct json_object *o = field_parse_string (text, strlen (text), list);

  if (o == NULL)
    return false;
  bool ok = field_read (view_specs, sizeof view_specs / sizeof *view_specs, o, &f, "", list);
  if (ok)
    {
      *out = (ClusterView){ .number = f.number, .head = f.head, .established = f.established };
      ok = parse_members (f.members, out, list) && parse_previous (f.previous, out, list)
           && is_consistent (out, list);
    }
  json_object_put (o);
  return ok;
}
