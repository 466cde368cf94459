/**
 * Lists the failure domains whose servers get no work by the operator's order, and recent ends of
 * such orders. Domains without servers are kept too, as servers may still appear. No I/O.
 */
#ifndef FRONT_EVACUATIONS_H
#define FRONT_EVACUATIONS_H

#include "front_domain.h"
#include "front_server_entry.h"
#include <urcu/list.h>

/** Milliseconds for which an end is told to other fronts: until servers' entries show that they are
 *  cold. */
#define EVACUATION_REPORT_MS 3000

/** End of the order for one failure domain. */
typedef struct
{
  uint32_t domain; /**< hash */
  int64_t at_ms;
  int64_t version;     /**< of the order's removal */
  bool is_second_hand; /**< told by another front, or read without the order; seems later than it
                          was */
  bool is_told_on;     /**< at second hand, but told to other fronts: all may lack it */
} EvacuationEnd;

typedef struct
{
  struct cds_list_head list;
  unsigned end_count;
  EvacuationEnd ends[FRONT_DOMAINS_MAX];
} FrontEvacuations;

void front_evacuations_init (FrontEvacuations *evacuations);
void front_evacuations_clear (FrontEvacuations *evacuations);
/** Records an order, or its withdrawal. True if that changes anything. */
bool front_evacuations_set (FrontEvacuations *evacuations, const char *domain, bool ordered);
bool front_evacuations_has (const FrontEvacuations *evacuations, const char *domain);
/** Records the end of an order. An end at second hand is recorded only if it is recent, the order
 *  is not in force here, and neither this end nor a later one is known: a front that was frozen may
 *  read it late, and take it for recent. False if it isn't recorded. */
bool
front_evacuations_add_end (FrontEvacuations *evacuations, const EvacuationEnd *end, int64_t now_ms);
/** When the last order for this failure domain (its hash) ended; 0: not known. */
int64_t front_evacuations_ended_ms (const FrontEvacuations *evacuations, uint32_t domain);
/** Copies up to max ends that other fronts are to be told of; returns their number. */
unsigned front_evacuations_recent_ends (const FrontEvacuations *evacuations,
                                        EvacuationEnd *out,
                                        unsigned max,
                                        int64_t now_ms);

#endif
