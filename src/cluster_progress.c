#include "cluster_progress.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Incarnations are random already; the multiplier spreads the small consecutive ones of tests. */
static const uint64_t hash_factor = 0x9e3779b97f4a7c15U;

static size_t
first_slot (uint64_t incarnation)
{
  return (size_t)((incarnation * hash_factor) >> 52) % CLUSTER_PROGRESS_SLOTS;
}

static size_t
find_slot (const ClusterProgressTable *t, uint64_t incarnation)
{
  size_t i = first_slot (incarnation);

  while (t->slots[i].incarnation != 0 && t->slots[i].incarnation != incarnation)
    i = (i + 1) % CLUSTER_PROGRESS_SLOTS;
  return i;
}

const ClusterProgress *
cluster_progress_find (const ClusterProgressTable *t, uint64_t incarnation)
{
  const ClusterProgress *k = &t->slots[find_slot (t, incarnation)];

  return k->incarnation != 0 ? k : NULL;
}

ClusterProgress *
cluster_progress_get (ClusterProgressTable *t, uint64_t incarnation)
{
  INVARIANT (incarnation != 0, "an incarnation is never 0");
  ClusterProgress *k = &t->slots[find_slot (t, incarnation)];

  if (k->incarnation != 0)
    return k;
  if (t->count == CLUSTER_PROGRESS_MAX)
    return NULL;
  *k = (ClusterProgress){ .incarnation = incarnation, .as_of = CLUSTER_NEVER };
  t->count++;
  return k;
}

void
cluster_progress_raise (ClusterProgress *k, int64_t number, int64_t view, int64_t as_of)
{
  if (number > k->number)
    k->number = number;
  if (view > k->view)
    k->view = view;
  if (as_of > k->as_of)
    k->as_of = as_of;
}

void
cluster_progress_prune (ClusterProgressTable *t,
                        bool (*keep) (const void *context, uint64_t incarnation),
                        const void *context)
{
  ClusterProgressTable *old = memory_alloc (sizeof *old);

  *old = *t;
  memset (t, 0, sizeof *t);
  for (size_t i = 0; i < CLUSTER_PROGRESS_SLOTS; i++)
    {
      const ClusterProgress *k = &old->slots[i];
      if (k->incarnation == 0 || !keep (context, k->incarnation))
        continue;
      ClusterProgress *kept = cluster_progress_get (t, k->incarnation);
      *kept = *k;
    }
  free (old);
}
