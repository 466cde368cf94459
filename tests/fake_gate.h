/**
 * Fake gates that write usage records, and a steward that recovers the records of dead gates, with
 * an in-memory platform.
 */
#ifndef FAKE_GATE_H
#define FAKE_GATE_H

#include "bill_recover.h"
#include "fake_link.h"

/** The platform, and the replica of usage records at a steward of another failure domain. */
typedef struct
{
  Platform *platform;
  BillReplica *replica;
} FakeSite;

typedef struct
{
  FakeSite *site;
  uint64_t incarnation;
  Platform *link;
  PlatformGroup *group;
  BillWriter *writer;
} FakeGate;

FakeSite fake_site_new (void);
void fake_site_free (FakeSite *site);
/** Writes to the table all records left by gates other than `alive`, from the replica and the
 * objects. */
void fake_site_settle (FakeSite *site, const FakeGate *alive);
/** Reads the usage record of a key; false if there is none. */
bool fake_site_bill (FakeSite *site, const char *key, BillRecord *out);

/** A gate; waits until its row in the table is written. */
FakeGate *fake_gate_new (FakeSite *site, uint64_t incarnation, size_t spool_max);
/**
 * A gate that starts while calls of these kinds (CALL_*) are refused; does not wait for its row.
 */
FakeGate *
fake_gate_new_disconnected (FakeSite *site, uint64_t incarnation, size_t spool_max, unsigned calls);
/** Ends the gate within timeout_ms; with 0 the records in its memory are dropped. Returns the
 * number of records left. */
size_t fake_gate_free (FakeGate *gate, int timeout_ms);
/** Waits until all its records are in the table. */
bool fake_gate_wait_settled (FakeGate *gate);

/** Commits the record of request n without a claim. */
BillPlace fake_gate_commit (FakeGate *gate, int n);
/** True if the table has the record of request n with the right cost. */
bool fake_site_is_billed (FakeSite *site, int n);
/** Disconnects the gate and ends it, so that it writes nothing more. */
void fake_gate_kill (FakeGate *gate);

/** Record of request n, with cost n + 0.25, so that sums of costs show lost or doubled records. */
BillRecord fake_bill (int n);
double fake_bill_cost (const BillRecord *record);

#endif
