/* Checks of the services that routes send to. */
#include "lint_checks.h"
#include "lint_index.h"
#include <math.h>
#include <string.h>

static void
index_services (const FrontConfig *config, LintIndex *names)
{
  for (unsigned i = 0; i < config->service_count; i++)
    lint_index_add (names, config->services[i].name, i, 0);
  lint_index_sort (names);
}

LINT_CHECK (lint_weights)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];

      for (unsigned t = 0; t < route->target_count; t++)
        {
          const LintPlace place
              = { .part = LINT_ROUTE, .index = i, .field = LINT_TARGET_WEIGHT, .item = t };
          double weight = route->targets[t].weight;

          if (!(weight >= 0) || isinf (weight))
            lint_report_add_at (report, check->severity, check->name, &place,
                                "a weight of %g is no share of the route's requests", weight);
        }
    }
}

LINT_CHECK (lint_no_share)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_TARGETS };
      bool has_share = false;

      for (unsigned t = 0; t < route->target_count; t++)
        has_share |= route->targets[t].weight > 0;
      if (!has_share)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\" sends no share of its requests anywhere: no weight is "
                            "above 0",
                            route->name);
    }
}

LINT_CHECK (lint_unknown_services)
{
  LintIndex names = { 0 };

  index_services (config, &names);
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];

      for (unsigned t = 0; t < route->target_count; t++)
        {
          const LintPlace place
              = { .part = LINT_ROUTE, .index = i, .field = LINT_TARGET_SERVICE, .item = t };

          if (!lint_index_find (&names, route->targets[t].service))
            lint_report_add_at (report, check->severity, check->name, &place,
                                "route \"%s\" sends to service \"%s\", which is not described",
                                route->name, route->targets[t].service);
        }
    }
  lint_index_free (&names);
}

LINT_CHECK (lint_repeated_targets)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      LintIndex names = { 0 };

      for (unsigned t = 0; t < route->target_count; t++)
        lint_index_add (&names, route->targets[t].service, i, t);
      lint_index_sort (&names);
      for (unsigned t = 0; t < names.count; t++)
        {
          const LintPlace place = {
            .part = LINT_ROUTE, .index = i, .field = LINT_TARGET_SERVICE, .item = names.rows[t].item
          };

          if (lint_index_first (&names, t) != &names.rows[t])
            lint_report_add_at (report, check->severity, check->name, &place,
                                "service \"%s\" stands more than once in the split of route "
                                "\"%s\"; its weights add up",
                                names.rows[t].text, route->name);
        }
      lint_index_free (&names);
    }
}

LINT_CHECK (lint_unused_services)
{
  LintIndex used = { 0 };

  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];

      for (unsigned t = 0; t < route->target_count; t++)
        lint_index_add (&used, route->targets[t].service, i, t);
    }
  lint_index_sort (&used);
  for (unsigned i = 0; i < config->service_count; i++)
    {
      const LintPlace place = { .part = LINT_SERVICE, .index = i };

      if (!lint_index_find (&used, config->services[i].name))
        lint_report_add_at (report, check->severity, check->name, &place,
                            "no route sends to service \"%s\"", config->services[i].name);
    }
  lint_index_free (&used);
}
