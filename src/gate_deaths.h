/**
 * News of backend servers that died: what this VM saw goes to the steward, what others saw comes
 * with the grant.
 */
#ifndef GATE_DEATHS_H
#define GATE_DEATHS_H

#include "choose_quarantine.h"
#include "lovage.h"

struct Gate;

/** What rpc_death entries point to. */
typedef struct
{
  QuarantineDeath deaths[LOVAGE_DEATHS_MAX];
  rpc_death list[LOVAGE_DEATHS_MAX];
  u_int count;
} DeathReports;

/** This VM's own sightings. */
void gate_deaths_collect (struct Gate *gate, DeathReports *out);
/** Sightings of any VM. */
void gate_deaths_merge (struct Gate *gate, const rpc_death *list, size_t count);

#endif
