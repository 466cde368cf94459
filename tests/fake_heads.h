/**
 * Answers of a server that stops in the middle of its answer's head, for all readers of answers.
 */
#ifndef FAKE_HEADS_H
#define FAKE_HEADS_H

#include "fake_server.h"

/** server: gives the answer that is cut to each request. */
typedef void (*FakeHeadsCheck) (FakeServer *server, const FakeAnswer *cut);

/** Calls check for a head of each kind of answer (with a length, in chunks, ended by the
 * connection, without a body, after an interim answer, each as plain answer and stream), cut at
 * each byte, and closed or reset there. */
void fake_heads_each (FakeHeadsCheck check);
/** The same without a server, which is NULL: for parsers. */
void fake_heads_each_without_server (FakeHeadsCheck check);

/** A complete answer that keeps the connection. */
extern const char fake_heads_whole[];

#endif
