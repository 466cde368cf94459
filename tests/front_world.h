/**
 * Fronts of a site that all start within a moment, and their store, simulated in steps without a
 * network.
 */
#ifndef FRONT_WORLD_H
#define FRONT_WORLD_H

#include "front_peers_private.h"

#define WORLD_DOMAINS    6
#define WORLD_FRONTS_MAX 2000 /**< twice the largest known site */
#define WORLD_STEP_MS    10
#define WORLD_JITTER_MS  300 /**< all VMs start within this time */
#define WORLD_ANSWER_MS  10  /**< of the store, or of a front that has the rows */
#define WORLD_TABLE      ((uint64_t)STORE_SERVERS)
#define WORLD_ORIGIN_MS  1000000 /**< when the simulation starts */

typedef enum
{
  ASKS_NONE,
  ASKS_STORE,
  ASKS_FRONT
} Asks;

/** One front, with the state that bootstrap needs. */
typedef struct
{
  FrontPeers peers;
  int64_t start_ms; /* doesn't run before this time; -1: never starts */
  int64_t dies_ms;  /* 0: never */
  bool list_known;
  int64_t list_ms; /* when the list of fronts arrives */
  bool has_table;
  int64_t known_ms; /* time since which it has the table */
  Asks asks;
  unsigned asked;   /* number of the front that is asked */
  int64_t until_ms; /* when the store's answer arrives, or the request times out */
  unsigned failures;
} WorldNode;

/** All fronts of a site, and their store. */
typedef struct
{
  unsigned count;
  unsigned registered[WORLD_FRONTS_MAX]; /* nonzero: the store lists it */
  unsigned list_calls;
  unsigned table_calls;
  int64_t silent_until_ms; /* the store doesn't answer before this time */
  unsigned lost_every;     /* one of so many answers of the store is lost; 0: none */
  WorldNode nodes[WORLD_FRONTS_MAX];
} World;

/** So many fronts, each of which knows three addresses. */
World *world_new (unsigned count);
void world_free (World *world);
/** Registers the first three fronts of each failure domain. */
void world_register (World *world);
void world_step (World *world, int64_t now_ms);
/** Milliseconds from the last start until all fronts have the table. */
int64_t world_simulate (World *world);

#endif
