/**
 * Selects the servers that one gate watches and chooses among, by version and by service: a subset,
 * by rendezvous hashing over the failure domains, since hundreds of gates can't all watch hundreds
 * of servers. Built anew for each configuration; immutable afterwards.
 */
#ifndef CHOOSE_INDEX_H
#define CHOOSE_INDEX_H

#include "config.h"

#define INDEX_SUBSET 24 /**< most servers of one version or service that a gate watches */

typedef struct
{
  unsigned *servers; /**< indices into Config.servers, own failure domain first */
  unsigned count;
} IndexList;

typedef struct
{
  IndexList *versions; /**< by version index */
  IndexList *services; /**< by service index */
  size_t version_count;
  size_t service_count;
  bool *watched; /**< whether the server is in at least one list, by server index */
} ServerIndex;

/** vm_hash is a stable hash of this VM's name; failure_domain is this VM's. If a version or
 *  service has more than subset servers, a third of the subset is taken from the own failure
 *  domain, if it has as many, and the rest from the other failure domains in turn. */
ServerIndex *server_index_new (const Config *config,
                               uint64_t vm_hash,
                               const char *failure_domain,
                               unsigned subset);
void server_index_free (ServerIndex *index);

#endif
