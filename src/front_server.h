/**
 * A backend server as this process knows it: its entry in the list, the work that we have there,
 * and how it has treated us.
 */
#ifndef FRONT_SERVER_H
#define FRONT_SERVER_H

#include "front_health.h"
#include "front_prompts.h"
#include "front_server_entry.h"
#include <netinet/in.h>
#include <urcu/list.h>

typedef struct FrontServer
{
  struct cds_list_head node;
  struct cds_list_head bucket; /**< by hash of the id */
  ServerEntry entry;
  struct sockaddr_in address;
  uint64_t hash;    /**< of the id */
  bool is_near;     /**< in our own failure domain */
  bool leaving;     /**< draining, or its address belongs to another server: no new work */
  bool listed;      /**< false: freed as soon as nothing refers to it */
  bool unconfirmed; /**< gone from the list while the store could not be trusted */
  int64_t unconfirmed_until_ms; /**< gone unless it is back by then */
  int64_t cold_until_ms;
  unsigned references; /**< attempts that hold it */
  unsigned running;    /**< our requests there */
  double pending_ms;   /**< prompts that we sent and whose answer has not begun: predicted work */
  FrontHealth health;
  FrontPrompts prompts;
} FrontServer;

#endif
