/** What follows from several parts of a configuration: src/front_config.c. */
#include "suite.h"
#include "wire_config.h"
#include <stdio.h>
#include <string.h>

#define TEXT_MAX 4096

typedef struct
{
  int urgent_ms, patient_ms; /* objectives */
  const char *models;        /* of the second route */
  const char *engine;        /* of the service */
  double ratio;
  bool contended;
} ContentionCase;

static bool
is_contended (const ContentionCase *c)
{
  char text[TEXT_MAX];
  FrontConfig *config;
  Status status;
  bool contended;

  snprintf (text, sizeof text,
            "{\"Version\":1,\"Routes\":[{\"Name\":\"a\",\"Host\":\"h\",\"Prefix\":\"/a/\","
            "\"Kind\":\"streaming\",\"SloMs\":%d,\"Sizes\":[\"s\",\"l\"],\"Service\":\"x\"},"
            "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/b/\",\"Kind\":\"streaming\","
            "\"SloMs\":%d,\"Sizes\":%s,\"Service\":\"x\"}],"
            "\"Services\":[{\"Name\":\"x\"%s}]}",
            c->urgent_ms, c->patient_ms, c->models, c->engine);
  config = wire_config_decode (text, strlen (text), &status);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  if (!config)
    return false;
  contended = front_config_is_contended (config, c->ratio);
  front_config_unref (config);
  return contended;
}

static void
test_contended_by_objectives (void)
{
  static const char engine[] = ",\"Engine\":{\"Slots\":8,\"KvCapacity\":1000}";
  static const char models[] = "[\"s\",\"l\"]";
  static const ContentionCase tried[] = {
    { 1500, 4000, models, engine, 2, true },  { 4000, 8000, models, engine, 2, true },
    { 1500, 2000, models, engine, 2, false }, { 1500, 4000, models, engine, 0, false },
    { 1500, 4000, "[]", engine, 2, false }, /* the second route names no models */
    { 1500, 4000, models, "", 2, false },   /* a service without models */
    { 0, 4000, models, engine, 2, false },
  };

  for (unsigned i = 0; i < SUITE_COUNT (tried); i++)
    CU_ASSERT_EQUAL (is_contended (&tried[i]), tried[i].contended);
}

/* Load: kinds that compete for one service, one of them over a split route; a route of another
 * service competes with none of them, and a target of weight 0 is no competition either. */
static void
test_ranks_of_routes_and_teams (void)
{
  static const char text[]
      = "{\"Version\":1,\"Routes\":["
        "{\"Name\":\"a\",\"Host\":\"h\",\"Prefix\":\"/a/\",\"Kind\":\"streaming\",\"SloMs\":1500,"
        "\"TimeoutMs\":15000,\"Priority\":0,\"Service\":\"x\",\"Sizes\":[\"s\"]},"
        "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/b/\",\"Kind\":\"streaming\",\"SloMs\":4000,"
        "\"TimeoutMs\":20000,\"Priority\":2,\"Sizes\":[\"s\"],\"TrafficSplit\":[{\"Service\":\"x\","
        "\"Weight\":1},"
        "{\"Service\":\"y\",\"Weight\":1}]},"
        "{\"Name\":\"c\",\"Host\":\"h\",\"Prefix\":\"/c/\",\"Kind\":\"idempotent\",\"SloMs\":100,"
        "\"TimeoutMs\":1000,\"Priority\":2,\"TrafficSplit\":[{\"Service\":\"z\",\"Weight\":1},{"
        "\"Service\":\"x\",\"Weight\":0}]}],"
        "\"Services\":[{\"Name\":\"x\"},{\"Name\":\"y\"},{\"Name\":\"z\"}],"
        "\"Tenants\":[{\"Name\":\"s\",\"Priority\":0},{\"Name\":\"t\",\"Priority\":1},"
        "{\"Name\":\"u\",\"Priority\":77},{\"Name\":\"v\",\"Priority\":1}]}";
  Status status;
  FrontConfig *config = wire_config_decode (text, strlen (text), &status);

  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  if (!config)
    return;
  CU_ASSERT_EQUAL (config->routes[0].level, 0);
  CU_ASSERT_EQUAL (config->routes[1].level, 1);
  CU_ASSERT_EQUAL (config->routes[2].level, 0);
  CU_ASSERT_EQUAL (config->odd_priorities, 1);
  CU_ASSERT_EQUAL (front_config_rank (config, &config->routes[1], &config->teams[0]), 1);
  CU_ASSERT_EQUAL (front_config_rank (config, &config->routes[1], &config->teams[1]), 4);
  CU_ASSERT_EQUAL (front_config_rank (config, &config->routes[1], &config->teams[2]), 4);
  CU_ASSERT_EQUAL (front_config_rank (config, &config->routes[0], NULL), 3);
  front_config_unref (config);
}

/* Load: a hot team of a route that is split over two services. Its requests can wait for the other
 * route at one of them and not at the other, so they are not ranked behind. */
static void
test_split_route_yields_only_where_it_can_wait (void)
{
  static const char format[]
      = "{\"Version\":1,\"Routes\":["
        "{\"Name\":\"a\",\"Host\":\"h\",\"Prefix\":\"/a/\",\"Kind\":\"streaming\",\"SloMs\":1500,"
        "\"TimeoutMs\":15000,\"Service\":\"x\",\"Sizes\":[\"s\"]},"
        "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/b/\",\"Kind\":\"streaming\",\"SloMs\":%d,"
        "\"TimeoutMs\":60000,\"Service\":\"y\",\"Sizes\":[\"s\"]},"
        "{\"Name\":\"c\",\"Host\":\"h\",\"Prefix\":\"/c/\",\"Kind\":\"streaming\",\"SloMs\":4000,"
        "\"TimeoutMs\":20000,\"Priority\":2,\"Sizes\":[\"s\"],\"TrafficSplit\":[{\"Service\":\"%"
        "s\","
        "\"Weight\":1},{\"Service\":\"%s\",\"Weight\":1}]}],"
        "\"Services\":[{\"Name\":\"x\"},{\"Name\":\"y\"}]}";
  static const struct
  {
    int objective_ms; /* of the route at the second service */
    const char *first, *second;
    bool may_yield;
  } tried[] = {
    { 12000, "x", "y", false }, { 12000, "y", "x", false }, { 8000, "x", "y", true },
    { 12000, "x", "x", true },  { 12000, "y", "y", false },
  };

  for (unsigned i = 0; i < SUITE_COUNT (tried); i++)
    {
      char text[TEXT_MAX];
      FrontConfig *config;
      Status status;

      snprintf (text, sizeof text, format, tried[i].objective_ms, tried[i].first, tried[i].second);
      config = wire_config_decode (text, strlen (text), &status);
      CU_ASSERT_PTR_NOT_NULL_FATAL (config);
      if (!config)
        return;
      CU_ASSERT_EQUAL (config->routes[2].may_yield, tried[i].may_yield);
      front_config_unref (config);
    }
}

static const SuiteCase cases[] = {
  { "contended_by_objectives", test_contended_by_objectives },
  { "ranks_of_routes_and_teams", test_ranks_of_routes_and_teams },
  { "split_route_yields_only_where_it_can_wait", test_split_route_yields_only_where_it_can_wait },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_config", cases, SUITE_COUNT (cases));
}
