#include "suite.h"
#include "util_buffer.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_field.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_status.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define THREADS      8
#define ADDS         1000
#define LONG_TEXT    10000 /* bytes, more than any limit of a text */
#define CAPTURE_SIZE 8192  /* bytes, more than a log line */

typedef struct
{
  char *name;
  int64_t port;
  double share;
  bool on;
  struct json_object *list;
} Sample;

static const FieldSpec sample_specs[] = {
  { .name = "name",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (Sample, name),
    .min = 1,
    .max = 8 },
  { .name = "port", .type = FIELD_INT, .offset = offsetof (Sample, port), .min = 1, .max = 65535 },
  { .name = "share", .type = FIELD_NUMBER, .offset = offsetof (Sample, share), .min = 0, .max = 1 },
  { .name = "on", .type = FIELD_BOOL, .offset = offsetof (Sample, on) },
  { .name = "list", .type = FIELD_ARRAY, .offset = offsetof (Sample, list) },
};

static void
test_status_is_set_truncated_and_cleared (void)
{
  Status st;
  char long_text[LONG_TEXT];

  memset (long_text, 'x', sizeof long_text);
  long_text[sizeof long_text - 1] = '\0';
  CU_ASSERT_EQUAL (status_set (&st, STATUS_CONFLICT, "platform.txn", NULL, "row %d", 3),
                   STATUS_CONFLICT);
  CU_ASSERT_STRING_EQUAL (st.step, "platform.txn");
  CU_ASSERT_STRING_EQUAL (st.peer, "");
  CU_ASSERT_STRING_EQUAL (st.message, "row 3");
  status_set (&st, STATUS_FULL, long_text, long_text, "%s", long_text);
  CU_ASSERT_EQUAL (strlen (st.message), STATUS_MESSAGE_MAX - 1);
  CU_ASSERT_EQUAL (status_ok (&st), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (st.message, "");
  CU_ASSERT_EQUAL (status_set (NULL, STATUS_DENIED, "step", "peer", "text"), STATUS_DENIED);
  CU_ASSERT_STRING_EQUAL (status_code_name (STATUS_NOT_FOUND), "not_found");
  CU_ASSERT_STRING_EQUAL (status_code_name (STATUS_INTERNAL), "internal");
}

static void
test_buffer_grows_and_consumes (void)
{
  Buffer buf = { 0 };

  for (int i = 0; i < ADDS; i++)
    buffer_printf (&buf, "%d,", i % 10);
  CU_ASSERT_EQUAL (buf.len, (size_t)2 * ADDS);
  CU_ASSERT_EQUAL (strlen (buf.data), buf.len);
  buffer_consume (&buf, buf.len - 4);
  CU_ASSERT_STRING_EQUAL (buf.data, "8,9,");
  buffer_add (&buf, "a\0b", 3);
  CU_ASSERT_EQUAL (buf.len, 7);
  CU_ASSERT_EQUAL (memcmp (buf.data, "8,9,a\0b", 8), 0);
  buffer_clear (&buf);
  buffer_add_string (&buf, "");
  CU_ASSERT_STRING_EQUAL (buf.data, "");
  buffer_free (&buf);
  CU_ASSERT_PTR_NULL (buf.data);
}

static void
test_clock_advances_during_sleep (void)
{
  int64_t before = clock_boot_us ();

  clock_sleep_ms (2);
  CU_ASSERT (clock_boot_us () >= before + 2000);
  clock_sleep_ms (-1);
  CU_ASSERT (clock_wall_ms () > 0);
}

static void
test_memory_is_zeroed_and_copied (void)
{
  char *zeroed = memory_array (3, 5);
  char *copy = memory_strdup ("abc");

  for (int i = 0; i < 15; i++)
    CU_ASSERT_EQUAL (zeroed[i], 0);
  CU_ASSERT_STRING_EQUAL (copy, "abc");
  CU_ASSERT_PTR_NULL (memory_strdup (NULL));
  free (zeroed);
  free (copy);
}

static void
test_ids_are_random_and_hashes_fixed (void)
{
  char a[ID_SIZE];
  char b[ID_SIZE];

  id_random (a);
  id_random (b);
  CU_ASSERT_EQUAL (strlen (a), ID_SIZE - 1);
  CU_ASSERT_EQUAL (strspn (a, "0123456789abcdef"), ID_SIZE - 1);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  CU_ASSERT_NOT_EQUAL (id_random_u64 (), id_random_u64 ());
  /* Published value of XXH64: VMs that run another build must compute the same hashes. */
  CU_ASSERT_EQUAL (id_hash_string ("", 0), UINT64_C (0xef46db3751d8e999));
  CU_ASSERT_NOT_EQUAL (id_hash_string ("a", 0), id_hash_string ("a", 1));
}

static void *
add_many (void *arg)
{
  for (int i = 0; i < ADDS; i++)
    counter_add (COUNTER_GATE_REQUESTS, *(int *)arg);
  return NULL;
}

/*
 * Guards against counters that decrease when threads exit: a thread's shard is freed at its exit,
 * and its sums must remain in the totals.
 */
static void
test_counter_outlives_threads (void)
{
  pthread_t threads[THREADS];
  int64_t before = counter_value (COUNTER_GATE_REQUESTS);
  int step = 2;
  Buffer text = { 0 };

  for (int i = 0; i < THREADS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, add_many, &step), 0);
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  add_many (&step);
  CU_ASSERT_EQUAL (counter_value (COUNTER_GATE_REQUESTS) - before,
                   (int64_t)(THREADS + 1) * ADDS * step);
  counter_text (&text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text.data, "gate_requests 18000\n"));
  buffer_free (&text);
}

