/** Which bytes of a caller's connection go on to libmicrohttpd: src/gate_framing.c. */
#include "gate_framing.h"
#include "suite.h"
#include <string.h>

#define HEAD_MAX 1000

typedef struct
{
  Buffer passed;
  unsigned requests;
  bool fault;
  int reason; /* of the fault */
} Outcome;

/* Feeds the bytes in pieces of one size, as a network might cut them. */
static Outcome
feed (const char *data, size_t len, size_t piece)
{
  Outcome out = { 0 };
  GateFraming framing;
  size_t at = 0;

  gate_framing_init (&framing, HEAD_MAX);
  while (at < len && !out.fault)
    {
      size_t used, left = len - at;
      FramingResult result = gate_framing_feed (&framing, data + at, left < piece ? left : piece,
                                                &used, &out.passed);

      at += used;
      out.requests += result == FRAMING_DONE;
      out.fault = result == FRAMING_FAULT;
    }
  if (out.fault)
    out.reason = gate_framing_fault (&framing);
  gate_framing_clear (&framing);
  return out;
}

static const size_t pieces[] = { 1, 2, 7, 64, 100000 };

/* All of it goes on, byte for byte, as that many requests. */
static void
passes (const char *text, size_t len, unsigned requests)
{
  for (size_t i = 0; i < SUITE_COUNT (pieces); i++)
    {
      Outcome out = feed (text, len, pieces[i]);

      CU_ASSERT (!out.fault);
      CU_ASSERT_EQUAL (out.requests, requests);
      CU_ASSERT_EQUAL (out.passed.len, len);
      CU_ASSERT (out.passed.len == len && memcmp (out.passed.data, text, len) == 0);
      buffer_free (&out.passed);
    }
}

/* The first `requests` requests go on; of the next one at most whole lines and never the empty line
 * that ends its head. */
static void
stops (const char *text, size_t len, unsigned requests, size_t good)
{
  for (size_t i = 0; i < SUITE_COUNT (pieces); i++)
    {
      Outcome out = feed (text, len, pieces[i]);

      CU_ASSERT (out.fault);
      CU_ASSERT_EQUAL (out.reason, REFUSAL_MALFORMED);
      CU_ASSERT_EQUAL (out.requests, requests);
      CU_ASSERT (out.passed.len >= good);
      CU_ASSERT (out.passed.len == good
                 || memmem (out.passed.data + good, out.passed.len - good, "\r\n\r\n", 4) == NULL);
      buffer_free (&out.passed);
    }
}

#define PASSES(text, requests)  passes (text, sizeof (text) - 1, requests)
#define STOPS(good, text, done) stops (good text, sizeof (good text) - 1, done, sizeof (good) - 1)
#define GOOD                    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"

static void
test_good_requests (void)
{
  PASSES (GOOD, 1);
  PASSES (GOOD GOOD "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 3);
  PASSES (
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nab\r\n0\r\n\r\n",
      1);
  PASSES ("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", 1);
}

/* Story: a caller sends a negative length, no host, a folded line or a NUL; libmicrohttpd answers
   twice, or reads the head otherwise than the next parser would, and a request hides in another.
   The end of such a head never gets there. */
static void
test_doubtful_heads (void)
{
  STOPS ("", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nabc", 0);
  STOPS ("", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc", 0);
  STOPS ("", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0);
  STOPS ("", "POST / HTTP/1.1\r\nHost: x\r\nA: b\r\n c: d\r\nContent-Length: 3\r\n\r\nabc", 0);
  STOPS ("", "GET / HTTP/1.1\r\nHost: x\r\nA: b\0c\r\n\r\n", 0);
  STOPS ("",
         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         0);
}

/* Story: stray bytes, or a malformed request, follow a good one on the same connection. The good
   one is answered all the same. */
static void
test_fault_behind_a_good_request (void)
{
  STOPS (GOOD, "\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 1);
  STOPS (GOOD GOOD, "\1\2\3\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 2);
  STOPS (GOOD, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nabc", 1);
}

static void
test_long_head (void)
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
  { "good_requests", test_good_requests },
  { "doubtful_heads", test_doubtful_heads },
  { "fault_behind_a_good_request", test_fault_behind_a_good_request },
  { "long_head", test_long_head },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "gate_framing", cases, SUITE_COUNT (cases));
}
