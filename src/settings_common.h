/**
 * What the settings of all programs share: members, addresses, files, clashes.
 */
#ifndef SETTINGS_COMMON_H
#define SETTINGS_COMMON_H

#include "config.h"
#include "settings.h"
#include "util_field.h"

#define SETTINGS_NAME_MAX CONFIG_NAME_MAX
#define SETTINGS_PATH_MAX 4096
#define SETTINGS_PORT_MAX 65535

/** Longest time that a setting may give: a day. */
#define SETTINGS_TIME_MAX_MS (24.0 * 3600 * 1000)

/** Entries of a FieldSpec table: name, offset in the draft, bounds. */
#define SETTINGS_TEXT(label, at, most)                                                             \
  {                                                                                                \
    .name = (label), .type = FIELD_STRING, .required = true, .offset = (at), .min = 1,             \
    .max = (most)                                                                                  \
  }
#define SETTINGS_OPTIONAL_TEXT(label, at, most)                                                    \
  {                                                                                                \
    .name = (label), .type = FIELD_STRING, .offset = (at), .min = 1, .max = (most)                 \
  }
#define SETTINGS_OBJECT(label, at)                                                                 \
  {                                                                                                \
    .name = (label), .type = FIELD_OBJECT, .required = true, .offset = (at)                        \
  }
#define SETTINGS_INT(label, at, least, most)                                                       \
  {                                                                                                \
    .name = (label), .type = FIELD_INT, .offset = (at), .min = (least), .max = (most)              \
  }

/** A place of the document where an address stands. */
typedef struct
{
  const char *path;
  struct json_object *obj; /**< NULL if it was absent or no object; that is an error already */
  SettingsAddress *address;
} SettingsEndpoint;

void settings_common_defaults (SettingsCommon *common);
void settings_common_check (const SettingsCommon *common, CheckList *list);
void settings_common_clear (SettingsCommon *common);

/** Reads the addresses; no two may be the same. */
void settings_endpoints_read (const SettingsEndpoint *places, size_t count, CheckList *list);
void settings_address_clear (SettingsAddress *address);
/** True for 0.0.0.0 and ::, which can be bound but not reached. */
bool settings_address_is_any (const SettingsAddress *address);

/** Adds an error if the file can't be read; NULL is no file. */
void settings_file_check (const char *name, const char *path, CheckList *list);
/** Certificate and key go together. */
void settings_tls_check (const char *certificate_file, const char *key_file, CheckList *list);

/** The operators' list of the steward's settings; out and count are set even if there are errors.
 */
void settings_operators_read (struct json_object *array,
                              SettingsOperator **out,
                              size_t *count,
                              CheckList *list);
void settings_operators_clear (SettingsOperator *operators, size_t count);

#endif
