#include "rollouts_world.h"
#include "suite.h"
#include <stdio.h>

FrontServers *servers;
FrontSessions *sessions;
FrontRollouts *rollouts;
FrontRollout *rollout;

void
add (const char *id, const char *version)
{
  ServerEntry entry = { .slots = 48 };
  bool changed;

  snprintf (entry.id, sizeof entry.id, "%s", id);
  snprintf (entry.service, sizeof entry.service, "drafts");
  snprintf (entry.address, sizeof entry.address, "10.0.0.1:80");
  snprintf (entry.version, sizeof entry.version, "%s", version);
  front_servers_set (servers, &entry, NOW, &changed);
}

void
setup (void)
{
  if (servers)
    {
      front_rollouts_free (rollouts);
      front_sessions_free (sessions);
      front_servers_free (servers);
    }
  servers = front_servers_new ("here");
  sessions = front_sessions_new (SESSION_MS);
  rollouts = front_rollouts_new (sessions, OWN_DOMAIN);
  add ("a", "v1");
  add ("b", "v1");
  front_rollouts_find_base (rollouts, servers);
  rollout = front_rollouts_get (rollouts, "drafts");
}

void
order (int64_t row_version, int64_t now_ms)
{
  RolloutOrder new_order = {
    .service = "drafts", .target = "v2", .duration_ms = DURATION_MS, .row_version = row_version
  };

  CU_ASSERT (front_rollouts_apply_order (rollouts, servers, &new_order, now_ms));
}

bool
apply_status (const char *target, FrontRolloutState state, int64_t row_version)
{
  RolloutStatus status = { .state = state, .started_ms = ROLLOUT_START_UNKNOWN };

  snprintf (status.target, sizeof status.target, "%s", target);
  return front_rollouts_apply_status (rollout, &status, row_version);
}

const char *
chosen (uint64_t session, int64_t now_ms)
{
  return front_rollouts_choose (rollouts, servers, "drafts", session, now_ms);
}
