#include "steward_message.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

void
steward_message_encode (ClusterHeartbeat *h, rpc_heartbeat *out)
{
  *out = (rpc_heartbeat){ .nonce = h->nonce,
                          .incarnation = h->incarnation,
                          .view = h->view,
                          .number = h->number,
                          .accepted = h->accepted,
                          .ages_view = h->ages_view };
  out->ages.ages_len = (u_int)h->ages_count;
  out->ages.ages_val = (char *)h->ages;
  out->address = memory_strdup ("");
  out->news.news_len = (u_int)h->news_count;
  out->news.news_val = memory_array (h->news_count + 1, sizeof *out->news.news_val);
  for (size_t i = 0; i < h->news_count; i++)
    out->news.news_val[i] = (rpc_news){ .incarnation = h->news[i].incarnation,
                                        .number = h->news[i].number,
                                        .view = h->news[i].view,
                                        .age_ms = h->news[i].age_ms };
}

void
steward_message_clear (rpc_heartbeat *message)
{
  free (message->news.news_val);
  free (message->address);
  free (message->gates.gates_val);
  for (u_int i = 0; i < message->brakes.brakes_len; i++)
    xdr_free ((xdrproc_t)xdr_rpc_brake, &message->brakes.brakes_val[i]);
  free (message->brakes.brakes_val);
  for (u_int i = 0; i < message->deaths.deaths_len; i++)
    free (message->deaths.deaths_val[i].flights.flights_val);
  free (message->deaths.deaths_val);
  *message = (rpc_heartbeat){ 0 };
}

bool
steward_message_decode (const rpc_heartbeat *message, ClusterHeartbeat *out)
{
  if (message->incarnation == 0)
    return false;
  out->nonce = message->nonce;
  out->incarnation = message->incarnation;
  out->view = message->view;
  out->number = message->number;
  out->accepted = message->accepted;
  out->ages_view = message->ages_view;
  out->ages_count = message->ages.ages_len;
  if (message->ages.ages_len > 0)
    memcpy (out->ages, message->ages.ages_val, message->ages.ages_len);
  out->news_count = message->news.news_len;
  for (u_int i = 0; i < message->news.news_len; i++)
    out->news[i] = (ClusterNews){ .incarnation = message->news.news_val[i].incarnation,
                                  .number = message->news.news_val[i].number,
                                  .view = message->news.news_val[i].view,
                                  .age_ms = message->news.news_val[i].age_ms };
  return true;
}
