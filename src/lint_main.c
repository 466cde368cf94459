/* lovage-config: checks a routing configuration before it is sent to the fronts. */
#include "lint.h"
#include "lint_in_force.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DOCUMENT_MAX_BYTES 16777216
#define READ_BYTES         65536
#define STORE_TIMEOUT_MS   5000

/* Exit statuses. */
typedef enum
{
  EXIT_FINE = 0,
  EXIT_WARNINGS = 1,
  EXIT_ERRORS = 2,
  EXIT_UNREADABLE = 3 /* also wrong usage */
} ExitStatus;

typedef struct
{
  const char *file;     /* "-": standard input */
  const char *against;  /* file to compare with; NULL: none */
  const char *in_force; /* address of the store whose version to compare with; NULL: none */
  bool as_json;
  bool has_command;
} Arguments;

const char *argp_program_version = "lovage-config 0.1";

static const struct argp_option options[] = {
  { .name = "against", .key = 'a', .arg = "FILE", .doc = "Tell what differs from this version" },
  { .name = "in-force",
    .key = 'i',
    .arg = "IP:PORT",
    .doc = "Tell what differs from the version that the platform's store has" },
  { .name = "json", .key = 'j', .doc = "Print JSON for scripts" },
  { 0 },
};

static error_t
parse_operand (Arguments *arguments, const char *text, struct argp_state *state)
{
  if (!arguments->has_command)
    {
      if (strcmp (text, "check") != 0)
        argp_error (state, "unknown command \"%s\"", text);
      arguments->has_command = true;
      return 0;
    }
  if (arguments->file)
    argp_usage (state);
  arguments->file = text;
  return 0;
}

static void
complete (Arguments *arguments, struct argp_state *state)
{
  if (!arguments->has_command)
    argp_usage (state);
  if (!arguments->file)
    arguments->file = "-";
  if (arguments->against && arguments->in_force)
    argp_error (state, "--against and --in-force exclude each other");
  if (arguments->against && strcmp (arguments->against, "-") == 0
      && strcmp (arguments->file, "-") == 0)
    argp_error (state, "only one of the two documents can be standard input");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key)
    {
    case 'a':
      arguments->against = arg;
      return 0;
    case 'i':
      arguments->in_force = arg;
      return 0;
    case 'j':
      arguments->as_json = true;
      return 0;
    case ARGP_KEY_ARG:
      return parse_operand (arguments, arg, state);
    case ARGP_KEY_END:
      complete (arguments, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
read_stream (FILE *in, Buffer *text)
{
  char *part = memory_alloc (READ_BYTES);
  size_t len;

  buffer_add_string (text, "");
  while ((len = fread (part, 1, READ_BYTES, in)) > 0 && text->len <= DOCUMENT_MAX_BYTES)
    buffer_add (text, part, len);
  free (part);
  return !ferror (in);
}

static bool
read_document (const char *file, Buffer *text)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "r");
  bool is_read = in && read_stream (in, text);

  if (!is_read)
    fprintf (stderr, "lovage-config: %s: %s\n", file, strerror (errno));
  else if (text->len > DOCUMENT_MAX_BYTES)
    {
      fprintf (stderr, "lovage-config: %s: longer than %d bytes\n", file, DOCUMENT_MAX_BYTES);
      is_read = false;
    }
  if (in && in != stdin)
    fclose (in);
  return is_read;
}

static bool
read_in_force (const char *address, Buffer *text)
{
  Status status;

  buffer_add_string (text, "");
  if (lint_in_force_read (address, STORE_TIMEOUT_MS, text, &status) == STATUS_OK)
    return true;
  fprintf (stderr, "lovage-config: %s: %s: %s\n", status.peer, status.step, status.message);
  return false;
}

/* NULL after a message if fronts can't have this version. */
static FrontConfig *
decode_other (const char *source, const Buffer *text)
{
  LintReport report = { .file = source };
  LintDocument document = { 0 };
  FrontConfig *config = NULL;

  lint_document (&document, text->data, text->len, &report);
  if (document.config)
    config = front_config_ref (document.config);
  else
    fprintf (stderr, "lovage-config: %s: no configuration to compare with: %s\n", source,
             report.findings[0].text);
  lint_document_clear (&document);
  lint_report_free (&report);
  return config;
}

/* Reads the version to compare with; NULL after a message. */
static FrontConfig *
read_other (const Arguments *arguments)
{
  const char *source = arguments->in_force ? arguments->in_force : arguments->against;
  Buffer text = { 0 };
  FrontConfig *config = NULL;

  if (arguments->in_force ? read_in_force (source, &text) : read_document (source, &text))
    config = decode_other (source, &text);
  buffer_free (&text);
  return config;
}

static ExitStatus
status_of (const LintReport *report)
{
  if (report->counts[LINT_ERROR] > 0)
    return EXIT_ERRORS;
  return report->counts[LINT_WARNING] > 0 ? EXIT_WARNINGS : EXIT_FINE;
}

static ExitStatus
check_text (const Arguments *arguments, const Buffer *text, const FrontConfig *other)
{
  const LintCompared compared = {
    .source = arguments->in_force ? arguments->in_force : arguments->against,
    .is_in_force = arguments->in_force,
    .version = other ? other->version : 0,
  };
  LintReport report = { .file = arguments->file };
  LintDocument document;
  ExitStatus status;

  lint_document (&document, text->data, text->len, &report);
  if (other && document.config)
    {
      lint_compare (other, document.config, &report);
      report.compared = &compared;
    }
  lint_report_sort (&report);
  if (arguments->as_json)
    lint_report_print_json (&report, stdout);
  else
    lint_report_print_text (&report, stdout);
  status = status_of (&report);
  lint_report_free (&report);
  lint_document_clear (&document);
  return status;
}

static ExitStatus
check (const Arguments *arguments)
{
  Buffer text = { 0 };
  FrontConfig *other = NULL;
  bool compares = arguments->against || arguments->in_force;
  ExitStatus status = EXIT_UNREADABLE;

  if (read_document (arguments->file, &text) && (!compares || (other = read_other (arguments))))
    status = check_text (arguments, &text, other);
  front_config_unref (other);
  buffer_free (&text);
  return status;
}

int
main (int argc, char **argv)
{
  const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "check [FILE|-]",
    .doc = "Checks a routing configuration before it is sent to the fronts.",
  };
  Arguments arguments = { 0 };
  ExitStatus status;

  argp_err_exit_status = EXIT_UNREADABLE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  status = check (&arguments);
  if (fflush (stdout) != 0)
    {
      fprintf (stderr, "lovage-config: standard output: %s\n", strerror (errno));
      return EXIT_UNREADABLE;
    }
  return status;
}
