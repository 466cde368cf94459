/**
 * Limit on failure domains.
 */
#ifndef FRONT_DOMAIN_H
#define FRONT_DOMAIN_H

/** Failure domains that are told apart. The largest known site has six; of each further one beyond
 *  this number no fronts are known and no evidence is kept, which is logged. */
#define FRONT_DOMAINS_MAX 64

#endif
