/**
 * Declarations shared by front_store*.c.
 */
#ifndef FRONT_STORE_PRIVATE_H
#define FRONT_STORE_PRIVATE_H

#include "front_channel.h"
#include "front_confirm.h"
#include "front_store.h"
#include "front_store_clock.h"
#include "front_table.h"
#include "wire_store.h"

/** Milliseconds until a request fails if its answer has not begun. */
#define STORE_ANSWER_TIMEOUT_MS 3000
/** Milliseconds after the store's return by which living servers are listed again: two seconds and
 *  a margin. */
#define STORE_RELIST_MS 2200

#define STORE_HTTP_OK       200
#define STORE_HTTP_CONFLICT 412 /* the row has another version than expected */
#define STORE_HTTP_GONE     410 /* changes since the version were dropped, or there is none such */

/** Follows one table: reads all rows, then polls for changes. */
typedef struct Watch
{
  FrontStore *store;
  StoreTable id;
  FrontTable table;
  FrontChannel *channel;
  struct event *poll_timer;
  StoreAnswer pages;         /* rows of the pages, or of another front's parts, read so far */
  Buffer last_key;           /* key of the last of these, if the store returned them */
  int64_t parts_version;     /* up to which these are known, if other fronts returned them; 0: none
                                did */
  bool loaded;               /* all rows were read; changes are polled for */
  bool lost;                 /* the last request to the store failed */
  unsigned failures;         /* failed requests to the store in a row */
  int64_t recovered_ms;      /* when the store answered again after an error, or in a new era */
  int64_t era_began_ms;      /* when rows of a new era were read, until what was lost was written
                                again; 0: not */
  int64_t read_ms;           /* when all rows were last read at the store; 0: never */
  int64_t answered_ms;       /* when rows last came from the store or another front; 0: never */
  bool reads_again_at_peers; /* the front that was asked lacks the changes since this one's version:
                                all rows are read from such fronts */
  int64_t asked_ms;          /* when the last request was sent */
  int64_t pages_asked_ms;    /* when the store was asked for the first page */
  int64_t asked_version;     /* version that the last request is to continue from; 0: none */
  bool asked_peer;           /* the last request went to another front */
  bool is_short_poll;        /* the pending request is a sentinel's short poll */
  bool is_check;             /* the pending request asks the store whether a change is lacking */
  FrontConfirm confirm; /* up to when the table is known to be complete, by this front's clock */
  struct sockaddr_in source; /* the front that was asked last */
  unsigned peer_failures;    /* failed requests to other fronts in a row */
} Watch;

struct FrontStore
{
  Front *front;
  struct sockaddr_in address;
  Watch watches[STORE_TABLES];
  FrontChannel *writer;
  int64_t started_ms;
  int64_t era;              /* newest that the store named; 0: none */
  int64_t next_list_at_ms;  /* when the list of fronts is read again if no other is known */
  int64_t list_interval_ms; /* until the read after that */
  FrontRollout *writing;    /* roll-out whose status is being written; NULL: none */
  RolloutStatus written;    /* that status */
  bool settled;             /* FRONT_SETTLED_MS have passed since the start */
  bool registering;         /* this front's address is being written */
  bool writing_refused;     /* the row of refused requests is being written */
  int64_t refused_since_ms; /* since when it lacks one that is refused here; 0: it lacks none */
  StoreClock clock;
  bool is_turned_away;      /* the last check failed */
  int64_t next_check_ms;    /* earliest time of the next one then */
  int64_t next_write_at_ms; /* earliest time of a write after a failed one */
};

/* front_store_apply.c: apply a row that is new, changed or removed, by table. */
void store_apply_operator (void *user, const StoreRow *row);
void store_apply_server (void *user, const StoreRow *row);
void store_apply_status (void *user, const StoreRow *row);
void store_apply_member (void *user, const StoreRow *row);
/* Applies the operator's orders and their removals that were left while the era was settling. */
void store_apply_deferred (FrontStore *store);
/* To be called before changes are applied: looks for ends of evacuations whose order was never read
 * here, as this front was frozen or the store away. since_ms: when rows last came before;
 * 0: the changes are from another front, which tells ends itself. */
void store_apply_unseen_ends (FrontStore *store,
                              StoreTable id,
                              const StoreAnswer *changes,
                              int64_t since_ms);
/* Updates what depends on the table as a whole, after its changed rows were applied. */
void store_apply_end (FrontStore *store, StoreTable id);

