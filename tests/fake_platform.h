/**
 * An in-memory platform for unit tests, with faults on command. No threads and no sleeping: a slow
 * service is one whose calls run into their timeout, which the fake reports at once.
 */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "platform.h"

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,       /**< calls aren't taken: STATUS_UNAVAILABLE, no effect */
  FAULT_LOSE_REPLY, /**< the call takes effect, its reply is lost: STATUS_UNKNOWN */
  FAULT_LOSE_CALL,  /**< the call is lost on its way, the caller can't tell: STATUS_UNKNOWN */
  FAULT_SLOW,       /**< the effect comes after the caller gave up: STATUS_UNKNOWN; see
                         fake_platform_late_effects. Reads fail */
  FAULT_COUNT
} FakeFault;

/** Which calls a fault meets; a bit set. */
typedef enum
{
  CALL_TXN = 1,
  CALL_GET = 2,
  CALL_SCAN = 4,
  CALL_OBJECT_PUT = 8,
  CALL_OBJECT_GET = 16,
  CALL_VM_LIST = 32,
  CALL_RATE = 64,
  CALL_ALL = 127
} FakeCall;

/** Thread-safe. Freed with platform_free. */
Platform *fake_platform_new (void);

/** The next count calls of the kinds in calls meet the fault; count 0: all until changed. One fault
 *  is in force at a time; FAULT_NONE ends it. */
void fake_platform_fault (Platform *p, FakeFault fault, unsigned calls, unsigned count);

/**
 * Transactions under FAULT_SLOW are kept: their callers got STATUS_UNKNOWN, and they take effect,
 * in order, when this is called; each one's checks are made then. Returns how many were committed.
 */
size_t fake_platform_late_effects (Platform *p);

/** Called at the start of each call without the fake's lock held, before any effect: for races
 *  between a read and a write. NULL: none. */
void fake_platform_hook (Platform *p, void (*hook) (void *context, FakeCall call), void *context);

/** Number of calls of the kinds in calls that arrived, with those that met a fault. */
size_t fake_platform_calls (Platform *p, unsigned calls);
/** Number of rows of a table. */
size_t fake_platform_rows (Platform *p, const char *table);

/** Puts a VM on the list, or changes it; the list starts empty. */
void fake_platform_vm (Platform *p,
                       const char *name,
                       const char *address,
                       const char *failure_domain,
                       bool leaving);
/** Takes a VM off the list. */
void fake_platform_vm_remove (Platform *p, const char *name);
/** Score that rate gives for answers that hold text; the first match counts, 1 without any. */
void fake_platform_score (Platform *p, const char *text, double score);

#endif
