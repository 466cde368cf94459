/** Which bytes of a caller's connection are forwarded to libmicrohttpd: src/gate_framing.c. */
#include "gate_framing.h"
#include "suite.h"
#include <string.h>

#define HEAD_MAX 1000 /* bytes */

/* What gate_framing did with the bytes of one connection. */
typedef struct
{
  Buffer passed;     /* bytes that may be forwarded to libmicrohttpd */
  unsigned requests; /* complete ones */
  bool fault;
  int reason; /* of the fault */
} Outcome;

/* Feeds the bytes in blocks of one size, as a network might deliver them. */
static Outcome
feed (const char *data, size_t len, size_t block_size)
{
  Outcome out = { 0 };
  GateFraming framing;
  size_t at = 0;

  gate_framing_init (&framing, HEAD_MAX);
  while (at < len && !out.fault)
    {
      size_t used, left = len - at;
      FramingResult result = gate_framing_feed (
          &framing, data + at, left < block_size ? left : block_size, &used, &out.passed);

      at += used;
      out.requests += result == FRAMING_DONE;
      out.fault = result == FRAMING_FAULT;
    }
  if (out.fault)
    out.reason = gate_framing_fault (&framing);
  gate_framing_clear (&framing);
  return out;
}

static const size_t block_sizes[] = { 1, 2, 7, 64, 100000 };

/* Checks that the text is forwarded unchanged, as that many requests. */
static void
check_forwarded (const char *text, size_t len, unsigned requests)
{
  for (size_t i = 0; i < SUITE_COUNT (block_sizes); i++)
    {
      Outcome out = feed (text, len, block_sizes[i]);

      CU_ASSERT (!out.fault);
      CU_ASSERT_EQUAL (out.requests, requests);
      CU_ASSERT_EQUAL (out.passed.len, len);
      CU_ASSERT (out.passed.len == len && memcmp (out.passed.data, text, len) == 0);
      buffer_free (&out.passed);
    }
}

/* Checks that the first `requests` requests, of `good` bytes, are forwarded, and of the next one at
 * most complete lines and never the empty line that ends its head. */
static void
check_stopped (const char *text, size_t len, unsigned requests, size_t good)
{
  for (size_t i = 0; i < SUITE_COUNT (block_sizes); i++)
    {
      Outcome out = feed (text, len, block_sizes[i]);

      CU_ASSERT (out.fault);
      CU_ASSERT_EQUAL (out.reason, REFUSAL_MALFORMED);
      CU_ASSERT_EQUAL (out.requests, requests);
      CU_ASSERT (out.passed.len >= good);
      CU_ASSERT (out.passed.len == good
                 || memmem (out.passed.data + good, out.passed.len - good, "\r\n\r\n", 4) == NULL);
      buffer_free (&out.passed);
    }
}

#define CHECK_FORWARDED(text, requests) check_forwarded (text, sizeof (text) - 1, requests)
#define CHECK_STOPPED(good, text, done)                                                            \
  check_stopped (good text, sizeof (good text) - 1, done, sizeof (good) - 1)
#define GOOD "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"

static void
test_good_requests_are_forwarded (void)
{
  CHECK_FORWARDED (GOOD, 1);
  CHECK_FORWARDED (GOOD GOOD "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 3);
  CHECK_FORWARDED (
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nab\r\n0\r\n\r\n",
      1);
  CHECK_FORWARDED (
      "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", 1);
}

/* Guards against request smuggling: for a head with a negative length, no host, a folded line or a
   NUL, libmicrohttpd answers twice, or reads the head differently from another parser, so that a
   request can hide in another. The end of such a head is never forwarded. */
static void
test_ambiguous_heads_are_stopped (void)
{
  CHECK_STOPPED ("", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nabc", 0);
  CHECK_STOPPED ("", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc", 0);
  CHECK_STOPPED ("", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0);
  CHECK_STOPPED ("", "POST / HTTP/1.1\r\nHost: x\r\nA: b\r\n c: d\r\nContent-Length: 3\r\n\r\nabc",
                 0);
  CHECK_STOPPED ("", "GET / HTTP/1.1\r\nHost: x\r\nA: b\0c\r\n\r\n", 0);
  CHECK_STOPPED (
      "",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n",
      0);
}

/* Stray bytes or a malformed request after a good one on the same connection must not prevent the
   good one from being forwarded and answered. */
static void
test_good_request_before_a_fault_is_forwarded (void)
{
  CHECK_STOPPED (GOOD, "\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 1);
  CHECK_STOPPED (GOOD GOOD, "\1\2\3\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 2);
  CHECK_STOPPED (GOOD, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nabc", 1);
}

static void
test_too_long_head_is_a_fault (void)
{
  Buffer text = { 0 };
  Outcome out;

  buffer_printf (&text, "GET /%0*d", HEAD_MAX, 0);
  out = feed (text.data, text.len, text.len);
  buffer_free (&text);
  CU_ASSERT (out.fault);
  CU_ASSERT_EQUAL (out.reason, REFUSAL_HEAD_TOO_LARGE);
  CU_ASSERT_EQUAL (out.passed.len, 0);
  buffer_free (&out.passed);
}

static const SuiteCase cases[] = {
  { "good_requests_are_forwarded", test_good_requests_are_forwarded },
  { "ambiguous_heads_are_stopped", test_ambiguous_heads_are_stopped },
  { "good_request_before_a_fault_is_forwarded", test_good_request_before_a_fault_is_forwarded },
  { "too_long_head_is_a_fault", test_too_long_head_is_a_fault },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "gate_framing", cases, SUITE_COUNT (cases));
}
