#include "gate_deaths.h"
#include "gate.h"
#include "util_clock.h"
#include <string.h>

void
gate_deaths_collect (Gate *gate, DeathReports *out)
{
  out->count = (u_int)quarantine_recent_deaths (gate->servers.observed_deaths, out->deaths,
                                                LOVAGE_DEATHS_MAX, clock_boot_ms ());
  for (u_int i = 0; i < out->count; i++)
    {
      QuarantineDeath *death = &out->deaths[i];
      out->list[i] = (rpc_death){ .server = death->server, .age_ms = death->age_ms };
      out->list[i].flights.flights_len = death->count;
      out->list[i].flights.flights_val = death->flights;
    }
}

void
gate_deaths_merge (Gate *gate, const rpc_death *list, size_t count)
{
  int64_t now_ms = clock_boot_ms ();

  for (size_t i = 0; i < count; i++)
    {
      QuarantineDeath death = { .server = list[i].server, .age_ms = list[i].age_ms };
      death.count = list[i].flights.flights_len;
      if (death.count > QUARANTINE_FLIGHT_MAX)
        death.count = QUARANTINE_FLIGHT_MAX;
      memcpy (death.flights, list[i].flights.flights_val, death.count * sizeof (uint64_t));
      quarantine_add (gate->servers.quarantine, &death, now_ms);
    }
}
