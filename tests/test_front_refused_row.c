/** The row of refused requests: src/front_refused_row.c. */
#include "front_refused_row.h"
#include "suite.h"
#include <string.h>

#define NOW 5000000 /* milliseconds of the store's clock */

static QuarantineRefusal refusals[REFUSED_ROW_MAX];

static size_t
decode (const char *text, int64_t now_ms)
{
  return front_refused_row_decode (span_of (text), refusals, now_ms);
}

static void
test_row_survives_round_trip (void)
{
  static const QuarantineRefusal in[] = { { .fingerprint = 0xfedcba9876543211u, .left_ms = 60000 },
                                          { .fingerprint = 1, .left_ms = 9 } };
  Buffer out = { 0 };

  front_refused_row_encode (&out, in, 2, NOW);
  CU_ASSERT_EQUAL (decode (out.data, NOW + 8), 2);
  CU_ASSERT_EQUAL (refusals[0].fingerprint, in[0].fingerprint);
  CU_ASSERT_EQUAL (refusals[0].left_ms, 59992);
  CU_ASSERT_EQUAL (refusals[1].fingerprint, 1);
  CU_ASSERT_EQUAL (refusals[1].left_ms, 1);
  CU_ASSERT_EQUAL (decode (out.data, NOW + 9), 1);
  CU_ASSERT_EQUAL (decode (out.data, NOW + 60000), 0);
  buffer_free (&out);
}

/* Another program wrote the row. What is no such entry must be passed over. */
static void
test_invalid_rows (void)
{
  static const char *const texts[] = {
    "",
    "x",
    "[]",
    "{}",
    "{\"refused\":7}",
    "{\"refused\":[7,null,\"x\",[],{}]}",
    "{\"refused\":[{\"fingerprint\":7,\"until_ms\":5000009}]}",
    "{\"refused\":[{\"fingerprint\":\"zz\",\"until_ms\":5000009}]}",
    "{\"refused\":[{\"fingerprint\":\"7\",\"until_ms\":\"5000009\"}]}",
    "{\"refused\":[{\"fingerprint\":\"7\",\"until_ms\":9223372036854775807}]}",
    "{\"refused\":[{\"fingerprint\":\"7\"}]}",
  };

  for (size_t i = 0; i < SUITE_COUNT (texts); i++)
    CU_ASSERT_EQUAL (decode (texts[i], NOW), 0);
  CU_ASSERT_EQUAL (decode ("{\"refused\":[7,{\"fingerprint\":\"0a\",\"until_ms\":5000009}]}", NOW),
                   1);
  CU_ASSERT_EQUAL (refusals[0].fingerprint, 10);
}

static void
test_long_row_is_cut (void)
{
  QuarantineRefusal in[REFUSED_ROW_MAX + 8];
  Buffer out = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (in); i++)
    in[i] = (QuarantineRefusal){ .fingerprint = i + 1, .left_ms = 100 };
  front_refused_row_encode (&out, in, SUITE_COUNT (in), NOW);
  CU_ASSERT_EQUAL (decode (out.data, NOW), REFUSED_ROW_MAX);
  buffer_free (&out);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "row_survives_round_trip", test_row_survives_round_trip },
    { "invalid_rows", test_invalid_rows },
    { "long_row_is_cut", test_long_row_is_cut },
  };

  return suite_main (argc, argv, "front_refused_row", cases, SUITE_COUNT (cases));
}
