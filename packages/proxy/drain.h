#pragma once

#include "proxy.h"

/*
 * DRAIN: how the proxy stops.  Private to the proxy's files.
 */

/* Begins to drain, unless it does already.  SIGNALLED_AT: when the coordinator noticed
 * the signal. */
void drain_begin (proxy_t *self, msec_t signalled_at);

/* To be called by each tick while the proxy drains.  Once the platform has had time to
 * notice that this host is not ready, stops listening and closes connections without a
 * request.  Shortly before the process would be killed, rejects the requests that still
 * wait, then answers those that targets have not, and closes the remaining connections.
 */
void drain_step (proxy_t *self, msec_t now);
