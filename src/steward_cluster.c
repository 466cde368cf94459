#include "steward_cluster.h"
#include "cluster_grant.h"
#include "cluster_view.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>

/* Up to this number of members each member is asked directly more than once per second. */
#define SMALL_CLUSTER_MEMBERS 16
/* A member is dead after silence of this many times the grants' duration: no grant of it can be in
   use any more. */
#define DEAD_AFTER_GRANTS 3
/* Added to the drift between the clocks of two VMs, one part in CLUSTER_DRIFT_PARTS, since each
   side rounds. */
#define BOUND_MARGIN_MS 20

int64_t
steward_cluster_grant_bound_ms (int64_t grant_ms)
{
  return grant_ms + grant_ms / CLUSTER_DRIFT_PARTS * 2 + BOUND_MARGIN_MS;
}

void
steward_cluster_init (StewardCluster *c, uint64_t incarnation, int64_t grant_ms)
{
  *c = (StewardCluster){ .state = cluster_state_new (incarnation, grant_ms) };
  pthread_mutex_init (&c->lock, NULL);
  wait_init (&c->changed);
}

void
steward_cluster_clear (StewardCluster *c)
{
  cluster_state_free (c->state);
  pthread_cond_destroy (&c->changed);
  pthread_mutex_destroy (&c->lock);
}

/* The gates are read under the cluster's lock, so that none is given a grant for a lower number
   between this read and the moment when this steward reports that it applies the number (see
   steward_rpc.c). */
void
steward_cluster_apply (Steward *s)
{
  int64_t newest = steward_document_number (&s->document);
  int64_t number;
  bool applied;

  pthread_mutex_lock (&s->cluster.lock);
  number = steward_gates_lowest_number (&s->gates, newest, clock_boot_ms ());
  applied = cluster_state_apply (s->cluster.state, number);
  INVARIANT (cluster_state_number (s->cluster.state) <= newest, "applied=\"%lld\" newest=\"%lld\"",
             (long long)cluster_state_number (s->cluster.state), (long long)newest);
  if (applied)
    pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
  if (applied)
    log_msg (MSG_STEWARD_APPLIED, "config=\"%lld\"", (long long)number);
}

/* True if a number counts as in force only once this steward applies it: it is a member, or at
   the address of one. Any other steward gets no grant: on a proof by its peers it could take work
   under an older number after the newer one counts as in force. This occurs after a graceful stop
   and a restart during an outage of the table service, when it can't be registered yet. */
static bool
is_waited_for (const Steward *s)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);

  return cluster_view_find (view, s->incarnation) >= 0
         || cluster_view_find_slot (view, s->self.address, s->self.port) >= 0;
}

ClusterGrant
steward_cluster_grant_now (const Steward *s, int64_t now)
{
  ClusterGrant grant = cluster_grant (s->cluster.state, now);

  if (!is_waited_for (s))
    {
      grant.until = CLUSTER_NEVER;
      grant.proof = CLUSTER_PROOF_NONE;
    }
  return grant;
}

int64_t
steward_cluster_grant (Steward *s, int64_t now)
{
  ClusterGrant grant;
  int64_t left;
  bool changed;

  pthread_mutex_lock (&s->cluster.lock);
  grant = steward_cluster_grant_now (s, now);
  left = cluster_grant_left (&grant, now);
  changed = s->cluster.granted != (left > 0);
  s->cluster.granted = left > 0;
  pthread_mutex_unlock (&s->cluster.lock);
  if (changed)
    log_msg (left > 0 ? MSG_STEWARD_GRANT : MSG_STEWARD_GRANT_LOST,
             "config=\"%lld\" proof=\"%s\" voters=\"%zu\" needed=\"%zu\"", (long long)grant.number,
             cluster_proof_name (grant.proof), grant.voters, grant.needed);
  return left;
}

static bool
lacks_address (const ClusterView *view, const ClusterView *before)
{
  for (size_t i = 0; i < before->count; i++)
    if (cluster_view_find_slot (view, before->members[i].address, before->members[i].port) < 0)
      return true;
  return false;
}

/* A member may have been removed just before the first view that this steward adopts, unless that
   is view number 1. */
