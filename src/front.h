/**
 * The state of the lovage-front process: its event loop and everything that its modules share. All
 * of it runs on the event loop's one thread, so none of it is locked.
 */
#ifndef FRONT_H
#define FRONT_H

#include "choose_quarantine.h"
#include "front_answer_time.h"
#include "front_budget.h"
#include "front_config.h"
#include "front_descriptors.h"
#include "front_hedge.h"
#include "front_holding.h"
#include "front_lag.h"
#include "front_link.h"
#include "front_memory.h"
#include "front_parts.h"
#include "front_reach.h"
#include "front_returning.h"
#include "front_rollouts.h"
#include "front_servers.h"
#include "front_sessions.h"
#include "front_share.h"
#include "front_speeds.h"
#include "front_team_use.h"
#include "front_waiting.h"
#include "front_waits.h"
#include "settings_front.h"
#include <event2/event.h>
#include <event2/listener.h>
#include <urcu/list.h>

typedef struct FrontStore FrontStore;
typedef struct FrontPeers FrontPeers;
typedef struct FrontControl FrontControl;

typedef struct Front
{
  struct event_base *base;
  SettingsFront settings;
  uint64_t incarnation; /**< random; differs between runs of the process */
  FrontConfig *config;  /**< NULL until one is known */
  FrontServers *servers;
  uint64_t vm_hash;   /**< of this VM's name */
  FrontsView fronts;  /**< estimate of the number of fronts */
  bool servers_known; /**< the complete list was read at least once */
  FrontSessions *sessions;
  FrontRollouts *rollouts;
  FrontBudget *budget;
  FrontHedge *hedge;
  Quarantine *quarantine;
  FrontParts *parts;
  FrontLag lag;       /**< of model engines' answers */
  FrontLink link;     /**< of this VM; requests and answers, not what is told between fronts */
  FrontMemory memory; /**< of what is held for callers */
  struct cds_list_head waiting_attempts; /**< FrontAttempt: answers that wait for memory */
  struct FrontAttempt *reading_attempt;  /**< whose answer is read on while they do */
  FrontWaits *waits;  /**< of model engines; filled only where front_is_contended */
  uint32_t wait_keys; /**< of attempts so far, for front_waits */
  FrontSpeeds speeds;
  FrontAnswerTimes answer_times;
  FrontTeamUse team_use; /**< of requests received here */
  FrontReach reach;
  struct FrontPool *pool;      /**< idle connections to backend servers */
  uint16_t callers_port;       /**< the same at all fronts; network order */
  FrontPrompts caller_prompts; /**< of requests received here, wherever they were sent */
  FrontStore *store;
  FrontPeers *peers;
  FrontControl *control;           /**< NULL until it listens */
  struct evconnlistener *listener; /**< for callers; disabled until front_open */
  int64_t started_ms;              /**< start of the process, boot-time clock */
  bool is_accept_paused;           /**< until the next tick, for lack of descriptors */
  bool is_open;                    /**< callers' connections are accepted */
  struct cds_list_head conns;      /**< FrontConn by node */
  struct cds_list_head requests;   /**< FrontRequest by node */
  FrontWaiting waiting;            /**< those of them that wait for room at a server */
  FrontReturning returning;        /**< and those that go back to a full one */
  FrontHolding holding;            /**< and those that are held while engines are full */
  FrontDescriptors descriptors;    /**< most connections of each kind */
  unsigned conn_count;
  unsigned attempt_count;
  unsigned request_count;
  int64_t stop_requested_ms; /**< of a graceful stop, boot-time clock; 0: none */
} Front;

/** True once everything that is needed to serve callers is known, and until a stop is requested. */
bool front_is_ready (const Front *front);
/** True if the settings and the configuration in force ask for work to be ordered under load. */
bool front_is_contended (const Front *front);
/** True if connections to backend servers are kept after an answer, and used again. */
bool front_keeps_connections (const Front *front);
/** Retry-After of requests that a stop leaves no time for: another front accepts them at once. */
#define FRONT_RETRY_AFTER_STOPPING_MS 50
/** Milliseconds in which a request that arrives now can still be served; INT64_MAX if no stop was
 *  requested. */
int64_t front_stop_left_ms (const Front *front, int64_t now_ms);
/** Starts to accept callers' connections as soon as front_is_ready, or FRONT_OPEN_DELAY_MS after
 *  the start, when requests that can't be served are refused. Until then connections wait in the
 *  kernel's backlog: after a power loss of all VMs the fronts need 0.02 to 0.6 s to fetch the
 *  configuration from each other, and a caller refused in that time has one attempt left, half a
 *  second later. */
void front_open (Front *front, int64_t now_ms);
/** Half of the shortest time after which a caller gives up on a request that is not read. */
#define FRONT_OPEN_DELAY_MS 500
/** Hash that identifies a failure domain in messages between fronts; never 0. */
uint32_t front_failure_domain_hash (const char *name);

#endif
