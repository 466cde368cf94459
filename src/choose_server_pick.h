/**
 * The pick functions of the policies that server_policy_find returns; private to choose_server*.c.
 */
#ifndef CHOOSE_SERVER_PICK_H
#define CHOOSE_SERVER_PICK_H

#include "choose_server.h"

int server_pick_power_of_two (const ServerQuery *query);
int server_pick_round_robin (const ServerQuery *query);
int server_pick_least_reported (const ServerQuery *query);
int server_pick_random (const ServerQuery *query);

#endif
