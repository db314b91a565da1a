#include "link_pack.h"

#include "../core/limits.h"

#include <zstd.h>

/* A busy host has little time: higher levels save a tenth of the bytes at three times the
 * work. */
#define PACK_LEVEL 1

/* The smallest window, as a power of two, that reaches from the end of BYTES bytes to
 * their start. */
static int
window_log (size_t bytes)
{
  int log = ZSTD_cParam_getBounds (ZSTD_c_windowLog).lowerBound;

  while (((size_t)1 << log) < bytes)
    log++;
  return log;
}

void
link_pack (text_t bytes, text_t base, GByteArray *out)
{
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  guint start = out->len;

  g_assert (bytes.len <= LINK_ROW_MAX_BYTES && base.len <= LINK_ROW_MAX_BYTES);
  g_byte_array_set_size (out, start + (guint)ZSTD_compressBound (bytes.len));
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, PACK_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, window_log (bytes.len + base.len));
  ZSTD_CCtx_refPrefix (context, base.at, base.len);
  size_t len = ZSTD_compress2 (context,
                               out->data + start,
                               out->len - start,
                               bytes.at,
                               bytes.len);
  g_assert (!ZSTD_isError (len));
  g_byte_array_set_size (out, start + (guint)len);
  ZSTD_freeCCtx (context);
}

status_t
link_unpack (text_t packed, text_t base, GString *out, fault_t *fault)
{
  unsigned long long size = ZSTD_getFrameContentSize (packed.at, packed.len);

  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
      || size > LINK_ROW_MAX_BYTES)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "packed row of %zu bytes states no size up to %d",
                        packed.len,
                        LINK_ROW_MAX_BYTES);
  ZSTD_DCtx *context = ZSTD_createDCtx ();
  g_string_set_size (out, (gsize)size);
  ZSTD_DCtx_refPrefix (context, base.at, base.len);
  size_t len = ZSTD_decompressDCtx (context, out->str, out->len, packed.at, packed.len);
  ZSTD_freeDCtx (context);
  if (ZSTD_isError (len) || len != out->len)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "packed row of %zu bytes: %s",
                        packed.len,
                        ZSTD_isError (len) ? ZSTD_getErrorName (len) : "too short");
  return STATUS_OK;
}
