/**
 * What this steward knows of the cluster, behind one lock: questions that several threads ask.
 */
#ifndef STEWARD_CLUSTER_H
#define STEWARD_CLUSTER_H

#include "cluster_grant.h"
#include "steward.h"

/** How a member is seen from here. */
typedef enum
{
  STEWARD_MEMBER_SELF,
  STEWARD_MEMBER_ALIVE,
  STEWARD_MEMBER_SUSPECT, /**< silent for longer than a few heartbeats */
  STEWARD_MEMBER_DEAD     /**< silent for longer than any grant of it can last */
} StewardMemberState;

/** How far a number has come. */
typedef struct
{
  bool accepted;
  size_t members;          /**< of the view */
  size_t members_in_force; /**< those known to apply the number or a newer one */
  bool in_force;           /**< accepted, and nobody takes new work under a lower number */
} StewardProgress;

void steward_cluster_init (StewardCluster *c, uint64_t incarnation, int64_t grant_ms);
void steward_cluster_clear (StewardCluster *c);

/** Applies the newest document as far as the gates have it in force. Call it whenever one of them
 *  may have changed. */
void steward_cluster_apply (Steward *s);
/** Milliseconds on our clock after which a grant of grant_ms on another VM's has ended. */
int64_t steward_cluster_grant_bound_ms (int64_t grant_ms);
/** What may be granted to a gate; the cluster's lock is held. */
ClusterGrant steward_cluster_grant_now (const Steward *s, int64_t now);
/** Milliseconds that new work may be taken from now on, 0 for none. */
int64_t steward_cluster_grant (Steward *s, int64_t now);
StewardProgress steward_cluster_progress (Steward *s, int64_t number, int64_t now);
/** Takes a view over (cluster_state_adopt_view); the cluster's lock is held. */
bool steward_cluster_adopt_view (Steward *s, const ClusterView *view, int64_t now);
/** Waits until something may have changed, at most ms. */
void steward_cluster_wait (Steward *s, int64_t ms);
/** True once a planned stop has begun: nobody waits any longer. */
bool steward_cluster_leaving (Steward *s);
/** Wakes those who wait. */
void steward_cluster_notify (Steward *s);

int64_t steward_cluster_number (Steward *s);
int64_t steward_cluster_wanted_number (Steward *s);
/** True if a newer view than ours was heard of. */
bool steward_cluster_wants_view (Steward *s);
/** Copies the view; freed with free. */
ClusterView *steward_cluster_view (Steward *s);
size_t steward_cluster_members (Steward *s);
/** Members heard of within their grants, ourselves included; at least 1. */
size_t steward_cluster_live (Steward *s, int64_t now);
/** True if we are the first member of the view that is alive: the one that does at once what any
 *  may do. */
bool steward_cluster_is_first_alive (Steward *s, int64_t now);

/** Looks anew at who is silent, and logs what changed. */
void steward_cluster_update_suspicion (Steward *s, int64_t now);

/** State of the member at that place of the view; *age_ms receives the age of its news, -1 if there
 *  is none. The lock is held by the caller. */
StewardMemberState steward_cluster_member_state (const Steward *s,
                                                 const ClusterMember *m,
                                                 int64_t now,
                                                 int64_t *age_ms);
const char *steward_member_state_name (StewardMemberState state);

#endif
