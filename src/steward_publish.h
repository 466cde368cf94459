/**
 * Publishes a durable configuration document in this process.
 */
#ifndef STEWARD_PUBLISH_H
#define STEWARD_PUBLISH_H

#include "steward.h"

/** Stores a document that comes from the table service, applies it as far as the gates allow, and
 * releases brakes as it says. False if it isn't newer than the stored one. */
bool steward_publish_document (Steward *s, int64_t number, const char *text);

#endif
