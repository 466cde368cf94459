#include "bill.h"
#include "util_field.h"
#include "util_memory.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HASH_LEN 16

static const char *const outcome_names[] = {
  [BILL_ANSWERED] = "answered",
  [BILL_CANCELLED] = "cancelled",
  [BILL_CUT] = "cut",
  [BILL_UNKNOWN] = "unknown",
};
#define OUTCOME_COUNT (sizeof outcome_names / sizeof outcome_names[0])

/* Fields of the JSON object, before they are copied into the record. */
typedef struct
{
  char *key, *request, *team, *asked, *outcome;
  int64_t config, at_ms;
  struct json_object *attempts;
} RecordFields;

typedef struct
{
  char *version, *server;
  int64_t prompt_tokens, completion_tokens;
  double cost;
} AttemptFields;

#define TEXT(fields, member, size)                                                                 \
  {                                                                                                \
    .name = #member, .type = FIELD_STRING, .required = true, .offset = offsetof (fields, member),  \
    .min = 0, .max = (size)-1                                                                      \
  }
#define COUNT(fields, member)                                                                      \
  {                                                                                                \
    .name = #member, .type = FIELD_INT, .required = true, .offset = offsetof (fields, member),     \
    .min = 0, .max = 9e15                                                                          \
  }

static const FieldSpec record_specs[] = {
  TEXT (RecordFields, key, BILL_KEY_MAX),
  TEXT (RecordFields, request, ID_SIZE),
  TEXT (RecordFields, team, BILL_NAME_MAX),
  TEXT (RecordFields, asked, BILL_NAME_MAX),
  TEXT (RecordFields, outcome, BILL_NAME_MAX),
  COUNT (RecordFields, config),
  COUNT (RecordFields, at_ms),
  { .name = "attempts",
    .type = FIELD_ARRAY,
    .required = true,
    .offset = offsetof (RecordFields, attempts) },
};

static const FieldSpec attempt_specs[] = {
  TEXT (AttemptFields, version, BILL_NAME_MAX),
  TEXT (AttemptFields, server, BILL_NAME_MAX),
  COUNT (AttemptFields, prompt_tokens),
  COUNT (AttemptFields, completion_tokens),
  { .name = "cost",
    .type = FIELD_NUMBER,
    .required = true,
    .offset = offsetof (AttemptFields, cost),
    .min = 0,
    .max = 1e15 },
};

void
bill_key (const char *team,
          const char *idempotency_key,
          const char *request,
          char out[BILL_KEY_MAX])
{
  uint8_t hash[KEY_HASH_LEN];
  char hex[2 * KEY_HASH_LEN + 1];

  if (idempotency_key == NULL)
    {
      snprintf (out, BILL_KEY_MAX, "%.*s/r-%s", BILL_NAME_MAX - 1, team, request);
      return;
    }
  /* The caller's key has any length and may be confidential: only its hash is stored. */
  crypto_generichash (hash, sizeof hash, (const uint8_t *)idempotency_key, strlen (idempotency_key),
                      NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  snprintf (out, BILL_KEY_MAX, "%.*s/k-%s", BILL_NAME_MAX - 1, team, hex);
}

const char *
bill_outcome_name (BillOutcome outcome)
{
  return outcome_names[outcome];
}

static bool
outcome_of_name (const char *name, BillOutcome *out)
{
  for (size_t i = 0; i < OUTCOME_COUNT; i++)
    if (strcmp (name, outcome_names[i]) == 0)
      {
        *out = (BillOutcome)i;
        return true;
      }
  return false;
}

static struct json_object *
attempt_json (const BillAttempt *attempt)
{
  struct json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "version", json_object_new_string (attempt->version));
  json_object_object_add (obj, "server", json_object_new_string (attempt->server));
  json_object_object_add (obj, "prompt_tokens", json_object_new_int64 (attempt->prompt_tokens));
  json_object_object_add (obj, "completion_tokens",
                          json_object_new_int64 (attempt->completion_tokens));
  json_object_object_add (obj, "cost", json_object_new_double (attempt->cost));
  return obj;
}

char *
bill_text (const BillRecord *record)
{
  struct json_object *obj = json_object_new_object ();
  struct json_object *attempts = json_object_new_array ();
  char *text;

  json_object_object_add (obj, "key", json_object_new_string (record->key));
  json_object_object_add (obj, "request", json_object_new_string (record->request));
  json_object_object_add (obj, "team", json_object_new_string (record->team));
  json_object_object_add (obj, "asked", json_object_new_string (record->asked));
  json_object_object_add (obj, "outcome",
                          json_object_new_string (bill_outcome_name (record->outcome)));
  json_object_object_add (obj, "config", json_object_new_int64 (record->config));
  json_object_object_add (obj, "at_ms", json_object_new_int64 (record->at_ms));
  for (size_t i = 0; i < record->attempt_count; i++)
    json_object_array_add (attempts, attempt_json (&record->attempts[i]));
  json_object_object_add (obj, "attempts", attempts);
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
  return text;
}

static bool
attempt_read (struct json_object *obj, BillAttempt *out, CheckList *list)
{
  AttemptFields fields = { 0 };
  bool ok = field_read (attempt_specs, sizeof attempt_specs / sizeof attempt_specs[0], obj, &fields,
                        "attempts", list);

  if (ok)
    {
      snprintf (out->version, sizeof out->version, "%s", fields.version);
      snprintf (out->server, sizeof out->server, "%s", fields.server);
      out->prompt_tokens = fields.prompt_tokens;
      out->completion_tokens = fields.completion_tokens;
      out->cost = fields.cost;
    }
  free (fields.version);
  free (fields.server);
  return ok;
}

static bool
attempts_read (struct json_object *array, BillRecord *out, CheckList *list)
{
  size_t count = json_object_array_length (array);

  if (count > BILL_ATTEMPTS_MAX)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!attempt_read (json_object_array_get_idx (array, i), &out->attempts[i], list))
      return false;
  out->attempt_count = count;
  return true;
}

static bool
record_read (struct json_object *obj, BillRecord *out, CheckList *list)
{
  RecordFields fields = { 0 };
  bool ok = field_read (record_specs, sizeof record_specs / sizeof record_specs[0], obj, &fields,
                        "", list);

  memset (out, 0, sizeof *out);
  ok = ok && outcome_of_name (fields.outcome, &out->outcome);
  ok = ok && attempts_read (fields.attempts, out, list);
  if (ok)
    {
      snprintf (out->key, sizeof out->key, "%s", fields.key);
      snprintf (out->request, sizeof out->request, "%s", fields.request);
      snprintf (out->team, sizeof out->team, "%s", fields.team);
      snprintf (out->asked, sizeof out->asked, "%s", fields.asked);
      out->config = fields.config;
      out->at_ms = fields.at_ms;
    }
  free (fields.key);
  free (fields.request);
  free (fields.team);
  free (fields.asked);
  free (fields.outcome);
  return ok;
}

bool
bill_parse (const char *text, BillRecord *out)
{
  CheckList list = { .file = NULL };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);
  bool ok = obj != NULL && record_read (obj, out, &list);

  json_object_put (obj);
  check_free (&list);
  return ok;
}
