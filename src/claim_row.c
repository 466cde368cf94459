#include "claim_row.h"
#include "util_field.h"
#include "util_memory.h"
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HASH_LEN 16 /* bytes of the hash of an idempotency key */
#define TEAM_MAX     63 /* bytes of a team's name in a row key */

static const char *const state_names[] = {
  [CLAIM_STARTED] = "started",
  [CLAIM_SETTLED] = "settled",
  [CLAIM_RELEASED] = "released",
};
#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

typedef struct
{
  char *state, *nonce, *body, *content_type, *answer;
  int64_t at_ms, http_status;
} RowFields;

static const FieldSpec row_specs[] = {
  { .name = "state",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (RowFields, state) },
  { .name = "nonce",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (RowFields, nonce),
    .min = 1,
    .max = ID_SIZE - 1 },
  { .name = "body",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (RowFields, body),
    .min = 16,
    .max = 16 },
  { .name = "at_ms", .type = FIELD_INT, .required = true, .offset = offsetof (RowFields, at_ms) },
  { .name = "http_status", .type = FIELD_INT, .offset = offsetof (RowFields, http_status) },
  { .name = "content_type",
    .type = FIELD_STRING,
    .offset = offsetof (RowFields, content_type),
    .min = 0,
    .max = 63 },
  { .name = "answer", .type = FIELD_STRING, .offset = offsetof (RowFields, answer) },
};

void
claim_row_key (const char *team, const char *idempotency_key, char out[CLAIM_KEY_MAX])
{
  uint8_t hash[KEY_HASH_LEN];
  char hex[2 * KEY_HASH_LEN + 1];

  crypto_generichash (hash, sizeof hash, (const uint8_t *)idempotency_key, strlen (idempotency_key),
                      NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  snprintf (out, CLAIM_KEY_MAX, "%.*s/%s", TEAM_MAX, team, hex);
}

static struct json_object *
row_json (const Claim *claim, ClaimState state)
{
  struct json_object *obj = json_object_new_object ();
  char body[17];

  snprintf (body, sizeof body, "%016" PRIx64, claim->body_hash);
  json_object_object_add (obj, "state", json_object_new_string (state_names[state]));
  json_object_object_add (obj, "nonce", json_object_new_string (claim->nonce));
  json_object_object_add (obj, "body", json_object_new_string (body));
  json_object_object_add (obj, "at_ms", json_object_new_int64 (claim->at_ms));
  return obj;
}

static char *
row_to_text (struct json_object *obj)
{
  char *text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));

  json_object_put (obj);
  return text;
}

char *
claim_row_text (const Claim *claim, ClaimState state)
{
  return row_to_text (row_json (claim, state));
}

/* The answer is stored in base64, since it may contain bytes that JSON strings can't. */
static void
add_answer (struct json_object *obj, const char *answer, size_t len)
{
  size_t size = sodium_base64_ENCODED_LEN (len, sodium_base64_VARIANT_ORIGINAL);
  char *encoded = memory_alloc (size);

  sodium_bin2base64 (encoded, size, (const uint8_t *)answer, len, sodium_base64_VARIANT_ORIGINAL);
  json_object_object_add (obj, "answer", json_object_new_string (encoded));
  free (encoded);
}

char *
claim_settlement_text (const ClaimSettlement *settlement)
{
  struct json_object *obj = row_json (settlement->claim, CLAIM_SETTLED);
  char type[64];

  snprintf (type, sizeof type, "%s",
            settlement->content_type != NULL ? settlement->content_type : "");
  json_object_object_add (obj, "http_status", json_object_new_int (settlement->http_status));
  json_object_object_add (obj, "content_type", json_object_new_string (type));
  if (settlement->answer != NULL && settlement->answer_len <= CLAIM_ANSWER_MAX)
    add_answer (obj, settlement->answer, settlement->answer_len);
  return row_to_text (obj);
}

static bool
state_of_name (const char *name, ClaimState *out)
{
  for (size_t i = 0; i < STATE_COUNT; i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *out = (ClaimState)i;
        return true;
      }
  return false;
}

static bool
answer_decode (const char *encoded, Buffer *out)
{
  size_t size = strlen (encoded) + 1;
  uint8_t *data = memory_alloc (size);
  size_t len = 0;
  bool ok = sodium_base642bin (data, size, encoded, size - 1, NULL, &len, NULL,
                               sodium_base64_VARIANT_ORIGINAL)
            == 0;

  if (ok && len > 0)
    buffer_add (out, data, len);
  free (data);
  return ok;
}

static bool
row_read (struct json_object *obj, ClaimRow *out, CheckList *list)
{
  RowFields fields = { 0 };
  bool ok = field_read (row_specs, sizeof row_specs / sizeof row_specs[0], obj, &fields, "", list);

  ok = ok && state_of_name (fields.state, &out->state);
  if (ok)
    {
      snprintf (out->nonce, sizeof out->nonce, "%s", fields.nonce);
      out->body_hash = strtoull (fields.body, NULL, 16);
      out->http_status = (int)fields.http_status;
      if (fields.content_type != NULL)
        snprintf (out->content_type, sizeof out->content_type, "%s", fields.content_type);
    }
  if (ok && fields.answer != NULL)
    ok = answer_decode (fields.answer, &out->answer);
  free (fields.state);
  free (fields.nonce);
  free (fields.body);
  free (fields.content_type);
  free (fields.answer);
  return ok;
}

bool
claim_row_parse (const char *text, ClaimRow *out)
{
  CheckList list = { .file = NULL };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);
  bool ok;

  memset (out, 0, sizeof *out);
  ok = obj != NULL && row_read (obj, out, &list);
  json_object_put (obj);
  check_free (&list);
  return ok;
}

void
claim_row_clear (ClaimRow *row)
{
  buffer_free (&row->answer);
}
