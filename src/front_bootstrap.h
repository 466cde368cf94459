/**
 * Decides how a starting front gets the rows of the store's tables. A front that can get them from
 * another one of its failure domain asks that one: 300 fronts that start at one moment, or restart
 * at one moment, make some 40 calls for each table instead of 300 and more. No I/O.
 */
#ifndef FRONT_BOOTSTRAP_H
#define FRONT_BOOTSTRAP_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  BOOTSTRAP_WAIT,         /**< wait for messages or the list; decide again later */
  BOOTSTRAP_ASK_INFORMED, /**< ask a front that has the rows or is about to get them */
  BOOTSTRAP_ASK_RANKED,   /**< ask the store or another front, by rank, as for changes */
  BOOTSTRAP_ASK_STORE,
} BootstrapStep;

/** What a starting front knows while it lacks a table. */
typedef struct
{
  int64_t age_ms;      /**< since the process started */
  bool list_known;     /**< the list of registered fronts was read */
  bool list_lost;      /**< the store failed to return the list */
  bool is_registered;  /**< this front is on the list: others rely on it to ask the store */
  bool has_registered; /**< other fronts of the same failure domain are on the list */
  bool has_informed; /**< another front that has the rows, or is about to get them, can be asked */
  unsigned failures; /**< failed requests to other fronts in a row */
} BootstrapView;

BootstrapStep front_bootstrap_step (const BootstrapView *view);

/** Milliseconds until a waiting front decides again. */
#define BOOTSTRAP_RETRY_MS 20

#endif
