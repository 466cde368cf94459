/* A good configuration for the tests of lovage-config, and edits of it. */
#include "lint_document.h"
#include "util_memory.h"
#include "wire_config.h"
#include <stdlib.h>
#include <string.h>

const char lint_good_text[]
    = "{\n"
      " 'Version': 7,\n"
      " 'Routes': [\n"
      "  {'Name': 'r1', 'Host': 'a.example', 'Prefix': '/x/', 'Kind': 'streaming',\n"
      "   'TimeoutMs': 12000, 'SloMs': 1500, 'GapAimMs': 900, 'Priority': 2, 'MaxAttempts': 3,\n"
      "   'Resumable': true, 'Sizes': ['small', 'large'], 'Service': 's1', 'Later': {'a': 1}},\n"
      "  {'Name': 'r2', 'Host': 'a.example', 'Prefix': '/y/', 'Kind': 'non_idempotent',\n"
      "   'TimeoutMs': 1500, 'MaxAttempts': 1, 'Public': false,\n"
      "   'TrafficSplit': [{'Service': 's1', 'Weight': 90}, {'Service': 's2', 'Weight': 10}]}\n"
      " ],\n"
      " 'Services': [\n"
      "  {'Name': 's1', 'ColdStartS': 3.5, 'ColdPerS': 18,\n"
      "   'Engine': {'Slots': 48, 'KvCapacity': 444000, 'Stride': 9}},\n"
      "  {'Name': 's2'}\n"
      " ],\n"
      " 'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,\n"
      "  'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},\n"
      " 'Tenants': [\n"
      "  {'Name': 't1', 'ApiKeys': ['k1', 'k2'], 'Priority': 0},\n"
      "  {'Name': 't2', 'ApiKeys': ['k3']}\n"
      " ]\n"
      "}\n";

char *
lint_edited (const char *find, const char *replace)
{
  const char *at = find ? strstr (lint_good_text, find) : lint_good_text;
  char *text = NULL;

  if (!find)
    text = memory_strdup (replace);
  else if (!at
           || asprintf (&text, "%.*s%s%s", (int)(at - lint_good_text), lint_good_text, replace,
                        at + strlen (find))
                  < 0)
    abort ();
  for (char *c = text; *c; c++)
    {
      if (*c == '\'')
        *c = '"';
    }
  return text;
}

char *
lint_many_routes (const char *members)
{
  Buffer text = { 0 };

  buffer_add_string (&text, "{\"Version\":1,\"Services\":[{\"Name\":\"s\"}],\"Tenants\":[{\"Name\":"
                            "\"t\",\"ApiKeys\":[\"k\"]}],\"Routes\":[");
  for (unsigned i = 0; i < LINT_MANY_ROUTES; i++)
    buffer_printf (&text,
                   "%s{\"Host\":\"h\",\"Kind\":\"idempotent\",\"Service\":\"s\",\"Name\":\"r%u\","
                   "%s%u/\"}",
                   i > 0 ? ",\n" : "", i, members, i);
  buffer_add_string (&text, "]}");
  return text.data;
}

int
lint_count (const char *text, size_t len, const char *check, LintReport *report)
{
  LintDocument document;
  Status status;
  FrontConfig *config = wire_config_decode (text, len, &status);
  bool is_taken = config != NULL;
  int count = 0;

  front_config_unref (config);
  lint_document (&document, text, len, report);
  if (is_taken != (document.config != NULL) || is_taken != (report->counts[LINT_ERROR] == 0))
    count = -1;
  for (unsigned i = 0; count >= 0 && check && i < report->count; i++)
    count += strcmp (report->findings[i].check, check) == 0;
  lint_document_clear (&document);
  return count;
}
