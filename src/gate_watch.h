/**
 * Notices callers that leave while their request waits for an engine, and deadlines that pass
 * before anything of the answer was passed on, and has the engine end its answer: the thread of the
 * request is blocked in a read and could not. The engine's end of the stream then wakes it.
 */
#ifndef GATE_WATCH_H
#define GATE_WATCH_H

#include "config.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define WATCH_ID_MAX 48

typedef struct
{
  struct cds_list_head list;
  int fd;                /**< the caller's socket */
  char id[WATCH_ID_MAX]; /**< of the attempt */
  const ConfigServer *config_server;
  int64_t deadline_ms; /**< boot-time clock; 0: none */
  bool relayed;        /**< atomic: the caller has a part of the answer; the deadline is met */
  bool past_deadline;  /**< the engine was told because of the deadline; the watch thread's own */
  bool caller_left;    /**< atomic: the caller has left, and the engine was told */
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
/** The entry is the caller's; what it points to must stay until it is removed. */
void gate_watch_add (GateWatch *watch, WatchEntry *entry);
void gate_watch_remove (GateWatch *watch, WatchEntry *entry);
/** A part of the answer goes to the caller. */
void gate_watch_set_relayed (WatchEntry *entry);
bool gate_watch_is_relayed (const WatchEntry *entry);
/** True if the watch has seen the caller leave. */
bool gate_watch_caller_left (const WatchEntry *entry);
/** True if the caller at the other end of the socket has closed its side. */
bool gate_watch_socket_closed (int fd);
/** Tells an engine to end an answer; bounded in time. False: it did not answer. */
bool gate_watch_cancel (const char *address, int port, const char *id);

#endif
