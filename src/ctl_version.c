/**
 * Commands that create, print, list and compare versions of the configuration document.
 */
#include "config.h"
#include "ctl_submit.h"
#include "ctl_table.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct json_object Json;

static const char *
compact (Json *value)
{
  return json_object_to_json_string_ext (value, JSON_C_TO_STRING_NOSLASHESCAPE);
}

/** Parses a version number from the command line; prints an error and returns false if it is
 * invalid. */
static bool
parse_number (const char *text, int64_t *number)
{
  char *end;

  errno = 0;
  *number = strtoll (text, &end, 10);
  if (errno == 0 && end != text && *end == '\0' && *number > 0)
    return true;
  ctl_error ("expected the number of a version, found '%s'", text);
  return false;
}

static CtlExit
get_version (const Ctl *ctl, int64_t number, Json **version)
{
  char path[CTL_PATH_SIZE];

  snprintf (path, sizeof path, "/v1/versions/%lld", (long long)number);
  return ctl_http_get (ctl, path, version);
}

/** Reads and validates a document; NULL, with the errors on standard error, if it is invalid. */
static Json *
read_document (const char *path)
{
  CheckList list = { .file = path };
  Config *config = config_parse_file (path, 0, &list);
  Json *document = config == NULL ? NULL : json_tokener_parse (config->text);

  if (list.count > 0)
    fputs (list.text.data, stderr);
  config_unref (config);
  check_free (&list);
  return document;
}

static CtlExit
create_first (const Ctl *ctl, const CtlArgs *args, Json *document)
{
  char path[CTL_PATH_SIZE];
  Json *body = json_object_new_object ();
  CtlAnswer answer;
  CtlExit status;

  json_object_object_add (body, "text", json_object_get (document));
  json_object_object_add (body, "reason", json_object_new_string (args->reason));
  ctl_submit_path (args, "versions", path);
  status = ctl_http_call (ctl, "POST", path, body, args->wait_ms, &answer);
  json_object_put (body);
  if (status != CTL_DONE)
    return status;
  if (answer.http_status == 200)
    status = ctl_submit_result (ctl, answer.body);
  else if (ctl_submit_was_applied (ctl, &answer, 0, "text", document))
    status = CTL_DURABLE;
  else
    status = ctl_print_refusal (ctl, &answer);
  ctl_answer_clear (&answer);
  return status;
}

static CtlExit
create_next (const Ctl *ctl, const CtlArgs *args, const CtlHead *head, Json *document)
{
  CheckList list = { 0 };
  char *text = config_diff (compact (head->text), compact (document), &list);
  Json *patch = text == NULL ? NULL : json_tokener_parse (text);
  CtlExit status = CTL_DONE;

  if (list.count > 0)
    ctl_error ("number %lld: %s", (long long)head->number, list.text.data);
  if (patch == NULL)
    status = CTL_REFUSED;
  else if (json_object_object_length (patch) == 0)
    printf ("number %lld is this document already\n", (long long)head->number);
  else
    status = ctl_submit (ctl, args, head->number, patch);
  json_object_put (patch);
  free (text);
  check_free (&list);
  return status;
}

CtlExit
ctl_version_create (Ctl *ctl, const CtlArgs *args)
{
  Json *document = read_document (args->operands[0]);
  CtlHead head = { 0 };
  CtlExit status;

  if (document == NULL)
    return CTL_REFUSED;
  status = ctl_head_read (ctl, args, &head);
  if (status == CTL_DONE && head.text == NULL)
    status = create_first (ctl, args, document);
  else if (status == CTL_DONE)
    status = create_next (ctl, args, &head, document);
  ctl_head_clear (&head);
  json_object_put (document);
  return status;
}

CtlExit
ctl_version_show (Ctl *ctl, const CtlArgs *args)
{
  CtlArgs newest = *args;
  CtlHead head;
  CtlExit status;

  if (args->operand_count > 0 && !parse_number (args->operands[0], &newest.base))
    return CTL_USAGE;
  status = ctl_head_read (ctl, &newest, &head);
  if (status != CTL_DONE)
    return status;
  if (head.text == NULL)
    {
      ctl_error ("there is no version yet: use lovagectl version create");
      return CTL_REFUSED;
    }
  if (!ctl->json)
    printf ("// number %lld\n", (long long)head.number);
  ctl_print_json (head.text);
  ctl_head_clear (&head);
  return CTL_DONE;
}

