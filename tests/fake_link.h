/**
 * One VM's way to a platform that others reach too: it may be cut for some kinds of call, and it
 * can end at the Nth call, as seen from outside when the VM is killed there.
 */
#ifndef FAKE_LINK_H
#define FAKE_LINK_H

#include "fake_platform.h"

/** A kind of call beside those of FakeCall: copies of usage records to another VM. */
#define CALL_COPY 128

typedef enum
{
  LINK_UP,
  LINK_REFUSED,   /**< STATUS_UNAVAILABLE, no effect */
  LINK_CALL_LOST, /**< STATUS_UNKNOWN, no effect */
  LINK_REPLY_LOST /**< STATUS_UNKNOWN after the effect */
} LinkState;

/** Thread-safe; freed with platform_free, which leaves the inner platform alone. */
Platform *fake_link_new (Platform *inner);
/** State for calls of these kinds, until changed. */
void fake_link_set (Platform *link, unsigned calls, LinkState state);
/** The VM is killed at its nth call from now (1: the next), before its effect or after it. */
void fake_link_kill_at (Platform *link, size_t n, bool after_effect);
void fake_link_kill (Platform *link);
bool fake_link_is_dead (Platform *link);
/** Transactions that write a row with this key are malformed: STATUS_INVALID. */
void fake_link_reject_key (Platform *link, const char *key);
/** Counts a call of that kind; for calls that don't go through the platform. */
LinkState fake_link_call (Platform *link, unsigned call);

#endif
