#pragma once

#include "../core/fault.h"
#include "../core/text.h"

#include <glib.h>

/*
 * LINK_PACK: compression of large rows on their way between hosts (Zstandard).
 *
 * A row can be packed by itself, or as a patch of an earlier version of it, which the
 * receiver needs in order to unpack it.  A configuration of 240 KB with 1,400 new routes
 * of 2,800 takes some 32 KB by itself and 16 KB as a patch.
 */

/* Appends BYTES, packed as a patch of BASE, to OUT.  BASE may be empty. */
void link_pack (text_t bytes, text_t base, GByteArray *out);

/* Replaces the contents of OUT by what was packed with the same BASE.  STATUS_DECODE if
 * PACKED is malformed, has another base, or unpacks to over LINK_ROW_MAX_BYTES. */
status_t link_unpack (text_t packed, text_t base, GString *out, fault_t *fault);
