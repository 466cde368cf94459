/** Splitting streams into events: src/front_events.c. */
#include "front_events.h"
#include "suite.h"
#include <string.h>

static FrontEvents events;
static Buffer input, output;

static void
begin (void)
{
  buffer_clear (&input);
  buffer_clear (&output);
  front_events_init (&events);
}

/* Adds input and checks all output so far. */
static void
check (const char *more, const char *expected)
{
  buffer_add_string (&input, more);
  front_events_forward (&events, &input, &output);
  CU_ASSERT_STRING_EQUAL (output.data ? output.data : "", expected);
}

/* Only complete events are forwarded. If an engine stops in the middle of an event and the first
 * part of it was forwarded, the caller joins two parts of different events when the stream resumes
 * at another engine. */
static void
test_only_complete_events_are_forwarded (void)
{
  begin ();
  check ("id: 0\ndata: a\n\nid: 1\nda", "id: 0\ndata: a\n\n");
  CU_ASSERT_EQUAL (events.last_id, 0);
  check ("ta: b\n", "id: 0\ndata: a\n\n");
  check ("\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  CU_ASSERT_EQUAL (events.last_id, 1);
  CU_ASSERT_EQUAL (events.forwarded, 2);
  CU_ASSERT_EQUAL (input.len, 0);
}

/* A resumed stream may repeat events that the caller has; they are dropped. */
static void
test_repeated_events_are_dropped (void)
{
  begin ();
  check ("id:4\ndata: a\n\nid:5\ndata: b\n\n", "id:4\ndata: a\n\nid:5\ndata: b\n\n");
  buffer_clear (&output);
  check ("id:4\ndata: a\n\nid:5\ndata: b\n\nid:6\ndata: c\n\n", "id:6\ndata: c\n\n");
  CU_ASSERT (!events.id_skipped);
}

/* A resumed stream that skips an event must be reported. If it were forwarded, the caller's answer
 * would lack a part and yet look complete. */
static void
test_missing_event_is_reported (void)
{
  begin ();
  check ("id:0\ndata: a\n\nid:2\ndata: c\n\nid:3\ndata: d\n\n", "id:0\ndata: a\n\n");
  CU_ASSERT (events.id_skipped);
  CU_ASSERT_EQUAL (events.last_id, 0);
}

static void
test_all_line_endings_are_accepted (void)
{
  begin ();
  check (": comment\n\n", ": comment\n\n");
  check ("data: x\r\nid: 7\r\n\r\n", ": comment\n\ndata: x\r\nid: 7\r\n\r\n");
  CU_ASSERT_EQUAL (events.last_id, 7);
  check ("id: word\ndata: y\n\n", ": comment\n\ndata: x\r\nid: 7\r\n\r\nid: word\ndata: y\n\n");
  CU_ASSERT_EQUAL (events.last_id, 7);
  buffer_free (&input);
  buffer_free (&output);
}

static const SuiteCase cases[] = {
  { "only_complete_events_are_forwarded", test_only_complete_events_are_forwarded },
  { "repeated_events_are_dropped", test_repeated_events_are_dropped },
  { "missing_event_is_reported", test_missing_event_is_reported },
  { "all_line_endings_are_accepted", test_all_line_endings_are_accepted },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_events", cases, SUITE_COUNT (cases));
}
