#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * SUSPECT: recognises requests that crash each target that runs them.
 *
 * Decision part, one a worker.  A request is known by its fingerprint.  One
 * that was in flight at the loss of so many different targets, on any hosts, and
 * was answered by none since, is condemned for SUSPECT_KEEP_MS.  Requests that
 * were merely in flight beside it are answered by another target at their
 * retry, or when the next caller asks the same, and so are forgotten again.
 */

typedef enum
{
  SUSPECT_LOST,     /* the connection broke while the request ran at TARGET */
  SUSPECT_HEARD,    /* another task or host tells the same */
  SUSPECT_ANSWERED, /* a target answered such a request */
  SUSPECT_CLEARED,  /* another task or host tells the same */
} suspect_msg_kind_t;

typedef struct
{
  suspect_msg_kind_t kind;
  uint64_t fingerprint;
  uint64_t target; /* a hash of its name, address and port */
} suspect_msg_t;

/* To be told to all tasks of all hosts. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t target;
  bool cleared; /* it was answered, else it was in flight at the target's loss */
} suspect_out_t;

typedef struct
{
  uint64_t fingerprint;
  uint64_t targets[SUSPECT_TARGETS_MAX]; /* at whose loss it was in flight */
  uint32_t n_targets;
  msec_t until; /* kept so long; 0: the entry is free */
  bool condemned;
} suspect_entry_t;

typedef struct
{
  uint32_t targets; /* lost ones that condemn */
  suspect_entry_t entries[SUSPECT_MAX];
} suspect_t;

/* Condemns a request at the loss of TARGETS targets, SUSPECT_TARGETS_MAX at most. */
void suspect_init (suspect_t *self, uint32_t targets);

/* Takes MSG at time NOW and appends suspect_out_t to OUT. */
void suspect_handle (suspect_t *self, const suspect_msg_t *msg, msec_t now, GArray *out);

void suspect_finish (suspect_t *self);

bool suspect_is_condemned (const suspect_t *self, uint64_t fingerprint, msec_t now);
