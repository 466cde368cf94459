/**
 * A front before a store on loopback, whose answers a test writes.
 */
#ifndef FRONT_NODE_H
#define FRONT_NODE_H

#include "front_peers_private.h"
#include "front_store_private.h"

#define NODE_KNOWN 50 /**< version of the operator's table that the front knows at first */

/** A front that follows the operator's table. Its store is of era 1. */
typedef struct
{
  Front front;
  FrontStore store;
  FrontPeers peers;
  Watch *watch;
  int listener;
  int connection;
  char request[2048]; /**< the last one that arrived */
} FrontNode;

FrontNode *front_node_new (void);
void front_node_free (FrontNode *node);
/** Reads what has arrived; true if the head of a request is complete. */
bool front_node_read (FrontNode *node);
/** Waits for a request; true if it contains this text. */
bool front_node_expect (FrontNode *node, const char *part);
/** Answers the request that arrived. */
void front_node_answer (FrontNode *node, int status, int64_t era, const char *body);

#endif
