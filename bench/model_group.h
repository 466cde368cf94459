/**
 * Groups of scenarios, with the policies that are compared in each group.
 */
#ifndef MODEL_GROUP_H
#define MODEL_GROUP_H

#include "model_scenario.h"

typedef struct
{
  const char *name;
  const ModelScenario *scenarios;
  size_t scenario_count;
  const ModelPolicy *(*policies) (size_t *count); /**< a static array */
} ModelGroup;

extern const ModelGroup model_groups[];
extern const size_t model_group_count;

#endif
