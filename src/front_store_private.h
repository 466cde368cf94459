/**
 * What the files of front_store*.c share.
 */
#ifndef FRONT_STORE_PRIVATE_H
#define FRONT_STORE_PRIVATE_H

#include "front_channel.h"
#include "front_store.h"
#include "front_table.h"

/** Milliseconds after which an answer that hasn't begun is lost. */
#define STORE_ANSWER_MS 3000
/** After the store's return living servers are listed again within two seconds. */
#define STORE_RELIST_MS 2200

#define STORE_HTTP_OK       200
#define STORE_HTTP_CONFLICT 412
#define STORE_HTTP_GONE     410

/** Follows one table: reads all rows, then asks for changes again and again. */
typedef struct Watch
{
  FrontStore *store;
  StoreTable id;
  FrontTable table;
  FrontChannel *channel;
  struct event *poll_timer;
  StoreAnswer pages;    /* rows of the pages read so far */
  char *last_key;       /* last key of these */
  bool loaded;          /* all rows were read from the store; changes are asked for */
  bool lost;            /* the last question had no good answer */
  unsigned failures;    /* in a row that failed */
  int64_t recovered_ms; /* when the store answered again after an error */
  int64_t asked_ms;
  bool asked_peer;           /* the open question went to another front */
  bool is_short_poll;        /* the open question is a sentinel's */
  struct sockaddr_in source; /* which one */
  unsigned peer_failures;    /* questions to other fronts that failed, in a row */
} Watch;

struct FrontStore
{
  Front *front;
  struct sockaddr_in address;
  Watch watches[STORE_TABLES];
  FrontChannel *writer;
  int64_t started_ms;
  int64_t list_next_ms;     /* when the list of fronts is read again, should we still be alone */
  int64_t list_interval_ms; /* until the time after that */
  FrontRollout *writing;    /* the roll-out whose status is being written; NULL: none */
  FrontRolloutState writing_state;
  int64_t writing_started_ms;
  bool settled;            /* FRONT_SETTLED_MS are over */
  bool registering;        /* our address is being written */
  int64_t clock_offset_ms; /* the store's clock less ours */
  int64_t write_next_ms;
};

/* front_store_apply.c: a row that is new, changed or gone, by table. */
void store_apply_operator (void *user, const StoreRow *row);
void store_apply_server (void *user, const StoreRow *row);
void store_apply_status (void *user, const StoreRow *row);
void store_apply_member (void *user, const StoreRow *row);
/* What follows from the news of a table as a whole. */
void store_apply_end (FrontStore *store, StoreTable id);

/* front_store_watch.c */
void store_watch_init (Watch *watch, FrontStore *store, StoreTable id);
void store_watch_clear (Watch *watch);
void store_watch_poll (Watch *watch);
/* Forgets the open question and asks another one, unless its answer is arriving. */
void store_watch_restart_poll (Watch *watch);
/* Another front knows the table up to this version. */
void store_watch_hint (Watch *watch, int64_t version, int64_t now_ms);
/* Another front gave rows: all, or those changed since a version. */
void store_watch_apply_peer_rows (Watch *watch, int64_t since, StoreAnswer *answer);
/* Asks again in so many milliseconds. */
void store_watch_schedule_poll (Watch *watch, int64_t ms);

/* front_store.c */
/* Who is registered is known now: tables that waited for that are asked for at once. */
void store_poll_waiting (FrontStore *store);
/* Questions that a front asked before it knew its rank are asked anew, of whom they belong to. */
void store_settle_tick (FrontStore *store, int64_t now_ms);
/* One that has become a sentinel, as another died, doesn't wait for the end of its long question.
 */
void store_sentinel_tick (Watch *watch, int64_t now_ms);
/* Reads the list of fronts again while nobody is known. */
void store_member_list_tick (FrontStore *store, int64_t now_ms);

/* front_store_source.c: whom a question goes to. */
typedef enum
{
  SOURCE_STORE,
  SOURCE_PEER,     /* watch->source */
  SOURCE_UNDECIDED /* nobody yet */
} StoreSource;

StoreSource store_choose_source (Watch *watch, int64_t now_ms);
/* We are one of the few whose questions at the store are short. */
bool store_is_sentinel (const Watch *watch, int64_t now_ms);

/* front_store_write.c */
void store_on_written (void *user, int status, const char *text, size_t len);

#endif
