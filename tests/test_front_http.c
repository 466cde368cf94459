/** Parsing callers' requests and servers' answers: src/http_head.c, http_request_parser.c,
 * http_reply.c. */
#include "fake_heads.h"
#include "http_reply.h"
#include "http_request_parser.h"
#include "suite.h"
#include "util_unused.h"
#include <string.h>

static const HttpRequestLimits limits = { .head_max = 1000, .body_max = 100 };

/* Feeds the text byte by byte, as from a slow caller, and returns the last result. */
static HttpParseResult
feed (HttpRequestParser *request_parser, const char *text, size_t len, size_t *consumed)
{
  HttpParseResult result = HTTP_PARSE_MORE;
  size_t used;

  http_request_parser_init (request_parser, &limits);
  *consumed = 0;
  while (*consumed < len && result == HTTP_PARSE_MORE)
    {
      result = http_request_parser_feed (request_parser, text + *consumed, 1, &used);
      *consumed += used;
      if (used == 0 && result == HTTP_PARSE_MORE)
        break;
    }
  return result;
}

/* The status with which a text is refused; 0: it is accepted or incomplete. */
static int
refused (const char *text, size_t len)
{
  HttpRequestParser request_parser;
  size_t consumed, used;
  int slow, fast;

  feed (&request_parser, text, len, &consumed);
  slow = request_parser.refuse_status;
  http_request_parser_reset (&request_parser);
  http_request_parser_feed (&request_parser, text, len, &used);
  fast = request_parser.refuse_status;
  http_request_parser_reset (&request_parser);
  CU_ASSERT_EQUAL (slow, fast);
  return slow;
}

#define REFUSED(text) refused (text, sizeof (text) - 1)

static void
test_complete_request_is_parsed (void)
{
  static const char text[]
      = "POST /a/b?c=%20 HTTP/1.1\r\nHost: x.example:80\r\nContent-Length: 3\r\n"
        "X-Own:  two words \r\n\r\nabcGET";
  HttpRequestParser request_parser;
  size_t consumed;

  CU_ASSERT_EQUAL (feed (&request_parser, text, sizeof text - 1, &consumed), HTTP_PARSE_DONE);
  CU_ASSERT_EQUAL (consumed, sizeof text - 1 - 3);
  CU_ASSERT (span_is (request_parser.method, "POST"));
  CU_ASSERT (span_is (request_parser.target, "/a/b?c=%20"));
  CU_ASSERT (span_is (http_head_get (&request_parser.head, "x-own"), "two words"));
  CU_ASSERT (request_parser.keep_alive);
  CU_ASSERT_EQUAL (request_parser.body.len, 3);
  CU_ASSERT (memcmp (request_parser.body.data, "abc", 3) == 0);
  http_request_parser_reset (&request_parser);
}

/* Java's HTTP client offers HTTP/2 with each first request (Upgrade: h2c). A server may ignore the
 * offer. If it were refused, such callers would get 400 whenever head and body arrive in two
 * packets. */
static void
test_upgrade_offer_is_ignored (void)
{
  static const char head[] = "POST / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                             "Upgrade: h2c\r\nContent-Length: 3\r\n\r\n";
  HttpRequestParser request_parser;
  size_t used;

  http_request_parser_init (&request_parser, &limits);
  CU_ASSERT_EQUAL (http_request_parser_feed (&request_parser, head, sizeof head - 1, &used),
                   HTTP_PARSE_MORE);
  CU_ASSERT_EQUAL (http_request_parser_feed (&request_parser, "abcGET", 6, &used), HTTP_PARSE_DONE);
  CU_ASSERT_EQUAL (used, 3);
  CU_ASSERT_EQUAL (request_parser.body.len, 3);
  http_request_parser_reset (&request_parser);
}

static void
test_chunked_request_is_parsed (void)
{
  static const char text[] = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                             "Connection: close\r\n\r\n2;e=1\r\nab\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n";
  HttpRequestParser request_parser;
  size_t consumed;

  CU_ASSERT_EQUAL (feed (&request_parser, text, sizeof text - 1, &consumed), HTTP_PARSE_DONE);
  CU_ASSERT_EQUAL (consumed, sizeof text - 1);
  CU_ASSERT (!request_parser.keep_alive);
  CU_ASSERT_EQUAL (request_parser.body.len, 3);
  http_request_parser_reset (&request_parser);
}

/* Request smuggling: a request contains a second one that only some parsers see, by a length and
 * chunks, two lengths, a folded line or a bare line feed. If it were forwarded, an engine would run
 * a request that no caller sent. Each is refused before any byte is forwarded. */
