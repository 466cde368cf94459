/**
 * Table of the commands and their options.
 */
#include "ctl_option.h"

#define PATCH_OPTIONS                                                                                \
  { "base", OPTION_BASE, "N", 0, "Number that the change is made against", 0 },                      \
      { "reason", OPTION_REASON, "TEXT", 0, "Recorded with the version and in the audit trail", 0 }, \
      { "wait", OPTION_WAIT, "none|accepted|in_force", 0, "What to wait for (in_force)", 0 },        \
  {                                                                                                  \
    "wait-ms", OPTION_WAIT_MS, "MS", 0, "Maximum time to wait (10000)", 0                            \
  }

static const struct argp_option patch_options[] = { PATCH_OPTIONS, { 0 } };

static const struct argp_option start_options[] = {
  PATCH_OPTIONS,
  { "from", OPTION_FROM, "VERSION", 0, "Version that callers use now", 0 },
  { "to", OPTION_TO, "VERSION", 0, "Version to roll out", 0 },
  { "stages", OPTION_STAGES, "S,S,...", 0, "Increasing shares of callers (0.01,0.1,0.5,1)", 0 },
  { 0 },
};

static const struct argp_option brake_options[] = {
  { "why", OPTION_REASON, "TEXT", 0, "Recorded with the brake and in the audit trail", 0 },
  { 0 },
};

static const struct argp_option audit_options[] = {
  { "since", OPTION_SINCE, "AGO|KEY", 0,
    "From this long ago on, e.g. 2h (1d), or from this entry on", 0 },
  { "limit", OPTION_LIMIT, "N", 0, "At most this many entries (200)", 0 },
  { 0 },
};

static const struct argp_option usage_options[] = {
  { "team", OPTION_TEAM, "TEAM", 0, "Only this team", 0 },
  { 0 },
};

const CtlCommand ctl_commands[] = {
  { "version", "create", "FILE", "Put a complete document in force", patch_options, 1, 1, false,
    ctl_version_create },
  { "version", "show", "[N]", "Print a version (the newest)", NULL, 0, 1, false, ctl_version_show },
  { "version", "list", "", "List the versions", NULL, 0, 0, false, ctl_version_list },
  { "version", "diff", "A B", "Print the changes from A to B", NULL, 2, 2, false,
    ctl_version_diff },
  { "patch", "submit", "FILE|-", "Submit a JSON merge patch against --base", patch_options, 1, 1,
    false, ctl_patch_submit },
  { "status", NULL, "", "Members, the number in force on each, brakes", NULL, 0, 0, false,
    ctl_status },
  { "withdraw", NULL, "MODEL@VERSION", "Send a version no new work", patch_options, 1, 1, false,
    ctl_withdraw },
  { "rollout", "status", "", "Roll-outs and their evidence", NULL, 0, 0, false,
    ctl_rollout_status },
  { "rollout", "start", "MODEL", "Start a roll-out at its first stage", start_options, 1, 1, false,
    ctl_rollout_start },
  { "rollout", "advance", "MODEL", "Go to the next stage, or end behind the last", patch_options, 1,
    1, false, ctl_rollout_advance },
  { "rollout", "pause", "MODEL", "Stay at the stage in force", patch_options, 1, 1, false,
    ctl_rollout_pause },
  { "rollout", "resume", "MODEL", "Continue from the stage in force", patch_options, 1, 1, false,
    ctl_rollout_resume },
  { "rollout", "back-out", "MODEL", "Return all callers to the old version", patch_options, 1, 1,
    false, ctl_rollout_back_out },
  { "server", "leave", "NAME", "Send a backend server no new work", patch_options, 1, 1, false,
    ctl_server_leave },
  { "brake", "list", "", "Brakes in force", NULL, 0, 0, false, ctl_brake_list },
  { "brake", "release", "MODEL@VERSION", "Allow a braked version again", patch_options, 1, 1, false,
    ctl_brake_release },
  { "brake", NULL, "MODEL@VERSION", "Stop a version at once, also without the platform",
    brake_options, 1, 1, false, ctl_brake_raise },
  { "audit", NULL, "", "Who changed what, and when", audit_options, 0, 0, false, ctl_audit },
  { "usage", NULL, "", "Requests, tokens and cost by team", usage_options, 0, 0, false, ctl_usage },
  { "settings", "check", "FILE", "Check a routing document or settings", NULL, 1, 1, true,
    ctl_settings_check },
  { "key", "hash", "", "Print the hash of the key on standard input", NULL, 0, 0, true,
    ctl_key_hash },
  { 0 },
};
