#include "front_pool.h"
#include "front_counter.h"
#include "front_keep.h"
#include "front_log.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <sys/socket.h>

typedef struct
{
  struct cds_list_head node;
  FrontPool *pool;
  struct bufferevent *bev;
  FrontServer *server; /* holds a reference */
  int64_t since_ms;
  int64_t until_ms;
} Idle;

struct FrontPool
{
  struct cds_list_head list; /* Idle by node, the one used last first */
  unsigned count, max;
};

FrontPool *
front_pool_new (unsigned max)
{
  FrontPool *pool = memory_alloc (sizeof *pool);

  pool->max = max;

  CDS_INIT_LIST_HEAD (&pool->list);
  return pool;
}

/* Returns the connection. */
static struct bufferevent *
idle_free (Idle *idle)
{
  struct bufferevent *bev = idle->bev;

  cds_list_del (&idle->node);
  idle->pool->count--;
  idle->server->kept--;
  front_server_unref (idle->server);
  free (idle);
  return bev;
}

static void
idle_close (Idle *idle)
{
  bufferevent_free (idle_free (idle));
}

static void
idle_drop (Idle *idle, const char *reason)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_CONNECTION);

  front_log_text (line, "server", idle->server->entry.id);
  front_log_text (line, "reason", reason);
  front_log_number (line, "idle_ms", clock_boot_ms () - idle->since_ms);
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_KEPT_DROPPED);
  idle_close (idle);
}

static void
on_read (struct bufferevent *bev UNUSED, void *user)
{
  idle_drop (user, "stray_bytes");
}

static void
on_event (struct bufferevent *bev UNUSED, short what, void *user)
{
  idle_drop (user, what & BEV_EVENT_EOF ? "closed" : "lost");
}

void
front_pool_clear (FrontPool *pool)
{
  Idle *idle, *next;

  cds_list_for_each_entry_safe (idle, next, &pool->list, node) idle_close (idle);
}

void
front_pool_forget (FrontPool *pool, const FrontServer *server)
{
  Idle *idle, *next;

  cds_list_for_each_entry_safe (idle, next, &pool->list, node)
  {
    if (idle->server == server)
      idle_close (idle);
  }
}

void
front_pool_free (FrontPool *pool)
{
  front_pool_clear (pool);
  free (pool);
}

void
front_pool_add (FrontPool *pool, struct bufferevent *bev, FrontServer *server, int64_t until_ms)
{
  Idle *idle;

  if (pool->count == pool->max)
    idle_close (cds_list_entry (pool->list.prev, Idle, node));
  idle = memory_alloc (sizeof *idle);
  idle->pool = pool;
  idle->bev = bev;
  idle->server = server;
  idle->since_ms = clock_boot_ms ();
  idle->until_ms = until_ms;
  front_server_ref (server);
  server->kept++;
  pool->count++;
  cds_list_add (&idle->node, &pool->list);
  bufferevent_setcb (bev, on_read, NULL, on_event, idle);
  bufferevent_enable (bev, EV_READ);
}

/* Reads what the event loop has not handled yet: NULL if the connection can be used, else why it is
 * dropped. */
static const char *
idle_defect (const Idle *idle)
{
  char byte;
  ssize_t got;

  if (evbuffer_get_length (bufferevent_get_input (idle->bev)) > 0)
    return "stray_bytes";
  got = recv (bufferevent_getfd (idle->bev), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    return "stray_bytes";
  if (got == 0)
    return "closed";
  return errno == EAGAIN || errno == EWOULDBLOCK ? NULL : "lost";
}

static bool
is_over (const Idle *idle, int64_t now_ms)
{
  return now_ms >= idle->until_ms || !front_server_takes_work (idle->server);
}

struct bufferevent *
front_pool_take (FrontPool *pool, FrontServer *server, int64_t now_ms)
{
  Idle *idle, *next;

  if (server->kept == 0)
    return NULL;
  cds_list_for_each_entry_safe (idle, next, &pool->list, node)
  {
    const char *defect;

    if (idle->server != server)
      continue;
    if (is_over (idle, now_ms))
      {
        idle_close (idle);
        continue;
      }
    defect = idle_defect (idle);
    if (!defect)
      return idle_free (idle);
    idle_drop (idle, defect);
  }
  return NULL;
}

void
front_pool_sweep (FrontPool *pool, int64_t now_ms)
{
  Idle *idle, *next;

  cds_list_for_each_entry_safe (idle, next, &pool->list, node)
  {
    if (is_over (idle, now_ms))
      idle_close (idle);
  }
}

unsigned
front_pool_count (const FrontPool *pool)
{
  return pool->count;
}
