/**
 * Gates that hold a grant of this steward, with the configuration number that each has in force. A
 * steward reports that it applies a number only when no gate of its VM can still take new work
 * under a lower one, so that "in force on all members" covers their gates.
 */
#ifndef STEWARD_GATES_H
#define STEWARD_GATES_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STEWARD_GATES_MAX 16 /**< one per VM, and some that were just replaced */

typedef struct
{
  uint64_t incarnation; /**< 0: free */
  int64_t number;       /**< in force at the gate when it last asked for a grant */
  int64_t until; /**< end of the last grant that it can use under number; boot-time clock, ms */
  int64_t pending_until;  /**< the same for grants that it can use only from pending_number on */
  int64_t pending_number; /**< above number; 0: no pending grants */
  int64_t asked_at;       /**< time at which it last asked for a grant */
  unsigned in_flight;     /**< requests in progress at that time */
} StewardGate;

typedef struct
{
  pthread_mutex_t lock;
  int64_t inherited_until; /**< latest end of a grant of the steward that ran on this VM before */
  bool asked;              /**< a gate has asked since this process started */
  StewardGate gates[STEWARD_GATES_MAX];
} StewardGates;

/** inherited_until: end of the last grant that a steward that ran on this VM before may have given;
 * the VM's gate may still use that grant. */
void steward_gates_init (StewardGates *g, int64_t inherited_until);
void steward_gates_clear (StewardGates *g);
/** Records that a gate asked for a grant. False if there is no room: it gets no grant. */
bool steward_gates_record_ask (StewardGates *g,
                               uint64_t incarnation,
                               int64_t number,
                               unsigned in_flight,
                               int64_t now);
/** Records a grant that is about to be given, for this number: the gate can use it under this
 * number and higher ones, until the given time at the latest. */
void
steward_gates_record_grant (StewardGates *g, uint64_t incarnation, int64_t number, int64_t until);
/** The lowest number under which a gate may still take new work; newest if none is lower; 0 while
 * it isn't known. */
int64_t steward_gates_lowest_number (StewardGates *g, int64_t newest, int64_t now);
/** End of the last grant of any gate; a time in the past if there is none. */
int64_t steward_gates_grants_end (StewardGates *g);
/** Writes the incarnations of the gates that asked within the last 5 s; returns their number. */
size_t steward_gates_alive (StewardGates *g, int64_t now, uint64_t *out, size_t max);
/** Requests in progress at the gates that asked within the last 5 s. */
unsigned steward_gates_in_flight (StewardGates *g, int64_t now);

#endif
