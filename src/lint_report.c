/* Collects findings; texts of the document are made printable here. */
#include "lint_report.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <stdarg.h>
#include <stdlib.h>

#define ROOM_MIN 16 /* findings */

/* Length in bytes of a valid UTF-8 sequence of at least two bytes; 0 if it isn't one. */
static size_t
sequence_len (const unsigned char *s)
{
  size_t len = s[0] >= 0xf0 ? 4 : s[0] >= 0xe0 ? 3 : 2;

  if (s[0] < 0xc2 || s[0] > 0xf4)
    return 0;
  /* Overlong forms, surrogates and numbers above the last character. */
  if ((s[0] == 0xe0 && s[1] < 0xa0) || (s[0] == 0xed && s[1] > 0x9f)
      || (s[0] == 0xf0 && s[1] < 0x90) || (s[0] == 0xf4 && s[1] > 0x8f))
    return 0;
  for (size_t i = 1; i < len; i++)
    {
      if ((s[i] & 0xc0) != 0x80)
        return 0;
    }
  return len;
}

/* Replaces what would disturb a terminal or make JSON output invalid. */
static void
make_printable (char *text)
{
  unsigned char *s = (unsigned char *)text;

  while (*s)
    {
      size_t len = *s < 0x80 ? 1 : sequence_len (s);

      if (len == 0 || *s < ' ' || *s == 0x7f)
        {
          *s++ = '?';
          continue;
        }
      s += len;
    }
}

static void
add (LintReport *report, const LintFinding *finding)
{
  if (report->count == report->room)
    {
      report->room = report->room ? report->room * 2 : ROOM_MIN;
      report->findings = memory_grow (report->findings, report->room, sizeof report->findings[0]);
    }
  report->findings[report->count] = *finding;
  report->findings[report->count].number = report->count;
  make_printable (finding->text);
  make_printable (finding->path);
  report->count++;
  report->counts[finding->severity]++;
}

static char *
format_text (const char *format, va_list args)
{
  char *text;

  if (vasprintf (&text, format, args) < 0)
    abort ();
  return text;
}

void
lint_report_add (LintReport *report,
                 LintSeverity severity,
                 const char *check,
                 const char *path,
                 LintPosition position,
                 const char *format,
                 ...)
{
  va_list args;

  va_start (args, format);
  add (report, &(LintFinding){
                   .severity = severity,
                   .check = check,
                   .path = memory_strdup (path),
                   .position = position,
                   .text = format_text (format, args),
               });
  va_end (args);
}

void
lint_report_add_at (LintReport *report,
                    LintSeverity severity,
                    const char *check,
                    const LintPlace *place,
                    const char *format,
                    ...)
{
  Buffer path = { 0 };
  LintPosition position = { 0 };
  va_list args;

  buffer_add_string (&path, "");
  if (report->places)
    wire_places_find (report->places, place, &path, &position);
  va_start (args, format);
  add (report, &(LintFinding){
                   .severity = severity,
                   .check = check,
                   .path = memory_strdup (path.data),
                   .position = position,
                   .text = format_text (format, args),
               });
  va_end (args);
  buffer_free (&path);
}

static int
compare (const void *a, const void *b)
{
  const LintFinding *one = a, *other = b;

  if (one->position.line != other->position.line)
    return one->position.line < other->position.line ? -1 : 1;
  if (one->position.column != other->position.column)
    return one->position.column < other->position.column ? -1 : 1;
  return one->number < other->number ? -1 : one->number > other->number;
}

void
lint_report_sort (LintReport *report)
{
  if (report->count > 0)
    qsort (report->findings, report->count, sizeof report->findings[0], compare);
}

void
lint_report_free (LintReport *report)
{
  for (unsigned i = 0; i < report->count; i++)
    {
      free (report->findings[i].path);
      free (report->findings[i].text);
    }
  free (report->findings);
  *report = (LintReport){ 0 };
}
