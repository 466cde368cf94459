/**
 * Settings of lovage-front, read from a JSON file with comments.
 */
#ifndef SETTINGS_FRONT_H
#define SETTINGS_FRONT_H

#include "util_check.h"
#include <stdbool.h>
#include <stdint.h>

#define SEEDS_MAX 8

typedef struct
{
  char *vm; /**< name of this VM */
  char *failure_domain;
  char *ip;          /**< IP address that this process binds */
  char *callers;     /**< IP:PORT for callers */
  char *ready;       /**< IP:PORT of the readiness check by the load balancer */
  char *control;     /**< IP:PORT for metrics and for the updates that other fronts fetch */
  char *store;       /**< IP:PORT of the platform's store */
  int64_t peer_port; /**< UDP port, the same at each front */
  unsigned seed_count;
  char *seeds[SEEDS_MAX];  /**< IP:PORT of the control endpoints of some fronts */
  double stop_s;           /**< from the stop signal until the process is killed */
  double retry_share;      /**< retries allowed per request, over all fronts */
  double retry_extra;      /**< retries allowed in addition per window, over all fronts */
  double retry_window_s;   /**< length of the sliding window of the retry limit */
  double reuse_window_s;   /**< how long a prompt's parts are assumed to be in a server's cache */
  double cold_overage;     /**< a cold server may get this multiple of its rate in any second */
  double cold_slack;       /**< requests that it may get in addition */
  double config_apply_ms;  /**< time within which a change in the store has to be known here */
  double session_s;        /**< how long after its last request a session ends */
  double contention_ratio; /**< work at a model service is ordered if the objectives of its routes
                              differ by this factor; 0: never */
  double hedge_share;      /**< additional sends of slow requests, as a share of a service's
                              requests over all fronts; 0: none */
  double keep_connections_ms; /**< longest time for which an idle connection to a backend server is
                                 kept, where work is ordered; 0: none is kept */
  int64_t descriptors;        /**< that this process may have open; 0: the process's limit */
  double memory_mb; /**< of this VM, for this process; 0: the smallest that is supported */
  double link_mbps; /**< of this VM's network link, each way; 0: not known */
} SettingsFront;

/** Reads and checks a settings file; false if there are errors, all of which are added to list. */
bool settings_front_read (const char *path, SettingsFront *out, CheckList *list);
void settings_front_clear (SettingsFront *settings);

#endif
