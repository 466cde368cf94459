/**
 * Services whose backend servers say that they are brittle. A server that starts then is taken for
 * brittle before its first answer: otherwise all fronts send it what the others have no room for,
 * and it falls over at once. No I/O.
 */
#ifndef FRONT_BRITTLE_SERVICES_H
#define FRONT_BRITTLE_SERVICES_H

#include "front_brittle.h"

/** Services kept; of more, those that were named last. */
#define BRITTLE_SERVICES_MAX 8

typedef struct
{
  uint64_t service; /**< hash of the name; 0: unused */
  bool is_named;
  double per_s;
  int64_t named_ms;
} BrittleService;

typedef struct
{
  BrittleService services[BRITTLE_SERVICES_MAX];
} BrittleServices;

/** A server of the service names a number. True if the service had none. */
bool
brittle_services_named (BrittleServices *services, uint64_t service, double per_s, int64_t now_ms);
/** An answer of a server of the service names none. */
void brittle_services_absent (BrittleServices *services, uint64_t service);
/** Assumes the service's number for a server that has not answered yet. */
void brittle_services_apply (const BrittleServices *services,
                             uint64_t service,
                             ServerBrittle *brittle,
                             int64_t now_ms);

#endif
