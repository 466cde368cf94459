#include "session_named.h"
#include "util_field.h"
#include "util_id.h"
#include "util_memory.h"
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP          "session.start"
#define KEY_MAX       128 /* bytes of a row's key, with the final NUL */
#define KEY_HASH_LEN  16  /* bytes */
#define TEAM_MAX      63  /* characters of the team in a key */
#define SHARDS        16
#define WAYS          4 /* associativity: entries of the set in which a key is cached */
#define ATTEMPTS_MAX  2 /* inserts of a row whose outcome is unknown */
#define VERSION_FIELD "version"

typedef struct
{
  char key[KEY_MAX]; /* "": empty */
  char version[SESSION_VERSION_MAX];
  uint64_t used; /* value of the shard's clock at the last use */
} Entry;

typedef struct
{
  pthread_mutex_t lock;
  Entry *entries; /* grouped into sets of WAYS entries */
  uint64_t clock; /* incremented at each use of an entry */
} Shard;

struct SessionNamed
{
  PlatformGroup *group;
  size_t sets; /* in each shard */
  Shard shards[SHARDS];
};

static const FieldSpec row_specs[] = {
  { .name = VERSION_FIELD,
    .type = FIELD_STRING,
    .required = true,
    .offset = 0,
    .min = 1,
    .max = SESSION_VERSION_MAX - 1 },
};

SessionNamed *
session_named_new (PlatformGroup *group, size_t cache_max)
{
  SessionNamed *named = memory_alloc (sizeof *named);

  named->group = group;
  named->sets = cache_max / SHARDS / WAYS + 1;
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_init (&named->shards[i].lock, NULL);
      named->shards[i].entries = memory_array (named->sets * WAYS, sizeof (Entry));
    }
  return named;
}

void
session_named_free (SessionNamed *named)
{
  if (named == NULL)
    return;
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_destroy (&named->shards[i].lock);
      free (named->shards[i].entries);
    }
  free (named);
}

/* The row's key has a hash of the name, since names may be confidential and of any length. */
static void
row_key (const char *team, const char *name, char out[KEY_MAX])
{
  uint8_t hash[KEY_HASH_LEN];
  char hex[2 * KEY_HASH_LEN + 1];

  crypto_generichash (hash, sizeof hash, (const uint8_t *)name, strlen (name), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  snprintf (out, KEY_MAX, "%.*s/%s", TEAM_MAX, team, hex);
}

static char *
row_text (const char *version)
{
  struct json_object *obj = json_object_new_object ();
  char *text;

  json_object_object_add (obj, VERSION_FIELD, json_object_new_string (version));
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
  return text;
}

static bool
row_parse (const char *text, char version[SESSION_VERSION_MAX])
{
  CheckList list = { .file = NULL };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);
  char *found = NULL;
  bool ok = obj != NULL && field_read (row_specs, 1, obj, &found, "", &list);

  if (ok)
    snprintf (version, SESSION_VERSION_MAX, "%s", found);
  free (found);
  json_object_put (obj);
  check_free (&list);
  return ok;
}

static Shard *
shard_of (SessionNamed *named, const char *key, Entry **set)
{
  uint64_t hash = id_hash_string (key, 0);
  Shard *shard = &named->shards[hash % SHARDS];

  *set = shard->entries + hash / SHARDS % named->sets * WAYS;
  return shard;
}

static bool
cache_find (SessionNamed *named, const char *key, char version[SESSION_VERSION_MAX])
{
  Entry *set;
  Shard *shard = shard_of (named, key, &set);
  bool found = false;

  pthread_mutex_lock (&shard->lock);
  for (int i = 0; i < WAYS && !found; i++)
    if (strcmp (set[i].key, key) == 0)
      {
        set[i].used = ++shard->clock;
        memcpy (version, set[i].version, SESSION_VERSION_MAX);
        found = true;
      }
  pthread_mutex_unlock (&shard->lock);
  return found;
}

/* Replaces the least recently used entry of the key's set. */
static void
cache_add (SessionNamed *named, const char *key, const char *version)
{
  Entry *set;
  Shard *shard = shard_of (named, key, &set);
  Entry *entry = set;

  pthread_mutex_lock (&shard->lock);
  for (int i = 1; i < WAYS; i++)
    if (set[i].used < entry->used)
      entry = &set[i];
  snprintf (entry->key, sizeof entry->key, "%s", key);
  snprintf (entry->version, sizeof entry->version, "%s", version);
  entry->used = ++shard->clock;
  pthread_mutex_unlock (&shard->lock);
}

bool
session_named_find (SessionNamed *named,
                    const char *team,
                    const char *name,
                    char version[SESSION_VERSION_MAX])
{
  char key[KEY_MAX];

  row_key (team, name, key);
  return cache_find (named, key, version);
}

static StatusCode
row_insert (SessionNamed *named,
            const char *key,
            const char *text,
            char version[SESSION_VERSION_MAX],
            Status *st)
{
  TxnOp op = { .kind = TXN_INSERT, .table = SESSION_TABLE, .key = key, .value = text };
  StatusCode code = platform_group_submit (named->group, &op, 1, st);

  if (code == STATUS_OK && op.existing != NULL && !row_parse (op.existing, version))
    code = status_set (st, STATUS_INTERNAL, STEP, NULL, "the session's row can't be read");
  txn_ops_clear (&op, 1);
  return code;
}

StatusCode
session_named_start (SessionNamed *named,
                     const char *team,
                     const char *name,
                     char version[SESSION_VERSION_MAX],
                     Status *st)
{
  char key[KEY_MAX];
  char *text;
  StatusCode code = STATUS_UNKNOWN;

  row_key (team, name, key);
  if (cache_find (named, key, version))
    return status_ok (st);
  text = row_text (version);
  /* After a lost reply it is unknown whether the row was inserted: repeating the insert returns its
     version. */
  for (int i = 0; i < ATTEMPTS_MAX && code == STATUS_UNKNOWN; i++)
    code = row_insert (named, key, text, version, st);
  free (text);
  if (code == STATUS_OK)
    cache_add (named, key, version);
  return code;
}