bool
steward_cluster_adopt_view (Steward *s, const ClusterView *view, int64_t now)
{
  StewardCluster *c = &s->cluster;
  const ClusterView *ours = cluster_state_view (c->state);
  bool lost = ours->number == 0 ? view->number > 1 : lacks_address (view, ours);

  if (!cluster_state_adopt_view (c->state, view))
    return false;
  if (lost || c->member_left)
    c->member_left_at = now;
  c->member_left = (lost || c->member_left) && !view->established;
  return true;
}

/* A VM that left the view at a graceful stop and was started again during an outage of the table
   service may have a grant by peers that still had the view with its address. The next view doesn't
   contain it, so a number could count as in force while that VM takes work under a lower one. Once
   that view is established no majority supports the grant any more (a voter that has seen a newer
   view is not counted), so it ends grant_ms later at the latest. */
static bool
unseen_grant_possible (const Steward *s, int64_t now)
{
  const StewardCluster *c = &s->cluster;

  return c->member_left
         || (c->member_left_at != 0
             && now - c->member_left_at <= steward_cluster_grant_bound_ms (s->settings.grant_ms));
}

StewardProgress
steward_cluster_progress (Steward *s, int64_t number, int64_t now)
{
  StewardProgress progress = { 0 };
  const ClusterState *state = s->cluster.state;

  pthread_mutex_lock (&s->cluster.lock);
  const ClusterView *view = cluster_state_view (state);
  progress.accepted = cluster_state_accepted (state) >= number;
  progress.members = view->count;
  for (size_t i = 0; i < view->count; i++)
    {
      const ClusterProgress *k = cluster_state_progress (state, view->members[i].incarnation);
      if (k != NULL && k->number >= number)
        progress.members_in_force++;
    }
  progress.in_force = progress.accepted && progress.members > 0
                      && progress.members_in_force == progress.members
                      && !unseen_grant_possible (s, now);
  pthread_mutex_unlock (&s->cluster.lock);
  return progress;
}

void
steward_cluster_wait (Steward *s, int64_t ms)
{
  pthread_mutex_lock (&s->cluster.lock);
  (void)wait_ms (&s->cluster.changed, &s->cluster.lock, ms);
  pthread_mutex_unlock (&s->cluster.lock);
}

bool
steward_cluster_leaving (Steward *s)
{
  bool leaving;

  pthread_mutex_lock (&s->cluster.lock);
  leaving = cluster_state_leaving (s->cluster.state);
  pthread_mutex_unlock (&s->cluster.lock);
  return leaving;
}

void
steward_cluster_notify (Steward *s)
{
  pthread_mutex_lock (&s->cluster.lock);
  pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
}

int64_t
steward_cluster_number (Steward *s)
{
  int64_t number;

  pthread_mutex_lock (&s->cluster.lock);
  number = cluster_state_number (s->cluster.state);
  pthread_mutex_unlock (&s->cluster.lock);
  return number;
}

int64_t
steward_cluster_wanted_number (Steward *s)
{
  int64_t number;

  pthread_mutex_lock (&s->cluster.lock);
  number = cluster_state_wanted_number (s->cluster.state);
  pthread_mutex_unlock (&s->cluster.lock);
  return number;
}

bool
steward_cluster_wants_view (Steward *s)
{
  bool wants;

  pthread_mutex_lock (&s->cluster.lock);
  wants = cluster_state_wanted_view (s->cluster.state)
          > cluster_state_view (s->cluster.state)->number;
  pthread_mutex_unlock (&s->cluster.lock);
  return wants;
}

ClusterView *
steward_cluster_view (Steward *s)
{
  ClusterView *view = memory_alloc (sizeof *view);

  pthread_mutex_lock (&s->cluster.lock);
  *view = *cluster_state_view (s->cluster.state);
  pthread_mutex_unlock (&s->cluster.lock);
  return view;
}

size_t
steward_cluster_members (Steward *s)
{
  size_t count;

  pthread_mutex_lock (&s->cluster.lock);
  count = cluster_state_view (s->cluster.state)->count;
  pthread_mutex_unlock (&s->cluster.lock);
  return count;
}

/* Among many members, information about one takes several rounds of asks to arrive here. */
static int64_t
suspect_ms (const Steward *s)
{
  size_t members = cluster_state_view (s->cluster.state)->count;

  return members <= SMALL_CLUSTER_MEMBERS ? s->settings.grant_ms / 2 : s->settings.grant_ms;
}

