#pragma once

#include <event2/util.h>
#include <stdbool.h>

/*
 * SOCKETS: options of every TCP connection.
 *
 * Disables Nagle's algorithm, so that small writes are sent immediately, and enables
 * keep-alive probes.  The kernel closes the connection if written bytes stay
 * unacknowledged for UNACKED_MS milliseconds, or if an idle peer does not answer probes
 * for some seconds, so that an unresponsive peer is detected.
 */
void socket_set_options (evutil_socket_t fd, unsigned unacked_ms);

/*
 * Lets the peer of FD take no more bytes for as long as its host acknowledges that: the
 * kernel closes the connection UNACKED_MS after its last acknowledgement.  Otherwise
 * UNACKED_MS of socket_set_options would end it that long after its window closed.  To be
 * called several times within UNACKED_MS, and again when it returned true and the bytes
 * have been taken.  Returns whether the kernel now keeps it for longer than UNACKED_MS.
 * A negative FD is ignored.
 */
bool socket_keep_while_acknowledged (evutil_socket_t fd, unsigned unacked_ms);

/*
 * Sets whether closing FD resets the connection (SO_LINGER with a zero timeout).  A reset
 * discards bytes that were written and not delivered, so that they do not arrive later,
 * after a network fault.  A negative FD is ignored.
 */
void socket_set_reset_on_close (evutil_socket_t fd, bool reset);

/*
 * Resets the connection of FD at once, and keeps FD open: bytes that were written and not
 * delivered are discarded, and nothing more can be sent or received.  A negative FD is
 * ignored.
 */
void socket_reset (evutil_socket_t fd);

/* Bytes that were written to FD and that the peer's host has not acknowledged; 0 if FD is
 * negative. */
int socket_unacknowledged (evutil_socket_t fd);
