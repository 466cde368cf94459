#include "steward_removal.h"
#include "steward_cluster.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/** Time since which a member has been both missing in the list and silent. */
typedef struct
{
  uint64_t incarnation;
  int64_t since;
} Missing;

struct StewardRemoval
{
  int64_t next_read_at; /**< time of the next read of the list */
  size_t count;
  Missing missing[CLUSTER_MEMBERS_MAX];
};

StewardRemoval *
steward_removal_new (void)
{
  return memory_alloc (sizeof (StewardRemoval));
}

void
steward_removal_free (StewardRemoval *r)
{
  free (r);
}

static bool
is_listed (const PlatformVms *vms, const char *name)
{
  for (size_t i = 0; i < vms->count; i++)
    if (strcmp (vms->vms[i].name, name) == 0)
      return true;
  return false;
}

static int64_t
missing_since (const StewardRemoval *r, uint64_t incarnation, int64_t now)
{
  for (size_t i = 0; i < r->count; i++)
    if (r->missing[i].incarnation == incarnation)
      return r->missing[i].since;
  return now;
}

static bool
is_silent (Steward *s, const ClusterMember *m, int64_t now)
{
  StewardMemberState state;
  int64_t age_ms;

  pthread_mutex_lock (&s->cluster.lock);
  state = steward_cluster_member_state (s, m, now, &age_ms);
  pthread_mutex_unlock (&s->cluster.lock);
  return state == STEWARD_MEMBER_DEAD;
}

/* True if more than half of the other listed members are alive, so that the silence is not due to
   this VM's own network. The lock is held by the caller. */
static bool
most_listed_alive (Steward *s, const ClusterView *view, const PlatformVms *vms, int64_t now)
{
  size_t others = 0;
  size_t alive = 0;
  int64_t age_ms;

  for (size_t i = 0; i < view->count; i++)
    {
      StewardMemberState state = steward_cluster_member_state (s, &view->members[i], now, &age_ms);
      if (state == STEWARD_MEMBER_SELF || !is_listed (vms, view->members[i].vm))
        continue;
      others++;
      alive += state == STEWARD_MEMBER_ALIVE;
    }
  return 2 * alive > others;
}

/* While this VM's own network is suspected, silence says nothing about the others. The exception
   is the replacement of all VMs at once: half of the members are then old ones that never answer
   again, and unless they were removed no majority could accept a configuration. */
static bool
silence_counts (Steward *s, const ClusterView *view, const PlatformVms *vms, int64_t now)
{
  bool counts;

  pthread_mutex_lock (&s->cluster.lock);
  counts
      = s->cluster.suspicion.kind != STEWARD_SUSPECT_SELF || most_listed_alive (s, view, vms, now);
  pthread_mutex_unlock (&s->cluster.lock);
  return counts;
}

/* A list that lacks this VM is of another site, or wrong: no member is removed because of it. */
size_t
steward_removal_select (StewardRemoval *r,
                        Steward *s,
                        const ClusterView *view,
                        const PlatformVms *vms,
                        int64_t now,
                        uint64_t **dead)
{
  StewardRemoval *next = steward_removal_new ();
  size_t count = 0;

  *dead = memory_array (view->count + 1, sizeof **dead);
  bool usable = is_listed (vms, s->self.vm) && silence_counts (s, view, vms, now);
  for (size_t i = 0; usable && i < view->count; i++)
    {
      const ClusterMember *m = &view->members[i];
      if (is_listed (vms, m->vm) || !is_silent (s, m, now))
        continue;
      int64_t since = missing_since (r, m->incarnation, now);
      next->missing[next->count++] = (Missing){ .incarnation = m->incarnation, .since = since };
      if (now - since >= STEWARD_LIST_LAG_MS)
        (*dead)[count++] = m->incarnation;
    }
  r->count = next->count;
  memcpy (r->missing, next->missing, sizeof r->missing);
  steward_removal_free (next);
  return count;
}

size_t
steward_removal_due (StewardRemoval *r,
                     Steward *s,
                     const ClusterView *view,
                     int64_t now,
                     uint64_t **dead)
{
  PlatformVms vms = { 0 };
  size_t count = 0;

  *dead = NULL;
  if (now < r->next_read_at)
    return 0;
  r->next_read_at = now + STEWARD_LIST_INTERVAL_MS;
  if (s->platform->ops->vm_list (s->platform, STEWARD_TABLE_TIMEOUT_MS, &vms, NULL) != STATUS_OK)
    return 0;
  count = steward_removal_select (r, s, view, &vms, now, dead);
  platform_vms_clear (&vms);
  return count;
}
