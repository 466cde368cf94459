/**
 * One VM's connection to a shared platform, for unit tests: it can fail for some kinds of calls,
 * and all calls can fail from the Nth one on, as if the VM were killed at that call.
 */
#ifndef FAKE_LINK_H
#define FAKE_LINK_H

#include "fake_platform.h"

/** An additional kind of call: copying usage records to another VM. */
#define CALL_COPY 128

typedef enum
{
  LINK_UP,        /**< calls work */
  LINK_REFUSED,   /**< STATUS_UNAVAILABLE, no effect */
  LINK_CALL_LOST, /**< STATUS_UNKNOWN, no effect */
  LINK_REPLY_LOST /**< STATUS_UNKNOWN after the effect */
} LinkState;

/** Thread-safe. Freed with platform_free, which does not free the inner platform. */
Platform *fake_link_new (Platform *inner);
/** Sets the state for calls of these kinds. */
void fake_link_set (Platform *link, unsigned calls, LinkState state);
/** Kills the VM at its nth call from now (1: the next), before or after the call takes effect. */
void fake_link_kill_at (Platform *link, size_t n, bool after_effect);
/** Kills the VM: all calls fail with STATUS_UNAVAILABLE. */
void fake_link_kill (Platform *link);
bool fake_link_is_dead (Platform *link);
/** Makes transactions that write a row with this key fail with STATUS_INVALID, as malformed. */
void fake_link_reject_key (Platform *link, const char *key);
/** Counts a call that does not go through the platform, and returns its state. */
LinkState fake_link_call (Platform *link, unsigned call);

#endif