static void
add_version (CtlTable *table, Json *version, int64_t accepted)
{
  int64_t number = ctl_number (version, "number", 0);
  char time[32];

  ctl_table_cell (table, "%lld", (long long)number);
  ctl_table_cell (table, "%lld", (long long)ctl_number (version, "base", 0));
  ctl_table_cell (table, "%s", number <= accepted ? "accepted" : "durable");
  ctl_table_cell (table, "%s", ctl_time (ctl_number (version, "at_ms", 0), time));
  ctl_table_cell (table, "%s", ctl_text (version, "operator", "-"));
  ctl_table_cell (table, "%s", ctl_text (version, "reason", ""));
}

CtlExit
ctl_version_list (Ctl *ctl, const CtlArgs *args)
{
  CtlTable table = { .columns = 6 };
  Json *body;
  Json *versions;
  size_t count;
  CtlExit status = ctl_http_get (ctl, "/v1/versions", &body);

  (void)args;
  if (status != CTL_DONE)
    return status;
  versions = ctl_array (body, "versions", &count);
  if (ctl->json)
    ctl_print_json (body);
  else
    {
      static const char *const headings[]
          = { "NUMBER", "BASE", "STATE", "AT", "OPERATOR", "REASON" };

      for (size_t i = 0; i < table.columns; i++)
        ctl_table_cell (&table, "%s", headings[i]);
      for (size_t i = 0; i < count; i++)
        add_version (&table, json_object_array_get_idx (versions, i),
                     ctl_number (body, "accepted", 0));
      ctl_table_print (&table);
    }
  json_object_put (body);
  return CTL_DONE;
}

/** Prints each change as "PATH: OLD -> NEW", "PATH: added NEW" or "PATH: removed". */
static void
print_change (const char *path, Json *before, Json *patch)
{
  json_object_object_foreach (patch, name, value)
  {
    Buffer member = { 0 };
    Json *old = json_object_is_type (before, json_type_object)
                    ? json_object_object_get (before, name)
                    : NULL;

    buffer_printf (&member, "%s%s%s", path, path[0] == '\0' ? "" : ".", name);
    if (json_object_is_type (value, json_type_object)
        && json_object_is_type (old, json_type_object))
      print_change (member.data, old, value);
    else if (value == NULL)
      printf ("%s: removed\n", member.data);
    else if (old == NULL)
      printf ("%s: added %s\n", member.data, compact (value));
    else
      {
        printf ("%s: %s", member.data, compact (old));
        printf (" -> %s\n", compact (value));
      }
    buffer_free (&member);
  }
}

static CtlExit
print_difference (const Ctl *ctl, Json *before, Json *after)
{
  CheckList list = { 0 };
  char *text = config_diff (compact (before), compact (after), &list);
  Json *patch = text == NULL ? NULL : json_tokener_parse (text);

  if (patch == NULL)
    ctl_error ("%s", list.text.data == NULL ? "no documents" : list.text.data);
  else if (ctl->json)
    ctl_print_json (patch);
  else
    print_change ("", before, patch);
  free (text);
  check_free (&list);
  /* json_object_put returns 0 for NULL, that is if the documents could not be compared. */
  return json_object_put (patch) == 1 ? CTL_DONE : CTL_REFUSED;
}

CtlExit
ctl_version_diff (Ctl *ctl, const CtlArgs *args)
{
  int64_t numbers[2];
  Json *versions[2] = { NULL, NULL };
  CtlExit status = CTL_DONE;

  for (int i = 0; i < 2; i++)
    if (!parse_number (args->operands[i], &numbers[i]))
      return CTL_USAGE;
  for (int i = 0; i < 2 && status == CTL_DONE; i++)
    status = get_version (ctl, numbers[i], &versions[i]);
  if (status == CTL_DONE)
    status = print_difference (ctl, json_object_object_get (versions[0], "text"),
                               json_object_object_get (versions[1], "text"));
  json_object_put (versions[0]);
  json_object_put (versions[1]);
  return status;
}
