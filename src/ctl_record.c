/**
 * Commands that report the audit trail, usage and the state of roll-outs.
 */
#include "ctl_submit.h"
#include "ctl_table.h"
#include "util_buffer.h"
#include "util_clock.h"
#include <ne_alloc.h>
#include <ne_uri.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SINCE_SIZE    64 /* bytes */
#define SINCE_DEFAULT "1d"
#define AGO_MAX       100000 /**< in the unit that was given */
#define TIME_DIGITS   13     /**< digits of the time (ms) in an audit entry's key */
#define USAGE_COLUMNS 6

typedef struct json_object Json;

/** Format of a column's values. */
typedef enum
{
  COLUMN_TEXT,
  COLUMN_NUMBER,
  COLUMN_COST,
  COLUMN_SHARE, /**< as a percentage */
  COLUMN_TIME   /**< wall-clock time in ms */
} ColumnKind;

typedef struct
{
  const char *heading;
  const char *member;
  ColumnKind kind;
} Column;

static void
add_value (CtlTable *table, Json *entry, const Column *column)
{
  Json *value = json_object_object_get (entry, column->member);
  char time[32];

  if (value == NULL)
    ctl_table_cell (table, "-");
  else if (column->kind == COLUMN_TIME)
    ctl_table_cell (table, "%s", ctl_time (json_object_get_int64 (value), time));
  else if (column->kind == COLUMN_COST)
    ctl_table_cell (table, "%.3f", json_object_get_double (value));
  else if (column->kind == COLUMN_SHARE)
    ctl_table_cell (table, "%.2f%%", 100 * json_object_get_double (value));
  else
    ctl_table_cell (table, "%s", json_object_get_string (value));
}

static void
print_rows (Json *rows, size_t count, const Column *columns, size_t column_count)
{
  CtlTable table = { .columns = column_count };

  for (size_t i = 0; i < column_count; i++)
    ctl_table_cell (&table, "%s", columns[i].heading);
  for (size_t row = 0; row < count; row++)
    for (size_t i = 0; i < column_count; i++)
      add_value (&table, json_object_array_get_idx (rows, row), &columns[i]);
  ctl_table_print (&table);
}

/** True for an audit entry's key, "TIME-ID", or a prefix of one that includes the complete time. */
static bool
is_audit_key (const char *text)
{
  const char *rest = text + strspn (text, "0123456789");

  return rest - text == TIME_DIGITS && strlen (text) < SINCE_SIZE && (*rest == '\0' || *rest == '-')
         && strspn (rest, "-0123456789abcdef") == strlen (rest);
}

/** Converts the --since option to the key at which the list starts: a key unchanged, or an age such
 * as "2h" as a time. Prints an error and returns false if it is neither. */
static bool
parse_since (const char *since, char out[SINCE_SIZE])
{
  static const char units[] = "smhd";
  static const int64_t unit_ms[] = { 1000, 60000, 3600000, 86400000 };
  char *end;
  long long count = strtoll (since, &end, 10);
  const char *unit = *end == '\0' ? NULL : strchr (units, *end);

  if (count > 0 && count <= AGO_MAX && unit != NULL && end[1] == '\0')
    {
      int64_t at_ms = clock_wall_ms () - count * unit_ms[unit - units];

      snprintf (out, SINCE_SIZE, "%013lld", at_ms > 0 ? (long long)at_ms : 0);
      return true;
    }
  snprintf (out, SINCE_SIZE, "%s", since);
  if (is_audit_key (since))
    return true;
  ctl_error ("expected a time ago such as 30m, 2h or 7d, or the key of an audit entry, found '%s'",
             since);
  return false;
}

/** Prints how to get the following entries if the list reached its limit. */
static void
print_continuation (Json *rows, size_t count, int64_t limit)
{
  if (count > 0 && (int64_t)count >= limit)
    ctl_error ("there may be more: --since %s",
               ctl_text (json_object_array_get_idx (rows, count - 1), "key", "?"));
}

