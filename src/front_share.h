/**
 * Shares of a limit that holds for all fronts together. Each front takes a share that follows from
 * the number of fronts, so that they need not ask each other. No I/O.
 */
#ifndef FRONT_SHARE_H
#define FRONT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** What a front knows of the number of fronts, itself included. */
typedef struct
{
  unsigned domain_fronts; /**< in this front's failure domain, also those that stopped sending
                             recently */
  unsigned registered; /**< of domain_fronts, those in the store's list, which takes only a few */
  unsigned fronts;     /**< in all failure domains */
  unsigned place;  /**< of this front, from 0, in an order of all living fronts that all agree on */
  unsigned places; /**< in that order */
  bool has_place;  /**< place and places are known; false: there may be far more fronts */
  bool is_new;     /**< this front has just started, or gets no messages from others */
} FrontsView;

/** The numbers of fronts that share a limit, and which of them this one is. */
typedef struct
{
  uint64_t self;          /**< hash of this VM's name, so that a restart doesn't change the share */
  unsigned domain_fronts; /**< in this front's failure domain, itself included */
  unsigned fronts;        /**< in all failure domains */
  unsigned place, places; /**< as in FrontsView */
} FrontShare;

/** Sets the numbers of fronts, assuming at least as many as there may be besides the known ones. */
void front_share_set (FrontShare *share, const FrontsView *view);
/** Number of fronts among which the part of a server's limit is divided that is set aside for
 *  fronts of the server's failure domain, or for those of other domains; at least 1. */
unsigned front_share_count (const FrontShare *share, bool is_same_domain);
/** This front's part of so many slots of a server. The parts of all fronts add up to the slots, if
 *  they agree on the places. */
unsigned front_share_slots (const FrontShare *share, uint64_t server, unsigned slots);
/** Uniform in 0 to 1, and constant for a front and a server. */
double front_share_draw (const FrontShare *share, uint64_t server);

#endif
