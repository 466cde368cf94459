/* Runs the checks of a document one after another. */
#include "lint.h"
#include "lint_checks.h"
#include "wire_config.h"
#include "wire_lint.h"

static const LintCheck checks[] = {
  { "version", LINT_WARNING, lint_version },
  { "repeated_route", LINT_WARNING, lint_repeated_routes },
  { "repeated_team", LINT_WARNING, lint_repeated_teams },
  { "repeated_service", LINT_WARNING, lint_repeated_services },
  { "no_routes", LINT_WARNING, lint_no_routes },
  { "shadowed_route", LINT_WARNING, lint_shadowed_routes },
  { "host", LINT_WARNING, lint_hosts },
  { "prefix", LINT_WARNING, lint_prefixes },
  { "open_prefix", LINT_WARNING, lint_open_prefixes },
  { "weight", LINT_WARNING, lint_weights },
  { "no_share", LINT_WARNING, lint_no_share },
  { "unknown_service", LINT_WARNING, lint_unknown_services },
  { "repeated_target", LINT_WARNING, lint_repeated_targets },
  { "unused_service", LINT_WARNING, lint_unused_services },
  { "no_teams", LINT_NOTE, lint_no_teams },
  { "no_keys", LINT_WARNING, lint_no_keys },
  { "empty_key", LINT_WARNING, lint_empty_keys },
  { "shared_key", LINT_WARNING, lint_shared_keys },
  { "range", LINT_WARNING, lint_ranges },
  { "objective", LINT_WARNING, lint_objectives },
  { "pause", LINT_WARNING, lint_pauses },
  { "attempts", LINT_WARNING, lint_attempts },
  { "attempts_once", LINT_NOTE, lint_attempts_once },
  { "resumable", LINT_WARNING, lint_resumable },
  { "cold_start", LINT_WARNING, lint_cold_starts },
};

void
lint_document (LintDocument *document, const char *text, size_t len, LintReport *report)
{
  Status status;

  document->places = wire_places_new (text, len);
  report->places = document->places;
  document->config = wire_config_decode (text, len, &status);
  wire_lint (text, len, report);
  if (!document->config)
    {
      /* The fronts' verdict holds, also where no check knows the place. */
      if (report->counts[LINT_ERROR] == 0)
        lint_report_add (report, LINT_ERROR, "refused", "", (LintPosition){ 0 }, "%s",
                         status.message);
      return;
    }
  for (size_t i = 0; i < sizeof checks / sizeof checks[0]; i++)
    checks[i].run (&checks[i], document->config, report);
}

void
lint_document_clear (LintDocument *document)
{
  wire_places_free (document->places);
  front_config_unref (document->config);
  *document = (LintDocument){ 0 };
}
