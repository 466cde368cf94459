/**
 * This steward's state of the cluster: the protocol logic of cluster_state.h behind one lock, for
 * use by several threads.
 */
#ifndef STEWARD_CLUSTER_H
#define STEWARD_CLUSTER_H

#include "cluster_grant.h"
#include "steward.h"

/** State of a member as this steward sees it. */
typedef enum
{
  STEWARD_MEMBER_SELF,
  STEWARD_MEMBER_ALIVE,
  STEWARD_MEMBER_SUSPECT, /**< no information about it for longer than a few heartbeats take */
  STEWARD_MEMBER_DEAD     /**< no information about it for longer than any grant of it can last */
} StewardMemberState;

/** How far a configuration number has taken effect on the members. */
typedef struct
{
  bool accepted;
  size_t members;          /**< members of the view */
  size_t members_in_force; /**< those known to apply the number or a newer one */
  bool in_force;           /**< accepted, and no member takes new work under a lower number */
} StewardProgress;

void steward_cluster_init (StewardCluster *c, uint64_t incarnation, int64_t grant_ms);
void steward_cluster_clear (StewardCluster *c);

/** Applies the newest document as far as this VM's gates have it in force. To be called whenever
 * the document or a gate may have changed. */
void steward_cluster_apply (Steward *s);
/** Time, in ms of this VM's clock, after which a grant of grant_ms given on another VM has ended
 * for certain. */
int64_t steward_cluster_grant_bound_ms (int64_t grant_ms);
/** The grant that may be given to a gate now. The caller holds the cluster's lock. */
ClusterGrant steward_cluster_grant_now (const Steward *s, int64_t now);
/** Time, in ms from now, for which new work may be taken; 0: none. */
int64_t steward_cluster_grant (Steward *s, int64_t now);
/** How far a number has taken effect. */
StewardProgress steward_cluster_progress (Steward *s, int64_t number, int64_t now);
/** Adopts a view (cluster_state_adopt_view). The caller holds the cluster's lock. */
bool steward_cluster_adopt_view (Steward *s, const ClusterView *view, int64_t now);
/** Waits until the state may have changed, at most ms. */
void steward_cluster_wait (Steward *s, int64_t ms);
/** True once a graceful stop has begun: all waits end then. */
bool steward_cluster_leaving (Steward *s);
/** Wakes all threads in steward_cluster_wait. */
void steward_cluster_notify (Steward *s);

/** The number that this steward applies; 0: none. */
int64_t steward_cluster_number (Steward *s);
/** The newest number that this steward has seen. */
int64_t steward_cluster_wanted_number (Steward *s);
/** True if another member has reported a newer view than the one adopted here. */
bool steward_cluster_wants_view (Steward *s);
/** A copy of the view; freed with free. */
ClusterView *steward_cluster_view (Steward *s);
/** Number of members of the view, dead ones included. */
size_t steward_cluster_members (Steward *s);
/** Number of members that are not dead, this one included; at least 1. */
size_t steward_cluster_live (Steward *s, int64_t now);
/** True if this steward is the first member of the view that is alive. That member makes the writes
 * that any member may make, so that they don't conflict. */
bool steward_cluster_is_first_alive (Steward *s, int64_t now);

/** Determines again which members are silent and why, and logs changes. */
void steward_cluster_update_suspicion (Steward *s, int64_t now);

/** State of a member of the view. *age_ms receives the age of the last information about it, -1 if
 * there is none. The caller holds the cluster's lock. */
StewardMemberState steward_cluster_member_state (const Steward *s,
                                                 const ClusterMember *m,
                                                 int64_t now,
                                                 int64_t *age_ms);
const char *steward_member_state_name (StewardMemberState state);

#endif
