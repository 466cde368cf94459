/**
 * Parts shared by the readers of a configuration document's sections; private to config*.c.
 */
#ifndef CONFIG_PARSE_H
#define CONFIG_PARSE_H

#include "config.h"
#include <json-c/json.h>

#define CONFIG_PATH_MAX 256

#define CONFIG_VERSION_STATES (VERSION_WITHDRAWN + 1)
#define CONFIG_ROLLOUT_STATES (ROLLOUT_BACKED_OUT + 1)

/** The words of documents, by VersionState and RolloutState. */
extern const char *const config_version_states[];
extern const char *const config_rollout_states[];

typedef struct
{
  Config *config; /**< being filled */
  CheckList *list;
} ConfigParser;

/** Reads one entry of a section into the next free element of its array. */
typedef void (*ConfigEntryReader) (ConfigParser *parser,
                                   const char *name,
                                   struct json_object *entry,
                                   const char *path);

/** Parses a document; NULL and errors in list if it is too long, has NUL characters or numbers that
 *  are not finite, or is not JSON. The text "null" gives NULL without an error. */
struct json_object *config_json_parse (const char *text, size_t len, CheckList *list);
/** Canonical text of a value; freed with free. */
char *config_json_text (struct json_object *value);
/** Names of an object's members, sorted; borrowed, the list is freed with free. */
const char **config_sorted_names (struct json_object *object, size_t *count);

/** Calls the reader for each member in name order; a bad name or a member that is not an object is
 *  an error, and the reader still gets the entry (as an empty object) so that references to it by
 *  other entries are not reported as well. section may be NULL. */
void config_each_entry (ConfigParser *parser,
                        struct json_object *section,
                        const char *path,
                        ConfigEntryReader reader);
/** Number of members; 0 for NULL. */
size_t config_entry_count (struct json_object *section);
/** Path of a member or an element, cut off at CONFIG_PATH_MAX. */
void config_path (char out[CONFIG_PATH_MAX], const char *parent, const char *name);
void
config_path_index (char out[CONFIG_PATH_MAX], const char *parent, const char *name, size_t index);

/** The array's string elements. Others, and strings that stand twice, are reported and left out.
 *  The strings are borrowed; the list is freed with free. */
const char **config_strings (ConfigParser *parser,
                             struct json_object *array,
                             const char *path,
                             const char *name,
                             size_t *count);
/** Index of text in names, or -1. */
int config_enum_index (const char *const *names, size_t count, const char *text);
/** Reports that the member's value is none of the words. */
void config_enum_error (ConfigParser *parser,
                        const char *path,
                        const char *name,
                        const char *const *names,
                        size_t count);
/** Version index of "MODEL@VERSION"; reports an unknown one with its path and returns -1. */
int config_label_read (ConfigParser *parser, const char *path, const char *label);

void config_models_read (ConfigParser *parser, struct json_object *section);
void config_services_read (ConfigParser *parser, struct json_object *section);
void config_servers_read (ConfigParser *parser, struct json_object *section);
void config_classes_read (ConfigParser *parser, struct json_object *section);
void config_teams_read (ConfigParser *parser, struct json_object *section);
void config_rollouts_read (ConfigParser *parser, struct json_object *section);

#endif
