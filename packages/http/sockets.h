#pragma once

#include <event2/util.h>
#include <stdbool.h>

/*
 * SOCKETS: options of every TCP connection.
 *
 * Small writes leave at once.  A peer that acknowledges nothing for SILENT_MS,
 * or no probe on an idle connection for some seconds, ends the connection, so
 * that one which has gone silent is noticed.
 */
void socket_tune (evutil_socket_t fd, unsigned silent_ms);

/*
 * Whether closing FD resets the connection: bytes that were written and not delivered are
 * then dropped instead of arriving when a broken link is back.
 */
void socket_reset_at_close (evutil_socket_t fd, bool reset);
