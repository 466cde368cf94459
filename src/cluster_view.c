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

/* The next write of the row, pending. The previous members stay those of the last established view
   through any number of changes on the way, because until the change is established it is their
   majority that accepts. */
static bool
begin_change (const ClusterView *row, int64_t head, ClusterView *out)
{
  /* Read before the view row was written: the transaction would fail on the head's version. */
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

/* A previous member that is no member any more was proved dead: its slot was taken over, it left,
   or the platform's list lost it. */
static bool
is_settled (const ClusterView *row, const ClusterState *s, uint64_t incarnation)
{
  if (cluster_view_find (row, incarnation) < 0)
    return true;
  const ClusterProgress *k = cluster_state_progress (s, incarnation);
  /* It must know this very number: one that knows only an earlier form of the pending view may
     still support a grant that counts on that form's members. */
  return k != NULL && k->view >= row->number;
}

size_t
cluster_view_confirmed (const ClusterView *row, const ClusterState *s, size_t *needed)
{
  size_t settled = 0;

  for (size_t i = 0; i < row->previous_count; i++)
    if (is_settled (row, s, row->previous[i]))
      settled++;
  *needed = cluster_majority (row->previous_count);
  return settled;
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
