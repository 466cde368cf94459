/** Header fields of backend servers' answers: platform/wire_call.c. */
#include "suite.h"
#include "wire_call.h"
#include <string.h>

static void
test_reply_and_refusal_heads_are_translated (void)
{
  static const char text[] = "HTTP/1.1 200 Fine\r\nLovagehub-Request-Id: r17\r\n"
                             "Lovagehub-Server-Signature: x.y\r\nLovagehub-Confidence: 41\r\n"
                             "Connection: close\r\nContent-Length: 2\r\nX-Own: 1\r\n\r\nab";
  HttpReply reply;
  ReplyInfo facts;
  Buffer out = { 0 };

  http_reply_init (&reply);
  http_reply_feed (&reply, text, strlen (text));
  wire_reply_decode (&reply, "i-1", &facts);
  CU_ASSERT (facts.is_signed);
  CU_ASSERT (!facts.not_executed);
  CU_ASSERT (!facts.other_server);
  CU_ASSERT_EQUAL (facts.confidence, 41);
  CU_ASSERT (span_is (facts.request_id, "r17"));
  wire_reply_encode (&out, &reply);
  CU_ASSERT_STRING_EQUAL (out.data, "HTTP/1.1 200 Fine\r\nLovagehub-Request-Id: r17\r\n"
                                    "Lovagehub-Server-Signature: x.y\r\n"
                                    "Lovagehub-Confidence: 41\r\nX-Own: 1\r\n");
  buffer_free (&out);
  http_reply_clear (&reply);
  http_reply_init (&reply);
  http_reply_feed (&reply, "HTTP/1.1 421 x\r\nLovagehub-Instance-Id: i-2\r\n\r\n", 47);
  wire_reply_decode (&reply, "i-1", &facts);
  CU_ASSERT (facts.other_server);
  http_reply_clear (&reply);
  wire_refusal_encode (&out, 503, span_of ("r17"), 250);
  CU_ASSERT_STRING_EQUAL (out.data, "HTTP/1.1 503 Service Unavailable\r\n"
                                    "Lovagehub-Request-Id: r17\r\nRetry-After: 0.25\r\n");
  buffer_free (&out);
}

typedef struct
{
  const char *field; /**< a header line */
  ReplyLimit limit;
  double per_s;
} LimitExample;

static const LimitExample limit_examples[] = {
  { "Server-Limit: 3", REPLY_LIMIT_NAMED, 3 },
  { "server-limit: 1.75", REPLY_LIMIT_NAMED, 1.75 },
  { "Server-Limit: 0", REPLY_LIMIT_NAMED, 0 },
  { "Server-Limit: 0.05", REPLY_LIMIT_NAMED, 0.05 },
  { "X-Server-Limit: 3", REPLY_LIMIT_ABSENT, 0 },
  { "Server-Limit:", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: -1", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: 1e3", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: 3.", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: .5", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: 1.2.3", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: nan", REPLY_LIMIT_UNREADABLE, 0 },
  { "Server-Limit: 1234567890.123456789", REPLY_LIMIT_UNREADABLE, 0 },
};

/* A server's limit is a decimal number; anything else is reported as unreadable, not taken for a
 * limit or for its end. */
static void
test_server_limit_is_decoded (void)
{
  for (size_t i = 0; i < SUITE_COUNT (limit_examples); i++)
    {
      const LimitExample *example = &limit_examples[i];
      HttpReply reply;
      ReplyInfo info;
      Buffer text = { 0 };

      buffer_printf (&text, "HTTP/1.1 503 x\r\n%s\r\nContent-Length: 0\r\n\r\n", example->field);
      http_reply_init (&reply);
      http_reply_feed (&reply, text.data, text.len);
      wire_reply_decode (&reply, "i-1", &info);
      CU_ASSERT_EQUAL (info.limit, example->limit);
      if (example->limit == REPLY_LIMIT_NAMED)
        CU_ASSERT_EQUAL (info.limit_per_s, example->per_s);
      http_reply_clear (&reply);
      buffer_free (&text);
    }
}

/* Only "1" tells that a server leaves: a front that took another value for it would lose a server
 * for good. */
static void
test_leaving_is_decoded (void)
{
  static const char *const others[] = { "0", "", "11", "true" };
  HttpReply reply;
  ReplyInfo info;
  Buffer text = { 0 };

  http_reply_init (&reply);
  http_reply_feed (&reply, "HTTP/1.1 503 x\r\nserver-leaving: 1\r\n\r\n", 37);
  wire_reply_decode (&reply, "i-1", &info);
  CU_ASSERT (info.leaving);
  http_reply_clear (&reply);
  for (size_t i = 0; i < SUITE_COUNT (others); i++)
    {
      text.len = 0;
      buffer_printf (&text, "HTTP/1.1 200 x\r\nServer-Leaving: %s\r\n\r\n", others[i]);
      http_reply_init (&reply);
      http_reply_feed (&reply, text.data, text.len);
      wire_reply_decode (&reply, "i-1", &info);
      CU_ASSERT (!info.leaving);
      http_reply_clear (&reply);
    }
  buffer_free (&text);
}

