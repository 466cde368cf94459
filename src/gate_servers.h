/**
 * What this gate knows of each backend server, kept by name across configurations, each under its
 * own lock.
 */
#ifndef GATE_SERVERS_H
#define GATE_SERVERS_H

#include "choose_load.h"
#include "choose_quarantine.h"
#include "choose_server.h"
#include "config.h"
#include <pthread.h>
#include <urcu/list.h>

/** An answer that was aborted off, by the request's fingerprint. */
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
  pthread_mutex_t lock; /**< guards what follows */
  ServerView view;
  LoadHistory history;
  ServerAbort aborts[QUARANTINE_FLIGHT_MAX]; /**< the latest ones, in a ring */
  unsigned next_abort;
  uint64_t running[QUARANTINE_FLIGHT_MAX]; /**< fingerprints of requests sent there; 0: free */
  int64_t died_ms;                         /**< when its last death was seen; 0: none */
  bool report_missed;                      /**< the last load report did not come */
} GateServer;

typedef struct GateServers
{
  pthread_mutex_t lock;
  struct cds_list_head list;
  uint64_t node;               /**< stable hash of this VM */
  const char *failure_domain;  /**< ours */
  Quarantine *quarantine;      /**< told of servers that died; NULL: nobody */
  Quarantine *observed_deaths; /**< only what this VM saw itself, for the others; NULL: nobody */
  void (*on_death) (void *context); /**< called when sightings has news; NULL: nobody */
  void *context;
} GateServers;

/** The strings are borrowed. */
void gate_servers_init (GateServers *servers, const char *vm, const char *failure_domain);
/** One referenced entry per server of the configuration, by its index; the array is the caller's.
 */
GateServer **gate_servers_resolve (GateServers *servers, const Config *config);
void gate_server_put (GateServer *server);

/** How an attempt at a server went, as far as the server's health is concerned. */
typedef enum
{
  SERVER_SUCCEEDED,
  SERVER_UNREACHABLE, /**< refused the connection: the attempt did not run */
  SERVER_FAILED,      /**< gave no whole answer */
  SERVER_BUSY,        /**< it said that it did not run the request */
  SERVER_NEUTRAL      /**< says nothing: we ended the attempt ourselves */
} ServerResult;

void gate_server_begin (GateServer *server, int64_t now_ms);
/** The attempt's last byte is about to be sent: if the server dies, the request was running there.
 */
void gate_server_running (GateServer *server, uint64_t fingerprint);
void gate_server_first_token (GateServer *server, double ms);
/** fingerprint of the request (choose_quarantine.h), or 0. */
void
gate_server_end (GateServer *server, ServerResult result, uint64_t fingerprint, int64_t now_ms);
/** An answer came whole, with so many milliseconds between its tokens. */
void gate_server_token_time (GateServer *server, double ms);
/** A load report of the server's own, taken at at_ms by its clock. */
void
gate_server_report (GateServer *server, int64_t load, bool draining, int64_t at_ms, int64_t now_ms);
/** Its load report did not come: no connection (refused), or no answer in time; or a connection was
 *  refused after an answer had been aborted off. */
void gate_server_report_missed (GateServer *server, bool refused, int64_t now_ms);
/** Copies the view. */
void gate_server_view (GateServer *server, ServerView *out);

#endif
