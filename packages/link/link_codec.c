#include "link_codec.h"

#include <msgpack.h>
#include <string.h>

/*
 * A message is a sequence of unsigned integers and strings.  Arrays and maps are rejected
 * by their first byte, because the library allocates memory for as many items as their
 * header claims.
 */

#define LINK_CODEC_VERSION 8
#define LOADS_MAX 8192
#define RANGES_MAX 8192
#define ROWS_MAX 8192
#define FORWARD_MAX 1024
#define RATES_MAX 8192
#define RIGHTS_MAX (1000 * 1000)
#define LEAVING_MAX 1024
#define SERVICE_TIMES_MAX 4096
#define SERVICE_TIME_MAX_MS (60 * 60 * 1000)
#define PACES_MAX 4096

/* Limits and shares are sent in thousandths, limits up to a million. */
#define THOUSANDTHS 1000
#define LIMIT_MAX (1000 * 1000)
#define AGE_MAX (1000 * 1000)

/* First bytes of the MessagePack types that messages use. */
#define LEAD_FIXINT_MAX 0x7f
#define LEAD_FIXSTR_MIN 0xa0
#define LEAD_FIXSTR_MAX 0xbf
#define LEAD_UINT_MIN 0xcc
#define LEAD_UINT_MAX 0xcf
#define LEAD_STR_MIN 0xd9
#define LEAD_STR_MAX 0xdb

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_name (msgpack_packer *packer, const name_t *name)
{
  msgpack_pack_str (packer, name->len);
  msgpack_pack_str_body (packer, name->at, name->len);
}

static GByteArray *
start_body (msgpack_packer *packer, link_kind_t kind)
{
  GByteArray *bytes = g_byte_array_new ();

  msgpack_packer_init (packer, bytes, append_bytes);
  msgpack_pack_uint8 (packer, (uint8_t)kind);
  return bytes;
}

static void
pack_thousandths (msgpack_packer *packer, double value, double max)
{
  msgpack_pack_uint64 (packer, (uint64_t)(CLAMP (value, 0, max) * THOUSANDTHS + 0.5));
}

static void
pack_rates (msgpack_packer *packer, const GArray *rates)
{
  guint n = rates != NULL ? MIN (rates->len, RATES_MAX) : 0;

  msgpack_pack_uint32 (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const rate_report_t *rate = &g_array_index (rates, rate_report_t, i);
      pack_name (packer, &rate->target);
      msgpack_pack_uint8 (packer, rate->stated);
      msgpack_pack_uint8 (packer, rate->limited);
      pack_thousandths (packer, rate->limit, LIMIT_MAX);
      msgpack_pack_uint64 (packer, (uint64_t)CLAMP (rate->age, 0, AGE_MAX));
      pack_thousandths (packer, rate->wanted, LIMIT_MAX);
      pack_thousandths (packer, rate->wanted_lately, LIMIT_MAX);
      msgpack_pack_uint32 (packer, MIN (rate->held, RIGHTS_MAX));
      msgpack_pack_uint32 (packer, MIN (rate->returned, RIGHTS_MAX));
      msgpack_pack_uint32 (packer, MIN (rate->waiting, RIGHTS_MAX));
      msgpack_pack_uint64 (packer, (uint64_t)rate->accepted);
    }
}

static void
pack_grants (msgpack_packer *packer, const GArray *grants)
{
  guint n = grants != NULL ? MIN (grants->len, RATES_MAX) : 0;

  msgpack_pack_uint32 (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const rate_grant_t *grant = &g_array_index (grants, rate_grant_t, i);
      pack_name (packer, &grant->target);
      msgpack_pack_uint32 (packer, MIN (grant->rights, RIGHTS_MAX));
    }
}

static void
pack_leaving (msgpack_packer *packer, const GArray *leaving)
{
  guint n = leaving != NULL ? MIN (leaving->len, LEAVING_MAX) : 0;

  msgpack_pack_uint32 (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const target_incarnation_t *target
          = &g_array_index (leaving, target_incarnation_t, i);
      pack_name (packer, &target->id);
      msgpack_pack_uint64 (packer, target->started_at);
    }
}

static void
pack_service_times (msgpack_packer *packer, const GArray *times)
{
  guint n = times != NULL ? MIN (times->len, SERVICE_TIMES_MAX) : 0;

  msgpack_pack_uint32 (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const target_service_time_t *time
          = &g_array_index (times, target_service_time_t, i);
      pack_name (packer, &time->target);
      msgpack_pack_uint32 (packer, MIN (time->service_time_ms, SERVICE_TIME_MAX_MS));
      msgpack_pack_uint32 (packer, time->samples);
    }
}

