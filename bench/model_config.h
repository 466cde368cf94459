/**
 * Configuration documents of simulated sites.
 */
#ifndef MODEL_CONFIG_H
#define MODEL_CONFIG_H

#include "config.h"

typedef struct
{
  unsigned draft_engines;  /**< serve every version of the draft models */
  unsigned ledger_engines; /**< serve the ledger model */
  unsigned slots;          /**< of each engine */
  unsigned domains;        /**< failure domains */
  unsigned teams;
  unsigned versions_per_model; /**< 1, or 2 with a roll-out of draft-s from v1 to v2 */
  unsigned extra_models;       /**< further draft models, to have many versions */
  int64_t concurrent;          /**< limit of each team; 0: none */
  int64_t tokens_per_s;        /**< limit of each team; 0: none */
  double big_weight; /**< weight of the second and third team, which have half of the load; 0:
                        weight 1, like the other teams */
  double quality_targets[3]; /**< of the classes query, report, wording; 0: the default */
  bool candidate_only;       /**< v2 stays a candidate without a roll-out */
} ModelConfigOptions;

/** Returns the configuration as parsed by config_parse, to be released by config_unref. */
Config *model_config (const ModelConfigOptions *options);

#endif
