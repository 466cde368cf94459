/**
 * This gate's state of each backend server, such as load, latency, circuit breaker and aborted
 * answers. Entries are kept by name across configurations; each has its own lock.
 */
#ifndef GATE_SERVERS_H
#define GATE_SERVERS_H

#include "choose_load.h"
#include "choose_quarantine.h"
#include "choose_server.h"
#include "config.h"
#include <pthread.h>
#include <urcu/list.h>

/** An answer that the server broke off, with the request's fingerprint. */
typedef struct
{
  uint64_t fingerprint; /**< 0: none */
  int64_t at_ms;
} ServerAbort;

typedef struct
{
  struct cds_list_head list; /**< in GateServers */
  int refs;                  /**< guarded by GateServers.lock of the owner */
  struct GateServers *owner;
  char *name;
  pthread_mutex_t lock; /**< guards the members that follow */
  ServerView view;
  LoadHistory history;
  ServerAbort aborts[QUARANTINE_FLIGHT_MAX]; /**< ring of the latest aborted answers */
  unsigned next_abort;
  uint64_t running[QUARANTINE_FLIGHT_MAX]; /**< fingerprints of running requests; 0: free */
  int64_t died_ms;                         /**< when its last death was observed; 0: none */
  bool report_missed;                      /**< the last load report failed */
} GateServer;

typedef struct GateServers
{
  pthread_mutex_t lock;
  struct cds_list_head list;
  uint64_t vm_hash;                 /**< hash of this VM's name */
  const char *failure_domain;       /**< of this VM */
  Quarantine *quarantine;           /**< deaths observed by any VM; NULL: not recorded */
  Quarantine *observed_deaths;      /**< by this VM, to report to other VMs; NULL: not recorded */
  void (*on_death) (void *context); /**< called when observed_deaths has changed; NULL: none */
  void *context;
} GateServers;

/** The strings must outlive servers. */
void gate_servers_init (GateServers *servers, const char *vm, const char *failure_domain);
/** Returns the entry of each server of the configuration, by server index, with a reference each.
 * The caller frees the array. */
GateServer **gate_servers_resolve (GateServers *servers, const Config *config);
void gate_server_put (GateServer *server);

/** Outcome of an attempt, as it affects the server's health. */
typedef enum
{
  SERVER_SUCCEEDED,
  SERVER_UNREACHABLE, /**< refused the connection: the attempt did not run */
  SERVER_FAILED,      /**< gave no complete answer */
  SERVER_BUSY,        /**< answered that it did not run the request */
  SERVER_NEUTRAL      /**< nothing: the gate ended the attempt itself */
} ServerResult;

void gate_server_begin_attempt (GateServer *server, int64_t now_ms);
/** Called before the attempt's last byte is sent: if the server dies from then on, the request
 * counts as running there. */
void gate_server_add_running (GateServer *server, uint64_t fingerprint);
void gate_server_record_first_token (GateServer *server, double ms);
/** Ends an attempt. fingerprint is the request's (choose_quarantine.h), or 0. */
void gate_server_end_attempt (GateServer *server,
                              ServerResult result,
                              uint64_t fingerprint,
                              int64_t now_ms);
/** Records the mean time between the tokens of a complete answer, in milliseconds. */
void gate_server_record_token_time (GateServer *server, double ms);
/** Records a load report from the server, taken at at_ms on the server's clock. */
void gate_server_record_report (GateServer *server,
                                int64_t load,
                                bool draining,
                                int64_t at_ms,
                                int64_t now_ms);
/** Records that the server's load report could not be read; refused says whether its port refused
 * the connection. Also called, with refused, if a probe after an aborted answer was refused. */
void gate_server_record_missed_report (GateServer *server, bool refused, int64_t now_ms);
void gate_server_copy_view (GateServer *server, ServerView *out);

#endif
