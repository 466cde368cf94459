#include "steward_usage.h"
#include "bill.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_ROWS  500  /* records read by one call */
#define TIMEOUT_MS 5000 /* of one call of the table service */
#define SUMS_MAX   4096 /* teams and their versions; when full, the last element sums the rest */

/** Sums of one team, or of one version used by a team. */
typedef struct
{
  char team[BILL_NAME_MAX];
  char version[BILL_NAME_MAX]; /**< empty: sums of the whole team */
  int64_t requests;
  int64_t prompt_tokens;
  int64_t completion_tokens;
  double cost;
} Sum;

typedef struct
{
  Sum *sums;
  size_t count;
} Sums;

static Sum *
find_sum (Sums *all, const char *team, const char *version)
{
  for (size_t i = 0; i < all->count; i++)
    if (strcmp (all->sums[i].team, team) == 0 && strcmp (all->sums[i].version, version) == 0)
      return &all->sums[i];
  if (all->count == SUMS_MAX)
    return &all->sums[SUMS_MAX - 1];
  all->sums = memory_grow (all->sums, all->count + 1, sizeof *all->sums);
  Sum *sum = &all->sums[all->count++];
  *sum = (Sum){ 0 };
  snprintf (sum->team, sizeof sum->team, "%s", team);
  snprintf (sum->version, sizeof sum->version, "%s", version);
  return sum;
}

static void
add_attempt (Sum *sum, const BillAttempt *attempt)
{
  sum->prompt_tokens += attempt->prompt_tokens;
  sum->completion_tokens += attempt->completion_tokens;
  sum->cost += attempt->cost;
}

static void
add_record (Sums *all, const BillRecord *record)
{
  find_sum (all, record->team, "")->requests++;
  for (size_t i = 0; i < record->attempt_count; i++)
    {
      const BillAttempt *attempt = &record->attempts[i];
      add_attempt (find_sum (all, record->team, ""), attempt);
      Sum *sum = find_sum (all, record->team, attempt->version);
      sum->requests++;
      add_attempt (sum, attempt);
    }
}

static struct json_object *
sum_json (const Sum *sum)
{
  struct json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "requests", json_object_new_int64 (sum->requests));
  json_object_object_add (obj, "prompt_tokens", json_object_new_int64 (sum->prompt_tokens));
  json_object_object_add (obj, "completion_tokens", json_object_new_int64 (sum->completion_tokens));
  json_object_object_add (obj, "cost", json_object_new_double (sum->cost));
  return obj;
}

static struct json_object *
versions_json (const Sums *all, const char *team)
{
  struct json_object *versions = json_object_new_array ();

  for (size_t i = 0; i < all->count; i++)
    {
      if (all->sums[i].version[0] == '\0' || strcmp (all->sums[i].team, team) != 0)
        continue;
      struct json_object *obj = sum_json (&all->sums[i]);
      json_object_object_add (obj, "version", json_object_new_string (all->sums[i].version));
      json_object_array_add (versions, obj);
    }
  return versions;
}

static struct json_object *
all_json (const Sums *all)
{
  struct json_object *answer = json_object_new_object ();
  struct json_object *teams = json_object_new_array ();

  for (size_t i = 0; i < all->count; i++)
    {
      if (all->sums[i].version[0] != '\0')
        continue;
      struct json_object *obj = sum_json (&all->sums[i]);
      json_object_object_add (obj, "team", json_object_new_string (all->sums[i].team));
      json_object_object_add (obj, "versions", versions_json (all, all->sums[i].team));
      json_object_array_add (teams, obj);
    }
  json_object_object_add (answer, "teams", teams);
  return answer;
}

/* Adds one page of records. The next page begins after its last key. */
static StatusCode
add_page (Platform *p, const char *prefix, Buffer *from, Sums *all, size_t *rows_read, Status *st)
{
  PlatformRows rows = { 0 };
  BillRecord record;
  StatusCode code = p->ops->scan (p, "bill", from->data == NULL ? "" : from->data, prefix,
                                  PAGE_ROWS, TIMEOUT_MS, &rows, st);

  *rows_read = 0;
  if (code != STATUS_OK)
    return code;
  for (size_t i = 0; i < rows.count; i++)
    if (bill_parse (rows.rows[i].value, &record))
      add_record (all, &record);
  *rows_read = rows.count;
  if (rows.count > 0)
    code = platform_rows_next (&rows, from, st);
  platform_rows_clear (&rows);
  return code;
}

StatusCode
steward_usage (Platform *p, const char *team, struct json_object **out, Status *st)
{
  char prefix[BILL_NAME_MAX + 1] = "";
  Buffer from = { 0 };
  Sums all = { 0 };
  size_t rows_read = 0;
  StatusCode code;

  if (team != NULL)
    snprintf (prefix, sizeof prefix, "%s/", team);
  do
    code = add_page (p, prefix, &from, &all, &rows_read, st);
  while (code == STATUS_OK && rows_read == PAGE_ROWS);
  if (code == STATUS_OK)
    *out = all_json (&all);
  buffer_free (&from);
  free (all.sums);
  return code;
}