GByteArray *
link_encode_report (const link_report_t *report)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_REPORT);

  pack_name (&packer, &report->host);
  pack_name (&packer, &report->address);
  msgpack_pack_uint64 (&packer, report->incarnation);
  msgpack_pack_uint64 (&packer, (uint64_t)report->sent_at);
  msgpack_pack_uint32 (&packer, report->link_mbps);
  pack_name (&packer, &report->service);
  msgpack_pack_uint64 (&packer, report->table_version);
  msgpack_pack_uint64 (&packer, report->configuration_row_version);
  msgpack_pack_uint64 (&packer, report->targets_version);
  msgpack_pack_uint8 (&packer, report->requests_table);
  msgpack_pack_uint8 (&packer, report->requests_configuration);
  msgpack_pack_uint32 (&packer, MIN (report->loads->len, LOADS_MAX));
  for (guint i = 0; i < MIN (report->loads->len, LOADS_MAX); i++)
    {
      const key_load_t *load = &g_array_index (report->loads, key_load_t, i);
      msgpack_pack_uint32 (&packer, load->bucket);
      msgpack_pack_uint32 (&packer, load->count);
    }
  msgpack_pack_uint64 (&packer, (uint64_t)report->rates_at);
  pack_rates (&packer, report->rates);
  pack_leaving (&packer, report->leaving);
  pack_service_times (&packer, report->service_times);
  return bytes;
}

GByteArray *
link_encode_shares (const link_shares_t *shares)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_SHARES);
  guint n = MIN (shares->shares->len, RATES_MAX);

  msgpack_pack_uint32 (&packer, n);
  for (guint i = 0; i < n; i++)
    {
      const rate_share_t *share = &g_array_index (shares->shares, rate_share_t, i);
      pack_name (&packer, &share->target);
      pack_thousandths (&packer, share->limit, LIMIT_MAX);
      msgpack_pack_uint64 (&packer, (uint64_t)CLAMP (share->age, 0, AGE_MAX));
      pack_thousandths (&packer, share->share, 1);
    }
  return bytes;
}

static void
pack_table (msgpack_packer *packer, const key_table_t *table)
{
  pack_name (packer, &table->service);
  msgpack_pack_uint64 (packer, table->version);
  msgpack_pack_uint32 (packer, table->ranges->len);
  for (guint i = 0; i < table->ranges->len; i++)
    {
      const key_range_t *range = &g_array_index (table->ranges, key_range_t, i);
      msgpack_pack_uint32 (packer, range->first);
      msgpack_pack_uint32 (packer, range->last);
      msgpack_pack_uint64 (packer, range->fence);
      pack_name (packer, &range->target);
      pack_name (packer, &range->address);
      msgpack_pack_uint64 (packer, range->target_started_at);
    }
}

GByteArray *
link_encode_samples (const link_samples_t *samples)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_SAMPLES);
  guint n = MIN (samples->samples->len, PACES_MAX);

  msgpack_pack_uint32 (&packer, n);
  for (guint i = 0; i < n; i++)
    {
      const pace_sample_t *sample = &g_array_index (samples->samples, pace_sample_t, i);
      pack_name (&packer, &sample->target);
      pack_name (&packer, &sample->service);
      msgpack_pack_uint32 (&packer, sample->light_ms);
      msgpack_pack_uint32 (&packer, sample->light);
      msgpack_pack_uint32 (&packer, sample->busy_ms);
      msgpack_pack_uint32 (&packer, sample->busy);
      msgpack_pack_uint32 (&packer, sample->load);
      msgpack_pack_uint32 (&packer, sample->wanted);
    }
  return bytes;
}

GByteArray *
link_encode_paces (const link_paces_t *paces)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_PACES);
  guint n = MIN (paces->paces->len, PACES_MAX);

  msgpack_pack_uint32 (&packer, n);
  for (guint i = 0; i < n; i++)
    {
      const pace_t *pace = &g_array_index (paces->paces, pace_t, i);
      pack_name (&packer, &pace->target);
      msgpack_pack_uint32 (&packer, MIN (pace->work_ms, PACE_WORK_MAX_MS));
      msgpack_pack_uint32 (&packer, pace->strain_permille);
      msgpack_pack_uint32 (&packer, pace->load_permille);
      msgpack_pack_uint32 (&packer, pace->wanted_permille);
    }
  return bytes;
}

