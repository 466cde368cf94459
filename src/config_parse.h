/**
 * Helpers shared by the readers of the sections of a configuration document; private to config*.c.
 */
#ifndef CONFIG_PARSE_H
#define CONFIG_PARSE_H

#include "config.h"
#include <json-c/json.h>

#define CONFIG_PATH_MAX       256 /**< bytes of a path in an error message, with the final NUL */
#define CONFIG_VERSION_STATES (VERSION_WITHDRAWN + 1)
#define CONFIG_ROLLOUT_STATES (ROLLOUT_BACKED_OUT + 1)

/** Names used in documents, by VersionState and RolloutState. */
extern const char *const config_version_states[];
extern const char *const config_rollout_states[];

typedef struct
{
  Config *config; /**< the configuration being built */
  CheckList *list;
} ConfigParser;

/** Reads one entry of a section into the next free element of its array. */
typedef void (*ConfigEntryReader) (ConfigParser *parser,
                                   const char *name,
                                   struct json_object *entry,
                                   const char *path);

/** Parses a document. NULL and errors in list if it is too long, has NUL characters or numbers that
 *  are not finite, or is not JSON. The text "null" gives NULL without an error. */
struct json_object *config_json_parse (const char *text, size_t len, CheckList *list);
/** Canonical text of a value; to be freed with free. */
char *config_json_text (struct json_object *value);
/** Names of an object's members, sorted. The list is to be freed with free; the names are
 *  borrowed. */
const char **config_sorted_names (struct json_object *object, size_t *count);

/** Calls the reader for each member in the order of names. An invalid name or a member that is not
 *  an object is reported, and the reader still gets the entry (as an empty object), so that
 *  references to it from other entries are not reported as well. section may be NULL. */
void config_each_entry (ConfigParser *parser,
                        struct json_object *section,
                        const char *path,
                        ConfigEntryReader reader);
/** Number of members; 0 for NULL. */
size_t config_entry_count (struct json_object *section);
/** Path of a member or an array element, truncated to CONFIG_PATH_MAX. */
void config_path (char out[CONFIG_PATH_MAX], const char *parent, const char *name);
void
config_path_index (char out[CONFIG_PATH_MAX], const char *parent, const char *name, size_t index);

/** The array's string elements. Elements of other types and duplicates are reported and left out.
 *  The list is to be freed with free; the strings are borrowed. */
const char **config_strings (ConfigParser *parser,
                             struct json_object *array,
                             const char *path,
                             const char *name,
                             size_t *count);
/** Index of text in names, or -1. */
int config_enum_index (const char *const *names, size_t count, const char *text);
/** Reports that the member's value is none of the names. */
void config_enum_error (ConfigParser *parser,
                        const char *path,
                        const char *name,
                        const char *const *names,
                        size_t count);
/** Version index of "MODEL@VERSION"; reports an unknown one under path and returns -1. */
int config_label_read (ConfigParser *parser, const char *path, const char *label);

void config_models_read (ConfigParser *parser, struct json_object *section);
void config_services_read (ConfigParser *parser, struct json_object *section);
void config_servers_read (ConfigParser *parser, struct json_object *section);
void config_classes_read (ConfigParser *parser, struct json_object *section);
void config_teams_read (ConfigParser *parser, struct json_object *section);
void config_rollouts_read (ConfigParser *parser, struct json_object *section);

#endif
