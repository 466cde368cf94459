/**
 * The whole of a front's process: its event loop and the state that its modules share. One thread
 * runs the loop, so none of it is locked.
 */
#ifndef FRONT_H
#define FRONT_H

#include "choose_quarantine.h"
#include "front_budget.h"
#include "front_config.h"
#include "front_lag.h"
#include "front_rollouts.h"
#include "front_servers.h"
#include "front_sessions.h"
#include "front_speeds.h"
#include "settings_front.h"
#include <event2/event.h>
#include <urcu/list.h>

typedef struct FrontStore FrontStore;
typedef struct FrontPeers FrontPeers;
typedef struct FrontControl FrontControl;

typedef struct Front
{
  struct event_base *base;
  SettingsFront settings;
  uint64_t incarnation; /**< random, of this process */
  FrontConfig *config;  /**< NULL until one is known */
  FrontServers *servers;
  bool servers_known; /**< the whole list was read once */
  FrontSessions *sessions;
  FrontRollouts *rollouts;
  FrontBudget *budget;
  Quarantine *quarantine;
  FrontLag lag; /**< of engines' answers */
  FrontSpeeds speeds;
  FrontStore *store;
  FrontPeers *peers;
  FrontControl *control; /**< NULL until it listens */
  struct cds_list_head conns;    /**< FrontConn by node */
  struct cds_list_head requests; /**< FrontRequest by node */
  unsigned conn_count;
  unsigned request_count;
  int64_t stop_ms; /**< when the stop was asked for; 0: it wasn't */
} Front;

/** True if callers may be sent here: everything needed to serve them is known. */
bool front_is_ready (const Front *front);
/** Hash of a failure domain's name, as fronts tell it each other; never 0. */
uint32_t front_failure_domain (const char *name);

#endif
