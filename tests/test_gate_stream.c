/** Engines' streams: which events are relayed, held back and resumed, and when a stream is cut.
 * src/gate_stream.c and what it uses. */
#include "gate_stream.h"
#include "suite.h"
#include <stdio.h>
#include <string.h>

#define CONNECTIONS_MAX 6

#define CHUNK(n, text)                                                                             \
  "id: " #n "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" text                    \
  "\"},\"finish_reason\":null}]}\n\n"
#define FINISH(n)                                                                                  \
  "id: " #n "\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"        \
  "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}\n\n"
#define DONE "data: [DONE]\n\n"

/**
 * What the engine sends on each connection: first that of the request, then those of resumptions.
 */
typedef struct
{
  const char *name;
  const char *connections[CONNECTIONS_MAX]; /**< NULL: cannot be opened */
  bool ends_properly;                       /**< connections end like that of a complete answer */
  size_t read_size;                         /**< largest read in bytes; 0: no limit */
  StreamResult result;
  const char *text;        /**< relayed before the end */
  int64_t resumed_from[3]; /**< chunk number requested at each resumption; -1: none */
  unsigned duplicates;
} StreamCase;

static const StreamCase cases[] = {
  { .name = "complete",
    .connections = { CHUNK (0, "a") CHUNK (1, "b") CHUNK (2, "c") FINISH (3) DONE },
    .result = STREAM_END,
    .text = "abc",
    .resumed_from = { -1, -1, -1 } },
  { .name = "byte by byte",
    .connections = { CHUNK (0, "a") CHUNK (1, "b") FINISH (2) DONE },
    .read_size = 1,
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { -1, -1, -1 } },
  { .name = "carriage returns and comments",
    .connections = { ": hello\r\n\r\nid: 0\r\ndata: "
                     "{\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n" FINISH (1) DONE },
    .result = STREAM_END,
    .text = "a",
    .resumed_from = { -1, -1, -1 } },
  { .name = "duplicates",
    .connections = { CHUNK (0, "a") CHUNK (0, "a") CHUNK (1, "b") CHUNK (0, "a") CHUNK (1, "b")
                         FINISH (2) FINISH (2) DONE },
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { -1, -1, -1 },
    .duplicates = 4 },
  { .name = "reordered",
    .connections = { CHUNK (2, "c") CHUNK (0, "a") FINISH (3) CHUNK (1, "b") DONE },
    .result = STREAM_END,
    .text = "abc",
    .resumed_from = { -1, -1, -1 } },
  { .name = "end mark before the last chunk",
    .connections = { CHUNK (0, "a") FINISH (2) DONE CHUNK (1, "b") },
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { -1, -1, -1 } },
  { .name = "gap, filled by resuming",
    .connections = { CHUNK (0, "a") CHUNK (2, "c") FINISH (3) DONE,
                     CHUNK (1, "b") CHUNK (2, "c") FINISH (3) DONE },
    .result = STREAM_END,
    .text = "abc",
    .resumed_from = { 1, -1, -1 } },
  { .name = "gap that is never filled",
    .connections = { CHUNK (0, "a") CHUNK (2, "c") FINISH (3) DONE },
    .result = STREAM_CUT,
    .text = "a",
    .resumed_from = { 1, 1, 1 } },
  { .name = "gap behind a regular end",
    .connections = { CHUNK (0, "a") FINISH (2) DONE, CHUNK (1, "b") FINISH (2) DONE },
    .ends_properly = true,
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { 1, -1, -1 } },
  { .name = "cut within a chunk, then resumed",
    .connections = { CHUNK (0, "a") "id: 1\ndata: {\"choi", CHUNK (1, "b") FINISH (2) DONE },
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { 1, -1, -1 } },
  { .name = "cut twice",
    .connections = { CHUNK (0, "a"), CHUNK (1, "b"), CHUNK (2, "c") FINISH (3) DONE },
    .result = STREAM_END,
    .text = "abc",
    .resumed_from = { 1, 2, -1 } },
  { .name = "cut more often than resumptions are allowed",
    .connections = { CHUNK (0, "a"), CHUNK (1, "b"), CHUNK (2, "c"), CHUNK (3, "d"),
                     CHUNK (4, "e") FINISH (5) DONE },
    .result = STREAM_CUT,
    .text = "abcd",
    .resumed_from = { 1, 2, 3 } },
  { .name = "end mark without a finish reason",
    .connections = { CHUNK (0, "a") DONE },
    .ends_properly = true,
    .result = STREAM_CUT,
    .text = "a",
    .resumed_from = { 1, 1, 1 } },
  { .name = "finish reason without the end mark",
    .connections = { CHUNK (0, "a") FINISH (1) },
    .ends_properly = true,
    .result = STREAM_CUT,
    .text = "a",
    .resumed_from = { 2, 2, 2 } },
  { .name = "end mark lost, then resumed",
    .connections = { CHUNK (0, "a") FINISH (1), DONE },
    .result = STREAM_END,
    .text = "a",
    .resumed_from = { 2, -1, -1 } },
  { .name = "empty stream",
    .connections = { "" },
    .ends_properly = true,
    .result = STREAM_CUT,
    .text = "",
    .resumed_from = { 0, 0, 0 } },
  { .name = "error event",
    .connections = { CHUNK (0, "a") "event: error\ndata: {}\n\n", CHUNK (1, "b") FINISH (2) DONE },
    .result = STREAM_CUT,
    .text = "a",
    .resumed_from = { -1, -1, -1 } },
  { .name = "chunk without a number",
    .connections = { "data: {\"choices\":[]}\n\n" FINISH (0) DONE },
    .result = STREAM_CUT,
    .text = "",
    .resumed_from = { -1, -1, -1 } },
  { .name = "id that is not a number, then resumed",
    .connections = { "id: x1\ndata: {}\n\n", CHUNK (0, "a") FINISH (1) DONE },
    .result = STREAM_END,
    .text = "a",
    .resumed_from = { 0, -1, -1 } },
  { .name = "chunk that is not JSON",
    .connections = { CHUNK (0, "a") "id: 1\ndata: {nonsense\n\n" FINISH (2) DONE },
    .result = STREAM_CUT,
    .text = "a",
    .resumed_from = { -1, -1, -1 } },
  { .name = "chunk beyond the window, then resumed",
    .connections = { CHUNK (0, "a") CHUNK (40, "z"), CHUNK (1, "b") FINISH (2) DONE },
    .result = STREAM_END,
    .text = "ab",
    .resumed_from = { 1, -1, -1 } },
};

