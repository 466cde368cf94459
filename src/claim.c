#include "claim.h"
#include "claim_row.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define STEP "claim.take"

/* Bounds of the attempts to learn what became of an insert whose reply was lost. */
#define TRIES_MAX       4
#define SETTLE_MS       2000
#define READ_TIMEOUT_MS 500

static const CounterId result_counters[] = {
  [CLAIM_TAKEN] = COUNTER_CLAIM_TAKEN,
  [CLAIM_ANSWERED] = COUNTER_CLAIM_REPEATED,
  [CLAIM_IN_PROGRESS] = COUNTER_CLAIM_REPEATED,
  [CLAIM_MISMATCH] = COUNTER_CLAIM_REPEATED,
  [CLAIM_UNAVAILABLE] = COUNTER_CLAIM_UNAVAILABLE,
};

/* What one look at the row, or one write to it, has shown. */
typedef enum
{
  LOOK_DONE,  /* out->result is set */
  LOOK_AGAIN, /* the reply was lost: the row has to be looked at again */
} Look;

static Look
finish (ClaimOutcome *out, ClaimResult result)
{
  out->result = result;
  return LOOK_DONE;
}

static Look
give_answer (ClaimOutcome *out, ClaimRow *row)
{
  out->http_status = row->http_status;
  memcpy (out->content_type, row->content_type, sizeof out->content_type);
  out->answer = row->answer;
  row->answer = (Buffer){ .data = NULL };
  return finish (out, CLAIM_ANSWERED);
}

/* Takes over a row whose earlier attempt was released. The check on its version keeps this to one
 * attempt, and a late arrival of the write can't touch what came after it. */
static Look
take_over (Platform *platform, int64_t version, const char *text, ClaimOutcome *out, Status *st)
{
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = CLAIM_TABLE, .key = out->claim.key, .version = version },
    { .kind = TXN_PUT, .table = CLAIM_TABLE, .key = out->claim.key, .value = text },
  };
  StatusCode code = platform->ops->txn (platform, ops, 2, READ_TIMEOUT_MS, st);

  txn_ops_clear (ops, 2);
  if (code == STATUS_OK)
    return finish (out, CLAIM_TAKEN);
  /* After a lost reply the row may be ours; after a conflict it is another attempt's, or ours by
   * an earlier try whose reply was lost. Only the row tells. */
  if (code == STATUS_UNKNOWN)
    out->outcome_unknown = true;
  return LOOK_AGAIN;
}

static Look
look_at (Platform *platform,
         const char *value,
         int64_t version,
         const char *text,
         ClaimOutcome *out,
         Status *st)
{
  ClaimRow row;
  Look look;

  if (!claim_row_parse (value, &row))
    {
      claim_row_clear (&row);
      status_set (st, STATUS_INTERNAL, STEP, NULL, "the claim's row can't be read");
      return finish (out, CLAIM_IN_PROGRESS);
    }
  if (row.state == CLAIM_STARTED && strcmp (row.nonce, out->claim.nonce) == 0)
    look = finish (out, CLAIM_TAKEN);
  else if (row.state == CLAIM_RELEASED && version > 0)
    look = take_over (platform, version, text, out, st);
  else if (row.state == CLAIM_RELEASED)
    look = LOOK_AGAIN;
  else if (row.body_hash != out->claim.body_hash)
    look = finish (out, CLAIM_MISMATCH);
  else if (row.state == CLAIM_SETTLED)
    look = give_answer (out, &row);
  else
    look = finish (out, CLAIM_IN_PROGRESS);
  claim_row_clear (&row);
  return look;
}

/* Inserts the row if it is absent. Sent again after a lost reply it is harmless, since the row's
 * nonce tells whose it is, and it also settles the reply: if the first one is still on its way, it
 * will find the row existing and change nothing. */
static Look
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
  Look look = LOOK_AGAIN;

  if (code == STATUS_OK && op.inserted)
    look = finish (out, CLAIM_TAKEN);
  else if (code == STATUS_OK && op.existing != NULL)
    look = look_at (platform, op.existing, 0, text, out, st);
  else if (code == STATUS_UNKNOWN)
    out->outcome_unknown = true;
  else if (!out->outcome_unknown)
    look = finish (out, CLAIM_UNAVAILABLE);
  txn_ops_clear (&op, 1);
  return look;
}

/* Reads the row with its version. */
static Look
try_read (Platform *platform, const char *text, ClaimOutcome *out, Status *st)
{
  PlatformRow row = { .key = NULL };
  Look look = LOOK_AGAIN;

  if (platform->ops->get (platform, CLAIM_TABLE, out->claim.key, READ_TIMEOUT_MS, &row, st)
          == STATUS_OK
      && row.version > 0)
    look = look_at (platform, row.value, row.version, text, out, st);
  platform_row_clear (&row);
  return look;
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
  Look look = LOOK_AGAIN;
  int64_t end = clock_boot_ms () + SETTLE_MS;
  char *text;

  if (st == NULL)
    st = &local;
  *out = (ClaimOutcome){
    .claim = { .body_hash = body_hash, .at_ms = clock_wall_ms () },
  };
  claim_row_key (team, idempotency_key, out->claim.key);
  id_random (out->claim.nonce);
  text = claim_row_text (&out->claim, CLAIM_STARTED);
  for (int i = 0; i < TRIES_MAX && look == LOOK_AGAIN; i++)
    {
      if (i > 0 && clock_boot_ms () >= end)
        break;
      look = try_insert (group, platform, text, out, st);
      if (look == LOOK_AGAIN)
        look = try_read (platform, text, out, st);
    }
  if (look == LOOK_AGAIN)
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
