#include "cluster_accept.h"
#include "cluster_view.h"
#include <stdlib.h>

static int
compare_greatest_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

/* Votes belong to incarnations. A process that replaced a member at its address does not know what
   the earlier one acknowledged, so it has no vote until a view that contains it is established. */
static size_t
voters_of (const ClusterView *row)
{
  return row->established ? row->count : row->previous_count;
}

static int64_t
number_of_voter (const ClusterState *s, const ClusterView *row, size_t i)
{
  uint64_t incarnation = row->established ? row->members[i].incarnation : row->previous[i];
  const ClusterProgress *k = cluster_state_progress (s, incarnation);

  return k != NULL ? k->number : 0;
}

int64_t
cluster_accept_number (const ClusterState *s,
                       const ClusterView *row,
                       int64_t head,
                       int64_t accepted)
{
  int64_t numbers[CLUSTER_MEMBERS_MAX];
  size_t count = voters_of (row);

  if (row->number == 0 || count == 0)
    return 0;
  for (size_t i = 0; i < count; i++)
    numbers[i] = number_of_voter (s, row, i);
  qsort (numbers, count, sizeof *numbers, compare_greatest_first);
  int64_t number = numbers[cluster_majority (count) - 1];
  if (number > head)
    number = head;
  return number > accepted ? number : 0;
}

size_t
cluster_accept_count (const ClusterState *s, const ClusterView *row, int64_t number, size_t *needed)
{
  size_t count = voters_of (row);
  size_t applied = 0;

  for (size_t i = 0; i < count; i++)
    if (number_of_voter (s, row, i) >= number)
      applied++;
  *needed = cluster_majority (count);
  return applied;
}
