/**
 * What the files of front_store*.c share.
 */
#ifndef FRONT_STORE_PRIVATE_H
#define FRONT_STORE_PRIVATE_H

#include "front_channel.h"
#include "front_store.h"
#include "front_table.h"

/** Milliseconds after which an answer is lost. */
#define STORE_ANSWER_MS 3000
/** After the store's return living servers are listed again within two seconds. */
#define STORE_RELIST_MS 2200

#define STORE_GOOD     200
#define STORE_CONFLICT 412
#define STORE_GONE     410

/** Follows one table: reads all rows, then asks for changes again and again. */
typedef struct Watch
{
  FrontStore *store;
  StoreTable id;
  FrontTable table;
  FrontChannel *channel;
  struct event *again;
  StoreAnswer pages; /* rows of the pages read so far */
  char *after;       /* last key of these */
  bool loaded;       /* all rows were read from the store; changes are asked for */
  bool lost;         /* the last question had no good answer */
  unsigned tries;    /* in a row that failed */
  int64_t back_ms;   /* when the store answered again after an error */
  int64_t asked_ms;
  bool asked_peer;        /* the open question went to another front */
  int64_t peer_failed_ms; /* when one gave no good answer */
} Watch;

struct FrontStore
{
  Front *front;
  struct sockaddr_in address;
  Watch watches[STORE_TABLES];
  FrontChannel *writer;
  FrontRollout *writing; /* the roll-out whose status is being written; NULL: none */
  FrontRolloutState writing_state;
  int64_t writing_started_ms;
  bool joined; /* our address was written */
  bool joining;
  int64_t clock_ms; /* the store's clock less ours */
  int64_t write_again_ms;
};

/* front_store_apply.c: a row that is new, changed or gone, by table. */
void store_apply_operator (void *user, const StoreRow *row);
void store_apply_server (void *user, const StoreRow *row);
void store_apply_status (void *user, const StoreRow *row);
void store_apply_member (void *user, const StoreRow *row);
/* What follows from the news of a table as a whole. */
void store_apply_end (FrontStore *store, StoreTable id);

/* front_store_write.c */
void store_written (void *user, int status, const char *text, size_t len);

#endif
