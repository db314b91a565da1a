#pragma once

#include <stdint.h>

/*
 * BUFFERS: how much of a host's memory the messages that it forwards may occupy.
 *
 * Load: hundreds of large bodies at a time, on links or at targets that are slower than
 * their senders.  Each message may hold a part of the memory that is still free, so that
 * few messages get large buffers, which allow a request to be sent again and a broken
 * response to be noticed, and many get small ones, through which they are forwarded as
 * they arrive.
 *
 * No I/O.  The bytes held stay below MAX plus the smallest part of each message.
 */

typedef struct
{
  uint64_t max;  /* bytes for all messages */
  uint64_t held; /* bytes that they hold */
  uint64_t peak; /* the most that they held */
} buffers_t;

/* MEMORY is what the process may use, in bytes. */
void buffers_init (buffers_t *self, uint64_t memory);

/* The bytes that messages hold have changed. */
void buffers_changed (buffers_t *self, uint64_t added, uint64_t removed);

/* The bytes that one message may hold now: at most MOST, and BUFFERS_LEAST_BYTES even if
 * no memory is left. */
uint32_t buffers_part (const buffers_t *self, uint32_t most);
