#include "gate_link.h"
#include "util_memory.h"
#include <stdlib.h>

struct GateLink
{
  int refs;        /* atomic */
  int64_t answers; /* atomic */
};

GateLink *
gate_link_new (void)
{
  GateLink *link = memory_alloc (sizeof (*link));

  link->refs = 1;
  return link;
}

GateLink *
gate_link_ref (GateLink *link)
{
  __atomic_add_fetch (&link->refs, 1, __ATOMIC_RELAXED);
  return link;
}

void
gate_link_unref (GateLink *link)
{
  if (link != NULL && __atomic_sub_fetch (&link->refs, 1, __ATOMIC_ACQ_REL) == 0)
    free (link);
}

void
gate_link_add_answer (GateLink *link)
{
  __atomic_add_fetch (&link->answers, 1, __ATOMIC_RELEASE);
}

int64_t
gate_link_answer_count (const GateLink *link)
{
  return __atomic_load_n (&link->answers, __ATOMIC_ACQUIRE);
}
