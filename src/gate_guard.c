#include "gate_guard.h"
#include "gate_request.h"
#include "util_clock.h"
#include "util_counter.h"
#include <string.h>

static int check_team (const GateRequest *r, const GateSnapshot *newest, int version);
static int check_server (const GateAttempt *a, const GateSnapshot *newest);
static int check_version (const GateAttempt *a, const GateSnapshot *newest);

/* Index in the newest configuration of the version with the same names; -1: it no longer exists. */
static int
find_version_in (const GateAttempt *a, const GateSnapshot *newest)
{
  const Config *old = a->request->snapshot->config;
  const ConfigVersion *version = &old->versions[a->version];
  int model;

  if (newest->config == old)
    return a->version;
  model = config_find_model (newest->config, old->models[version->model].name);
  return model < 0 ? -1 : config_find_version (newest->config, (unsigned)model, version->name);
}

static int
check_team (const GateRequest *r, const GateSnapshot *newest, int version)
{
  int team = config_find_team (newest->config, gate_request_team (r)->name);

  if (team < 0)
    return REASON_NOT_ALLOWED;
  return newest->config->teams[team].allowed[version] ? REASON_NONE : REASON_NOT_ALLOWED;
}

static int
check_version (const GateAttempt *a, const GateSnapshot *newest)
{
  int version = find_version_in (a, newest);

  if (version < 0)
    return REASON_VERSION_WITHDRAWN;
  if (!choose_version_usable (newest->config, newest->braked, (unsigned)version))
    return newest->braked[version] ? REASON_VERSION_BRAKED : REASON_VERSION_WITHDRAWN;
  return check_team (a->request, newest, version);
}

static int
check_service (const GateAttempt *a, const GateSnapshot *newest)
{
  const GateRequest *r = a->request;
  int service = config_find_service (newest->config, r->asked);
  int team = config_find_team (newest->config, gate_request_team (r)->name);

  if (service < 0 || team < 0)
    return REASON_NOT_ALLOWED;
  return newest->config->teams[team].services[service] ? REASON_NONE : REASON_NOT_ALLOWED;
}

/*
 * The server must still have the same name and address as the chosen one and must not be leaving.
 */
static int
check_server (const GateAttempt *a, const GateSnapshot *newest)
{
  const ConfigServer *chosen = a->config_server;

  for (size_t i = 0; i < newest->config->server_count; i++)
    {
      const ConfigServer *server = &newest->config->servers[i];
      if (strcmp (server->name, chosen->name) != 0)
        continue;
      if (server->leaving || server->port != chosen->port
          || strcmp (server->address, chosen->address) != 0)
        return REASON_NO_SERVER;
      return REASON_NONE;
    }
  return REASON_NO_SERVER;
}

static int
check_newest (const GateAttempt *a, const GateSnapshot *newest)
{
  int reason = check_server (a, newest);

  if (reason != REASON_NONE)
    return reason;
  return a->version < 0 ? check_service (a, newest) : check_version (a, newest);
}

/*
 * Guards against a process that is paused between its check and its send (a suspended VM) while the
 * version is withdrawn elsewhere, and that sends the request after it resumes. The grant is read
 * after the configuration was checked, and the configuration must then still be the newest: so when
 * the clock was read, the grant covered the configuration that was checked. A pause between that
 * reading and the write of the last byte is not detected.
 */
static int
guard_reason (const GateAttempt *a)
{
  Gate *gate = a->request->gate;
  int reason;
  bool settled;

  do
    {
      GateSnapshot *newest = gate_snapshot_get (&gate->snapshots);
      GateSnapshot *again;
      reason = check_newest (a, newest);
      if (reason == REASON_NONE && !gate_grant_valid (gate))
        reason = REASON_NO_GRANT;
      again = gate_snapshot_get (&gate->snapshots);
      settled = again == newest;
      gate_snapshot_put (again);
      gate_snapshot_put (newest);
    }
  while (!settled);
  return reason;
}

bool
gate_guard (void *context)
{
  GateAttempt *a = context;
  int64_t deadline_ms = a->request->deadline_ms;

  a->guard_reason = REASON_NONE;
  if (deadline_ms > 0 && clock_boot_ms () >= deadline_ms)
    a->guard_reason = REASON_DEADLINE_PAST;
  else
    a->guard_reason = guard_reason (a);
  if (a->guard_reason != REASON_NONE)
    counter_add (COUNTER_GATE_GUARD_REFUSED, 1);
  else
    gate_server_add_running (a->server, a->request->fingerprint);
  return a->guard_reason == REASON_NONE;
}
