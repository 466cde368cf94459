/* Checks for routes that no request, or other requests than meant, can match. */
#include "lint_checks.h"
#include "lint_index.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

LINT_CHECK (lint_no_routes)
{
  if (config->route_count == 0)
    lint_report_add_at (report, check->severity, check->name,
                        &(LintPlace){ .part = LINT_ROUTE, .field = LINT_LIST },
                        "there are no routes: every request is answered 404");
}

/* Hosts match in any case of letters, prefixes in their own. */
static char *
match_text (const FrontRoute *route)
{
  Buffer text = { 0 };

  buffer_add_string (&text, route->host);
  for (size_t i = 0; i < text.len; i++)
    text.data[i] = (char)tolower ((unsigned char)text.data[i]);
  buffer_add_string (&text, route->prefix);
  return text.data;
}

LINT_CHECK (lint_shadowed_routes)
{
  char **texts = memory_array (config->route_count + 1, sizeof *texts);
  LintIndex list = { 0 };

  for (unsigned i = 0; i < config->route_count; i++)
    {
      texts[i] = match_text (&config->routes[i]);
      lint_index_add (&list, texts[i], i, 0);
    }
  lint_index_sort (&list);
  for (unsigned i = 0; i < list.count; i++)
    {
      const LintIndexed *first = lint_index_first (&list, i);
      const LintPlace place = { .part = LINT_ROUTE, .index = list.rows[i].index };

      if (first->index != place.index)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\" never matches: route \"%s\" (entry %u) has the same host "
                            "and prefix and stands before it",
                            config->routes[place.index].name, config->routes[first->index].name,
                            first->index);
    }
  for (unsigned i = 0; i < config->route_count; i++)
    free (texts[i]);
  free (texts);
  lint_index_free (&list);
}

LINT_CHECK (lint_hosts)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const char *host = config->routes[i].host;
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_HOST };

      if (strpbrk (host, ":/ \t"))
        lint_report_add_at (report, check->severity, check->name, &place,
                            "\"%s\" never matches: expected a host without port, path or space",
                            host);
    }
}

LINT_CHECK (lint_prefixes)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const char *prefix = config->routes[i].prefix;
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_PREFIX };

      if (strpbrk (prefix, "?# \t"))
        lint_report_add_at (report, check->severity, check->name, &place,
                            "\"%s\" never matches: a path has no query, fragment or space", prefix);
      else if (config->limits.header_max_bytes > 0
               && strlen (prefix) > (size_t)config->limits.header_max_bytes)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "never matches: it is longer than the largest request head of %lld "
                            "bytes",
                            (long long)config->limits.header_max_bytes);
    }
}

LINT_CHECK (lint_open_prefixes)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const char *prefix = config->routes[i].prefix;
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_PREFIX };

      if (prefix[strlen (prefix) - 1] != '/')
        lint_report_add_at (report, check->severity, check->name, &place,
                            "\"%s\" doesn't end with a slash: it also matches longer names that "
                            "begin like its last one",
                            prefix);
    }
}
