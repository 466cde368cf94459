/**
 * A backend server as this process knows it: its entry in the list, the work that we have there,
 * and how it has treated us.
 */
#ifndef FRONT_SERVER_H
#define FRONT_SERVER_H

#include "front_cold.h"
#include "front_health.h"
#include "front_peer_load.h"
#include "front_prompts.h"
#include "front_server_entry.h"
#include <netinet/in.h>
#include <urcu/list.h>

/** From best to worst: a request goes to a server of a better state first, within READY and COLD by
 * predicted time. */
typedef enum
{
  FRONT_SERVER_READY,
  FRONT_SERVER_COLD,        /**< started lately, and slow for a while */
  FRONT_SERVER_AVOIDED,     /**< unreachable, failing or full: used if there is no better one */
  FRONT_SERVER_UNCONFIRMED, /**< gone from the list while the store could not be trusted: the same
                             */
  FRONT_SERVER_EVACUATED,   /**< in a failure domain that is to get no work for now */
  FRONT_SERVER_LEAVING,     /**< draining, or its address belongs to another server: no new work */
  FRONT_SERVER_GONE,        /**< not listed any more */
  FRONT_SERVER_STATES
} FrontServerState;

typedef struct FrontServer
{
  struct cds_list_head node;
  struct cds_list_head bucket; /**< by hash of the id */
  ServerEntry entry;
  struct sockaddr_in address;
  uint64_t hash;       /**< of the id and the start, the same on every VM */
  bool is_same_domain; /**< in our own failure domain */
  bool leaving;        /**< draining, or its address belongs to another server: no new work */
  bool evacuated;      /**< its failure domain is to get no work for now */
  bool listed;         /**< false: freed as soon as nothing refers to it */
  bool restarted;      /**< a later start of the same id is known: what ran here is lost */
  bool unconfirmed;    /**< gone from the list while the store could not be trusted */
  int64_t unconfirmed_until_ms; /**< gone unless it is back by then */
  int64_t cold_until_ms;
  int64_t returned_ms; /**< when an evacuation of its failure domain was taken back; 0: never */
  ColdSends cold_sends;
  unsigned references;  /**< attempts that hold it */
  unsigned running;     /**< our requests there */
  double pending_ms;    /**< prompts that we sent and whose answer has not begun: predicted work */
  double running_share; /**< of them, those of model engines, each counted by its model's share */
  FrontPeerLoad peer_load; /**< what other fronts sent there */
  double unreported_ms;    /**< reading that we sent there and others don't know of yet */
  double unreported_share; /**< requests, likewise */
  FrontHealth health;
  FrontPrompts prompts;
} FrontServer;

/** Another server answered at its address: it has ended, though the list doesn't say so yet. */
void front_server_lost_address (FrontServer *server);
/** False if it gets nothing at all, however good it is; the states from EVACUATED on. */
bool front_server_takes_work (const FrontServer *server);
/** What its entry, the list and its treatment of requests say together. */
FrontServerState front_server_state (const FrontServer *server, int64_t now_ms);
/** Lower-case name, as in logs and metrics. */
const char *front_server_state_name (FrontServerState state);

#endif
