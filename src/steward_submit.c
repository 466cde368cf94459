#include "steward_submit.h"
#include "config.h"
#include "steward_audit.h"
#include "steward_head.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS     1000 /* of one call of the table service */
#define RETRY_DELAY_MS 50
#define NUMBER_SIZE    24
/* Operations of one submission, including its optional condition. */
#define SUBMIT_OPS_MAX 7

/** One attempt of a submission. */
typedef struct
{
  Platform *p;
  const StewardSubmission *submission;
  StewardHead head; /**< head row as read before the transaction */
  int64_t number;
  char key[STEWARD_KEY_SIZE];
  char nonce[ID_SIZE];
  char *text; /**< text of the new document */
  char *version_text;
  char *head_text;
  StewardAuditRow audit;
} Attempt;

void
steward_submit_clear (StewardSubmitResult *result)
{
  free (result->text);
  check_free (&result->errors);
  *result = (StewardSubmitResult){ 0 };
}

/* The document that the change is made against; NULL after an error; freed by the caller. */
static char *
base_text (Attempt *a, StewardSubmitResult *out)
{
  const StewardSubmission *submission = a->submission;
  PlatformRow row = { 0 };
  char key[STEWARD_KEY_SIZE];
  char *text;

  if (submission->known_number == submission->base && submission->known_text != NULL)
    return memory_strdup (submission->known_text);
  steward_number_key (submission->base, key);
  if (a->p->ops->get (a->p, "config_text", key, TIMEOUT_MS, &row, &out->st) != STATUS_OK)
    {
      out->outcome = STEWARD_SUBMIT_UNAVAILABLE;
      return NULL;
    }
  if (row.version == 0)
    {
      out->outcome = STEWARD_SUBMIT_UNAVAILABLE;
      status_set (&out->st, STATUS_NOT_FOUND, "submit.base", NULL, "document %lld is missing",
                  (long long)submission->base);
    }
  text = memory_strdup (row.value);
  platform_row_clear (&row);
  return text;
}

/* Makes the new document and checks it as a whole, so that all errors are reported and nothing is
   partly applied. */
static bool
make_document (Attempt *a, StewardSubmitResult *out)
{
  const StewardSubmission *submission = a->submission;
  Config *config = NULL;
  char *base;

  out->errors.file = submission->base == 0 ? "document" : "patched document";
  if (submission->base == 0)
    a->text = config_canonical (submission->change, strlen (submission->change), &out->errors);
  else
    {
      base = base_text (a, out);
      if (base == NULL)
        return false;
      a->text = config_patch_apply (base, submission->change, &out->errors);
      free (base);
    }
  if (a->text != NULL)
    config = config_parse (a->text, strlen (a->text), a->number, &out->errors);
  config_unref (config);
  if (config == NULL)
    out->outcome = STEWARD_SUBMIT_INVALID;
  return config != NULL;
}

static char *
version_text (const Attempt *a)
{
  struct json_object *obj = json_object_new_object ();
  const StewardSubmission *submission = a->submission;
  char hash[CONFIG_KEY_HASH_LEN + 1];
  char *text;

  config_key_hash (a->text, hash);
  json_object_object_add (obj, "number", json_object_new_int64 (a->number));
  json_object_object_add (obj, "base", json_object_new_int64 (submission->base));
  json_object_object_add (obj, "patch",
                          submission->base == 0 ? NULL : json_tokener_parse (submission->change));
  json_object_object_add (obj, "operator", json_object_new_string (submission->operator_name));
  json_object_object_add (obj, "reason", json_object_new_string (submission->reason));
  json_object_object_add (obj, "at_ms", json_object_new_int64 (clock_wall_ms ()));
  json_object_object_add (obj, "text_hash", json_object_new_string (hash));
  json_object_object_add (obj, "nonce", json_object_new_string (a->nonce));
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
  return text;
}

static void
make_rows (Attempt *a)
{
  char from[NUMBER_SIZE], to[NUMBER_SIZE];
  StewardAuditEntry entry = { .who = a->submission->operator_name,
                              .action = a->submission->base == 0 ? "create" : "patch",
                              .from = from,
                              .to = to,
                              .detail = a->submission->reason };

  id_random (a->nonce);
  a->version_text = version_text (a);
  a->head_text = steward_head_text (a->number, a->head.accepted);
  snprintf (from, sizeof from, "%lld", (long long)a->submission->base);
  snprintf (to, sizeof to, "%lld", (long long)a->number);
  steward_audit_row (&entry, &a->audit);
}

static StatusCode
write_rows (Attempt *a, Status *st)
{
  TxnOp ops[SUBMIT_OPS_MAX] = {
    { .kind = TXN_CHECK, .table = "config_head", .key = "head", .version = a->head.version },
    { .kind = TXN_CHECK, .table = "config_version", .key = a->key, .version = 0 },
    { .kind = TXN_PUT, .table = "config_version", .key = a->key, .value = a->version_text },
    { .kind = TXN_PUT, .table = "config_text", .key = a->key, .value = a->text },
    { .kind = TXN_PUT, .table = "config_head", .key = "head", .value = a->head_text },
    steward_audit_op (&a->audit),
  };
  size_t count = SUBMIT_OPS_MAX - 1;
  StatusCode code;

  if (a->submission->condition != NULL)
    ops[count++] = *a->submission->condition;
  code = a->p->ops->txn (a->p, ops, count, TIMEOUT_MS, st);
  txn_ops_clear (ops, count);
  return code;
}

