/**
 * How a front that starts comes by the rows of the store's tables. Whoever can have them from
 * another front of the own failure domain asks that one: 300 fronts that start at one moment, or
 * come back at one moment, make some 40 calls for each table and not 300 and more. No I/O.
 */
#ifndef FRONT_BOOTSTRAP_H
#define FRONT_BOOTSTRAP_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  BOOTSTRAP_WAIT,         /**< somebody is to be heard of soon; decide again then */
  BOOTSTRAP_ASK_INFORMED, /**< the front that has the rows, or is going to */
  BOOTSTRAP_ASK_RANKED,   /**< by rank of the living, as when changes are asked for */
  BOOTSTRAP_ASK_STORE,
} BootstrapStep;

/** What a front knows while it lacks a table. */
typedef struct
{
  int64_t age_ms;      /**< since the process started */
  bool list_known;     /**< the list of registered fronts was read */
  bool list_lost;      /**< the store gave no good answer when asked for it */
  bool is_registered;  /**< we are on that list: others count on us to ask the store */
  bool has_registered; /**< other fronts of our failure domain are on it */
  bool has_informed;   /**< one of these, or one that told us that it has the rows, can be asked */
  unsigned failures;   /**< questions to other fronts that got no good answer, in a row */
} BootstrapView;

BootstrapStep front_bootstrap_step (const BootstrapView *view);

/** Until a front that waits decides again. */
#define BOOTSTRAP_RETRY_MS 20

#endif
