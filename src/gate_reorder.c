#include "gate_reorder.h"

static ReorderSlot *
slot_of (Reorder *reorder, int64_t number)
{
  return &reorder->slots[number % REORDER_WINDOW];
}

ReorderResult
reorder_push (Reorder *reorder, int64_t number, const char *data, size_t len)
{
  ReorderSlot *slot;

  if (number < reorder->next)
    return REORDER_DUPLICATE;
  if (number - reorder->next >= REORDER_WINDOW)
    return REORDER_TOO_FAR;
  slot = slot_of (reorder, number);
  if (slot->held)
    return REORDER_DUPLICATE;
  buffer_clear (&slot->data);
  buffer_add (&slot->data, data, len);
  slot->held = true;
  reorder->held++;
  return REORDER_ADDED;
}

bool
reorder_pop (Reorder *reorder, Buffer *out, int64_t *number)
{
  ReorderSlot *slot = slot_of (reorder, reorder->next);
  Buffer swap;

  if (!slot->held)
    return false;
  swap = *out;
  *out = slot->data;
  slot->data = swap;
  slot->held = false;
  reorder->held--;
  *number = reorder->next++;
  return true;
}

bool
reorder_has_gap (const Reorder *reorder)
{
  return reorder->held > 0 && !reorder->slots[reorder->next % REORDER_WINDOW].held;
}

void
reorder_free (Reorder *reorder)
{
  for (unsigned i = 0; i < REORDER_WINDOW; i++)
    buffer_free (&reorder->slots[i].data);
}