static void
test_log_quote_escapes (void)
{
  char out[16];

  CU_ASSERT_STRING_EQUAL (log_quote ("a\"b\\c\nd", out, sizeof out), "a\\\"b\\\\c\\x0ad");
  CU_ASSERT_STRING_EQUAL (log_quote ("0123456789abcdefgh", out, sizeof out), "0123456789abcde");
  /* An escape sequence that does not fit completely is omitted. */
  CU_ASSERT_STRING_EQUAL (log_quote ("0123456789abc\n", out, sizeof out), "0123456789abc");
  CU_ASSERT_STRING_EQUAL (log_quote (NULL, out, sizeof out), "");
}

/* Runs log_msg with standard error redirected to a pipe and copies the output to out. */
static void
capture_log (const char *value, char out[CAPTURE_SIZE])
{
  int ends[2];
  int saved = dup (STDERR_FILENO);
  ssize_t got;

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  dup2 (ends[1], STDERR_FILENO);
  log_msg (MSG_SETTINGS_REFUSED, "value=\"%s\"", value);
  dup2 (saved, STDERR_FILENO);
  close (saved);
  close (ends[1]);
  got = read (ends[0], out, CAPTURE_SIZE - 1);
  out[got > 0 ? got : 0] = '\0';
  close (ends[0]);
}

static void
test_log_line_is_never_split (void)
{
  char out[CAPTURE_SIZE];
  char expected[64];
  char long_text[LONG_TEXT];

  log_init ("test_util", LOG_INFO);
  capture_log ("a\nb", out);
  /* LOG_DAEMON | LOG_ERR */
  CU_ASSERT_EQUAL (strncmp (out, "<27>20", 6), 0);
  snprintf (expected, sizeof expected, " test_util[%d]: settings_refused ", (int)getpid ());
  CU_ASSERT_PTR_NOT_NULL (strstr (out, expected));
  CU_ASSERT_PTR_NOT_NULL (strstr (out, "value=\"a b\"\n"));
  CU_ASSERT_PTR_EQUAL (strchr (out, '\n'), out + strlen (out) - 1);

  memset (long_text, 'x', sizeof long_text);
  long_text[sizeof long_text - 1] = '\0';
  capture_log (long_text, out);
  CU_ASSERT_PTR_NOT_NULL (strstr (out, "x truncated=\"yes\"\n"));

  log_init ("test_util", LOG_CRIT);
  capture_log ("dropped", out);
  CU_ASSERT_STRING_EQUAL (out, "");
  log_init ("test_util", LOG_INFO);
}

