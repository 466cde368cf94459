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
#include <event2/listener.h>
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
  uint64_t vm_hash;   /**< of this VM's name */
  ColdView fronts;    /**< what is known of the number of fronts */
  bool servers_known; /**< the whole list was read once */
  FrontSessions *sessions;
  FrontRollouts *rollouts;
  FrontBudget *budget;
  Quarantine *quarantine;
  FrontLag lag; /**< of engines' answers */
  FrontSpeeds speeds;
  FrontPrompts caller_prompts; /**< what our callers ask for, wherever it was sent */
  FrontStore *store;
  FrontPeers *peers;
  FrontControl *control;           /**< NULL until it listens */
  struct evconnlistener *listener; /**< for callers; see front_open */
  int64_t started_ms;
  bool is_open;                  /**< callers' connections are accepted */
  struct cds_list_head conns;    /**< FrontConn by node */
  struct cds_list_head requests; /**< FrontRequest by node */
  unsigned conn_count;
  unsigned request_count;
  int64_t stop_ms; /**< when the stop was asked for; 0: it wasn't */
} Front;

/** True if callers may be sent here: everything needed to serve them is known. */
bool front_is_ready (const Front *front);
/** Accepts callers' connections as soon as they can be served, or after FRONT_OPEN_DELAY_MS to
 * refuse what can't be. Until then the system keeps them: after a loss of all VMs callers come back
 * while the fronts still ask each other for the configuration, 0.02 to 0.6 s, and each one refused
 *  meanwhile had to come back half a second later, for the last time that it tries. */
void front_open (Front *front, int64_t now_ms);
/** Half of the shortest time in which a caller gives up on a request that isn't read. */
#define FRONT_OPEN_DELAY_MS 500
/** Hash of a failure domain's name, as fronts tell it each other; never 0. */
uint32_t front_failure_domain_hash (const char *name);

#endif