/* front_store_watch.c */
void store_watch_init (Watch *watch, FrontStore *store, StoreTable id);
void store_watch_clear (Watch *watch);
void store_watch_poll (Watch *watch);
/* Cancels the pending request and sends a new one, unless its answer is arriving. */
void store_watch_restart_poll (Watch *watch);
/* Another front knows the table up to this version. */
void store_watch_hint (Watch *watch, int64_t version, int64_t now_ms);
/* Applies rows from another front: all, or those changed since a version that is known here. */
void store_watch_apply_peer_rows (Watch *watch, bool all, StoreAnswer *answer);
/* Name of the table, as in logs. */
const char *store_watch_name (const Watch *watch);
/* Polls after a delay in milliseconds. */
void store_watch_schedule_poll (Watch *watch, int64_t ms);

/* front_store_era.c: the store may come back from a copy some seconds old. */
/* Notes the era that an answer of the store names. False if the answer is of an earlier one. */
bool store_era_note (FrontStore *store, int64_t era);
/* To be called before rows of this version are applied. */
void store_era_begin (Watch *watch, int64_t version);
/* True while the operator may still write again what the store has lost. */
bool store_era_is_settling (const Watch *watch);
/* Applies what was left until then, once there was time to write again. */
void store_era_tick (Watch *watch, int64_t now_ms);

/* front_store_confirm.c */
/* The store has answered a poll, and its changes are applied. */
void store_confirm_answer (Watch *watch, const StoreAnswer *answer, int64_t now_ms);
/* True if nobody has confirmed the table for so long that this front has to ask the store. */
bool store_confirm_is_due (const Watch *watch, int64_t now_ms);
/* True if that is so while all rows are read at another front, and the store has to be asked. */
bool store_confirm_read_is_due (const Watch *watch, int64_t now_ms);
/* True if there are few enough fronts that each may read a whole table at the store. */
bool store_confirm_may_read (const Watch *watch, int64_t now_ms);
void store_confirm_check_begun (Watch *watch, int64_t now_ms);
void store_confirm_check_failed (Watch *watch, int64_t now_ms);

/* front_store_log.c */
/* The front that was asked last; NULL: the store. */
const struct sockaddr_in *store_asked_source (const Watch *watch);
/* Shows which source a front that stays unready waits for. */
void store_log_rows_asked (const Watch *watch);
/* Shows why a table that the source keeps answering for isn't known here. */
void store_log_rows_repeated (const Watch *watch);
/* Counts a call to the store, and shows why this front calls it and not another front. */
void store_count_call (const Watch *watch);

/* front_store.c */
/* The list of fronts was read: polls the tables that waited for it. */
void store_poll_waiting (FrontStore *store);
/* Once the front knows its rank, restarts polls that went to another front, as their source may be
 * a different one now. */
void store_settle_tick (FrontStore *store, int64_t now_ms);
/* Replaces the long poll by a short one if this front has become a sentinel as another one died,
 * and by a check if one is due. */
void store_poll_tick (Watch *watch, int64_t now_ms);
/* Reads the list of fronts again while no other front is known. */
void store_member_list_tick (FrontStore *store, int64_t now_ms);

/* front_store_source.c: where the next request goes. */
typedef enum
{
  SOURCE_STORE,
  SOURCE_CHECK,    /* the store, for an answer at once */
  SOURCE_PEER,     /* the front at watch->source */
  SOURCE_UNDECIDED /* decide again after BOOTSTRAP_RETRY_MS */
} StoreSource;

StoreSource store_choose_source (Watch *watch, int64_t now_ms);
/* True if this front is one of the few that poll the store at short intervals. */
bool store_is_sentinel (const Watch *watch, int64_t now_ms);
/* True if a poll that goes to the store is to be a short one. Also in the first seconds, in which
 * this front doesn't yet choose the store for that: all may have started before a store that hangs.
 */
bool store_polls_briefly (const Watch *watch, int64_t now_ms);

/* front_store_write.c */
/* Milliseconds between two fronts' attempts at the same write, and from a failed write to the next
 * one. */
#define STORE_RANK_DELAY_MS 300
void store_on_written (void *user, int status, const char *text, size_t len);
/* Writes a row of the status table; row: as it is known here, NULL if it isn't there; condition: on
 * a row of another table, NULL: none. */
void store_write_status_row (FrontStore *store,
                             const char *key,
                             const Buffer *value,
                             const StoreRow *row,
                             const StoreCondition *condition);

/* front_store_refused.c */
/* Refuses the requests that the row lists. */
void store_refused_apply (FrontStore *store, const StoreRow *row);
/* Writes the row if it lacks a request that is refused here, and this front's turn has come. True
 * if a write has begun. */
bool store_refused_write (FrontStore *store, int64_t now_ms);

#endif
