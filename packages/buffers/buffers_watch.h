#pragma once

#include "buffers.h"

#include <event2/bufferevent.h>

/* BUFFERS_WATCH: counts the bytes of libevent's buffers in a buffers_t, which outlives
 * them. */

/* A new buffer whose bytes count.  To be freed by buffers_free. */
struct evbuffer *buffers_new (buffers_t *self);

/* NULL is allowed. */
void buffers_free (buffers_t *self, struct evbuffer *buffer);

/* The bytes that wait to be written to BEV count until buffers_forget_output, which is to
 * be called right before BEV is freed. */
void buffers_watch_output (buffers_t *self, struct bufferevent *bev);
void buffers_forget_output (buffers_t *self, struct bufferevent *bev);
