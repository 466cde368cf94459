#include "cluster_view.h"
#include <string.h>

size_t
cluster_majority (size_t count)
{
  return count > 0 ? count / 2 + 1 : 0;
}

int
cluster_view_find (const ClusterView *view, uint64_t incarnation)
{
  for (size_t i = 0; i < view->count; i++)
    if (view->members[i].incarnation == incarnation)
      return (int)i;
  return -1;
}

int
cluster_view_find_slot (const ClusterView *view, const char *address, int port)
{
  for (size_t i = 0; i < view->count; i++)
    if (view->members[i].port == port && strcmp (view->members[i].address, address) == 0)
      return (int)i;
  return -1;
}

/* Prepares the next value of the row, as pending. `previous` stays the members of the last
   established view through any number of further changes, because their majority accepts numbers
   until a view is established again. */
static bool
begin_change (const ClusterView *row, int64_t head, ClusterView *out)
{
  /* The head is older than the view row: the transaction would fail its CHECK of the head row. */
  if (head < row->head)
    return false;
  *out = *row;
  out->number = row->number + 1;
  out->head = head;
  out->established = false;
  if (!row->established)
    return true;
  out->previous_count = row->count;
  for (size_t i = 0; i < row->count; i++)
    out->previous[i] = row->members[i].incarnation;
  return true;
}

bool
cluster_view_register (const ClusterView *row,
                       const ClusterMember *self,
                       int64_t head,
                       ClusterView *out)
{
  int slot = cluster_view_find_slot (row, self->address, self->port);

  if (cluster_view_find (row, self->incarnation) >= 0)
    return false;
  if (slot < 0 && row->count == CLUSTER_MEMBERS_MAX)
    return false;
  if (!begin_change (row, head, out))
    return false;
  if (slot < 0)
    slot = (int)out->count++;
  out->members[slot] = *self;
  if (row->number == 0)
    {
      out->established = true;
      out->previous_count = 0;
    }
  return true;
}

static bool
contains (const uint64_t *incarnations, size_t count, uint64_t incarnation)
{
  for (size_t i = 0; i < count; i++)
    if (incarnations[i] == incarnation)
      return true;
  return false;
}

bool
cluster_view_remove (const ClusterView *row,
                     const uint64_t *incarnations,
                     size_t count,
                     int64_t head,
                     ClusterView *out)
{
  size_t kept = 0;

  if (!begin_change (row, head, out))
    return false;
  for (size_t i = 0; i < row->count; i++)
    if (!contains (incarnations, count, row->members[i].incarnation))
      out->members[kept++] = row->members[i];
  out->count = kept;
  return kept < row->count;
}

/* A previous member that is no longer in the view was proved dead: a new process took its slot, it
   left, or its VM is missing from the platform's list. */
static bool
is_confirmed (const ClusterView *row, const ClusterState *s, uint64_t incarnation)
{
  if (cluster_view_find (row, incarnation) < 0)
    return true;
  const ClusterProgress *k = cluster_state_progress (s, incarnation);
  /* It must have seen this very number: a member that has seen only an earlier version of the
     pending view may still support a grant that counts the members of that version. */
  return k != NULL && k->view >= row->number;
}

size_t
cluster_view_confirmed (const ClusterView *row, const ClusterState *s, size_t *needed)
{
  size_t confirmed = 0;

  for (size_t i = 0; i < row->previous_count; i++)
    if (is_confirmed (row, s, row->previous[i]))
      confirmed++;
  *needed = cluster_majority (row->previous_count);
  return confirmed;
}

bool
cluster_view_establish (const ClusterView *row,
                        const ClusterState *s,
                        int64_t head,
                        ClusterView *out)
{
  size_t needed;

  if (row->number == 0 || row->established || row->count == 0)
    return false;
  if (cluster_view_confirmed (row, s, &needed) < needed)
    return false;
  if (!begin_change (row, head, out))
    return false;
  out->established = true;
  out->previous_count = 0;
  return true;
}
