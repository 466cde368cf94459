#include "common_fault.h"
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

static const char *const kind_names[FAULT_KINDS] = { [FAULT_DOWN] = "down",
                                                     [FAULT_SLOW] = "slow",
                                                     [FAULT_LOSE_CALL] = "lose_call",
                                                     [FAULT_LOSE_REPLY] = "lose_reply",
                                                     [FAULT_LATE_EVENTS] = "late_events",
                                                     [FAULT_GAPPY_EVENTS] = "gappy_events",
                                                     [FAULT_LAG_LOAD] = "lag_load",
                                                     [FAULT_CRASH_ON] = "crash_on",
                                                     [FAULT_CUT_AT] = "cut_at",
                                                     [FAULT_DUPLICATE] = "duplicate",
                                                     [FAULT_REORDER] = "reorder",
                                                     [FAULT_IGNORE_FENCING] = "ignore_fencing",
                                                     [FAULT_NOT_RUN] = "not_run",
                                                     [FAULT_BAD_VERSION] = "bad_version",
                                                     [FAULT_DRAIN] = "drain" };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Fault faults[FAULT_KINDS];

static int
kind_find (const char *name)
{
  for (int i = 0; name && i < FAULT_KINDS; i++)
    if (strcmp (kind_names[i], name) == 0)
      return i;
  return -1;
}

static const char *
member_string (struct json_object *obj, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  return json_object_get_string (member);
}

static void
read_fault (struct json_object *obj, Fault *fault)
{
  struct json_object *member;
  const char *text = member_string (obj, "value");
  const char *path = member_string (obj, "path");
  *fault = (Fault){ .set = true };
  snprintf (fault->text, sizeof fault->text, "%s", text ? text : "");
  snprintf (fault->path, sizeof fault->path, "%s", path ? path : "");
  if (!text && json_object_object_get_ex (obj, "value", &member))
    fault->number = json_object_get_double (member);
  if (json_object_object_get_ex (obj, "count", &member))
    fault->remaining = (unsigned)json_object_get_int (member);
}

bool
fault_set (const char *text)
{
  struct json_object *obj = text ? json_tokener_parse (text) : NULL;
  int kind
      = json_object_is_type (obj, json_type_object) ? kind_find (member_string (obj, "kind")) : -1;
  if (kind >= 0)
    {
      pthread_mutex_lock (&lock);
      read_fault (obj, &faults[kind]);
      pthread_mutex_unlock (&lock);
    }
  json_object_put (obj);
  return kind >= 0;
}

void
fault_clear (void)
{
  pthread_mutex_lock (&lock);
  memset (faults, 0, sizeof faults);
  pthread_mutex_unlock (&lock);
}

static bool
match (FaultKind kind, const char *path, bool count, Fault *out)
{
  pthread_mutex_lock (&lock);
  Fault *fault = &faults[kind];
  bool matched = fault->set && strncmp (path, fault->path, strlen (fault->path)) == 0;
  if (matched && out)
    *out = *fault;
  if (matched && count && fault->remaining && --fault->remaining == 0)
    fault->set = false;
  pthread_mutex_unlock (&lock);
  return matched;
}

bool
fault_consume (FaultKind kind, const char *path, Fault *out)
{
  return match (kind, path, true, out);
}

bool
fault_peek (FaultKind kind, const char *path, Fault *out)
{
  return match (kind, path, false, out);
}