/** The engine's side of one case. */
typedef struct
{
  const StreamCase *c;
  unsigned connection;
  size_t at;
  unsigned resumes;
  int64_t resumed_from[CONNECTIONS_MAX];
  int left_after; /**< calls of caller_left after which it returns true; -1: never */
} Engine;

static long
engine_read (void *context, char *data, size_t len, Status *st)
{
  Engine *e = context;
  const char *bytes = e->connection < CONNECTIONS_MAX ? e->c->connections[e->connection] : NULL;
  size_t left = bytes != NULL ? strlen (bytes) - e->at : 0;

  if (left == 0)
    {
      if (e->c->ends_properly)
        return 0;
      status_set (st, STATUS_UNKNOWN, "test.read", NULL, "connection reset");
      return -1;
    }
  if (len > left)
    len = left;
  if (e->c->read_size > 0 && len > e->c->read_size)
    len = e->c->read_size;
  memcpy (data, bytes + e->at, len);
  e->at += len;
  return (long)len;
}

static StatusCode
engine_resume (void *context, int64_t from, Status *st)
{
  Engine *e = context;

  e->resumed_from[e->resumes++] = from;
  e->connection++;
  e->at = 0;
  if (e->c->connections[e->connection] == NULL)
    return status_set (st, STATUS_UNAVAILABLE, "test.resume", NULL, "connection refused");
  return status_ok (st);
}

static bool
engine_caller_left (void *context)
{
  Engine *e = context;

  if (e->left_after < 0)
    return false;
  return e->left_after-- == 0;
}

static void
engine_pause (void *context, unsigned n)
{
  (void)context;
  (void)n;
}

static const GateStreamOps ops = {
  .read = engine_read,
  .resume = engine_resume,
  .caller_left = engine_caller_left,
  .pause = engine_pause,
};

