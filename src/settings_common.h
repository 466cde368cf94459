/**
 * Parts shared by the settings of all programs: common members, addresses, files and clashes
 * between endpoints.
 */
#ifndef SETTINGS_COMMON_H
#define SETTINGS_COMMON_H

#include "config.h"
#include "settings.h"
#include "util_field.h"

#define SETTINGS_NAME_MAX CONFIG_NAME_MAX /**< bytes */
#define SETTINGS_PATH_MAX 4096            /**< bytes of a file's path */
#define SETTINGS_PORT_MAX 65535

/** Longest time that a setting accepts: a day. */
#define SETTINGS_TIME_MAX_MS (24.0 * 3600 * 1000)

/** Entries of a FieldSpec table: name, offset in the struct that is filled, and bounds. */
#define SETTINGS_TEXT(label, at, upper)                                                            \
  {                                                                                                \
    .name = (label), .type = FIELD_STRING, .required = true, .offset = (at), .min = 1,             \
    .max = (upper)                                                                                 \
  }
#define SETTINGS_OPTIONAL_TEXT(label, at, upper)                                                   \
  {                                                                                                \
    .name = (label), .type = FIELD_STRING, .offset = (at), .min = 1, .max = (upper)                \
  }
#define SETTINGS_OBJECT(label, at)                                                                 \
  {                                                                                                \
    .name = (label), .type = FIELD_OBJECT, .required = true, .offset = (at)                        \
  }
#define SETTINGS_INT(label, at, lower, upper)                                                      \
  {                                                                                                \
    .name = (label), .type = FIELD_INT, .offset = (at), .min = (lower), .max = (upper)             \
  }

/** A member of the settings that holds an address and a port. */
typedef struct
{
  const char *path;
  struct json_object *obj; /**< NULL if absent or not an object, which was reported before */
  SettingsAddress *address;
} SettingsEndpoint;

void settings_common_defaults (SettingsCommon *common);
void settings_common_check (const SettingsCommon *common, CheckList *list);
void settings_common_clear (SettingsCommon *common);

/** Reads the endpoints; reports any two that are the same. */
void settings_endpoints_read (const SettingsEndpoint *endpoints, size_t count, CheckList *list);
void settings_address_clear (SettingsAddress *address);
/** True for the wildcard addresses 0.0.0.0 and ::, which can be bound but not connected to. */
bool settings_address_is_any (const SettingsAddress *address);

/** Reports a file that can't be read; a NULL path is ignored. */
void settings_file_check (const char *name, const char *path, CheckList *list);
/** Checks that certificate and key are readable and given together. */
void settings_tls_check (const char *certificate_file, const char *key_file, CheckList *list);

/** Reads the steward's operator_list; out and count are set even if there are errors. */
void settings_operators_read (struct json_object *array,
                              SettingsOperator **out,
                              size_t *count,
                              CheckList *list);
void settings_operators_clear (SettingsOperator *operators, size_t count);

#endif
