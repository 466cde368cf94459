/**
 * The checks of a decoded configuration.
 */
#ifndef LINT_CHECKS_H
#define LINT_CHECKS_H

#include "front_config.h"
#include "lint_report.h"

typedef struct LintCheck LintCheck;

struct LintCheck
{
  const char *name;
  LintSeverity severity;
  void (*run) (const LintCheck *check, const FrontConfig *config, LintReport *report);
};

#define LINT_CHECK(function)                                                                       \
  void function (const LintCheck *check, const FrontConfig *config, LintReport *report)

/* src/lint_names.c */
LINT_CHECK (lint_repeated_routes);
LINT_CHECK (lint_repeated_teams);
LINT_CHECK (lint_repeated_services);

/* src/lint_match.c */
LINT_CHECK (lint_no_routes);
LINT_CHECK (lint_shadowed_routes);
LINT_CHECK (lint_hosts);
LINT_CHECK (lint_prefixes);
LINT_CHECK (lint_open_prefixes);

/* src/lint_targets.c */
LINT_CHECK (lint_weights);
LINT_CHECK (lint_no_share);
LINT_CHECK (lint_unknown_services);
LINT_CHECK (lint_repeated_targets);
LINT_CHECK (lint_unused_services);

/* src/lint_teams.c */
LINT_CHECK (lint_no_teams);
LINT_CHECK (lint_no_keys);
LINT_CHECK (lint_empty_keys);
LINT_CHECK (lint_shared_keys);

/* src/lint_limits.c */
LINT_CHECK (lint_version);
LINT_CHECK (lint_ranges);
LINT_CHECK (lint_objectives);
LINT_CHECK (lint_pauses);
LINT_CHECK (lint_attempts);
LINT_CHECK (lint_attempts_once);
LINT_CHECK (lint_resumable);
LINT_CHECK (lint_cold_starts);

#endif