typedef struct
{
  const char *text;
  int64_t rest_ms;
} RestExample;

/* The length of rest that a server asks for is read only where it turns a request away. */
static void
test_rest_is_decoded (void)
{
  static const RestExample examples[] = {
    { "HTTP/1.1 503 x\r\nRetry-After: 3\r\n\r\n", 3000 },
    { "HTTP/1.1 503 x\r\nretry-after: 0.25\r\n\r\n", 250 },
    { "HTTP/1.1 429 x\r\nRetry-After: 1.0001\r\n\r\n", 1001 },
    { "HTTP/1.1 503 x\r\nRetry-After: 0\r\n\r\n", 0 },
    { "HTTP/1.1 503 x\r\n\r\n", 0 },
    { "HTTP/1.1 500 x\r\nRetry-After: 3\r\n\r\n", 0 },
    { "HTTP/1.1 200 x\r\nRetry-After: 3\r\n\r\n", 0 },
    { "HTTP/1.1 503 x\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n\r\n",
      REPLY_REST_UNREADABLE },
    { "HTTP/1.1 503 x\r\nRetry-After: 86401\r\n\r\n", REPLY_REST_UNREADABLE },
    { "HTTP/1.1 503 x\r\nRetry-After: -1\r\n\r\n", REPLY_REST_UNREADABLE },
  };

  for (size_t i = 0; i < SUITE_COUNT (examples); i++)
    {
      HttpReply reply;
      ReplyInfo info;

      http_reply_init (&reply);
      http_reply_feed (&reply, examples[i].text, strlen (examples[i].text));
      wire_reply_decode (&reply, "i-1", &info);
      CU_ASSERT_EQUAL (info.rest_ms, examples[i].rest_ms);
      http_reply_clear (&reply);
    }
}

/* A front that handed a request over learns which server answered it. The caller doesn't. */
static void
test_served_by_is_for_fronts_only (void)
{
  HttpReply reply;
  ReplyInfo info;
  Buffer text = { 0 }, out = { 0 };

  buffer_printf (&text, "HTTP/1.1 200 x\r\nX-Own: 1\r\n");
  wire_served_by_encode (&text, "i-7");
  buffer_printf (&text, "Content-Length: 0\r\n\r\n");
  http_reply_init (&reply);
  http_reply_feed (&reply, text.data, text.len);
  wire_reply_decode (&reply, "", &info);
  CU_ASSERT (span_is (info.served_by, "i-7"));
  wire_reply_encode (&out, &reply);
  CU_ASSERT_STRING_EQUAL (out.data, "HTTP/1.1 200 x\r\nX-Own: 1\r\n");
  buffer_free (&out);
  buffer_free (&text);
  http_reply_clear (&reply);
  http_reply_init (&reply);
  http_reply_feed (&reply, "HTTP/1.1 200 x\r\n\r\n", 18);
  wire_reply_decode (&reply, "", &info);
  CU_ASSERT_EQUAL (info.served_by.len, 0);
  http_reply_clear (&reply);
}

/* Guards against an answer with a status that HTTP doesn't have, which callers can't read. */
static void
test_status_is_one_of_http (void)
{
  static const struct
  {
    const char *status;
    bool is_answer;
  } examples[] = { { "000", false }, { "099", false }, { "200", true },
                   { "599", true },  { "600", false }, { "999", false } };

  for (size_t i = 0; i < SUITE_COUNT (examples); i++)
    {
      HttpReply reply;
      Buffer text = { 0 };

      buffer_printf (&text, "HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n", examples[i].status);
      http_reply_init (&reply);
      http_reply_feed (&reply, text.data, text.len);
      CU_ASSERT_EQUAL (reply.complete, examples[i].is_answer);
      CU_ASSERT_EQUAL (reply.broken, !examples[i].is_answer);
      http_reply_clear (&reply);
      buffer_free (&text);
    }
}

static const SuiteCase cases[] = {
  { "status_is_one_of_http", test_status_is_one_of_http },
  { "reply_and_refusal_heads_are_translated", test_reply_and_refusal_heads_are_translated },
  { "server_limit_is_decoded", test_server_limit_is_decoded },
  { "leaving_is_decoded", test_leaving_is_decoded },
  { "rest_is_decoded", test_rest_is_decoded },
  { "served_by_is_for_fronts_only", test_served_by_is_for_fronts_only },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_wire_reply", cases, SUITE_COUNT (cases));
}
