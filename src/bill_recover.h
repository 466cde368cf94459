/**
 * Recovery of the usage records that a terminated gate left in the object store: they are written
 * to the table.
 *
 * A gate's objects are found by its row in table `bill_gate`, which the gate writes while the table
 * is up, before it uses the object store. Repeating a recovery, or running it for a gate that is in
 * fact alive, does no harm: records are inserted only if absent.
 */
#ifndef BILL_RECOVER_H
#define BILL_RECOVER_H

#include "bill_replica.h"

#define BILL_GATE_TABLE    "bill_gate"
#define BILL_GATE_KEY_SIZE 20

/** Number of passes without a new object after which the row of a terminated gate is deleted.
 *  Passes have to be at least 10 s apart, so that together they last much longer than a write to
 *  the object store can be delayed. */
#define BILL_RECOVER_PASSES 30

typedef struct
{
  size_t gates;   /**< terminated gates whose objects were read */
  size_t objects; /**< read */
  size_t records; /**< that are in the table now */
  size_t refused; /**< rejected as malformed by the table service: not in the table */
} BillRecovery;

/** Key in table bill_gate of the gate with this incarnation. */
void bill_gate_key (uint64_t gate, char out[BILL_GATE_KEY_SIZE]);
/** Row value: the number of the first object that may have records that are not in the table, and
 *  the number of passes without a new object. Freed with free. */
char *bill_gate_text (uint32_t next, int passes);

/** Writes the records of one gate's objects to the table, from object number *next on and for at
 *  most objects_max objects. *next becomes the number after the last object that was completed. If
 *  out->objects rose by less than objects_max there are no more objects. Records that the table
 *  service refuses are counted in out->refused and skipped. */
StatusCode bill_recover_gate (Platform *platform,
                              uint64_t gate,
                              uint32_t *next,
                              size_t objects_max,
                              BillRecovery *out,
                              Status *st);

/**
 * One pass over all gates. alive has to return true for each gate that may still write. It must
 * rely on the platform's list of VMs and not on a failure detector, because objects that a gate
 * writes after its row was deleted are never found. On failure the pass ends early and has to be
 * repeated.
 */
StatusCode bill_recover_objects (Platform *platform,
                                 BillGateAlive alive,
                                 void *context,
                                 BillRecovery *out,
                                 Status *st);

#endif
