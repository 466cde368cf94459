/**
 * Rows of the table `evidence`: {"vm","rollouts":[{"model","from","to","stage","since","old":
 * [[TEAM,answers,errors,slow,rated,callers,rating_sum,rating_square_sum],…],"new":[…]}]}.
 */
#include "steward_evidence.h"
#include "util_memory.h"
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define COLUMNS     8
#define DIGITS_SIZE 32

typedef struct json_object Json;

static const char *const side_names[EVIDENCE_SIDES]
    = { [EVIDENCE_OLD] = "old", [EVIDENCE_NEW] = "new" };

static void
add_int (Json *array, int64_t n)
{
  json_object_array_add (array, json_object_new_int64 (n));
}

/* Ten digits are enough for sums of ratings, each of which has a few digits. */
static void
add_double (Json *array, double x)
{
  char digits[DIGITS_SIZE];

  snprintf (digits, sizeof digits, "%.10g", x);
  json_object_array_add (array, json_object_new_double_s (x, digits));
}

static Json *
sums_json (const EvidenceSums *sums)
{
  Json *array = json_object_new_array ();

  json_object_array_add (array, json_object_new_string (sums->team));
  add_int (array, sums->answers);
  add_int (array, sums->errors);
  add_int (array, sums->slow);
  add_int (array, sums->rated);
  add_int (array, sums->callers);
  add_double (array, sums->rating_sum);
  add_double (array, sums->rating_square_sum);
  return array;
}

static Json *
side_json (const EvidenceRollout *r, EvidenceSide side)
{
  const EvidenceSums *rest = &r->sums[side][EVIDENCE_TEAMS_MAX];
  Json *array = json_object_new_array ();

  for (size_t i = 0; i < r->counts[side]; i++)
    json_object_array_add (array, sums_json (&r->sums[side][i]));
  if (rest->answers + rest->errors + rest->rated > 0)
    json_object_array_add (array, sums_json (rest));
  return array;
}

static Json *
rollout_json (const EvidenceRollout *r)
{
  Json *obj = json_object_new_object ();

  json_object_object_add (obj, "model", json_object_new_string (r->model));
  json_object_object_add (obj, "from", json_object_new_string (r->from));
  json_object_object_add (obj, "to", json_object_new_string (r->to));
  json_object_object_add (obj, "stage", json_object_new_int64 ((int64_t)r->stage));
  json_object_object_add (obj, "since", json_object_new_int64 (r->since));
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    json_object_object_add (obj, side_names[side], side_json (r, (EvidenceSide)side));
  return obj;
}

char *
steward_evidence_text (const char *vm, const EvidenceRollout *rollouts, size_t count)
{
  Json *obj = json_object_new_object ();
  Json *array = json_object_new_array ();
  char *text;

  for (size_t i = 0; i < count; i++)
    json_object_array_add (array, rollout_json (&rollouts[i]));
  json_object_object_add (obj, "vm", json_object_new_string (vm));
  json_object_object_add (obj, "rollouts", array);
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
  return text;
}

static Json *
member (Json *obj, const char *name, json_type type)
{
  Json *value;

  return json_object_object_get_ex (obj, name, &value) && json_object_is_type (value, type) ? value
                                                                                            : NULL;
}

static bool
read_name (Json *value, char out[CONFIG_NAME_MAX + 1])
{
  const char *name = json_object_get_string (value);

  if (!json_object_is_type (value, json_type_string) || strlen (name) > CONFIG_NAME_MAX)
    return false;
  memcpy (out, name, strlen (name) + 1);
  return true;
}

static bool
read_sums (Json *array, EvidenceSums *out)
{
  if (!json_object_is_type (array, json_type_array) || json_object_array_length (array) != COLUMNS
      || !read_name (json_object_array_get_idx (array, 0), out->team))
    return false;
  out->answers = json_object_get_int64 (json_object_array_get_idx (array, 1));
  out->errors = json_object_get_int64 (json_object_array_get_idx (array, 2));
  out->slow = json_object_get_int64 (json_object_array_get_idx (array, 3));
  out->rated = json_object_get_int64 (json_object_array_get_idx (array, 4));
  out->callers = json_object_get_int64 (json_object_array_get_idx (array, 5));
  out->rating_sum = json_object_get_double (json_object_array_get_idx (array, 6));
  out->rating_square_sum = json_object_get_double (json_object_array_get_idx (array, 7));
  return true;
}

static void
read_side (Json *array, EvidenceSide side, EvidenceRollout *out)
{
  size_t len = array == NULL ? 0 : json_object_array_length (array);
  EvidenceSums sums;

  for (size_t i = 0; i < len; i++)
    {
      if (!read_sums (json_object_array_get_idx (array, i), &sums))
        continue;
      if (sums.team[0] == '\0')
        out->sums[side][EVIDENCE_TEAMS_MAX] = sums;
      else if (out->counts[side] < EVIDENCE_TEAMS_MAX)
        out->sums[side][out->counts[side]++] = sums;
    }
}

static bool
read_rollout (Json *obj, EvidenceRollout *out)
{
  *out = (EvidenceRollout){ 0 };
  if (!json_object_is_type (obj, json_type_object)
      || !read_name (member (obj, "model", json_type_string), out->model)
      || !read_name (member (obj, "from", json_type_string), out->from)
      || !read_name (member (obj, "to", json_type_string), out->to))
    return false;
  out->stage = (size_t)json_object_get_int64 (member (obj, "stage", json_type_int));
  out->since = json_object_get_int64 (member (obj, "since", json_type_int));
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    read_side (member (obj, side_names[side], json_type_array), (EvidenceSide)side, out);
  return true;
}

size_t
steward_evidence_parse (const char *text, EvidenceRollout *out)
{
  Json *obj = json_tokener_parse (text);
  Json *array = member (obj, "rollouts", json_type_array);
  size_t len = array == NULL ? 0 : json_object_array_length (array);
  size_t count = 0;

  for (size_t i = 0; i < len && count < EVIDENCE_ROLLOUTS_MAX; i++)
    count += read_rollout (json_object_array_get_idx (array, i), &out[count]) ? 1 : 0;
  json_object_put (obj);
  return count;
}
