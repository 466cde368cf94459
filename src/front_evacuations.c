#include "front_evacuations.h"
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
