#include "platform.h"
#include <stdlib.h>
#include <string.h>

void
platform_free (Platform *p)
{
  if (p)
    p->ops->free (p);
}

void
txn_ops_clear (TxnOp *ops, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (ops[i].existing);
      ops[i].existing = NULL;
    }
}

void
platform_row_clear (PlatformRow *row)
{
  free (row->key);
  free (row->value);
  memset (row, 0, sizeof *row);
}

void
platform_rows_clear (PlatformRows *rows)
{
  for (size_t i = 0; i < rows->count; i++)
    platform_row_clear (&rows->rows[i]);
  free (rows->rows);
  memset (rows, 0, sizeof *rows);
}

StatusCode
platform_rows_next (const PlatformRows *rows, Buffer *from, Status *st)
{
  const char *last_key = rows->rows[rows->count - 1].key;

  if (from->data && strcmp (last_key, from->data) < 0)
    return status_set (st, STATUS_UNAVAILABLE, "platform.scan", NULL,
                       "the rows end before \"%s\", where the scan begins", from->data);
  buffer_clear (from);
  buffer_add_string (from, last_key);
  buffer_add_string (from, "\x01"); /* the least possible byte of a key */
  return status_ok (st);
}

void
platform_vms_clear (PlatformVms *vms)
{
  for (size_t i = 0; i < vms->count; i++)
    {
      free (vms->vms[i].name);
      free (vms->vms[i].address);
      free (vms->vms[i].failure_domain);
    }
  free (vms->vms);
  memset (vms, 0, sizeof *vms);
}