StewardMemberState
steward_cluster_member_state (const Steward *s,
                              const ClusterMember *m,
                              int64_t now,
                              int64_t *age_ms)
{
  const ClusterProgress *k = cluster_state_progress (s->cluster.state, m->incarnation);
  int64_t grant_ms = s->settings.grant_ms;

  *age_ms = 0;
  if (m->incarnation == s->incarnation)
    return STEWARD_MEMBER_SELF;
  *age_ms = -1;
  if (k == NULL || k->as_of == CLUSTER_NEVER)
    return STEWARD_MEMBER_DEAD;
  *age_ms = now > k->as_of ? now - k->as_of : 0;
  if (*age_ms <= suspect_ms (s))
    return STEWARD_MEMBER_ALIVE;
  return *age_ms <= DEAD_AFTER_GRANTS * grant_ms ? STEWARD_MEMBER_SUSPECT : STEWARD_MEMBER_DEAD;
}

const char *
steward_member_state_name (StewardMemberState state)
{
  static const char *const names[] = { [STEWARD_MEMBER_SELF] = "self",
                                       [STEWARD_MEMBER_ALIVE] = "alive",
                                       [STEWARD_MEMBER_SUSPECT] = "suspect",
                                       [STEWARD_MEMBER_DEAD] = "dead" };

  return names[state];
}

size_t
steward_cluster_live (Steward *s, int64_t now)
{
  size_t live = 0;
  bool self = false;
  int64_t age_ms;

  pthread_mutex_lock (&s->cluster.lock);
  const ClusterView *view = cluster_state_view (s->cluster.state);
  for (size_t i = 0; i < view->count; i++)
    {
      StewardMemberState state = steward_cluster_member_state (s, &view->members[i], now, &age_ms);
      live += state != STEWARD_MEMBER_DEAD;
      self |= state == STEWARD_MEMBER_SELF;
    }
  pthread_mutex_unlock (&s->cluster.lock);
  return self ? live : live + 1;
}

bool
steward_cluster_is_first_alive (Steward *s, int64_t now)
{
  bool first = false;
  int64_t age_ms;

  pthread_mutex_lock (&s->cluster.lock);
  const ClusterView *view = cluster_state_view (s->cluster.state);
  for (size_t i = 0; i < view->count; i++)
    {
      StewardMemberState state = steward_cluster_member_state (s, &view->members[i], now, &age_ms);
      if (state == STEWARD_MEMBER_SELF || state == STEWARD_MEMBER_ALIVE)
        {
          first = state == STEWARD_MEMBER_SELF;
          break;
        }
    }
  pthread_mutex_unlock (&s->cluster.lock);
  return first;
}

static StewardSuspicion
classify_silence (const Steward *s, int64_t now)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);
  bool silent[CLUSTER_MEMBERS_MAX] = { false };
  int64_t age_ms;

  /* The members have not been asked often enough since the start to be classified as silent. */
  if (now - s->started_at < DEAD_AFTER_GRANTS * s->settings.grant_ms)
    return (StewardSuspicion){ 0 };
  for (size_t i = 0; i < view->count; i++)
    {
      StewardMemberState state = steward_cluster_member_state (s, &view->members[i], now, &age_ms);
      silent[i] = state == STEWARD_MEMBER_SUSPECT || state == STEWARD_MEMBER_DEAD;
    }
  return steward_suspicion_classify (view, silent, cluster_view_find (view, s->incarnation));
}

void
steward_cluster_update_suspicion (Steward *s, int64_t now)
{
  StewardSuspicion *kept = &s->cluster.suspicion;
  StewardSuspicion found;
  bool changed;

  pthread_mutex_lock (&s->cluster.lock);
  found = classify_silence (s, now);
  changed = found.kind != kept->kind;
  *kept = found;
  pthread_mutex_unlock (&s->cluster.lock);
  if (changed && found.kind == STEWARD_SUSPECT_SELF)
    log_msg (MSG_STEWARD_SELF_SUSPECT, "silent=\"%zu\" others=\"%zu\"", found.silent, found.others);
  if (changed && found.kind == STEWARD_SUSPECT_DOMAIN)
    log_msg (MSG_STEWARD_DOMAIN_SUSPECT, "failure_domain=\"%s\" silent=\"%zu\"",
             found.failure_domain, found.silent);
}
