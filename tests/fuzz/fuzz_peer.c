#include "../../packages/peer/peer_codec.h"

/* FUZZ_PEER: feeds arbitrary bytes to the decoder of peer messages.  Messages that it
 * accepts must be within their limits. */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  peer_msg_t msg;
  fault_t fault;

  if (peer_decode (&msg, (const char *)data, size, &fault) != STATUS_OK)
    return 0;
  g_assert (msg.kind < PEER_KIND_COUNT);
  g_assert (msg.n_loads <= PEER_LOADS_MAX);
  g_assert (msg.keyed_index < KEYED_MAX);
  return 0;
}
