/* Prints a report, as text for people and as JSON for scripts. */
#include "lint_report.h"
#include <json-c/json.h>

static const char *const severity_names[LINT_SEVERITIES] = {
  [LINT_CHANGE] = "change",
  [LINT_NOTE] = "note",
  [LINT_WARNING] = "warning",
  [LINT_ERROR] = "error",
};

static const char *
verdict (const LintReport *report)
{
  return report->counts[LINT_ERROR] > 0 ? "refused" : "accepted";
}

void
lint_report_print_text (const LintReport *report, FILE *out)
{
  for (unsigned i = 0; i < report->count; i++)
    {
      const LintFinding *finding = &report->findings[i];

      fprintf (out, "%s:", report->file);
      if (finding->position.line > 0)
        fprintf (out, "%u:%u:", finding->position.line, finding->position.column);
      fprintf (out, " %s: %s%s%s [%s]\n", severity_names[finding->severity], finding->path,
               finding->path[0] ? ": " : "", finding->text, finding->check);
    }
  if (report->compared)
    fprintf (out, "%s: compared with version %lld %s %s\n", report->file,
             (long long)report->compared->version,
             report->compared->is_in_force ? "in force at the store" : "of",
             report->compared->source);
  fprintf (out, "%s: %s by fronts: %u errors, %u warnings, %u notes, %u changes\n", report->file,
           verdict (report), report->counts[LINT_ERROR], report->counts[LINT_WARNING],
           report->counts[LINT_NOTE], report->counts[LINT_CHANGE]);
}

static struct json_object *
finding_object (const LintFinding *finding)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "severity",
                          json_object_new_string (severity_names[finding->severity]));
  json_object_object_add (object, "check", json_object_new_string (finding->check));
  json_object_object_add (object, "path", json_object_new_string (finding->path));
  json_object_object_add (object, "line", json_object_new_int64 (finding->position.line));
  json_object_object_add (object, "column", json_object_new_int64 (finding->position.column));
  json_object_object_add (object, "text", json_object_new_string (finding->text));
  return object;
}

static struct json_object *
compared_object (const LintCompared *compared)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, compared->is_in_force ? "store" : "file",
                          json_object_new_string (compared->source));
  json_object_object_add (object, "version", json_object_new_int64 (compared->version));
  return object;
}

void
lint_report_print_json (const LintReport *report, FILE *out)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *findings = json_object_new_array ();

  for (unsigned i = 0; i < report->count; i++)
    json_object_array_add (findings, finding_object (&report->findings[i]));
  json_object_object_add (object, "file", json_object_new_string (report->file));
  json_object_object_add (object, "verdict", json_object_new_string (verdict (report)));
  if (report->compared)
    json_object_object_add (object, "compared", compared_object (report->compared));
  json_object_object_add (object, "errors", json_object_new_int64 (report->counts[LINT_ERROR]));
  json_object_object_add (object, "warnings", json_object_new_int64 (report->counts[LINT_WARNING]));
  json_object_object_add (object, "notes", json_object_new_int64 (report->counts[LINT_NOTE]));
  json_object_object_add (object, "changes", json_object_new_int64 (report->counts[LINT_CHANGE]));
  json_object_object_add (object, "findings", findings);
  fprintf (out, "%s\n",
           json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY
                                                       | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (object);
}
