#pragma once

#include "account.h"

#include <event2/bufferevent.h>

/* ACCOUNT_WATCH: charges the bytes of libevent's buffers to an account_holder_t, which
 * outlives them. */

/* A new buffer whose bytes are charged as ACCOUNT_BODY.  To be freed by
 * account_buffer_free. */
struct evbuffer *account_buffer_new (account_holder_t *holder);

/* BUFFER may be NULL. */
void account_buffer_free (account_holder_t *holder, struct evbuffer *buffer);

/* The bytes in BEV's input and output are charged until account_forget, which is to be
 * called right before BEV is freed. */
void account_watch (account_holder_t *holder, struct bufferevent *bev);
void account_forget (account_holder_t *holder, struct bufferevent *bev);
