/** The table of refusals and their JSON: src/gate_refusal.c. */
#include "gate_refusal.h"
#include "suite.h"
#include <json-c/json.h>
#include <string.h>

/** Each reason has a unique name, an HTTP error status, and a text. */
static void
test_every_reason_has_an_entry (void)
{
  for (int i = REASON_NONE + 1; i < REFUSAL_COUNT; i++)
    {
      CU_ASSERT (refusal_http_status (i) >= 400 && refusal_http_status (i) < 600);
      CU_ASSERT (strlen (refusal_text (i)) > 0);
      CU_ASSERT (strlen (refusal_name (i)) > 0);
      CU_ASSERT (refusal_retry_after_ms (i) >= 0 && refusal_retry_after_ms (i) <= 60000);
      for (int j = REASON_NONE; j < i; j++)
        CU_ASSERT (strcmp (refusal_name (i), refusal_name (j)) != 0);
    }
}

/*
 * Guards against a retry-after time in a refusal where a retry cannot succeed, so that the client
 * retries without end, and against a refusal for a temporary reason without a retry-after time.
 */
static void
test_retry_after_only_if_it_helps (void)
{
  static const int temporary[] = { REASON_NO_SERVER,         REASON_TEAM_LIMIT,
                                   REASON_OVERLOAD,          REASON_NO_GRANT,
                                   REASON_STOPPING,          REASON_SPOOL_FULL,
                                   REASON_CLAIM_UNAVAILABLE, REASON_VERSION_BRAKED,
                                   REFUSAL_NOT_TAKEN,        REFUSAL_SESSION_UNAVAILABLE };
  static const int permanent[]
      = { REASON_UNKNOWN_MODEL,     REASON_UNKNOWN_VERSION, REASON_NOT_ALLOWED,
          REASON_VERSION_WITHDRAWN, REASON_QUARANTINED,     REFUSAL_UNAUTHENTICATED,
          REFUSAL_MALFORMED,        REFUSAL_TOO_LARGE,      REFUSAL_NO_ROUTE,
          REFUSAL_CLAIM_MISMATCH,   REFUSAL_HEAD_TOO_LARGE };

  for (size_t i = 0; i < SUITE_COUNT (temporary); i++)
    {
      CU_ASSERT (refusal_retry_after_ms (temporary[i]) > 0);
      CU_ASSERT (refusal_http_status (temporary[i]) == 503
                 || refusal_http_status (temporary[i]) == 429);
    }
  for (size_t i = 0; i < SUITE_COUNT (permanent); i++)
    {
      CU_ASSERT_EQUAL (refusal_retry_after_ms (permanent[i]), 0);
      CU_ASSERT (refusal_http_status (permanent[i]) < 500);
    }
}

static const char *
text_of (struct json_object *error, const char *name)
{
  struct json_object *value = NULL;

  CU_ASSERT (json_object_object_get_ex (error, name, &value));
  return value != NULL ? json_object_get_string (value) : "";
}

/** The JSON that callers get, with a message that needs quoting. */
static void
test_json_of_a_refusal (void)
{
  Refusal refusal = { 0 };
  Buffer out = { 0 };
  struct json_object *root;
  struct json_object *error = NULL;

  refusal_set (&refusal, REASON_NO_GRANT, REQUEST_NOT_RUN, "request.admit", "say \"%s\"", "when");
  refusal_json (&refusal, &out);
  root = json_tokener_parse (out.data);
  CU_ASSERT (root != NULL && json_object_object_get_ex (root, "error", &error));
  if (error != NULL)
    {
      CU_ASSERT_STRING_EQUAL (text_of (error, "state"), "not_run");
      CU_ASSERT_STRING_EQUAL (text_of (error, "reason"), "no_grant");
      CU_ASSERT_STRING_EQUAL (text_of (error, "step"), "request.admit");
      CU_ASSERT_STRING_EQUAL (text_of (error, "message"), "say \"when\"");
      CU_ASSERT_STRING_EQUAL (text_of (error, "retry_after_ms"), "1000");
    }
  json_object_put (root);
  buffer_free (&out);
}

/** Without a format the message is the table's text; a long message or step is truncated. */
static void
test_message_default_and_truncation (void)
{
  Refusal refusal = { 0 };
  char text[2 * REFUSAL_MESSAGE_MAX];

  memset (text, 'x', sizeof (text) - 1);
  text[sizeof (text) - 1] = '\0';
  refusal_set (&refusal, REFUSAL_BACKEND_FAILED, REQUEST_UNKNOWN, "attempt", NULL);
  CU_ASSERT_STRING_EQUAL (refusal.message, refusal_text (REFUSAL_BACKEND_FAILED));
  refusal_set (&refusal, REFUSAL_BACKEND_FAILED, REQUEST_UNKNOWN, text, "%s", text);
  CU_ASSERT_EQUAL (strlen (refusal.message), REFUSAL_MESSAGE_MAX - 1);
  CU_ASSERT_EQUAL (strlen (refusal.step), REFUSAL_STEP_MAX - 1);
}

int
main (int argc, char **argv)
{
  static const SuiteCase suite[] = {
    { "every-reason-has-an-entry", test_every_reason_has_an_entry },
    { "retry-after-only-if-it-helps", test_retry_after_only_if_it_helps },
    { "json", test_json_of_a_refusal },
    { "message", test_message_default_and_truncation },
  };

  return suite_main (argc, argv, "gate_refusal", suite, SUITE_COUNT (suite));
}