CtlExit
ctl_audit (Ctl *ctl, const CtlArgs *args)
{
  static const Column columns[] = {
    { "AT", "at_ms", COLUMN_TIME },      { "WHO", "who", COLUMN_TEXT },
    { "ACTION", "action", COLUMN_TEXT }, { "FROM", "from", COLUMN_TEXT },
    { "TO", "to", COLUMN_TEXT },         { "DETAIL", "detail", COLUMN_TEXT },
  };
  char path[CTL_PATH_SIZE];
  char from[SINCE_SIZE];
  Json *body;
  Json *rows;
  size_t count;
  CtlExit status;

  if (!parse_since (args->since == NULL ? SINCE_DEFAULT : args->since, from))
    return CTL_USAGE;
  snprintf (path, sizeof path, "/v1/audit?from=%s&limit=%lld", from, (long long)args->limit);
  status = ctl_http_get (ctl, path, &body);
  if (status != CTL_DONE)
    return status;
  rows = ctl_array (body, "entries", &count);
  if (ctl->json)
    ctl_print_json (body);
  else
    print_rows (rows, count, columns, sizeof columns / sizeof columns[0]);
  print_continuation (rows, count, args->limit);
  json_object_put (body);
  return CTL_DONE;
}

/** Adds a line of the usage table; its headings if sums is NULL. */
static void
add_usage (CtlTable *table, const char *team, const char *version, Json *sums)
{
  static const Column columns[] = {
    { "REQUESTS", "requests", COLUMN_NUMBER },
    { "PROMPT TOKENS", "prompt_tokens", COLUMN_NUMBER },
    { "COMPLETION TOKENS", "completion_tokens", COLUMN_NUMBER },
    { "COST", "cost", COLUMN_COST },
  };

  ctl_table_cell (table, "%s", team);
  ctl_table_cell (table, "%s", version);
  for (size_t i = 0; i < sizeof columns / sizeof columns[0]; i++)
    if (sums == NULL)
      ctl_table_cell (table, "%s", columns[i].heading);
    else
      add_value (table, sums, &columns[i]);
}

/** Prints a line for each version that a team used and one for the total ("all"). A cascade's
 * request counts once for each version that ran it, but once in the total. */
static void
print_usage (Json *body)
{
  CtlTable table = { .columns = USAGE_COLUMNS };
  size_t team_count;
  Json *teams = ctl_array (body, "teams", &team_count);

  add_usage (&table, "TEAM", "VERSION OR SERVICE", NULL);
  for (size_t i = 0; i < team_count; i++)
    {
      Json *team = json_object_array_get_idx (teams, i);
      const char *name = ctl_text (team, "team", "-");
      size_t count;
      Json *versions = ctl_array (team, "versions", &count);

      for (size_t k = 0; k < count; k++)
        {
          Json *version = json_object_array_get_idx (versions, k);

          add_usage (&table, name, ctl_text (version, "version", "-"), version);
        }
      add_usage (&table, name, "all", team);
    }
  ctl_table_print (&table);
}

/** Path of the usage of one team; NULL: of all. */
static void
usage_path (Buffer *out, const char *team)
{
  char *escaped;

  buffer_add_string (out, "/v1/usage");
  if (team == NULL)
    return;
  escaped = ne_path_escape (team);
  buffer_printf (out, "?team=%s", escaped);
  ne_free (escaped);
}

CtlExit
ctl_usage (Ctl *ctl, const CtlArgs *args)
{
  Buffer path = { 0 };
  Json *body;
  CtlExit status;

  usage_path (&path, args->team);
  status = ctl_http_get (ctl, path.data, &body);
  buffer_free (&path);
  if (status != CTL_DONE)
    return status;
  if (ctl->json)
    ctl_print_json (body);
  else
    print_usage (body);
  json_object_put (body);
  return CTL_DONE;
}

CtlExit
ctl_rollout_status (Ctl *ctl, const CtlArgs *args)
{
  static const Column columns[] = {
    { "MODEL", "model", COLUMN_TEXT },   { "FROM", "from", COLUMN_TEXT },
    { "TO", "to", COLUMN_TEXT },         { "STATE", "state", COLUMN_TEXT },
    { "STAGE", "stage", COLUMN_NUMBER }, { "CALLERS", "share", COLUMN_SHARE },
  };
  Json *body;
  Json *rows;
  size_t count;
  CtlExit status = ctl_http_get (ctl, "/v1/rollouts", &body);

  (void)args;
  if (status != CTL_DONE)
    return status;
  rows = ctl_array (body, "rollouts", &count);
  if (ctl->json)
    ctl_print_json (body);
  else
    print_rows (rows, count, columns, sizeof columns / sizeof columns[0]);
  json_object_put (body);
  return CTL_DONE;
}
