#include "steward_rollout_table.h"
#include "util_counter.h"
#include "util_memory.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define TABLE      "evidence"
#define TIMEOUT_MS 1000 /* of one call of the table service */
/* Upper bound on the rows: those of present members and of members replaced while roll-outs are
   open. */
#define ROWS_MAX    4096
#define DELETES_MAX 64 /* rows deleted after one read */

void
evidence_row_init (EvidenceRow *row, uint64_t incarnation)
{
  *row = (EvidenceRow){ 0 };
  snprintf (row->key, sizeof row->key, "%016" PRIx64, incarnation);
}

static StatusCode
look_up (EvidenceRow *row, Platform *p, Status *st)
{
  PlatformRow found = { 0 };
  StatusCode code = p->ops->get (p, TABLE, row->key, TIMEOUT_MS, &found, st);

  row->known = code == STATUS_OK;
  row->version = found.version;
  platform_row_clear (&found);
  return code;
}

StatusCode
evidence_row_write (EvidenceRow *row, Platform *p, const char *text, Status *st)
{
  StatusCode code = row->known ? STATUS_OK : look_up (row, p, st);
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = TABLE, .key = row->key, .version = row->version },
    { .kind = TXN_PUT, .table = TABLE, .key = row->key, .value = text },
  };

  if (code != STATUS_OK)
    return code;
  code = p->ops->txn (p, ops, sizeof ops / sizeof *ops, TIMEOUT_MS, st);
  row->known = code == STATUS_OK;
  row->version = ops[1].row_version;
  txn_ops_clear (ops, sizeof ops / sizeof *ops);
  counter_add (COUNTER_STEWARD_EVIDENCE_WRITES, 1);
  return code;
}

/* True if all roll-outs in the row are open. */
static bool
handle_row (const PlatformRow *row, EvidenceRollout *space, EvidenceHandler handle, void *context)
{
  size_t count = steward_evidence_parse (row->value, space);
  bool open = count > 0;

  for (size_t i = 0; i < count; i++)
    open &= handle (context, row->key, &space[i]);
  return open;
}

/* One transaction deletes several rows. If one of them has changed, none is deleted, and the next
   read decides again. */
static StatusCode
delete_rows (Platform *p, const PlatformRow *const *rows, size_t count, Status *st)
{
  TxnOp ops[2 * DELETES_MAX];
  StatusCode code;

  for (size_t i = 0; i < count; i++)
    {
      ops[2 * i] = (TxnOp){
        .kind = TXN_CHECK, .table = TABLE, .key = rows[i]->key, .version = rows[i]->version
      };
      ops[2 * i + 1] = (TxnOp){ .kind = TXN_DELETE, .table = TABLE, .key = rows[i]->key };
    }
  code = p->ops->txn (p, ops, 2 * count, TIMEOUT_MS, st);
  txn_ops_clear (ops, 2 * count);
  return code;
}

StatusCode
evidence_rows_read (Platform *p, EvidenceHandler handle, void *context, Status *st)
{
  EvidenceRollout *space = memory_array (EVIDENCE_ROLLOUTS_MAX, sizeof *space);
  const PlatformRow *ended[DELETES_MAX];
  size_t ended_count = 0;
  PlatformRows rows = { 0 };
  StatusCode code = p->ops->scan (p, TABLE, "", "", ROWS_MAX, TIMEOUT_MS, &rows, st);

  for (size_t i = 0; code == STATUS_OK && i < rows.count; i++)
    if (!handle_row (&rows.rows[i], space, handle, context) && ended_count < DELETES_MAX)
      ended[ended_count++] = &rows.rows[i];
  if (ended_count > 0)
    code = delete_rows (p, ended, ended_count, st);
  platform_rows_clear (&rows);
  free (space);
  return code;
}
