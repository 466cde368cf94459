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
  char *ip;          /**< that this process binds */
  char *callers;     /**< IP:PORT for callers */
  char *ready;       /**< IP:PORT where the balancer asks whether callers may come */
  char *control;     /**< IP:PORT for metrics and for the news that other fronts fetch */
  char *store;       /**< IP:PORT of the platform's store */
  int64_t peer_port; /**< UDP, the same at each front */
  unsigned seed_count;
  char *seeds[SEEDS_MAX]; /**< IP:PORT, control addresses of some fronts */
  double stop_s;          /**< from the signal until the process is killed */
  double retry_share;     /**< retries allowed for each request, over all fronts */
  double retry_extra;     /**< and this many more in a window, over all fronts */
  double retry_window_s;  /**< any span of this length counts */
  double reuse_window_s;  /**< how long a prompt's parts are relied on in a server's cache */
  double cold_overage;    /**< a cold server may get its rate times this in any second */
  double cold_slack;      /**< and this many requests more */
  double session_s;       /**< a session ends so long after its last request */
} SettingsFront;

/** False if there are errors, all of them in list. */
bool settings_front_read (const char *path, SettingsFront *out, CheckList *list);
void settings_front_clear (SettingsFront *settings);

#endif
