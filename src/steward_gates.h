/**
 * Gates that hold a grant of this steward, with the number that each has in force. A steward says
 * that it applies a number only when no gate can still take new work under a lower one; so "in
 * force on all members" covers their gates.
 */
#ifndef STEWARD_GATES_H
#define STEWARD_GATES_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STEWARD_GATES_MAX 16 /**< one a VM, and those that were just replaced */

typedef struct
{
  uint64_t incarnation;   /**< 0: free */
  int64_t number;         /**< in force when it asked last */
  int64_t until;          /**< no grant that it can use under number lasts longer, our boot time */
  int64_t pending_until;  /**< the same for grants that it can only use from later_number on */
  int64_t pending_number; /**< above number; 0: there are none */
  int64_t asked_at;
  unsigned in_flight;
} StewardGate;

typedef struct
{
  pthread_mutex_t lock;
  int64_t inherited_until; /**< grants of this steward's predecessor end by then */
  bool asked;              /**< a gate has asked since the start */
  StewardGate gates[STEWARD_GATES_MAX];
} StewardGates;

/** inherited_until: end of the last grant that a steward before us on this VM may have given; its
 *  gate may still use it. */
void steward_gates_init (StewardGates *g, int64_t inherited_until);
void steward_gates_clear (StewardGates *g);
/** A gate asks. False if there is no room: it gets no grant. */
bool steward_gates_record_ask (StewardGates *g,
                               uint64_t incarnation,
                               int64_t number,
                               unsigned in_flight,
                               int64_t now);
/** A grant for this number (usable under it and higher ones) is about to be given; it lasts no
 *  longer than until. */
void
steward_gates_record_grant (StewardGates *g, uint64_t incarnation, int64_t number, int64_t until);
/** The lowest number under which a gate may still take new work; newest if there is none lower; 0
 *  while that isn't known. */
int64_t steward_gates_lowest_number (StewardGates *g, int64_t newest, int64_t now);
/** When the last grant of any gate ends; a time that has passed if there is none. */
int64_t steward_gates_grants_end (StewardGates *g);
/** Incarnations of gates heard of within the last seconds; returns how many. */
size_t steward_gates_alive (StewardGates *g, int64_t now, uint64_t *out, size_t max);
/** Requests in progress at gates heard of within the last seconds. */
unsigned steward_gates_in_flight (StewardGates *g, int64_t now);

#endif
