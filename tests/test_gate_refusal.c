/** Refusals: src/gate_refusal.c. */
#include "gate_refusal.h"
#include "suite.h"
#include <json-c/json.h>
#include <string.h>

/** Each reason has a name of its own, a status that is no success, and a text. */
static void
test_every_reason (void)
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
 * A client is told to wait for something that waiting does not mend, and asks for ever; or it is
 * refused for a moment's want and never comes back.
 */
static void
test_when_to_come_back (void)
{
  static const int passing[] = { REASON_NO_SERVER,         REASON_TEAM_LIMIT,
                                 REASON_OVERLOAD,          REASON_NO_GRANT,
                                 REASON_STOPPING,          REASON_SPOOL_FULL,
                                 REASON_CLAIM_UNAVAILABLE, REASON_VERSION_BRAKED,
                                 REFUSAL_NOT_TAKEN,        REFUSAL_SESSION_UNAVAILABLE };
  static const int lasting[]
      = { REASON_UNKNOWN_MODEL,     REASON_UNKNOWN_VERSION, REASON_NOT_ALLOWED,
          REASON_VERSION_WITHDRAWN, REASON_QUARANTINED,     REFUSAL_UNAUTHENTICATED,
          REFUSAL_MALFORMED,        REFUSAL_TOO_LARGE,      REFUSAL_NO_ROUTE,
          REFUSAL_CLAIM_MISMATCH,   REFUSAL_HEAD_TOO_LARGE };

  for (size_t i = 0; i < SUITE_COUNT (passing); i++)
    {
      CU_ASSERT (refusal_retry_after_ms (passing[i]) > 0);
      CU_ASSERT (refusal_http_status (passing[i]) == 503
                 || refusal_http_status (passing[i]) == 429);
    }
  for (size_t i = 0; i < SUITE_COUNT (lasting); i++)
    {
      CU_ASSERT_EQUAL (refusal_retry_after_ms (lasting[i]), 0);
      CU_ASSERT (refusal_http_status (lasting[i]) < 500);
    }
}

static const char *
text_of (struct json_object *error, const char *name)
{
  struct json_object *value = NULL;

  CU_ASSERT (json_object_object_get_ex (error, name, &value));
  return value != NULL ? json_object_get_string (value) : "";
}

/** The JSON on the wire, with a message that needs quoting. */
static void
test_json (void)
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

/** Without a message of its own a refusal has the table's; a long one is cut, not overrun. */
static void
test_message (void)
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
    { "every-reason", test_every_reason },
    { "when-to-come-back", test_when_to_come_back },
    { "json", test_json },
    { "message", test_message },
  };

  return suite_main (argc, argv, "gate_refusal", suite, SUITE_COUNT (suite));
}