static void
pack_freshness (msgpack_packer *packer, const link_freshness_t *table)
{
  msgpack_pack_uint64 (packer, table->newest_change);
  msgpack_pack_uint64 (packer, (uint64_t)table->age_ms);
}

GByteArray *
link_encode_update (const link_update_t *update)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_UPDATE);

  pack_name (&packer, &update->host);
  pack_name (&packer, &update->address);
  msgpack_pack_uint64 (&packer, update->incarnation);
  msgpack_pack_uint64 (&packer, (uint64_t)MAX (update->role_left_ms, 0));
  msgpack_pack_uint32 (&packer, update->n_hosts);
  msgpack_pack_uint64 (&packer, (uint64_t)update->report_sent_at);
  msgpack_pack_uint64 (&packer, (uint64_t)update->rates_at);
  pack_grants (&packer, update->grants);
  pack_freshness (&packer, &update->configuration);
  pack_freshness (&packer, &update->targets);
  msgpack_pack_uint8 (&packer, update->has_table);
  if (update->has_table)
    {
      msgpack_pack_uint64 (&packer, update->table_base_version);
      pack_table (&packer, &update->table);
    }
  return bytes;
}

static void
pack_text (msgpack_packer *packer, text_t text)
{
  msgpack_pack_str (packer, text.len);
  msgpack_pack_str_body (packer, text.at, text.len);
}

GByteArray *
link_encode_rows (const link_rows_t *rows)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_ROWS);

  msgpack_pack_uint32 (&packer, rows->table);
  msgpack_pack_uint64 (&packer, rows->from_version);
  msgpack_pack_uint64 (&packer, rows->to_version);
  msgpack_pack_uint32 (&packer, rows->rows->len);
  for (guint i = 0; i < rows->rows->len; i++)
    {
      const link_row_t *row = &g_array_index (rows->rows, link_row_t, i);
      pack_text (&packer, row->key);
      pack_text (&packer, row->value);
      msgpack_pack_uint64 (&packer, row->version);
      msgpack_pack_uint8 (&packer, row->removed);
      msgpack_pack_uint8 (&packer, row->packed);
      msgpack_pack_uint64 (&packer, row->base_version);
    }
  return bytes;
}

GByteArray *
link_encode_suspect (const link_suspect_t *suspect)
{
  msgpack_packer packer;
  GByteArray *bytes = start_body (&packer, LINK_SUSPECT);

  msgpack_pack_uint64 (&packer, suspect->fingerprint);
  msgpack_pack_uint64 (&packer, suspect->target);
  msgpack_pack_uint8 (&packer, suspect->cleared);
  return bytes;
}

GByteArray *
link_encode_message (text_t body, const name_t *forward_to, guint n)
{
  msgpack_packer packer;
  GByteArray *bytes = g_byte_array_new ();

  msgpack_packer_init (&packer, bytes, append_bytes);
  msgpack_pack_uint8 (&packer, LINK_CODEC_VERSION);
  msgpack_pack_uint32 (&packer, n);
  for (guint i = 0; i < n; i++)
    pack_name (&packer, &forward_to[i]);
  g_byte_array_append (bytes, (const guint8 *)body.at, (guint)body.len);
  return bytes;
}

/* Reads the values in order; OK becomes false at the first invalid one. */
typedef struct
{
  text_t bytes;
  size_t at;
  msgpack_unpacked value;
  bool ok;
} reader_t;

static bool
is_scalar (uint8_t lead)
{
  return lead <= LEAD_FIXINT_MAX || (lead >= LEAD_FIXSTR_MIN && lead <= LEAD_FIXSTR_MAX)
         || (lead >= LEAD_UINT_MIN && lead <= LEAD_UINT_MAX)
         || (lead >= LEAD_STR_MIN && lead <= LEAD_STR_MAX);
}

static const msgpack_object *
read_value (reader_t *self)
{
  static const msgpack_object none = { .type = MSGPACK_OBJECT_NIL };

  self->ok
      = self->ok && self->at < self->bytes.len
        && is_scalar ((uint8_t)self->bytes.at[self->at])
        && msgpack_unpack_next (&self->value, self->bytes.at, self->bytes.len, &self->at)
               == MSGPACK_UNPACK_SUCCESS;
  return self->ok ? &self->value.data : &none;
}

