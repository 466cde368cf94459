/**
 * Classifies the silence of other members: failure of the members themselves, of their failure
 * domain, or of this VM's own network.
 */
#ifndef STEWARD_SUSPICION_H
#define STEWARD_SUSPICION_H

#include "cluster.h"

typedef enum
{
  STEWARD_SUSPECT_NONE,
  STEWARD_SUSPECT_MEMBERS, /**< some members, with nothing in common */
  STEWARD_SUSPECT_DOMAIN,  /**< all members of one failure domain, and fewer others */
  STEWARD_SUSPECT_SELF     /**< more than half of the others: this VM's own network is suspected */
} StewardSuspect;

typedef struct
{
  StewardSuspect kind;
  size_t silent;
  size_t others;                         /**< members without this one */
  char failure_domain[CLUSTER_NAME_MAX]; /**< the silent domain, with DOMAIN */
} StewardSuspicion;

/** silent: by index of the member in the view; self: index of this steward, or -1. */
StewardSuspicion steward_suspicion_classify (const ClusterView *view, const bool *silent, int self);
const char *steward_suspect_name (StewardSuspect kind);

#endif
