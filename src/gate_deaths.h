/**
 * Exchanges reports of dead backend servers with the steward: those observed by this VM are sent
 * with the request for a grant; those of all VMs come back with the grant.
 */
#ifndef GATE_DEATHS_H
#define GATE_DEATHS_H

#include "choose_quarantine.h"
#include "lovage.h"

struct Gate;

/**
 * Death reports in wire form. list points into deaths, so the struct must not be moved or copied.
 */
typedef struct
{
  QuarantineDeath deaths[LOVAGE_DEATHS_MAX];
  rpc_death list[LOVAGE_DEATHS_MAX];
  u_int count;
} DeathReports;

/** Collects the deaths that this VM has observed itself. */
void gate_deaths_collect (struct Gate *gate, DeathReports *out);
/** Adds the deaths observed by any VM to this gate's quarantine. */
void gate_deaths_merge (struct Gate *gate, const rpc_death *list, size_t count);

#endif