static uint64_t
read_uint (reader_t *self, uint64_t max)
{
  const msgpack_object *value = read_value (self);

  self->ok = self->ok && value->type == MSGPACK_OBJECT_POSITIVE_INTEGER
             && value->via.u64 <= max;
  return self->ok ? value->via.u64 : 0;
}

static void
read_name (reader_t *self, name_t *name)
{
  const msgpack_object *value = read_value (self);

  self->ok = self->ok && value->type == MSGPACK_OBJECT_STR
             && name_set (name, (text_t){ value->via.str.ptr, value->via.str.size });
}

static double
read_thousandths (reader_t *self, double max)
{
  return (double)read_uint (self, (uint64_t)(max * THOUSANDTHS)) / THOUSANDTHS;
}

static void
read_rates (reader_t *self, link_report_t *report)
{
  report->rates = g_array_new (FALSE, FALSE, sizeof (rate_report_t));
  for (uint64_t n = read_uint (self, RATES_MAX); n > 0 && self->ok; n--)
    {
      rate_report_t rate = { 0 };
      read_name (self, &rate.target);
      rate.stated = read_uint (self, 1) == 1;
      rate.limited = read_uint (self, 1) == 1;
      rate.limit = read_thousandths (self, LIMIT_MAX);
      rate.age = (msec_t)read_uint (self, AGE_MAX);
      rate.wanted = read_thousandths (self, LIMIT_MAX);
      rate.wanted_lately = read_thousandths (self, LIMIT_MAX);
      rate.held = (uint32_t)read_uint (self, RIGHTS_MAX);
      rate.returned = (uint32_t)read_uint (self, RIGHTS_MAX);
      rate.waiting = (uint32_t)read_uint (self, RIGHTS_MAX);
      rate.accepted = (msec_t)read_uint (self, INT64_MAX);
      g_array_append_val (report->rates, rate);
    }
}

static void
read_grants (reader_t *self, link_update_t *update)
{
  update->grants = g_array_new (FALSE, FALSE, sizeof (rate_grant_t));
  for (uint64_t n = read_uint (self, RATES_MAX); n > 0 && self->ok; n--)
    {
      rate_grant_t grant = { 0 };
      read_name (self, &grant.target);
      grant.rights = (uint32_t)read_uint (self, RIGHTS_MAX);
      g_array_append_val (update->grants, grant);
    }
}

static void
read_leaving (reader_t *self, link_report_t *report)
{
  report->leaving = g_array_new (FALSE, FALSE, sizeof (target_incarnation_t));
  for (uint64_t n = read_uint (self, LEAVING_MAX); n > 0 && self->ok; n--)
    {
      target_incarnation_t target = { 0 };
      read_name (self, &target.id);
      target.started_at = read_uint (self, UINT64_MAX);
      g_array_append_val (report->leaving, target);
    }
}

static void
read_service_times (reader_t *self, link_report_t *report)
{
  report->service_times = g_array_new (FALSE, FALSE, sizeof (target_service_time_t));
  for (uint64_t n = read_uint (self, SERVICE_TIMES_MAX); n > 0 && self->ok; n--)
    {
      target_service_time_t time = { 0 };
      read_name (self, &time.target);
      time.service_time_ms = (uint32_t)read_uint (self, SERVICE_TIME_MAX_MS);
      time.samples = (uint32_t)read_uint (self, UINT32_MAX);
      g_array_append_val (report->service_times, time);
    }
}

static void
read_shares (reader_t *self, link_shares_t *shares)
{
  shares->shares = g_array_new (FALSE, FALSE, sizeof (rate_share_t));
  for (uint64_t n = read_uint (self, RATES_MAX); n > 0 && self->ok; n--)
    {
      rate_share_t share = { 0 };
      read_name (self, &share.target);
      share.limit = read_thousandths (self, LIMIT_MAX);
      share.age = (msec_t)read_uint (self, AGE_MAX);
      share.share = read_thousandths (self, 1);
      g_array_append_val (shares->shares, share);
    }
}