/* Parses and reads text into a Sample, and checks that the error list equals errors. */
static void
expect_errors (const char *text, const char *errors)
{
  CheckList list = { .file = "f.json" };
  Sample sample = { 0 };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);

  if (obj)
    field_read (sample_specs, SUITE_COUNT (sample_specs), obj, &sample, "", &list);
  CU_ASSERT_STRING_EQUAL (list.text.data ? list.text.data : "", errors);
  if (strcmp (list.text.data ? list.text.data : "", errors) != 0)
    printf ("\n  for %s\n  found %s", text, list.text.data ? list.text.data : "nothing\n");
  json_object_put (obj);
  free (sample.name);
  check_free (&list);
}

static void
test_field_values_are_read (void)
{
  const char *text
      = "{ // who\n \"name\": \"abc\", /* : */ \"port\": 80, \"share\": 1, \"on\": true,\n"
        "\"list\": [1, \"a:b\"] }\n// end";
  CheckList list = { 0 };
  Sample sample = { .name = memory_strdup ("old"), .share = 0.25 };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);

  CU_ASSERT_PTR_NOT_NULL_FATAL (obj);
  CU_ASSERT (field_read (sample_specs, SUITE_COUNT (sample_specs), obj, &sample, "", &list));
  CU_ASSERT_STRING_EQUAL (sample.name, "abc");
  CU_ASSERT_EQUAL (sample.port, 80);
  CU_ASSERT_EQUAL (sample.share, 1);
  CU_ASSERT (sample.on);
  CU_ASSERT_EQUAL (json_object_array_length (sample.list), 2);
  json_object_put (obj);

  obj = field_parse_string ("{\"name\":\"d\"}", 12, &list);
  CU_ASSERT_PTR_NOT_NULL_FATAL (obj);
  CU_ASSERT (field_read (sample_specs, SUITE_COUNT (sample_specs), obj, &sample, "", &list));
  CU_ASSERT_EQUAL (sample.port, 80);
  json_object_put (obj);
  free (sample.name);
  check_free (&list);
}

static void
test_field_errors_are_reported (void)
{
  expect_errors ("{}", "f.json: name: expected a string, found nothing\n");
  expect_errors ("[]", "f.json: expected an object, found array\n");
  expect_errors ("{\"name\":\"\",\"port\":70000,\"share\":1.5,\"on\":1,\"list\":{},\"extra\":null}",
                 "f.json: name: expected a string of 1 to 8 bytes, found 0 bytes\n"
                 "f.json: port: expected a whole number from 1 to 65535, found 70000\n"
                 "f.json: share: expected a number from 0 to 1, found 1.5\n"
                 "f.json: on: expected true or false, found int\n"
                 "f.json: list: expected an array, found object\n"
                 "f.json: extra: unknown name, expected one of: name, port, share, on, list\n");
  expect_errors ("{\"name\":\"a\",\"port\":1.5}",
                 "f.json: port: expected a whole number, found double\n");
  expect_errors ("{\"name\":\"a\",\"port\":99999999999999999999999}",
                 "f.json: port: expected a whole number of at most 63 bits\n");
  expect_errors ("{\"name\":\"a\",\"share\":NaN}", "f.json: share: expected a finite number\n");
  expect_errors ("{\"name\":\"a\\u0000b\"}",
                 "f.json: name: expected a string without NUL characters\n");
}

/*
 * Guards against forged error lines: a document whose member name contains a line break would add a
 * line of its own to the error list.
 */
static void
test_field_names_are_quoted (void)
{
  expect_errors (
      "{\"name\":\"a\",\"b\\nf.json: port\":1}",
      "f.json: b\\x0af.json: port: unknown name, expected one of: name, port, share, on, "
      "list\n");
  expect_errors ("{\"a\\nb\":1,\"a\\nb\":1}",
                 "f.json: a\\x0ab: line 1, column 17: duplicate member name\n");
}