static void
test_smuggled_requests_are_refused (void)
{
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                   400);
  CU_ASSERT_EQUAL (
      REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
      400);
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na"), 400);
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\na"), 400);
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (
      REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c: d\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\r\nA: b\0c\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n"), 400);
}

/* Guards against a request that is read from the content of a CONNECT request. */
static void
test_connect_is_refused (void)
{
  CU_ASSERT_EQUAL (REFUSED ("CONNECT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n"
                            "GET /b HTTP/1.1\r\nHost: x\r\n\r\n"),
                   400);
  CU_ASSERT_EQUAL (REFUSED ("CONNECT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "1e\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n\r\n0\r\n\r\n"),
                   400);
  CU_ASSERT_EQUAL (REFUSED ("CONNECT /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("CONNECT x:80 HTTP/1.0\r\nHost: x:80\r\n\r\n"), 400);
}

/* Guards against the same with any other method, with and without an offer to upgrade. */
static void
test_every_body_is_read (void)
{
  static const char *const methods[]
      = { "GET",   "HEAD", "POST",     "PUT",    "DELETE", "OPTIONS", "TRACE",
          "PATCH", "COPY", "PROPFIND", "SEARCH", "REPORT", "M-SEARCH" };
  static const char *const offers[] = { "", "Connection: Upgrade\r\nUpgrade: h2c\r\n",
                                        "Connection: close\r\n", "Upgrade: websocket\r\n" };
  HttpRequestParser request_parser;
  size_t consumed;
  char text[256];

  for (size_t i = 0; i < SUITE_COUNT (methods); i++)
    {
      for (size_t j = 0; j < SUITE_COUNT (offers); j++)
        {
          snprintf (text, sizeof text,
                    "%s /a HTTP/1.1\r\nHost: x\r\n%sContent-Length: 5\r\n\r\nGET /", methods[i],
                    offers[j]);
          CU_ASSERT_EQUAL (feed (&request_parser, text, strlen (text), &consumed), HTTP_PARSE_DONE);
          CU_ASSERT_EQUAL (request_parser.body.len, 5);
          http_request_parser_reset (&request_parser);
        }
    }
}

static void
test_malformed_requests_are_refused (void)
{
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/1.1\r\nHost:\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET /\r\nHost: x\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("GET / HTTP/2.0\r\nHost: x\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (REFUSED ("\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n"), 400);
  CU_ASSERT_EQUAL (
      REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n"), 400);
}

static void
test_too_large (void)
{
  char text[2000];
  int len = snprintf (text, sizeof text, "GET / HTTP/1.1\r\nHost: x\r\nA: %01100d\r\n\r\n", 0);

  CU_ASSERT_EQUAL (refused (text, (size_t)len), 431);
  CU_ASSERT_EQUAL (REFUSED ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"), 413);
  len = snprintf (
      text, sizeof text,
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n70\r\n%0112d\r\n", 0);
  CU_ASSERT_EQUAL (refused (text, (size_t)len), 413);
}

static void
test_pipelined_requests_are_separated (void)
{
  static const char text[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n";
  HttpRequestParser request_parser;
  size_t used, first;

  http_request_parser_init (&request_parser, &limits);
  CU_ASSERT_EQUAL (http_request_parser_feed (&request_parser, text, sizeof text - 1, &first),
                   HTTP_PARSE_DONE);
  CU_ASSERT (span_is (request_parser.target, "/a"));
  http_request_parser_reset (&request_parser);
  CU_ASSERT (!http_request_parser_started (&request_parser));
  CU_ASSERT_EQUAL (
      http_request_parser_feed (&request_parser, text + first, sizeof text - 1 - first, &used),
      HTTP_PARSE_DONE);
  CU_ASSERT (span_is (request_parser.target, "/b"));
  http_request_parser_reset (&request_parser);
}

static HttpReply
reply_of (const char *text, bool ended)
{
  HttpReply reply;

  http_reply_init (&reply);
  for (size_t i = 0; i < strlen (text); i++)
    http_reply_feed (&reply, text + i, 1);
  if (ended)
    http_reply_end (&reply);
  return reply;
}

static void
check_reply (const char *text, bool ended, bool complete, bool broken, size_t len)
{
  HttpReply reply = reply_of (text, ended);

  CU_ASSERT_EQUAL (reply.complete, complete);
  CU_ASSERT_EQUAL (reply.broken, broken);
  CU_ASSERT_EQUAL (reply.body.len, len);
  http_reply_clear (&reply);
}

/* Guards against truncated answers that look complete: if an engine dies in the middle of its
 * answer, only the framing shows that the answer is incomplete. */
static void
test_truncated_replies_are_not_complete (void)
{
  check_reply ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, true, false, 3);
  check_reply ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false, false, false, 2);
  check_reply ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true, false, true, 2);
  check_reply ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true, false,
               true, 2);
  check_reply ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false,
               true, false, 2);
  check_reply ("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabcd", false, false, false, 4);
  check_reply ("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabcd", true, true, false, 4);
  check_reply ("HTTP/1.1 200 OK\r\nA: b", true, false, true, 0);
}

static void
test_malformed_replies_are_broken (void)
{
  check_reply ("SSH-2.0-x\r\n\r\n", false, false, true, 0);
  check_reply ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false, false,
               true, 0);
  check_reply ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false,
               false, true, 0);
}

static void
test_interim_reply_is_skipped_and_surplus_reported (void)
{
  HttpReply reply = reply_of ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Made\r\n"
                              "Content-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n",
                              false);

  CU_ASSERT_EQUAL (reply.status, 201);
  CU_ASSERT (reply.complete);
  CU_ASSERT (reply.surplus);
  CU_ASSERT_EQUAL (reply.body.len, 1);
  http_reply_clear (&reply);
}