static void
read_samples (reader_t *self, link_samples_t *samples)
{
  samples->samples = g_array_new (FALSE, FALSE, sizeof (pace_sample_t));
  for (uint64_t n = read_uint (self, PACES_MAX); n > 0 && self->ok; n--)
    {
      pace_sample_t sample = { 0 };
      read_name (self, &sample.target);
      read_name (self, &sample.service);
      sample.light_ms = (uint32_t)read_uint (self, UINT32_MAX);
      sample.light = (uint32_t)read_uint (self, UINT32_MAX);
      sample.busy_ms = (uint32_t)read_uint (self, UINT32_MAX);
      sample.busy = (uint32_t)read_uint (self, UINT32_MAX);
      sample.load = (uint32_t)read_uint (self, UINT32_MAX);
      sample.wanted = (uint32_t)read_uint (self, UINT32_MAX);
      g_array_append_val (samples->samples, sample);
    }
}

static void
read_paces (reader_t *self, link_paces_t *paces)
{
  paces->paces = g_array_new (FALSE, FALSE, sizeof (pace_t));
  for (uint64_t n = read_uint (self, PACES_MAX); n > 0 && self->ok; n--)
    {
      pace_t pace = { 0 };
      read_name (self, &pace.target);
      pace.work_ms = (uint32_t)read_uint (self, PACE_WORK_MAX_MS);
      pace.strain_permille = (uint32_t)read_uint (self, PACE_STRAIN_MAX * 1000);
      pace.load_permille = (uint32_t)read_uint (self, UINT32_MAX);
      pace.wanted_permille = (uint32_t)read_uint (self, UINT32_MAX);
      self->ok = self->ok && pace.work_ms > 0 && pace.strain_permille >= 1000;
      g_array_append_val (paces->paces, pace);
    }
}

static void
read_report (reader_t *self, link_report_t *report)
{
  read_name (self, &report->host);
  read_name (self, &report->address);
  report->incarnation = read_uint (self, UINT64_MAX);
  report->sent_at = (msec_t)read_uint (self, INT64_MAX);
  report->link_mbps = (uint32_t)read_uint (self, UINT32_MAX);
  read_name (self, &report->service);
  report->table_version = read_uint (self, UINT64_MAX);
  report->configuration_row_version = read_uint (self, UINT64_MAX);
  report->targets_version = read_uint (self, UINT64_MAX);
  report->requests_table = read_uint (self, 1) == 1;
  report->requests_configuration = read_uint (self, 1) == 1;
  report->loads = g_array_new (FALSE, FALSE, sizeof (key_load_t));
  for (uint64_t n = read_uint (self, LOADS_MAX); n > 0 && self->ok; n--)
    {
      key_load_t load = { 0 };
      load.bucket = (uint16_t)read_uint (self, KEY_BUCKETS - 1);
      load.count = (uint32_t)read_uint (self, UINT32_MAX);
      g_array_append_val (report->loads, load);
    }
  report->rates_at = (msec_t)read_uint (self, INT64_MAX);
  read_rates (self, report);
  read_leaving (self, report);
  read_service_times (self, report);
}

static void
read_table (reader_t *self, key_table_t *table)
{
  name_t service = { 0 };

  read_name (self, &service);
  key_table_init (table, name_text (&service));
  table->version = read_uint (self, UINT64_MAX);
  for (uint64_t n = read_uint (self, RANGES_MAX); n > 0 && self->ok; n--)
    {
      key_range_t range = { 0 };
      range.first = (uint32_t)read_uint (self, KEY_LAST);
      range.last = (uint32_t)read_uint (self, KEY_LAST);
      range.fence = read_uint (self, UINT64_MAX);
      read_name (self, &range.target);
      read_name (self, &range.address);
      range.target_started_at = read_uint (self, UINT64_MAX);
      g_array_append_val (table->ranges, range);
    }
}

static link_freshness_t
read_freshness (reader_t *self)
{
  uint64_t newest_change = read_uint (self, UINT64_MAX);

  return (link_freshness_t){ newest_change, (msec_t)read_uint (self, LINK_AGE_UNKNOWN) };
}

static void
read_update (reader_t *self, link_update_t *update)
{
  read_name (self, &update->host);
  read_name (self, &update->address);
  update->incarnation = read_uint (self, UINT64_MAX);
  update->role_left_ms = (msec_t)read_uint (self, 1000 * 1000);
  update->n_hosts = (uint32_t)read_uint (self, UINT32_MAX);
  update->report_sent_at = (msec_t)read_uint (self, INT64_MAX);
  update->rates_at = (msec_t)read_uint (self, INT64_MAX);
  read_grants (self, update);
  update->configuration = read_freshness (self);
  update->targets = read_freshness (self);
  update->has_table = read_uint (self, 1) == 1;
  if (update->has_table)
    {
      update->table_base_version = read_uint (self, UINT64_MAX);
      read_table (self, &update->table);
    }
}

