#include "claim.h"
#include "claim_row.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define STEP "claim.take"

/* Limits on finding out whether a write with a lost reply took effect. */
#define TRIES_MAX          4
#define RESOLVE_TIMEOUT_MS 2000
#define CALL_TIMEOUT_MS    500 /* of one read or take-over */

static const CounterId result_counters[] = {
  [CLAIM_TAKEN] = COUNTER_CLAIM_TAKEN,
  [CLAIM_ANSWERED] = COUNTER_CLAIM_REPEATED,
  [CLAIM_IN_PROGRESS] = COUNTER_CLAIM_REPEATED,
  [CLAIM_MISMATCH] = COUNTER_CLAIM_REPEATED,
  [CLAIM_UNAVAILABLE] = COUNTER_CLAIM_UNAVAILABLE,
};

/* Result of one insert or read of the row. */
typedef enum
{
  TRY_DONE,  /* out->result is set */
  TRY_AGAIN, /* the row has to be read again, e.g. after a lost reply */
} TryResult;

static TryResult
set_result (ClaimOutcome *out, ClaimResult result)
{
  out->result = result;
  return TRY_DONE;
}

static TryResult
return_stored_answer (ClaimOutcome *out, ClaimRow *row)
{
  out->http_status = row->http_status;
  memcpy (out->content_type, row->content_type, sizeof out->content_type);
  out->answer = row->answer;
  row->answer = (Buffer){ .data = NULL };
  return set_result (out, CLAIM_ANSWERED);
}

/* Takes over a row that an earlier attempt released. The check of the row's version lets only one
 * attempt succeed, and keeps a delayed write from overwriting a later state. */
static TryResult
take_over (Platform *platform, int64_t version, const char *text, ClaimOutcome *out, Status *st)
{
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = CLAIM_TABLE, .key = out->claim.key, .version = version },
    { .kind = TXN_PUT, .table = CLAIM_TABLE, .key = out->claim.key, .value = text },
  };
  StatusCode code = platform->ops->txn (platform, ops, 2, CALL_TIMEOUT_MS, st);

  txn_ops_clear (ops, 2);
  if (code == STATUS_OK)
    return set_result (out, CLAIM_TAKEN);
  /* After a lost reply the row may be ours. After a conflict it is another attempt's, or ours from
   * an earlier try whose reply was lost. The row has to be read. */
  if (code == STATUS_UNKNOWN)
    out->outcome_unknown = true;
  return TRY_AGAIN;
}

/* Decides by the row found. version is 0 if it is not known, as after an insert; a take-over needs
 * it. */
static TryResult
evaluate_row (Platform *platform,
              const char *value,
              int64_t version,
              const char *text,
              ClaimOutcome *out,
              Status *st)
{
  ClaimRow row;
  TryResult result;

  if (!claim_row_parse (value, &row))
    {
      claim_row_clear (&row);
      status_set (st, STATUS_INTERNAL, STEP, NULL, "the claim's row can't be read");
      return set_result (out, CLAIM_IN_PROGRESS);
    }
  if (row.state == CLAIM_STARTED && strcmp (row.nonce, out->claim.nonce) == 0)
    result = set_result (out, CLAIM_TAKEN);
  else if (row.state == CLAIM_RELEASED && version > 0)
    result = take_over (platform, version, text, out, st);
  else if (row.state == CLAIM_RELEASED)
    result = TRY_AGAIN;
  else if (row.body_hash != out->claim.body_hash)
    result = set_result (out, CLAIM_MISMATCH);
  else if (row.state == CLAIM_SETTLED)
    result = return_stored_answer (out, &row);
  else
    result = set_result (out, CLAIM_IN_PROGRESS);
  claim_row_clear (&row);
  return result;
}

/* Inserts the row if it is absent. Repeating it after a lost reply is safe: the nonce in the row
 * shows whose it is, and once a repeated insert has succeeded the delayed first one finds the row
 * and changes nothing. */
static TryResult
try_insert (PlatformGroup *group,
            Platform *platform,
            const char *text,
            ClaimOutcome *out,
            Status *st)
{
  TxnOp op = {
    .kind = TXN_INSERT,
    .table = CLAIM_TABLE,
    .key = out->claim.key,
    .value = text,
  };
  StatusCode code = platform_group_submit (group, &op, 1, st);
  TryResult result = TRY_AGAIN;

  if (code == STATUS_OK && op.inserted)
    result = set_result (out, CLAIM_TAKEN);
  else if (code == STATUS_OK && op.existing != NULL)
    result = evaluate_row (platform, op.existing, 0, text, out, st);
  else if (code == STATUS_UNKNOWN)
    out->outcome_unknown = true;
  else if (!out->outcome_unknown)
    result = set_result (out, CLAIM_UNAVAILABLE);
  txn_ops_clear (&op, 1);
  return result;
}

/* Reads the row with its version. */
static TryResult
try_read (Platform *platform, const char *text, ClaimOutcome *out, Status *st)
{
  PlatformRow row = { .key = NULL };
  TryResult result = TRY_AGAIN;

  if (platform->ops->get (platform, CLAIM_TABLE, out->claim.key, CALL_TIMEOUT_MS, &row, st)
          == STATUS_OK
      && row.version > 0)
    result = evaluate_row (platform, row.value, row.version, text, out, st);
  platform_row_clear (&row);
  return result;
}

void
claim_take (PlatformGroup *group,
            Platform *platform,
            const char *team,
            const char *idempotency_key,
            uint64_t body_hash,
            ClaimOutcome *out,
            Status *st)
{
  Status local = { .code = STATUS_OK };
  TryResult result = TRY_AGAIN;
  int64_t end = clock_boot_ms () + RESOLVE_TIMEOUT_MS;
  char *text;

  if (st == NULL)
    st = &local;
  *out = (ClaimOutcome){
    .claim = { .body_hash = body_hash, .at_ms = clock_wall_ms () },
  };
  claim_row_key (team, idempotency_key, out->claim.key);
  id_random (out->claim.nonce);
  text = claim_row_text (&out->claim, CLAIM_STARTED);
  for (int i = 0; i < TRIES_MAX && result == TRY_AGAIN; i++)
    {
      if (i > 0 && clock_boot_ms () >= end)
        break;
      result = try_insert (group, platform, text, out, st);
      if (result == TRY_AGAIN)
        result = try_read (platform, text, out, st);
    }
  if (result == TRY_AGAIN)
    out->result = CLAIM_UNAVAILABLE;
  if (out->result != CLAIM_UNAVAILABLE)
    out->outcome_unknown = false;
  counter_add (result_counters[out->result], 1);
  free (text);
}

void
claim_outcome_clear (ClaimOutcome *outcome)
{
  buffer_free (&outcome->answer);
}