/** Appends the content of the chunks in the events to texts. */
static void
add_texts (Buffer *texts, const Buffer *events)
{
  const char *at = events->data;

  while (at != NULL && (at = strstr (at, "\"content\":\"")) != NULL)
    {
      at += strlen ("\"content\":\"");
      buffer_add (texts, at, strcspn (at, "\""));
    }
}

/** Reads the stream to its end. texts: content of the events before the end; last: bytes of the
 * closing events. */
static StreamResult
read_all (GateStream *stream, Buffer *texts, Buffer *last, Status *st)
{
  StreamResult result;

  for (;;)
    {
      Buffer out = { 0 };
      result = gate_stream_next (stream, &out, st);
      if (result != STREAM_CHUNK)
        {
          *last = out;
          return result;
        }
      CU_ASSERT (strstr (out.data, "finish_reason\":\"stop") == NULL);
      CU_ASSERT (strstr (out.data, "[DONE]") == NULL);
      add_texts (texts, &out);
      buffer_free (&out);
    }
}

static void
check_case (const StreamCase *c)
{
  Engine engine = { .c = c, .resumed_from = { -1, -1, -1 }, .left_after = -1 };
  GateStream stream;
  Buffer texts = { 0 };
  Buffer last = { 0 };
  Status st = { 0 };
  StreamResult result;

  gate_stream_init (&stream, &ops, &engine);
  result = read_all (&stream, &texts, &last, &st);
  if (result != c->result || strcmp (texts.data != NULL ? texts.data : "", c->text) != 0)
    printf ("case \"%s\": result %d, text \"%s\": %s\n", c->name, (int)result, texts.data,
            st.message);
  CU_ASSERT_EQUAL (result, c->result);
  CU_ASSERT_STRING_EQUAL (texts.data != NULL ? texts.data : "", c->text);
  for (unsigned i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (engine.resumed_from[i], c->resumed_from[i]);
  CU_ASSERT_EQUAL (stream.duplicates, c->duplicates);
  if (result == STREAM_END)
    {
      CU_ASSERT (strstr (last.data, "finish_reason\":\"stop") != NULL);
      CU_ASSERT (strcmp (last.data + last.len - strlen (DONE), DONE) == 0);
      CU_ASSERT_EQUAL (stream.answer.prompt_tokens, 7);
      CU_ASSERT_EQUAL (answer_completion_tokens (&stream.answer), 3);
    }
  else
    {
      CU_ASSERT_EQUAL (last.len, 0);
      CU_ASSERT (st.message[0] != '\0');
      /* Chunks are counted if the engine has not reported its usage. */
      CU_ASSERT_EQUAL (answer_completion_tokens (&stream.answer),
                       stream.answer.has_usage ? 3 : (int64_t)strlen (c->text));
    }
  buffer_free (&texts);
  buffer_free (&last);
  gate_stream_free (&stream);
}

/*
 * Guards against an answer that looks complete to the caller but lacks a chunk, contains one twice,
 * or ends early, because chunks arrived twice, late or in another order, or the connection was
 * lost. Only the sequence numbers, the finish reason and the end mark show that an answer is
 * complete.
 */
static void
test_incomplete_streams_are_resumed_or_cut (void)
{
  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    check_case (&cases[i]);
}

/*
 * Guards against an engine that continues to generate for a caller that has left. The stream checks
 * for this before each read and before each resumption.
 */
static void
test_stream_ends_when_the_caller_leaves (void)
{
  static const StreamCase c
      = { .connections = { CHUNK (0, "a"), CHUNK (1, "b") FINISH (2) DONE }, .read_size = 20 };
  Engine engine = { .c = &c, .left_after = 0 };
  GateStream stream;
  Buffer texts = { 0 };
  Buffer last = { 0 };
  Status st = { 0 };
  int checks = 0;

  /*
   * The caller leaves one check later in each round, until the answer is complete before it leaves.
   */
  for (;; checks++)
    {
      StreamResult result;
      engine = (Engine){ .c = &c, .left_after = checks };
      gate_stream_init (&stream, &ops, &engine);
      result = read_all (&stream, &texts, &last, &st);
      buffer_clear (&texts);
      buffer_free (&last);
      gate_stream_free (&stream);
      if (result == STREAM_END)
        break;
      CU_ASSERT_EQUAL (result, STREAM_CALLER_LEFT);
      CU_ASSERT (checks < 100);
      if (checks >= 100)
        break;
    }
  CU_ASSERT (checks > 5);
  buffer_free (&texts);
}

/** Six chunks in every order, each sent twice, are returned in order and once each. */
static void
test_chunks_in_every_order_are_sorted (void)
{
  unsigned order[6];

  for (unsigned n = 0; n < 720; n++)
    {
      Reorder reorder = { 0 };
      Buffer out = { 0 };
      int64_t number;
      int64_t expected = 0;
      unsigned rest = n;

      for (unsigned i = 0; i < 6; i++)
        order[i] = i;
      for (unsigned i = 6; i > 1; i--)
        {
          unsigned j = rest % i;
          unsigned swap = order[i - 1];
          rest /= i;
          order[i - 1] = order[j];
          order[j] = swap;
        }
      for (unsigned i = 0; i < 6; i++)
        {
          char text[2] = { (char)('0' + order[i]), '\0' };
          CU_ASSERT_EQUAL (reorder_push (&reorder, order[i], text, 1), REORDER_ADDED);
          CU_ASSERT_EQUAL (reorder_push (&reorder, order[i], "x", 1), REORDER_DUPLICATE);
          while (reorder_pop (&reorder, &out, &number))
            {
              CU_ASSERT_EQUAL (number, expected);
              CU_ASSERT_EQUAL (out.data[0], '0' + expected);
              expected++;
            }
        }
      CU_ASSERT_EQUAL (expected, 6);
      CU_ASSERT (!reorder_has_gap (&reorder));
      buffer_free (&out);
      reorder_free (&reorder);
    }
}

/** An event without an end must not use unlimited memory. */
static void
test_event_too_long_is_malformed (void)
{
  SseParser parser;
  SseEvent event = { 0 };
  char block[100];

  memset (block, 'a', sizeof (block));
  sse_parser_init (&parser, 1000);
  for (int i = 0; i < 10; i++)
    {
      sse_parser_feed (&parser, block, sizeof (block));
      CU_ASSERT_EQUAL (sse_parser_next (&parser, &event), SSE_NONE);
    }
  sse_parser_feed (&parser, block, 1);
  CU_ASSERT_EQUAL (sse_parser_next (&parser, &event), SSE_MALFORMED);
  CU_ASSERT_EQUAL (sse_parser_next (&parser, &event), SSE_MALFORMED);
  sse_parser_free (&parser);
  sse_event_free (&event);
}

/** A collected answer is limited in length, and its text is quoted correctly in JSON. */
static void
test_collected_answer_is_bounded (void)
{
  static const char chunk[] = "{\"choices\":[{\"delta\":{\"content\":\"say \\\"yes\\\"\"}}]}";
  GateAnswer answer = { .keep_content = true, .content_max = 20 };
  Buffer json = { 0 };
  Status st = { 0 };

  CU_ASSERT_EQUAL (answer_add (&answer, chunk, strlen (chunk), &st), STATUS_OK);
  CU_ASSERT_EQUAL (answer_add (&answer, chunk, strlen (chunk), &st), STATUS_OK);
  CU_ASSERT_EQUAL (answer_add (&answer, chunk, strlen (chunk), &st), STATUS_FULL);
  answer_json (&answer, "id-1", "draft@v7", &json);
  CU_ASSERT (strstr (json.data, "\"content\":\"say \\\"yes\\\"say \\\"yes\\\"\"") != NULL);
  CU_ASSERT (strstr (json.data, "\"model\":\"draft@v7\"") != NULL);
  CU_ASSERT (!answer_is_complete (&answer));
  buffer_free (&json);
  answer_free (&answer);
}

int
main (int argc, char **argv)
{
  static const SuiteCase suite[] = {
    { "incomplete-streams-are-resumed-or-cut", test_incomplete_streams_are_resumed_or_cut },
    { "stream-ends-when-the-caller-leaves", test_stream_ends_when_the_caller_leaves },
    { "chunks-in-every-order-are-sorted", test_chunks_in_every_order_are_sorted },
    { "event-too-long-is-malformed", test_event_too_long_is_malformed },
    { "collected-answer-is-bounded", test_collected_answer_is_bounded },
  };

  return suite_main (argc, argv, "gate_stream", suite, SUITE_COUNT (suite));
}
