/**
 * Fetches configuration documents and views from other stewards when the table service does not
 * answer. Stewards serve only documents and views that came from the table, directly or through
 * a peer.
 */
#ifndef STEWARD_FETCH_H
#define STEWARD_FETCH_H

#include "steward.h"

StewardFetch *steward_fetch_start (Steward *s);
void steward_fetch_stop (StewardFetch *f);
/** To be called when a newer document or view has been reported. */
void steward_fetch_wake (StewardFetch *f);

#endif
