/**
 * In-memory platform for unit tests, with fault injection. Does not create threads or sleep: the
 * calls of a slow service time out, which the fake reports immediately.
 */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "platform.h"

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,       /**< calls are not executed: STATUS_UNAVAILABLE, no effect */
  FAULT_LOSE_REPLY, /**< the call takes effect, its reply is lost: STATUS_UNKNOWN */
  FAULT_LOSE_CALL,  /**< the request is lost, no effect: STATUS_UNKNOWN */
  FAULT_SLOW,       /**< the call takes effect after its time-out: STATUS_UNKNOWN; see
                         fake_platform_late_effects. Reads fail */
  FAULT_COUNT
} FakeFault;

/** Kinds of calls, as bits of a set. */
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

/** Applies a fault to the next count calls of the kinds in calls; count 0: until changed. Replaces
 * the previous fault; FAULT_NONE ends it. */
void fake_platform_fault (Platform *p, FakeFault fault, unsigned calls, unsigned count);

/**
 * Applies the transactions that met FAULT_SLOW and were reported as STATUS_UNKNOWN, in order; their
 * checks are evaluated now. Returns the number of committed transactions.
 */
size_t fake_platform_late_effects (Platform *p);

/** Sets a function that is called at the start of each call, before any effect and without the
 * fake's lock held, e.g. to test races between a read and a write. NULL: none. */
void fake_platform_hook (Platform *p, void (*hook) (void *context, FakeCall call), void *context);

/** Number of calls of the kinds in calls, including those that met a fault. */
size_t fake_platform_calls (Platform *p, unsigned calls);
/** Number of rows of a table. */
size_t fake_platform_rows (Platform *p, const char *table);

/** Adds a VM to the list, or changes it; the list is empty at first. */
void fake_platform_vm (Platform *p,
                       const char *name,
                       const char *address,
                       const char *failure_domain,
                       bool leaving);
void fake_platform_vm_remove (Platform *p, const char *name);
/** Sets the score that rate returns for answers that contain text; the first match counts, and the
 *  default is 1. */
void fake_platform_score (Platform *p, const char *text, double score);

#endif
