/**
 * A thread that detects callers that leave while their request waits for an engine, and deadlines
 * that pass before any part of the answer was relayed, and cancels the answer at the engine. The
 * request's own thread cannot do this while it is blocked in a read; when the engine ends the
 * stream, that read returns.
 */
#ifndef GATE_WATCH_H
#define GATE_WATCH_H

#include "config.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define WATCH_ID_MAX 48 /**< bytes of an attempt's id, with the final NUL */

typedef struct
{
  struct cds_list_head list;
  int fd;                /**< the caller's socket */
  char id[WATCH_ID_MAX]; /**< of the attempt */
  const ConfigServer *config_server;
  int64_t deadline_ms; /**< boot-time clock; 0: none */
  bool relayed;        /**< atomic: part of the answer was relayed, so the deadline is met */
  bool past_deadline;  /**< cancelled because of the deadline; used by the watch thread only */
  bool caller_left;    /**< atomic: cancelled because the caller has left */
} WatchEntry;

typedef struct
{
  pthread_mutex_t lock;
  pthread_t thread;
  bool stop; /**< atomic */
  struct cds_list_head entries;
} GateWatch;

void gate_watch_start (GateWatch *watch);
void gate_watch_stop (GateWatch *watch);
/** The caller of this function owns the entry; it and what it points to must stay valid until it is
 * removed. */
void gate_watch_add (GateWatch *watch, WatchEntry *entry);
void gate_watch_remove (GateWatch *watch, WatchEntry *entry);
/** Records that part of the answer is being relayed to the caller. */
void gate_watch_set_relayed (WatchEntry *entry);
bool gate_watch_is_relayed (const WatchEntry *entry);
/** True if the watch thread has detected that the caller left. */
bool gate_watch_caller_left (const WatchEntry *entry);
/** True if the peer has closed its side of the socket; makes a system call. */
bool gate_watch_socket_closed (int fd);
/** Cancels an answer at its engine, within a bounded time. False: the engine did not respond. */
bool gate_watch_cancel (const char *address, int port, const char *id);

#endif
