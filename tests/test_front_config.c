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

static const SuiteCase cases[] = {
  { "contended_by_objectives", test_contended_by_objectives },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_config", cases, SUITE_COUNT (cases));
}
