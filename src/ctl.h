/**
 * lovagectl: the operators' command-line program. Each invocation runs one command; no state is
 * kept.
 */
#ifndef CTL_H
#define CTL_H

#include "util_buffer.h"
#include <argp.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CTL_STEWARDS_MAX 32
#define CTL_ADDRESS_SIZE 48 /**< bytes; room for "[IPv6 address]:PORT" */
#define CTL_OPERANDS_MAX 3  /**< maximum number of operands of a command */

/** Exit statuses, part of the interface for scripts. */
typedef enum
{
  CTL_DONE = 0,
  CTL_REFUSED = 1,    /**< refused by a steward, or a file has errors */
  CTL_USAGE = 2,      /**< the command line is wrong */
  CTL_CONFLICT = 3,   /**< another patch was accepted first; its number is printed */
  CTL_NO_STEWARD = 4, /**< no steward answered */
  CTL_DURABLE = 5     /**< durable but not yet accepted; the number is printed */
} CtlExit;

typedef struct
{
  char address[CTL_ADDRESS_SIZE]; /**< IP address */
  int port;
} CtlSteward;

typedef struct
{
  CtlSteward stewards[CTL_STEWARDS_MAX];
  size_t steward_count;
  char *key;        /**< the operator's key; NULL: none */
  char *trust_file; /**< NULL: plain HTTP */
  bool json;        /**< print JSON instead of tables */
} Ctl;

/** Operands and options of one command. */
typedef struct
{
  const char *operands[CTL_OPERANDS_MAX];
  size_t operand_count;
  int64_t base;       /**< version number that the change is made against; -1: not given */
  int64_t wait_ms;    /**< maximum time to wait for the state that wait names */
  int64_t limit;      /**< maximum number of entries */
  const char *wait;   /**< what to wait for: "none", "accepted" or "in_force" */
  const char *reason; /**< never NULL */
  const char *since;  /**< age or key of an audit entry; NULL: a default age */
  const char *team;   /**< NULL: all teams */
  const char *from;   /**< old version of a roll-out; NULL: not given */
  const char *to;     /**< new version of a roll-out; NULL: not given */
  const char *stages; /**< shares of callers, separated by commas; NULL: a default */
} CtlArgs;

typedef struct
{
  const char *group;    /**< first word */
  const char *name;     /**< second word, or NULL */
  const char *operands; /**< names of the operands in the help text */
  const char *doc;
  const struct argp_option *options; /**< NULL: none */
  size_t operands_min;
  size_t operands_max;
  bool local; /**< runs without a steward */
  CtlExit (*run) (Ctl *ctl, const CtlArgs *args);
} CtlCommand;

/** Ends with an entry whose group is NULL. */
extern const CtlCommand ctl_commands[];

CtlExit ctl_version_create (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_version_show (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_version_list (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_version_diff (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_patch_submit (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_status (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_withdraw (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_server_leave (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_status (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_start (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_advance (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_pause (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_resume (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_rollout_back_out (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_brake_raise (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_brake_release (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_brake_list (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_audit (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_usage (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_settings_check (Ctl *ctl, const CtlArgs *args);
CtlExit ctl_key_hash (Ctl *ctl, const CtlArgs *args);

/** Writes one line "lovagectl: …" to standard error. */
void ctl_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

#endif
