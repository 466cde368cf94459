#include "front_evacuations.h"
#include "front.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  struct cds_list_head node;
  char domain[SERVER_TEXT_MAX];
} Evacuation;

void
front_evacuations_init (FrontEvacuations *evacuations)
{
  CDS_INIT_LIST_HEAD (&evacuations->list);
  evacuations->end_count = 0;
}

static void
evacuation_free (Evacuation *evacuation)
{
  cds_list_del (&evacuation->node);
  free (evacuation);
}

void
front_evacuations_clear (FrontEvacuations *evacuations)
{
  Evacuation *evacuation, *next;

  cds_list_for_each_entry_safe (evacuation, next, &evacuations->list, node)
      evacuation_free (evacuation);
}

static Evacuation *
find (const FrontEvacuations *evacuations, const char *domain)
{
  Evacuation *evacuation;

  cds_list_for_each_entry (evacuation, &evacuations->list, node)
  {
    if (strcmp (evacuation->domain, domain) == 0)
      return evacuation;
  }
  return NULL;
}

bool
front_evacuations_has (const FrontEvacuations *evacuations, const char *domain)
{
  return find (evacuations, domain) != NULL;
}

bool
front_evacuations_set (FrontEvacuations *evacuations, const char *domain, bool ordered)
{
  Evacuation *evacuation = find (evacuations, domain);

  if (ordered == (evacuation != NULL))
    return false;
  if (!ordered)
    {
      evacuation_free (evacuation);
      return true;
    }
  evacuation = memory_alloc (sizeof *evacuation);
  snprintf (evacuation->domain, sizeof evacuation->domain, "%s", domain);
  cds_list_add_tail (&evacuation->node, &evacuations->list);
  return true;
}

static bool
is_in_force (const FrontEvacuations *evacuations, uint32_t domain)
{
  Evacuation *evacuation;

  cds_list_for_each_entry (evacuation, &evacuations->list, node)
  {
    if (front_failure_domain_hash (evacuation->domain) == domain)
      return true;
  }
  return false;
}

/* The end of this failure domain's last order, or the one that it replaces. */
static EvacuationEnd *
end_entry (FrontEvacuations *evacuations, uint32_t domain)
{
  EvacuationEnd *oldest = &evacuations->ends[0];

  for (unsigned i = 0; i < evacuations->end_count; i++)
    {
      EvacuationEnd *end = &evacuations->ends[i];

      if (end->domain == domain)
        return end;
      oldest = end->at_ms < oldest->at_ms ? end : oldest;
    }
  return evacuations->end_count < FRONT_DOMAINS_MAX ? &evacuations->ends[evacuations->end_count++]
                                                    : oldest;
}

static const EvacuationEnd *
end_find (const FrontEvacuations *evacuations, uint32_t domain)
{
  for (unsigned i = 0; i < evacuations->end_count; i++)
    {
      if (evacuations->ends[i].domain == domain)
        return &evacuations->ends[i];
    }
  return NULL;
}

bool
front_evacuations_add_end (FrontEvacuations *evacuations, const EvacuationEnd *end, int64_t now_ms)
{
  const EvacuationEnd *known = end_find (evacuations, end->domain);

  if (end->is_second_hand
      && (now_ms - end->at_ms >= EVACUATION_REPORT_MS || is_in_force (evacuations, end->domain)
          || (known && known->version >= end->version)))
    return false;
  *end_entry (evacuations, end->domain) = *end;
  return true;
}

int64_t
front_evacuations_ended_ms (const FrontEvacuations *evacuations, uint32_t domain)
{
  const EvacuationEnd *end = end_find (evacuations, domain);

  return end ? end->at_ms : 0;
}

unsigned
front_evacuations_recent_ends (const FrontEvacuations *evacuations,
                               EvacuationEnd *out,
                               unsigned max,
                               int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < evacuations->end_count && count < max; i++)
    {
      const EvacuationEnd *end = &evacuations->ends[i];

      if ((!end->is_second_hand || end->is_told_on) && now_ms - end->at_ms < EVACUATION_REPORT_MS)
        out[count++] = *end;
    }
  return count;
}