static text_t
read_text (reader_t *self)
{
  const msgpack_object *value = read_value (self);

  self->ok = self->ok && value->type == MSGPACK_OBJECT_STR;
  return self->ok ? (text_t){ value->via.str.ptr, value->via.str.size } : TEXT_NONE;
}

static void
read_rows (reader_t *self, link_rows_t *rows)
{
  rows->table = (uint32_t)read_uint (self, UINT8_MAX);
  rows->from_version = read_uint (self, UINT64_MAX);
  rows->to_version = read_uint (self, UINT64_MAX);
  rows->rows = g_array_new (FALSE, FALSE, sizeof (link_row_t));
  for (uint64_t n = read_uint (self, ROWS_MAX); n > 0 && self->ok; n--)
    {
      link_row_t row = { 0 };
      row.key = read_text (self);
      row.value = read_text (self);
      row.version = read_uint (self, UINT64_MAX);
      row.removed = read_uint (self, 1) == 1;
      row.packed = read_uint (self, 1) == 1;
      row.base_version = read_uint (self, UINT64_MAX);
      g_array_append_val (rows->rows, row);
    }
}

static void
read_suspect (reader_t *self, link_suspect_t *suspect)
{
  suspect->fingerprint = read_uint (self, UINT64_MAX);
  suspect->target = read_uint (self, UINT64_MAX);
  suspect->cleared = read_uint (self, 1) == 1;
}

static void
read_envelope (reader_t *self, link_msg_t *msg)
{
  self->ok = read_uint (self, UINT8_MAX) == LINK_CODEC_VERSION && self->ok;
  msg->forward_to = g_array_new (FALSE, FALSE, sizeof (name_t));
  for (uint64_t n = read_uint (self, FORWARD_MAX); n > 0 && self->ok; n--)
    {
      name_t address = { 0 };
      read_name (self, &address);
      g_array_append_val (msg->forward_to, address);
    }
  if (self->ok)
    msg->body = (text_t){ self->bytes.at + self->at, self->bytes.len - self->at };
}

status_t
link_decode (link_msg_t *msg, text_t bytes, fault_t *fault)
{
  reader_t reader = { .bytes = bytes, .ok = true };

  *msg = (link_msg_t){ 0 };
  msgpack_unpacked_init (&reader.value);
  read_envelope (&reader, msg);
  msg->kind = (link_kind_t)read_uint (&reader, LINK_PACES);
  if (msg->kind == LINK_REPORT)
    read_report (&reader, &msg->report);
  else if (msg->kind == LINK_UPDATE)
    read_update (&reader, &msg->update);
  else if (msg->kind == LINK_ROWS)
    read_rows (&reader, &msg->rows);
  else if (msg->kind == LINK_SUSPECT)
    read_suspect (&reader, &msg->suspect);
  else if (msg->kind == LINK_SHARES)
    read_shares (&reader, &msg->shares);
  else if (msg->kind == LINK_SAMPLES)
    read_samples (&reader, &msg->samples);
  else
    read_paces (&reader, &msg->paces);
  msgpack_unpacked_destroy (&reader.value);
  if (reader.ok && reader.at == bytes.len)
    return STATUS_OK;
  link_msg_finish (msg);
  return fault_raise (fault,
                      STATUS_DECODE,
                      "malformed link message of %zu bytes",
                      bytes.len);
}

void
link_msg_finish (link_msg_t *self)
{
  if (self->forward_to != NULL)
    g_array_unref (self->forward_to);
  if (self->report.loads != NULL)
    g_array_unref (self->report.loads);
  if (self->report.rates != NULL)
    g_array_unref (self->report.rates);
  if (self->report.leaving != NULL)
    g_array_unref (self->report.leaving);
  if (self->report.service_times != NULL)
    g_array_unref (self->report.service_times);
  if (self->shares.shares != NULL)
    g_array_unref (self->shares.shares);
  if (self->samples.samples != NULL)
    g_array_unref (self->samples.samples);
  if (self->paces.paces != NULL)
    g_array_unref (self->paces.paces);
  if (self->rows.rows != NULL)
    g_array_unref (self->rows.rows);
  if (self->update.grants != NULL)
    g_array_unref (self->update.grants);
  if (self->update.table.ranges != NULL)
    key_table_finish (&self->update.table);
  *self = (link_msg_t){ 0 };
}
