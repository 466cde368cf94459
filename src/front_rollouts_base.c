/* Finds the version that a service's requests use beside that of a roll-out. Statuses name it, as a
 * front may have missed how the roll-out before ended; without one it is the version that most
 * servers have. */
#include "front_rollouts_private.h"
#include "front_row.h"
#include <stdio.h>
#include <string.h>

#define VERSIONS_MAX 8 /* of one service; a version that is left out is in the minority */

typedef struct
{
  const char *version;
  unsigned count;
} VersionCount;

static void
version_count (VersionCount counts[VERSIONS_MAX], const char *version)
{
  unsigned i = 0;

  while (i < VERSIONS_MAX && counts[i].version && strcmp (counts[i].version, version) != 0)
    i++;
  if (i == VERSIONS_MAX)
    return;
  counts[i].version = version;
  counts[i].count++;
}

static bool
was_rolled_back (const FrontRollout *rollout, const char *version)
{
  return rollout->base_status.state == FRONT_ROLLOUT_ROLLED_BACK
         && strcmp (rollout->base_status.target, version) == 0;
}

/* A version that is being rolled out, or was rolled back, is not the base version. */
static bool
is_candidate (const FrontRollout *rollout, const FrontServer *server)
{
  if (!server->listed || strcmp (server->entry.service, rollout->service) != 0
      || was_rolled_back (rollout, server->entry.version))
    return false;
  return !rollout->ordered || rollout->is_replaced || rollout->state == FRONT_ROLLOUT_COMPLETED
         || strcmp (server->entry.version, rollout->order.target) != 0;
}

/* Finds the version that most listed servers have. Servers that leave count only if there are no
 * others: those of the previous version may drain for many seconds after a roll-out, and a front
 * that starts meanwhile would send its requests to a version that is about to disappear. */
void
rollouts_find_base (FrontRollout *rollout, FrontServers *servers)
{
  VersionCount counts[2][VERSIONS_MAX] = { 0 };
  FrontServer *server;
  unsigned most = 0;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (is_candidate (rollout, server))
      version_count (counts[server->leaving], server->entry.version);
  }
  for (unsigned i = 0; i < 2 * VERSIONS_MAX; i++)
    {
      const VersionCount *count = &counts[i / VERSIONS_MAX][i % VERSIONS_MAX];

      if (i == VERSIONS_MAX && most > 0)
        return;
      if (count->count <= most)
        continue;
      most = count->count;
      snprintf (rollout->base, sizeof rollout->base, "%s", count->version);
    }
}

bool
rollouts_have_servers (FrontServers *servers, const char *service, const char *version)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (front_server_takes_work (server) && strcmp (server->entry.service, service) == 0
        && strcmp (server->entry.version, version) == 0)
      return true;
  }
  return false;
}

/* True if the status of the running roll-out names the base version. Until then the roll-out
 * before may have ended in a way that is not known yet. */
static bool
is_base_known (const FrontRollout *rollout)
{
  return rollout->base_status_version > rollout->order.row_version
         && rollout->base_status.base[0] != '\0';
}

/* The version of a completed roll-out is used again as soon as it has servers: those of others are
 * stopped. */
bool
rollouts_update_base (FrontRollout *rollout, FrontServers *servers)
{
  bool is_completed
      = rollout->ordered && !rollout->is_replaced && rollout->state == FRONT_ROLLOUT_COMPLETED;

  if (is_completed && rollouts_have_servers (servers, rollout->service, rollout->order.target))
    {
      snprintf (rollout->base, sizeof rollout->base, "%s", rollout->order.target);
      return true;
    }
  if (rollouts_have_servers (servers, rollout->service, rollout->base))
    return true;
  if (rollout->base[0] != '\0' && front_rollout_is_running (rollout) && is_base_known (rollout))
    return false;
  rollouts_find_base (rollout, servers);
  return rollouts_have_servers (servers, rollout->service, rollout->base);
}

/* A status is written on condition that its order's row is unchanged, so that one which is newer
 * than the known order and of another target belongs to an order that replaced it. Not so in
 * another era: the store that came back from a copy may have an old status. Nor if the base version
 * is missing: fronts that don't name it wrote on no such condition. */
bool
rollouts_is_of_later_order (const FrontRollout *rollout,
                            const RolloutStatus *status,
                            int64_t row_version)
{
  return rollout->ordered && row_version > rollout->order.row_version
         && store_version_era (row_version) == store_version_era (rollout->order.row_version)
         && strcmp (status->target, rollout->order.target) != 0 && status->base[0] != '\0';
}

/* A status of an order that was not read yet counts only if it shows that this order replaced the
 * known one. One in which a completed version is still on trial is old. */
static bool
names_base (const FrontRollout *rollout, const RolloutStatus *status, int64_t row_version)
{
  if (row_version < rollout->base_status_version)
    return false;
  if (rollouts_is_of_later_order (rollout, status, row_version))
    return true;
  if (rollout->ordered && row_version > rollout->order.row_version
      && strcmp (status->target, rollout->order.target) != 0)
    return false;
  return rollout->base_status_version == 0 || status->state != FRONT_ROLLOUT_RUNNING
         || strcmp (status->target, rollout->base) != 0;
}

void
rollouts_learn_base (FrontRollout *rollout, const RolloutStatus *status, int64_t row_version)
{
  const char *base = status->state == FRONT_ROLLOUT_COMPLETED ? status->target : status->base;

  if (!names_base (rollout, status, row_version))
    return;
  rollout->base_status = *status;
  rollout->base_status_version = row_version;
  if (!base[0] || (front_rollout_is_running (rollout) && strcmp (base, rollout->order.target) == 0))
    return;
  snprintf (rollout->base, sizeof rollout->base, "%s", base);
}
