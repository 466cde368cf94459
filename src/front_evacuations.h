/**
 * The failure domains whose servers the operator wants to get nothing. A domain that no server is
 * in is remembered too: servers may still come. No I/O.
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
/** Notes an order, or that it was taken back. True if that is news. */
bool front_evacuations_set (FrontEvacuations *evacuations, const char *domain, bool ordered);
bool front_evacuations_has (const FrontEvacuations *evacuations, const char *domain);

#endif