static void
test_field_long_path_is_truncated (void)
{
  CheckList list = { 0 };
  Sample sample = { 0 };
  char path[LONG_TEXT];
  struct json_object *obj = json_object_new_object ();

  memset (path, 'p', sizeof path);
  path[sizeof path - 1] = '\0';
  CU_ASSERT_FALSE (field_read (sample_specs, 1, obj, &sample, path, &list));
  CU_ASSERT_PTR_NOT_NULL (strstr (list.text.data, "ppp...: expected a string, found nothing\n"));
  json_object_put (obj);
  check_free (&list);
}

/*
 * Guards against silently replaced members: if a team's list of allowed versions occurs twice in a
 * file, json-c keeps the last one, and a withdrawn version could be allowed again.
 */
static void
test_field_duplicates_are_reported (void)
{
  expect_errors ("{\"name\":\"a\",\n \"name\":\"b\"}",
                 "f.json: name: line 2, column 8: duplicate member name\n");
  expect_errors ("{\"x\":{\"y\":[0,{\"z\":{},\"z\" /*:*/ : {}}]},\"x\":1}",
                 "f.json: x.y[1].z: line 1, column 32: duplicate member name\n"
                 "f.json: x: line 1, column 43: duplicate member name\n");
  /* The same text in strings, in comments and in other objects is not a duplicate name. */
  expect_errors (
      "{\"name\":\"\\\"name\\\":\" /* \"name\":1 */, \"list\":[{\"name\":1},{\"name\":2}]}", "");
}

static void
test_field_syntax_errors_have_position (void)
{
  expect_errors ("{\"name\":\n  ]}",
                 "f.json: line 2, column 3: syntax error: unexpected character\n");
  expect_errors ("{\"name\":\"a\"",
                 "f.json: line 1, column 12: syntax error: unexpected end of data\n");
  expect_errors ("", "f.json: line 1, column 1: syntax error: unexpected end of data\n");
  expect_errors ("{\"name\":\"a\"} /* : */ {}",
                 "f.json: line 1, column 22: expected the end of the text behind the value\n");
  expect_errors ("null", "f.json: expected a value, found null\n");
  expect_errors ("{\"name\":\"\xff\"}",
                 "f.json: line 1, column 10: syntax error: invalid utf-8 string\n");
}

static void
test_field_file_is_parsed (void)
{
  char path[SUITE_PATH_SIZE];
  CheckList list = { 0 };
  struct json_object *obj;

  suite_file (path, "{\"a\": 1} // fine\n");
  obj = field_parse_file (path, &list);
  CU_ASSERT (json_object_is_type (obj, json_type_object));
  json_object_put (obj);
  unlink (path);
  CU_ASSERT_PTR_NULL (field_parse_file (path, &list));
  CU_ASSERT_EQUAL (list.count, 1);
  CU_ASSERT_STRING_EQUAL (list.text.data, "can't be opened: No such file or directory\n");
  check_free (&list);
}

static const SuiteCase cases[] = {
  { "status_is_set_truncated_and_cleared", test_status_is_set_truncated_and_cleared },
  { "buffer_grows_and_consumes", test_buffer_grows_and_consumes },
  { "clock_advances_during_sleep", test_clock_advances_during_sleep },
  { "memory_is_zeroed_and_copied", test_memory_is_zeroed_and_copied },
  { "ids_are_random_and_hashes_fixed", test_ids_are_random_and_hashes_fixed },
  { "counter_outlives_threads", test_counter_outlives_threads },
  { "log_quote_escapes", test_log_quote_escapes },
  { "log_line_is_never_split", test_log_line_is_never_split },
  { "field_values_are_read", test_field_values_are_read },
  { "field_errors_are_reported", test_field_errors_are_reported },
  { "field_names_are_quoted", test_field_names_are_quoted },
  { "field_long_path_is_truncated", test_field_long_path_is_truncated },
  { "field_duplicates_are_reported", test_field_duplicates_are_reported },
  { "field_syntax_errors_have_position", test_field_syntax_errors_have_position },
  { "field_file_is_parsed", test_field_file_is_parsed },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "util", cases, SUITE_COUNT (cases));
}
