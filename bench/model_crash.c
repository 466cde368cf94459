/**
 * Deaths of engines, as gates observe them and report them to each other.
 */
#include "model_site.h"

/** Death report of one gate: the requests that it had in progress at the engine. */
static QuarantineDeath
death_report (const ModelSite *site, unsigned gate, unsigned engine)
{
  QuarantineDeath death = { .server = engine + 1 };
  const ModelRequest *request;

  cds_list_for_each_entry (request, &site->engine_requests[engine], engine_node)
  {
    if (request->gate == gate && death.count < QUARANTINE_FLIGHT_MAX)
      death.flights[death.count++] = request->fingerprint;
  }
  return death;
}

void
crash_record_death (ModelSite *site, unsigned engine)
{
  unsigned i;

  for (i = 0; i < site->scenario->gates; i++)
    {
      QuarantineDeath death = death_report (site, i, engine);

      if (death.count > 0)
        quarantine_add (site->gates[i].quarantine, &death, site_ms (site));
    }
}

void
crash_exchange_deaths (ModelSite *site, unsigned gate)
{
  QuarantineDeath reports[QUARANTINE_DEATHS_MAX];
  unsigned i;
  size_t j, n;

  if (!site->policy->quarantine)
    return;
  for (i = 0; i < site->scenario->gates; i++)
    {
      if (i == gate || !site->gates[i].up)
        continue;
      n = quarantine_recent_deaths (site->gates[i].quarantine, reports, QUARANTINE_DEATHS_MAX,
                                    site_ms (site));
      for (j = 0; j < n; j++)
        quarantine_add (site->gates[gate].quarantine, &reports[j], site_ms (site));
    }
}