static bool
has_nonce (const char *text, const char *nonce)
{
  struct json_object *obj = json_tokener_parse (text);
  struct json_object *value;
  bool same = json_object_is_type (obj, json_type_object)
              && json_object_object_get_ex (obj, "nonce", &value)
              && strcmp (json_object_get_string (value), nonce) == 0;

  json_object_put (obj);
  return same;
}

typedef enum
{
  FOUND_NOTHING,
  FOUND_OURS,
  FOUND_OTHER,
  FOUND_ERROR
} Found;

static Found
read_back (Attempt *a)
{
  PlatformRow row = { 0 };
  Found found = FOUND_NOTHING;

  if (a->p->ops->get (a->p, "config_version", a->key, TIMEOUT_MS, &row, NULL) != STATUS_OK)
    return FOUND_ERROR;
  if (row.version != 0)
    found = has_nonce (row.value, a->nonce) ? FOUND_OURS : FOUND_OTHER;
  platform_row_clear (&row);
  return found;
}

/*
 * Writes until the outcome is known. If a reply is lost, the transaction may have taken effect, may
 * still do so, or never will. Of two identical writes at most one takes effect, since each is
 * conditional on the head row's version; so the change is written again until its row, or
 * another's, exists. STATUS_CONFLICT after an unknown outcome may be due to the success of an
 * earlier write: the row's nonce shows whether it was.
 */
static StewardSubmitOutcome
commit (Attempt *a, StewardSubmitResult *out)
{
  int64_t end = clock_boot_ms () + STEWARD_SUBMIT_TIMEOUT_MS;
  bool outcome_unknown = false;

  do
    {
      StatusCode code = write_rows (a, &out->st);
      if (code == STATUS_OK)
        return STEWARD_SUBMIT_DURABLE;
      if (code != STATUS_CONFLICT && code != STATUS_UNKNOWN)
        return outcome_unknown ? STEWARD_SUBMIT_UNKNOWN : STEWARD_SUBMIT_UNAVAILABLE;
      outcome_unknown |= code == STATUS_UNKNOWN;
      Found found = outcome_unknown ? read_back (a) : FOUND_OTHER;
      if (found == FOUND_OURS)
        return STEWARD_SUBMIT_DURABLE;
      if (found == FOUND_OTHER)
        return STEWARD_SUBMIT_CONFLICT;
      /* An acceptance has raised the head row's version without a new number, so this write can no
         longer succeed. */
      if (found == FOUND_NOTHING && code == STATUS_CONFLICT)
        return STEWARD_SUBMIT_CONFLICT;
      clock_sleep_ms (RETRY_DELAY_MS);
    }
  while (clock_boot_ms () < end);
  return STEWARD_SUBMIT_UNKNOWN;
}

static void
read_newest_number (Attempt *a, StewardSubmitResult *out)
{
  StewardHead head;

  out->head = a->head.number;
  if (steward_head_read (a->p, TIMEOUT_MS, &head, NULL) == STATUS_OK)
    out->head = head.number;
}

static void
attempt_clear (Attempt *a)
{
  free (a->text);
  free (a->version_text);
  free (a->head_text);
  steward_audit_row_clear (&a->audit);
  a->text = a->version_text = a->head_text = NULL;
}

/* True if the attempt is to be repeated: the head row's version changed, but not its number. */
static bool
attempt_once (Platform *p, const StewardSubmission *submission, StewardSubmitResult *out)
{
  Attempt a = { .p = p, .submission = submission, .number = submission->base + 1 };
  bool again = false;

  out->outcome = STEWARD_SUBMIT_UNAVAILABLE;
  if (steward_head_read (p, TIMEOUT_MS, &a.head, &out->st) != STATUS_OK)
    return false;
  out->head = a.head.number;
  if (a.head.number != submission->base)
    {
      out->outcome = STEWARD_SUBMIT_CONFLICT;
      return false;
    }
  steward_number_key (a.number, a.key);
  if (make_document (&a, out))
    {
      make_rows (&a);
      out->outcome = commit (&a, out);
      if (out->outcome == STEWARD_SUBMIT_CONFLICT)
        {
          read_newest_number (&a, out);
          /* A condition that failed can't hold later. */
          again = out->head == submission->base && submission->condition == NULL;
        }
      if (out->outcome == STEWARD_SUBMIT_DURABLE)
        {
          out->number = a.number;
          out->text = a.text;
          a.text = NULL;
        }
    }
  attempt_clear (&a);
  return again;
}

void
steward_submit (Platform *p, const StewardSubmission *submission, StewardSubmitResult *out)
{
  int64_t end = clock_boot_ms () + STEWARD_SUBMIT_TIMEOUT_MS;

  *out = (StewardSubmitResult){ 0 };
  /* An acceptance between the read and the write changes the head row without a new number. */
  while (attempt_once (p, submission, out) && clock_boot_ms () < end)
    clock_sleep_ms (1);
  if (out->outcome == STEWARD_SUBMIT_DURABLE)
    counter_add (COUNTER_STEWARD_PATCHES, 1);
  if (out->outcome == STEWARD_SUBMIT_CONFLICT)
    counter_add (COUNTER_STEWARD_PATCH_CONFLICTS, 1);
}
