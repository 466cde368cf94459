#include "front_rows_cache.h"
#include "front_compress.h"

/* A part that more rows follow stays true although the table changes: rows that changed since then
 * are in a later part. That holds as long as the removals since its version are kept. */
static bool
is_valid (const CachedRows *slot, const FrontStore *store)
{
  RowsRequest later = { .table = slot->table, .since = slot->version, .base = slot->version };

  return slot->version == front_store_version (store, slot->table)
         || (slot->is_part && front_store_keeps_changes (store, &later));
}

static CachedRows *
find (RowsCache *cache, const FrontStore *store, const RowsRequest *request)
{
  for (unsigned i = 0; i < ROWS_CACHE_SLOTS; i++)
    {
      CachedRows *slot = &cache->slots[i];

      if (slot->text.len > 0 && slot->table == request->table && slot->since == request->since
          && is_valid (slot, store))
        return slot;
    }
  return NULL;
}

static CachedRows *
least_used (RowsCache *cache)
{
  CachedRows *least = &cache->slots[0];

  for (unsigned i = 1; i < ROWS_CACHE_SLOTS; i++)
    {
      if (cache->slots[i].used < least->used)
        least = &cache->slots[i];
    }
  return least;
}

static CachedRows *
encode (RowsCache *cache, const FrontStore *store, const RowsRequest *request)
{
  CachedRows *slot = least_used (cache);

  buffer_free (&slot->text);
  *slot = (CachedRows){ .table = request->table,
                        .since = request->since,
                        .version = front_store_version (store, request->table) };
  if (front_store_encode_rows (store, request, &slot->text, &slot->is_part)
      && front_compress (&slot->text))
    return slot;
  buffer_free (&slot->text);
  return NULL;
}

const Buffer *
rows_cache_get (RowsCache *cache, const FrontStore *store, const RowsRequest *request)
{
  CachedRows *slot;

  if (!front_store_keeps_changes (store, request))
    return NULL;
  slot = find (cache, store, request);
  if (!slot)
    slot = encode (cache, store, request);
  if (!slot)
    return NULL;
  slot->used = ++cache->uses;
  return &slot->text;
}

void
rows_cache_clear (RowsCache *cache)
{
  for (unsigned i = 0; i < ROWS_CACHE_SLOTS; i++)
    buffer_free (&cache->slots[i].text);
}
