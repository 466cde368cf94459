#include "front_canary.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a server's slots that its work takes meanwhile: more than on any ordinary day, and less
 * than what makes callers wait. */
#define CANARY_LOAD   0.65
#define SLOTS_DEFAULT 8
/* Milliseconds between two choices of the servers. */
#define CHOICE_INTERVAL_MS 500
/* Samples without which a front goes on to take some in the second stage: it has started within
 * that stage, or shortly before. */
#define SAMPLES_MIN 20

static bool
runs_version (const FrontServer *server, const FrontRollout *rollout, const char *version)
{
  return front_server_takes_work (server) && strcmp (server->entry.service, rollout->service) == 0
         && strcmp (server->entry.version, version) == 0;
}

static int
compare_hashes (const void *left, const void *right)
{
  uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

  return (a > b) - (a < b);
}

/* Number of servers that the new version's share of the work loads as intended; at least 1. */
static unsigned
canary_count (const FrontRollout *rollout, unsigned slots, unsigned fronts, int64_t now_ms)
{
  double running = rollout->running_sum / rollout->running_samples * fronts;
  double count = round (running * front_rollout_share (rollout, now_ms)
                        / (CANARY_LOAD * (slots ? slots : SLOTS_DEFAULT)));

  return (unsigned)fmax (1, count);
}

static void
choose_servers (FrontRollout *rollout, FrontServers *servers, unsigned fronts, int64_t now_ms)
{
  uint64_t *hashes = memory_alloc ((front_servers_count (servers) + 1) * sizeof *hashes);
  unsigned n = 0, slots = 0, count;
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (!runs_version (server, rollout, rollout->order.target))
      continue;
    hashes[n++] = server->hash;
    slots = server->entry.slots;
  }
  qsort (hashes, n, sizeof *hashes, compare_hashes);
  count = canary_count (rollout, slots, fronts, now_ms);
  rollout->canary_hash_max = count < n ? hashes[count - 1] : UINT64_MAX;
  free (hashes);
}

void
front_canary_update (FrontRollout *rollout,
                     FrontServers *servers,
                     const CanaryLoad *load,
                     int64_t now_ms)
{
  bool is_loading = front_rollout_is_loading (rollout, now_ms);

  if (!front_rollout_is_running (rollout))
    return;
  if (!is_loading || rollout->running_samples < SAMPLES_MIN)
    {
      rollout->running_sum += load->running;
      rollout->running_samples++;
    }
  if (!is_loading || now_ms - rollout->canary_chosen_ms < CHOICE_INTERVAL_MS)
    return;
  rollout->canary_chosen_ms = now_ms;
  choose_servers (rollout, servers, load->fronts, now_ms);
}

uint64_t
front_canary_hash_max (const FrontRollout *rollout, const char *version, int64_t now_ms)
{
  if (!front_rollout_is_loading (rollout, now_ms) || rollout->canary_chosen_ms == 0
      || strcmp (version, rollout->order.target) != 0)
    return UINT64_MAX;
  return rollout->canary_hash_max;
}