/* Guards against an answer that never begins and is read for as long as its server sends. */
static void
test_interim_replies_without_end_are_broken (void)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  size_t len = sizeof interim - 1, fed = 0;
  HttpReply reply;

  http_reply_init (&reply);
  while (!reply.broken && fed < 2UL * HTTP_REPLY_HEAD_MAX)
    {
      http_reply_feed (&reply, interim, len);
      fed += len;
    }
  CU_ASSERT (reply.broken);
  CU_ASSERT (fed <= HTTP_REPLY_HEAD_MAX + len);
  http_reply_clear (&reply);
}

static void
test_hop_by_hop_fields_are_recognized (void)
{
  static const char text[]
      = "GET / HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Own: 2\r\n"
        "Keep-Alive: 3\r\n\r\n";
  HttpHead head;

  CU_ASSERT (http_head_parse (&head, text, sizeof text - 1));
  CU_ASSERT (http_head_is_hop_by_hop (&head, span_of ("x-mine")));
  CU_ASSERT (http_head_is_hop_by_hop (&head, span_of ("keep-alive")));
  CU_ASSERT (!http_head_is_hop_by_hop (&head, span_of ("X-Own")));
  http_head_clear (&head);
}

static void
check_cut_head (FakeServer *none UNUSED, const FakeAnswer *cut)
{
  HttpReply reply;

  for (size_t piece = 1; piece <= cut->len; piece += cut->len)
    {
      http_reply_init (&reply);
      for (size_t at = 0; at < cut->len; at += piece)
        http_reply_feed (&reply, cut->text + at, at + piece <= cut->len ? piece : cut->len - at);
      CU_ASSERT_EQUAL (reply.status, 0);
      if (!cut->reset)
        http_reply_end (&reply);
      CU_ASSERT_FALSE (reply.complete);
      CU_ASSERT (cut->reset || reply.broken);
      http_reply_clear (&reply);
    }
}

/* Guards against an answer whose server stopped in the middle of its head, and that is passed on as
 * a whole one with an empty body. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each_without_server (check_cut_head);
}

static const SuiteCase cases[] = {
  { "complete_request_is_parsed", test_complete_request_is_parsed },
  { "upgrade_offer_is_ignored", test_upgrade_offer_is_ignored },
  { "chunked_request_is_parsed", test_chunked_request_is_parsed },
  { "smuggled_requests_are_refused", test_smuggled_requests_are_refused },
  { "connect_is_refused", test_connect_is_refused },
  { "every_body_is_read", test_every_body_is_read },
  { "malformed_requests_are_refused", test_malformed_requests_are_refused },
  { "too_large", test_too_large },
  { "pipelined_requests_are_separated", test_pipelined_requests_are_separated },
  { "truncated_replies_are_not_complete", test_truncated_replies_are_not_complete },
  { "cut_head_is_no_answer", test_cut_head_is_no_answer },
  { "malformed_replies_are_broken", test_malformed_replies_are_broken },
  { "interim_reply_is_skipped_and_surplus_reported",
    test_interim_reply_is_skipped_and_surplus_reported },
  { "interim_replies_without_end_are_broken", test_interim_replies_without_end_are_broken },
  { "hop_by_hop_fields_are_recognized", test_hop_by_hop_fields_are_recognized },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_http", cases, SUITE_COUNT (cases));
}
