/** Log lines: src/front_log.c. Standard output is redirected to a pipe while lines are written. */
#include "front_log.h"
#include "suite.h"
#include <fcntl.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READ_MAX 65536

static int saved_output, reader;

static void
output_begin (void)
{
  int ends[2];

  fflush (stdout);
  saved_output = dup (STDOUT_FILENO);
  CU_ASSERT_FATAL (pipe2 (ends, O_CLOEXEC) == 0);
  reader = ends[0];
  fcntl (reader, F_SETFL, O_NONBLOCK);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  front_log_init ("vm-1");
}

/* Returns what was written since the last call. */
static const char *
output_read (void)
{
  static char text[READ_MAX];
  ssize_t len = read (reader, text, sizeof text - 1);

  text[len > 0 ? len : 0] = '\0';
  return text;
}

static void
output_end (void)
{
  dup2 (saved_output, STDOUT_FILENO);
  close (saved_output);
  close (reader);
}

static const char *
member (struct json_object *line, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (line, name, &value) ? json_object_get_string (value) : "";
}

/* Any bytes that a caller sends must be escaped so that a JSON parser returns them unchanged. */
static void
test_values_are_escaped (void)
{
  static const char hostile[] = "a\"},{\"b\\\n\t\001\x7f\xc3\xa9";
  struct json_object *line;
  FrontLine *out;

  output_begin ();
  out = front_log_begin (FRONT_EVENT_REFUSED);
  front_log_text (out, "path", hostile);
  front_log_span (out, "reason", (Span){ .text = "no_routeX", .len = 8 });
  front_log_span (out, "absent", (Span){ 0 });
  front_log_number (out, "least", INT64_MIN);
  front_log_end (out);
  line = json_tokener_parse (output_read ());
  output_end ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (member (line, "vm"), "vm-1");
  CU_ASSERT_STRING_EQUAL (member (line, "event"), "request_refused");
  CU_ASSERT_STRING_EQUAL (member (line, "path"), hostile);
  CU_ASSERT_STRING_EQUAL (member (line, "reason"), "no_route");
  CU_ASSERT_STRING_EQUAL (member (line, "absent"), "");
  CU_ASSERT_STRING_EQUAL (member (line, "least"), "-9223372036854775808");
  json_object_put (line);
}

/* When no process reads the log and the pipe is full, writing must not block, and the first line
 * that is written again reports how many were lost. */
static void
test_lines_are_omitted_while_pipe_is_full (void)
{
  struct json_object *line;
  char block[4096];
  FrontLine *out;

  output_begin ();
  memset (block, 'x', sizeof block);
  while (write (STDOUT_FILENO, block, sizeof block) > 0)
    continue;
  for (unsigned i = 0; i < 3; i++)
    front_log_end (front_log_begin (FRONT_EVENT_STORE_WRITE));
  while (read (reader, block, sizeof block) > 0)
    continue;
  out = front_log_begin (FRONT_EVENT_STORE_WRITE);
  front_log_end (out);
  line = json_tokener_parse (output_read ());
  output_end ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (member (line, "omitted"), "3");
  json_object_put (line);
}

/* A line that is too long for one atomic write is omitted and counted, not truncated. */
static void
test_long_line_is_omitted (void)
{
  char *value = calloc (1, 5001);
  struct json_object *line;
  FrontLine *out;

  output_begin ();
  memset (value, 'v', 5000);
  out = front_log_begin (FRONT_EVENT_RELOAD);
  front_log_text (out, "value", value);
  front_log_end (out);
  CU_ASSERT_STRING_EQUAL (output_read (), "");
  front_log_end (front_log_begin (FRONT_EVENT_RELOAD));
  line = json_tokener_parse (output_read ());
  output_end ();
  free (value);
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (member (line, "omitted"), "1");
  json_object_put (line);
}

/* Each event has its own rate limit: a flood of one must not suppress the lines of others. */
static void
test_rate_limit_is_per_event (void)
{
  unsigned answered = 0, failed = 0;
  FrontLine *out;

  output_begin ();
  for (unsigned i = 0; i < 5000; i++)
    {
      out = front_log_begin (FRONT_EVENT_ANSWERED);
      answered += out != NULL;
      front_log_end (out);
      output_read ();
    }
  out = front_log_begin (FRONT_EVENT_FAILED);
  failed = out != NULL;
  front_log_end (out);
  output_end ();
  CU_ASSERT (answered >= 240);
  CU_ASSERT (answered < 1000);
  CU_ASSERT_EQUAL (failed, 1);
}

static const SuiteCase cases[] = {
  { "values_are_escaped", test_values_are_escaped },
  { "lines_are_omitted_while_pipe_is_full", test_lines_are_omitted_while_pipe_is_full },
  { "long_line_is_omitted", test_long_line_is_omitted },
  { "rate_limit_is_per_event", test_rate_limit_is_per_event },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_log", cases, SUITE_COUNT (cases));
}
