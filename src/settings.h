/**
 * Settings of lovage-gate and lovage-steward, each read from a JSON file with comments.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "util_check.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *address; /**< IPv4 or IPv6 address in numeric form */
  int64_t port;
} SettingsAddress;

typedef struct
{
  char *vm; /**< name of this VM */
  char *failure_domain;
  char *site_key_file; /**< file with 64 hexadecimal digits: the key shared by all processes of the
                          site */
  char *log_priority;  /**< "err", "warning", "notice", "info", "debug" */
  SettingsAddress platform; /**< HTTP endpoint of the platform's services */
} SettingsCommon;

typedef struct
{
  SettingsCommon common;
  SettingsAddress callers;    /**< HTTP endpoint for callers */
  SettingsAddress local;      /**< HTTP endpoint for health, readiness and counters */
  SettingsAddress steward;    /**< RPC endpoint of this VM's steward */
  char *tls_certificate_file; /**< NULL: plain HTTP */
  char *tls_key_file;
  int64_t streams_max;           /**< maximum number of requests in progress */
  int64_t body_max;              /**< bytes of a request's body */
  int64_t memory_max;            /**< bytes that the process may take */
  int64_t header_max;            /**< bytes of a request's head */
  int64_t read_timeout_ms;       /**< until a request is read completely */
  int64_t idle_timeout_ms;       /**< until a connection without any transfer is closed */
  int64_t first_byte_timeout_ms; /**< until a backend server's first byte */
  int64_t token_timeout_ms;      /**< longest gap within a backend server's stream */
  int64_t spool_max;             /**< maximum bytes of usage records that are not yet durable */
  int64_t stop_timeout_ms;       /**< longest graceful stop */
  double sample_share; /**< share of answers that are sent to the rating service, 0 to 1 */
  char *server_policy; /**< name of a ServerPolicy (choose_server.h) */
} SettingsGate;

typedef struct
{
  char *name;
  char *key_hash; /**< 64 hexadecimal digits */
  bool read, patch, brake;
} SettingsOperator;

typedef struct
{
  SettingsCommon common;
  SettingsAddress rpc;       /**< ONC RPC, UDP and TCP on the same port */
  SettingsAddress advertise; /**< where other stewards reach rpc, if at another address; else its
                                address is NULL */
  SettingsAddress operators; /**< HTTP endpoint for lovagectl */
  SettingsAddress local;     /**< HTTP endpoint for health, readiness and counters */
  char *tls_certificate_file;
  char *tls_key_file;
  int64_t heartbeat_ms; /**< interval between heartbeats */
  int64_t poll_ms;      /**< interval between reads of the table service */
  int64_t grant_ms; /**< how long a grant, the proof that a gate's configuration is up to date, is
                       valid */
  SettingsOperator *operator_list;
  size_t operator_count;
} SettingsSteward;

/** Reads and checks a settings file; false if there are errors, all of which are added to list. */
bool settings_gate_read (const char *path, SettingsGate *out, CheckList *list);
bool settings_steward_read (const char *path, SettingsSteward *out, CheckList *list);
void settings_gate_clear (SettingsGate *s);
void settings_steward_clear (SettingsSteward *s);
/** The syslog priority (LOG_*) of a name, or -1. */
int settings_log_priority (const char *name);

#endif
