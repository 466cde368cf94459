/**
 * Lists the failure domains whose servers get no work by the operator's order. Domains without
 * servers are kept too, as servers may still appear. No I/O.
 */
#ifndef FRONT_EVACUATIONS_H
#define FRONT_EVACUATIONS_H

#include "front_server_entry.h"
#include <urcu/list.h>

typedef struct
{
  struct cds_list_head list;
} FrontEvacuations;

void front_evacuations_init (FrontEvacuations *evacuations);
void front_evacuations_clear (FrontEvacuations *evacuations);
/** Records an order, or its withdrawal. True if that changes anything. */
bool front_evacuations_set (FrontEvacuations *evacuations, const char *domain, bool ordered);
bool front_evacuations_has (const FrontEvacuations *evacuations, const char *domain);

#endif
