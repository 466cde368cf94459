/**
 * Command-line options, and the options common to all commands: stewards, key, trust file, output.
 */
#ifndef CTL_OPTION_H
#define CTL_OPTION_H

#include "ctl.h"

#define CTL_ENV_STEWARDS   "LOVAGE_STEWARDS"
#define CTL_ENV_KEY_FILE   "LOVAGE_KEY_FILE"
#define CTL_ENV_TRUST_FILE "LOVAGE_TRUST_FILE"

/* Keys of the options, none of which has a short form. */
enum
{
  OPTION_STEWARD = 256,
  OPTION_KEY_FILE,
  OPTION_TRUST_FILE,
  OPTION_JSON,
  OPTION_BASE,
  OPTION_REASON,
  OPTION_WAIT,
  OPTION_WAIT_MS,
  OPTION_SINCE,
  OPTION_LIMIT,
  OPTION_TEAM,
  OPTION_FROM,
  OPTION_TO,
  OPTION_STAGES
};

/** Parser of the options common to all commands; its input is the Ctl to fill. */
extern const struct argp ctl_option_argp;
/** Reads the environment variables; exits with CTL_USAGE if one is invalid. */
void ctl_option_read_environment (Ctl *ctl);

#endif
