#include "cluster_state.h"
#include "cluster_state_private.h"
#include "cluster_view.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdlib.h>

ClusterState *
cluster_state_new (uint64_t incarnation, int64_t grant_ms)
{
  INVARIANT (incarnation != 0 && grant_ms > 0, "grant_ms=\"%lld\"", (long long)grant_ms);
  ClusterState *s = memory_alloc (sizeof *s);

  s->incarnation = incarnation;
  s->grant_ms = grant_ms;
  s->table_proof = CLUSTER_NEVER;
  s->pending_read.sent_at = CLUSTER_NEVER;
  cluster_progress_get (&s->progress, incarnation)->as_of = CLUSTER_ALWAYS;
  return s;
}

void
cluster_state_free (ClusterState *s)
{
  free (s);
}

uint64_t
cluster_state_incarnation (const ClusterState *s)
{
  return s->incarnation;
}

int64_t
cluster_state_grant_ms (const ClusterState *s)
{
  return s->grant_ms;
}

const ClusterProgress *
cluster_state_own (const ClusterState *s)
{
  return cluster_progress_find (&s->progress, s->incarnation);
}

static bool
is_needed (const void *context, uint64_t incarnation)
{
  const ClusterState *s = context;

  if (incarnation == s->incarnation || cluster_view_find (&s->view, incarnation) >= 0)
    return true;
  for (size_t i = 0; i < s->dropped_count; i++)
    if (s->dropped[i] == incarnation)
      return true;
  return false;
}

static ClusterProgress *
get_progress (ClusterState *s, uint64_t incarnation)
{
  ClusterProgress *k = cluster_progress_get (&s->progress, incarnation);

  if (k != NULL)
    return k;
  cluster_progress_prune (&s->progress, is_needed, s);
  k = cluster_progress_get (&s->progress, incarnation);
  INVARIANT (k != NULL, "members and previous members fill the table");
  return k;
}

void
cluster_state_merge (ClusterState *s,
                     uint64_t incarnation,
                     int64_t number,
                     int64_t view,
                     int64_t as_of)
{
  if (number > s->wanted_number)
    s->wanted_number = number;
  ClusterProgress *own = get_progress (s, s->incarnation);
  if (view > own->view)
    own->view = view;
  /* What a peer reports of us is older than our own state. */
  if (incarnation == s->incarnation || incarnation == 0)
    return;
  cluster_progress_raise (get_progress (s, incarnation), number, view, as_of);
}

bool
cluster_state_apply (ClusterState *s, int64_t number)
{
  ClusterProgress *own = get_progress (s, s->incarnation);

  if (number <= own->number)
    return false;
  own->number = number;
  if (number > s->wanted_number)
    s->wanted_number = number;
  if (s->pending_read.sent_at != CLUSTER_NEVER && s->pending_read.head <= number)
    {
      if (s->pending_read.sent_at > s->table_proof)
        s->table_proof = s->pending_read.sent_at;
      s->pending_read.sent_at = CLUSTER_NEVER;
    }
  return true;
}

int64_t
cluster_state_number (const ClusterState *s)
{
  return cluster_state_own (s)->number;
}

int64_t
cluster_state_wanted_number (const ClusterState *s)
{
  return s->wanted_number;
}

void
cluster_state_table_read (ClusterState *s, int64_t sent_at, int64_t head, int64_t accepted)
{
  if (head > s->wanted_number)
    s->wanted_number = head;
  if (accepted > s->accepted && accepted <= head)
    s->accepted = accepted;
  if (head <= cluster_state_number (s))
    {
      if (sent_at > s->table_proof)
        s->table_proof = sent_at;
      return;
    }
  if (sent_at > s->pending_read.sent_at)
    s->pending_read = (ClusterTableRead){ .sent_at = sent_at, .head = head };
}

int64_t
cluster_state_accepted (const ClusterState *s)
{
  return s->accepted;
}

static void
find_dropped (ClusterState *s)
{
  s->dropped_count = 0;
  for (size_t i = 0; i < s->view.previous_count; i++)
    if (cluster_view_find (&s->view, s->view.previous[i]) < 0)
      s->dropped[s->dropped_count++] = s->view.previous[i];
}

bool
cluster_state_adopt_view (ClusterState *s, const ClusterView *view)
{
  ClusterProgress *own = get_progress (s, s->incarnation);

  if (view->number > own->view)
    own->view = view->number;
  if (view->head > s->wanted_number)
    s->wanted_number = view->head;
  if (view->number <= s->view.number)
    return false;
  /* A patch accepted before this view was written has a number up to view->head. Without this check
     a VM without the patch could get a majority of a smaller view whose members all lack it, and
     keep sending work to a withdrawn version. */
  if (view->head > own->number)
    return false;
  s->view = *view;
  find_dropped (s);
  return true;
}

const ClusterView *
cluster_state_view (const ClusterState *s)
{
  return &s->view;
}

int64_t
cluster_state_wanted_view (const ClusterState *s)
{
  return cluster_state_own (s)->view;
}

const ClusterProgress *
cluster_state_progress (const ClusterState *s, uint64_t incarnation)
{
  return cluster_progress_find (&s->progress, incarnation);
}

void
cluster_state_leave (ClusterState *s)
{
  s->leaving = true;
}

bool
cluster_state_leaving (const ClusterState *s)
{
  return s->leaving;
}
