/**
 * Gates that write usage records, and a steward that settles those of gates that are gone, over an
 * in-memory platform.
 */
#ifndef FAKE_GATE_H
#define FAKE_GATE_H

#include "bill_recover.h"
#include "fake_link.h"

/** The platform and a steward of another failure domain. */
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
/** Settles the records of every gate but `alive`, in every place that stewards look at. */
void fake_site_settle (FakeSite *site, const FakeGate *alive);
/** Reads the bill of a key; false if there is none. */
bool fake_site_bill (FakeSite *site, const char *key, BillRecord *out);

/** A gate whose row in the table is written. */
FakeGate *fake_gate_new (FakeSite *site, uint64_t incarnation, size_t spool_max);
/** A gate that starts while calls of these kinds are refused; does not wait for its row. */
FakeGate *
fake_gate_new_disconnected (FakeSite *site, uint64_t incarnation, size_t spool_max, unsigned calls);
/** Ends it within timeout_ms; 0 drops what is in its memory. Returns the records left. */
size_t fake_gate_free (FakeGate *gate, int timeout_ms);
/** Waits until all its records are in the table. */
bool fake_gate_wait_settled (FakeGate *gate);

/** Commits the record of request n without a claim. */
BillPlace fake_gate_commit (FakeGate *gate, int n);
/** True if request n is billed with its own cost. */
bool fake_site_is_billed (FakeSite *site, int n);
/** Cuts the gate off and ends it without a chance to write anything. */
void fake_gate_kill (FakeGate *gate);

/** Request number n, with cost n + 0.25: sums show what was lost or doubled. */
BillRecord fake_bill (int n);
double fake_bill_cost (const BillRecord *record);

#endif
