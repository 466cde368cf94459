/**
 * One numbered version of the routing configuration, parsed and checked: immutable, shared between
 * threads by reference count, and replaced as a whole.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "util_buffer.h"
#include "util_check.h"
#include "util_status.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONFIG_NAME_MAX     31      /**< bytes of a name; names consist of [a-z0-9._-] */
#define CONFIG_LABEL_SIZE   64      /**< MODEL@VERSION with the final NUL */
#define CONFIG_TEXT_MAX     1048576 /**< bytes of a document; must fit an RPC between stewards */
#define CONFIG_VERSIONS_MAX 256     /**< of all models, so that a set of brakes fits a heartbeat */
#define CONFIG_STAGES_MAX   8       /**< stages of a class or a roll-out */
#define CONFIG_KEY_HASH_LEN 64      /**< hexadecimal digits of the hash of a team's key */

typedef enum
{
  VERSION_CANDIDATE, /**< only available to the callers included in a roll-out */
  VERSION_ACTIVE,
  VERSION_WITHDRAWN /**< gets no new requests */
} VersionState;

typedef struct
{
  unsigned index; /**< index into Config.versions */
  unsigned model; /**< index into Config.models */
  char *name;     /**< e.g. "v7" */
  VersionState state;
  double cost_per_1k;   /**< cost units per 1,000 tokens */
  int64_t released;     /**< configuration number; brakes raised at it or earlier are released */
  double prior_quality; /**< mean rating assumed before any evidence, 0 to 1 */
} ConfigVersion;

typedef struct
{
  unsigned index;
  char *name;
  unsigned *versions; /**< indices into Config.versions */
  size_t version_count;
} ConfigModel;

typedef enum
{
  SERVER_ENGINE, /**< a model engine */
  SERVER_SERVICE /**< a service other than a model engine */
} ServerKind;

typedef struct
{
  unsigned index;
  char *name;
  ServerKind kind;
  char *address;
  int port;
  char *failure_domain;
  bool leaving;        /**< gets no new requests */
  bool checks_fencing; /**< the server refuses orders with an outdated fencing number */
  int64_t slots;       /**< requests that the server runs concurrently */
  unsigned *versions;  /**< engines: indices into Config.versions */
  size_t version_count;
  char *service; /**< services: name of the entry in services; NULL for engines */
} ConfigServer;

typedef struct
{
  unsigned index;
  char *name; /**< path segment under /v1/services/ in requests */
  bool idempotent;
} ConfigService;

/** A request class: a caller names it as "model" to have the router choose among its models. */
typedef struct
{
  unsigned index;
  char *name;
  unsigned *stages; /**< indices into Config.models, in the order of the document, cheapest first */
  size_t stage_count;
  double quality_target; /**< mean rating that answers must reach, 0 to 1 */
  int64_t deadline_ms;   /**< default deadline of a request; 0: none */
  bool idempotent;       /**< false: a request may run at most once */
} ConfigClass;

typedef struct
{
  unsigned index;
  char *name;
  char *key_hash;       /**< 64 hexadecimal digits: BLAKE2b-256 of the key */
  bool *allowed;        /**< by version index */
  bool *services;       /**< by service index */
  int64_t concurrent;   /**< most requests in progress over the whole site; 0: no limit */
  int64_t tokens_per_s; /**< tokens per second over the whole site; 0: no limit */
  double weight;        /**< weight of the team's fair share when capacity is short */
} ConfigTeam;

typedef enum
{
  ROLLOUT_RUNNING,
  ROLLOUT_PAUSED,
  ROLLOUT_DONE,
  ROLLOUT_BACKED_OUT
} RolloutState;

typedef struct
{
  unsigned index;
  unsigned model;
  unsigned from; /**< version index */
  unsigned to;   /**< version index */
  RolloutState state;
  double *stages; /**< shares of callers, 0 to 1, ascending */
  size_t stage_count;
  size_t stage; /**< index of the current stage */
} ConfigRollout;

typedef struct
{
  int64_t number; /**< a newer configuration has a higher number */
  int refs;       /**< reference count: use config_ref and config_unref */
  char *text;     /**< the document in canonical JSON */
  ConfigModel *models;
  size_t model_count;
  ConfigVersion *versions;
  size_t version_count;
  ConfigServer *servers;
  size_t server_count;
  ConfigService *services;
  size_t service_count;
  ConfigClass *classes;
  size_t class_count;
  ConfigTeam *teams;
  size_t team_count;
  ConfigRollout *rollouts;
  size_t rollout_count;
} Config;

/** Parses and checks a document. All errors are added to list in one pass, and if there are any
 *  NULL is returned. The caller owns the returned reference. */
Config *config_parse (const char *text, size_t len, int64_t number, CheckList *list);
/** Like config_parse, for a file; "-" is standard input. */
Config *config_parse_file (const char *path, int64_t number, CheckList *list);
/** Appends a file's content to *text, up to slightly more than CONFIG_TEXT_MAX bytes; false with an
 *  error in list if it can't be read. On success text->data is not NULL, even for an empty file. */
bool config_file_read (const char *path, Buffer *text, CheckList *list);
Config *config_ref (Config *config);
void config_unref (Config *config);

/** Index of the entry of that name, or -1. */
int config_find_model (const Config *config, const char *name);
int config_find_version (const Config *config, unsigned model, const char *name);
int config_find_team_by_key (const Config *config,
                             const char *key); /**< compares in constant time */
int config_find_team (const Config *config, const char *name);
int config_find_class (const Config *config, const char *name);
int config_find_service (const Config *config, const char *name);

int config_find_server (const Config *config, const char *name);
/** Index of the version named "MODEL@VERSION", or -1. */
int config_find_label (const Config *config, const char *label);
/** Writes "MODEL@VERSION" of the version. */
void config_label (const Config *config, unsigned version, char out[CONFIG_LABEL_SIZE]);
/** True if name is valid for an entry: 1 to 31 characters of [a-z0-9._-]. */
bool config_name_valid (const char *name);
/** Name used in documents, e.g. "withdrawn" or "backed_out". */
const char *config_version_state_name (VersionState state);
const char *config_rollout_state_name (RolloutState state);

/** Canonical text of a JSON document: members sorted by name, no white space, numbers in a unique
 *  form; to be freed with free. NULL and errors in list if the text can't be parsed. */
char *config_canonical (const char *text, size_t len, CheckList *list);
/** Applies a JSON merge patch (RFC 7396) to a document. The result is canonical JSON text, to be
 *  freed with free; NULL and errors in list if either text can't be parsed. */
char *config_patch_apply (const char *document, const char *patch, CheckList *list);
/** The merge patch that changes document a into b; to be freed with free. NULL and errors in list
 *  if either text can't be parsed. */
char *config_diff (const char *a, const char *b, CheckList *list);
/** BLAKE2b-256 of a key, as 64 hexadecimal digits. */
void config_key_hash (const char *key, char out[CONFIG_KEY_HASH_LEN + 1]);

#endif
