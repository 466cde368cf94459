/**
 * Commands that print the state of the members and brakes, and raise brakes.
 */
#include "ctl_http.h"
#include "ctl_table.h"
#include <stdio.h>
#include <string.h>

#define MEMBER_COLUMNS 7

typedef struct json_object Json;

static void
add_headings (CtlTable *table, const char *const *headings)
{
  for (size_t i = 0; i < table->columns; i++)
    ctl_table_cell (table, "%s", headings[i]);
}

static void
add_member (CtlTable *table, Json *member, int64_t newest)
{
  int64_t number = ctl_number (member, "number", 0);

  ctl_table_cell (table, "%s", ctl_text (member, "vm", "-"));
  ctl_table_cell (table, "%s", ctl_text (member, "failure_domain", "-"));
  ctl_table_cell (table, "%s", ctl_text (member, "address", "-"));
  ctl_table_cell (table, "%s", ctl_text (member, "state", "-"));
  ctl_table_cell (table, "%lld", (long long)number);
  if (number < newest)
    ctl_table_cell (table, "%lld behind", (long long)(newest - number));
  else
    ctl_table_cell (table, "-");
  ctl_table_cell (table, "%lld ms ago", (long long)ctl_number (member, "age_ms", 0));
}

static void
print_members (Json *body, int64_t newest)
{
  static const char *const headings[MEMBER_COLUMNS]
      = { "VM", "FAILURE DOMAIN", "ADDRESS", "STATE", "NUMBER", "BEHIND", "HEARD" };
  CtlTable table = { .columns = MEMBER_COLUMNS };
  size_t count;
  Json *members = ctl_array (body, "members", &count);

  add_headings (&table, headings);
  for (size_t i = 0; i < count; i++)
    add_member (&table, json_object_array_get_idx (members, i), newest);
  ctl_table_print (&table);
}

/** Highest number that any member is known to have in force. */
static int64_t
newest_number (Json *body)
{
  int64_t newest = ctl_number (body, "number", 0);
  size_t count;
  Json *members = ctl_array (body, "members", &count);

  for (size_t i = 0; i < count; i++)
    {
      int64_t number = ctl_number (json_object_array_get_idx (members, i), "number", 0);

      newest = number > newest ? number : newest;
    }
  return newest;
}

static void
print_brakes (Json *body)
{
  static const char *const headings[] = { "BRAKED VERSION", "SINCE NUMBER", "BY", "WHY" };
  CtlTable table = { .columns = 4 };
  size_t count;
  Json *brakes = ctl_array (body, "brakes", &count);

  if (count == 0)
    {
      printf ("no brakes\n");
      return;
    }
  add_headings (&table, headings);
  for (size_t i = 0; i < count; i++)
    {
      Json *brake = json_object_array_get_idx (brakes, i);

      ctl_table_cell (&table, "%s", ctl_text (brake, "version", "-"));
      ctl_table_cell (&table, "%lld", (long long)ctl_number (brake, "since", 0));
      ctl_table_cell (&table, "%s", ctl_text (brake, "by", "-"));
      ctl_table_cell (&table, "%s", ctl_text (brake, "why", ""));
    }
  ctl_table_print (&table);
}

CtlExit
ctl_status (Ctl *ctl, const CtlArgs *args)
{
  Json *body;
  CtlExit status = ctl_http_get (ctl, "/v1/status", &body);
  int64_t newest;

  (void)args;
  if (status != CTL_DONE)
    return status;
  newest = newest_number (body);
  if (ctl->json)
    ctl_print_json (body);
  else
    {
      printf ("asked %s: number %lld in force there, %lld accepted; platform %s; grant %lld ms; "
              "view %lld%s\n",
              ctl_text (body, "vm", "-"), (long long)ctl_number (body, "number", 0),
              (long long)ctl_number (body, "accepted", 0), ctl_text (body, "platform", "-"),
              (long long)ctl_number (body, "grant_ms", 0), (long long)ctl_number (body, "view", 0),
              json_object_get_boolean (json_object_object_get (body, "view_established"))
                  ? ""
                  : " (not established yet)");
      print_members (body, newest);
      print_brakes (body);
    }
  json_object_put (body);
  return CTL_DONE;
}

CtlExit
ctl_brake_list (Ctl *ctl, const CtlArgs *args)
{
  Json *body;
  CtlExit status = ctl_http_get (ctl, "/v1/status", &body);

  (void)args;
  if (status != CTL_DONE)
    return status;
  if (ctl->json)
    ctl_print_json (json_object_object_get (body, "brakes"));
  else
    print_brakes (body);
  json_object_put (body);
  return CTL_DONE;
}

CtlExit
ctl_brake_raise (Ctl *ctl, const CtlArgs *args)
{
  Json *body = json_object_new_object ();
  CtlAnswer answer;
  CtlExit status;

  json_object_object_add (body, "version", json_object_new_string (args->operands[0]));
  json_object_object_add (body, "why", json_object_new_string (args->reason));
  status = ctl_http_call (ctl, "POST", "/v1/brakes", body, 0, &answer);
  json_object_put (body);
  if (status != CTL_DONE)
    return status;
  if (answer.http_status != 200)
    status = ctl_print_refusal (ctl, &answer);
  else if (ctl->json)
    ctl_print_json (answer.body);
  else
    printf ("%s is braked; it reaches the other VMs with their next heartbeats\n",
            args->operands[0]);
  ctl_answer_clear (&answer);
  return status;
}
