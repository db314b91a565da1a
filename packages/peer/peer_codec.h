#pragma once

#include "../core/fault.h"
#include "peer.h"

#include <msgpack.h>

/* PEER_CODEC: encoding of peer messages as a sequence of MessagePack integers and
 * strings. */

#define PEER_CODEC_VERSION 2

void peer_encode (const peer_msg_t *msg, msgpack_sbuffer *buffer);

/* Returns STATUS_DECODE if the bytes are not exactly one valid message. */
status_t peer_decode (peer_msg_t *msg, const char *bytes, size_t len, fault_t *fault);
