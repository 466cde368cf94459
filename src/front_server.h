/**
 * A backend server as known to this process: its entry in the platform's list, our work there, and
 * its health.
 */
#ifndef FRONT_SERVER_H
#define FRONT_SERVER_H

#include "front_answer_time.h"
#include "front_brittle.h"
#include "front_cold.h"
#include "front_health.h"
#include "front_limit.h"
#include "front_peer_load.h"
#include "front_prompts.h"
#include "front_server_entry.h"
#include "util_index.h"
#include <netinet/in.h>

/** From best to worst. Requests go to a server in a better state first; READY and COLD servers are
 *  compared by predicted time. */
typedef enum
{
  FRONT_SERVER_READY,
  FRONT_SERVER_COLD,    /**< started recently, and slow for a while */
  FRONT_SERVER_AVOIDED, /**< unreachable, failing or full: used only if there is no better one */
  FRONT_SERVER_UNCONFIRMED, /**< removed from the list shortly after an outage of the store, which
                               may have let the entry expire: used only if there is no better one */
  FRONT_SERVER_RESTING,     /**< turned away a request of this front and asked for rest: no work
                               meanwhile */
  FRONT_SERVER_EVACUATED,   /**< in a failure domain that gets no work for now */
  FRONT_SERVER_LEAVING,     /**< draining, or its address belongs to another server: no new work */
  FRONT_SERVER_GONE,        /**< no longer listed */
  FRONT_SERVER_STATES
} FrontServerState;

typedef struct FrontServer
{
  struct cds_list_head node;
  IndexEntry by_id;
  IndexEntry by_hash;
  struct FrontServers *owner;
  ServerEntry entry;
  struct sockaddr_in address;
  uint64_t hash;       /**< of the id and the start time, the same on every VM */
  bool is_same_domain; /**< in our own failure domain */
  bool leaving;        /**< draining, or its address belongs to another server: no new work */
  bool said_leaving;   /**< one of its answers said that it leaves */
  bool evacuated;      /**< its failure domain gets no work for now */
  bool listed;         /**< false: freed with the last reference */
  bool restarted;   /**< a later start of the same id is known: requests that ran here are lost */
  bool unconfirmed; /**< removed from the list shortly after an outage of the store */
  int64_t unconfirmed_until_ms; /**< removed for good unless it is listed again by then */
  int64_t kept_until_ms; /**< not listed, but kept until then with what it asked for; 0: not kept */
  int64_t cold_until_ms;
  int64_t returned_ms;   /**< when the evacuation of its failure domain ended; 0: never */
  int64_t rest_until_ms; /**< end of the rest that it asked this front for; 0: it asked for none */
  ServerLimit limit;
  ServerBrittle brittle;
  unsigned references; /**< number of attempts and idle connections that use it */
  unsigned kept;       /**< idle connections of front_pool */
  unsigned running;    /**< our requests in progress there */
  double pending_ms;   /**< predicted reading of the prompts that we sent and whose answers have not
                          begun */
  double running_weight;   /**< like running, but requests to models only, weighted by model */
  FrontPeerLoad peer_load; /**< load by other fronts */
  double unreported_ms; /**< reading that we sent there and have not reported to other fronts yet */
  double unreported_weight; /**< running requests, likewise */
  FrontHealth health;
  AnswerTime answer_time; /**< of a plain service's server */
  FrontPrompts prompts;
  ColdSends cold_sends; /* after the fields that each choice of a server reads */
} FrontServer;

/** Records that another server answered at this server's address: this one has ended, although it
 *  is still listed. */
void front_server_lost_address (FrontServer *server);
/** False in the states from EVACUATED on, in which it gets no work whatever its health. */
bool front_server_takes_work (const FrontServer *server);
/** The server turned a request away and asks this front for rest. */
void front_server_rest (FrontServer *server, int64_t rest_ms, int64_t now_ms);
/** State by its entry, the list and the results of its requests. */
FrontServerState front_server_state (const FrontServer *server, int64_t now_ms);
/** Lower-case name, as in logs and metrics. */
const char *front_server_state_name (FrontServerState state);

#endif
