#include "control_parts.h"

#include "../core/json.h"
#include "../config/config_json.h"
#include "../core/log.h"
#include "../table/table_rows.h"

#include <string.h>

#define ROW_HOLDER "place/holder"
#define ROW_BEAT "place/beat"
#define ROW_CONFIG_HEAD "config/head"
#define ROW_CONFIG "config/current"

static json_t *
holder_value (const control_t *self, uint64_t epoch)
{
  return json_pack ("{s:o,s:I,s:I}",
                    "host",
                    json_stringn (self->host.name.at, self->host.name.len),
                    "incarnation",
                    (json_int_t)self->host.incarnation,
                    "epoch",
                    (json_int_t)epoch);
}

static const json_t *
answer_row (const platform_answer_t *answer, const char *row)
{
  return json_object_get (json_object_get (answer->body, "rows"), row);
}

/* Configuration. */

static void
on_config (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  const json_t *head, *text;
  config_t config;
  fault_t fault;

  self->fetching_config = false;
  if (answer->status != STATUS_OK)
    return;
  head = answer_row (answer, ROW_CONFIG_HEAD);
  text = answer_row (answer, ROW_CONFIG);
  text_t bytes = { json_string_value (text), json_string_length (text) };
  if (!config_checksum_matches (bytes,
                                json_string_value (json_object_get (head, "seal"))))
    {
      metrics_add (&self->metrics, COUNT_STORE_REJECTED, 1);
      log_error ("config",
                 "Rejected a configuration: the checksum in " ROW_CONFIG_HEAD
                 " does not match.");
      return;
    }
  if (config_from_json (&config, bytes, &fault) != STATUS_OK)
    {
      metrics_add (&self->metrics, COUNT_STORE_REJECTED, 1);
      log_error ("config",
                 "Rejected an invalid configuration: %.*s.",
                 TEXT_ARG (fault_text (&fault)));
      return;
    }
  config.version = json_number (head, "version");
  control_apply_config (self, &config);
}

static void
fetch_config (control_t *self)
{
  if (self->fetching_config)
    return;
  self->fetching_config = true;
  platform_read (&self->platform,
                 json_pack ("[s,s]", ROW_CONFIG_HEAD, ROW_CONFIG),
                 NULL,
                 on_config,
                 self);
}

/* Periodic poll of the head rows. */

static void
handle_holder_rows (control_t *self, const platform_answer_t *answer)
{
  const json_t *holder = answer_row (answer, ROW_HOLDER);
  const json_t *beat = answer_row (answer, ROW_BEAT);
  const json_t *name = json_object_get (holder, "host");
  place_msg_t msg = { .kind = PLACE_HOLDER_READ,
                      .ok = answer->status == STATUS_OK,
                      .epoch = json_number (holder, "epoch"),
                      .beat = json_number (beat, "beat"),
                      .leaving = json_is_true (json_object_get (beat, "resigned")) };

  name_set (&msg.holder, (text_t){ json_string_value (name), json_string_length (name) });
  if (msg.ok)
    {
      self->holder = msg.holder;
      self->holder_epoch = msg.epoch;
      self->holder_incarnation = json_number (holder, "incarnation");
    }
  control_handle_place (self, &msg);
}

static void
on_poll (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  lease_msg_t read
      = { .kind = LEASE_READ,
          .ok = answer->status == STATUS_OK,
          .started = answer->started,
          .version = json_number (answer_row (answer, ROW_HEAD), "version") };

  handle_holder_rows (self, answer);
  control_handle_lease (self, &read);
  if (read.ok
      && json_number (answer_row (answer, ROW_CONFIG_HEAD), "version")
             > self->config.version)
    fetch_config (self);
}

void
store_poll (control_t *self)
{
  platform_read (&self->platform,
                 json_pack ("[s,s,s,s]", ROW_HOLDER, ROW_BEAT, ROW_HEAD, ROW_CONFIG_HEAD),
                 NULL,
                 on_poll,
                 self);
}

/* Routing table. */

static bool
parse_table (control_t *self, const platform_answer_t *answer, table_t *table)
{
  fault_t fault;

  if (table_from_json (table, json_object_get (answer->body, "rows"), &fault)
      == STATUS_OK)
    return true;
  metrics_add (&self->metrics, COUNT_STORE_REJECTED, 1);
  log_error ("place", "Rejected an invalid table: %.*s.", TEXT_ARG (fault_text (&fault)));
  return false;
}

static void
on_fetch_table (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  table_t *table = g_new (table_t, 1);

  self->fetching_table = false;
  if (answer->status == STATUS_OK && parse_table (self, answer, table))
    control_apply_table (self, table, answer->started);
  g_free (table);
}

void
store_fetch_table (control_t *self)
{
  if (self->fetching_table)
    return;
  self->fetching_table = true;
  platform_read (&self->platform, NULL, "table/", on_fetch_table, self);
}

static void
on_load_table (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  table_t *table = g_new (table_t, 1);
  place_msg_t msg = { .kind = PLACE_LOAD_DONE, .table = table };

  msg.ok = answer->status == STATUS_OK && parse_table (self, answer, table);
  control_handle_place (self, &msg);
  g_free (table);
}

void
store_load_table (control_t *self)
{
  platform_read (&self->platform, NULL, "table/", on_load_table, self);
}

/* The platform's list of hosts and targets. */

static bool
parse_target (const json_t *entry, target_t *target)
{
  const char *state = json_string_value (json_object_get (entry, "state"));

  memset (target, 0, sizeof *target);
  target->port = (uint32_t)json_number (entry, "port");
  target->state = g_strcmp0 (state, "leaving") == 0 ? TARGET_LEAVING : TARGET_LIVE;
  return json_get_name (entry, "name", &target->name)
         && json_get_name (entry, "address", &target->address)
         && json_get_name (entry, "data_centre", &target->data_centre)
         && json_get_name (entry, "service", &target->service) && target->port > 0
         && target->port <= 65535;
}

static void
record_entry_host (control_t *self, const json_t *entry)
{
  host_t host = { .peer_port = (uint32_t)json_number (entry, "port") };

  if (json_get_name (entry, "name", &host.name)
      && json_get_name (entry, "address", &host.address)
      && json_get_name (entry, "data_centre", &host.data_centre)
      && control_find_host (self, &host.name) == NULL)
    control_record_host (self, &host);
}

static void
on_list_hosts (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  const json_t *list = json_object_get (answer->body, "hosts");
  target_t *targets = g_new0 (target_t, TARGET_MAX);
  place_msg_t msg = { .kind = PLACE_TARGET_LIST, .targets = targets };
  size_t i;
  json_t *entry;

  self->listing_hosts = false;
  json_array_foreach (list, i, entry)
    {
      const char *role = json_string_value (json_object_get (entry, "role"));
      if (g_strcmp0 (role, "entry") == 0)
        record_entry_host (self, entry);
      else if (msg.n < TARGET_MAX && parse_target (entry, &targets[msg.n]))
        msg.n++;
    }
  if (answer->status == STATUS_OK)
    control_handle_place (self, &msg);
  g_free (targets);
}

void
store_list_hosts (control_t *self)
{
  if (self->listing_hosts)
    return;
  self->listing_hosts = true;
  platform_read_hosts (&self->platform, on_list_hosts, self);
}

/* Writes of the placement role. */

static json_t *
last_read_holder (const control_t *self)
{
  if (self->holder_epoch == 0)
    return NULL;
  return json_pack ("{s:o,s:I,s:I}",
                    "host",
                    json_stringn (self->holder.at, self->holder.len),
                    "incarnation",
                    (json_int_t)self->holder_incarnation,
                    "epoch",
                    (json_int_t)self->holder_epoch);
}

static void
report_take_over (control_t *self, bool ok)
{
  place_msg_t msg = { .kind = PLACE_TAKE_OVER_DONE, .ok = ok };

  control_handle_place (self, &msg);
}

/* The outcome of the write is unknown, so the row is read back to learn who holds it. */
static void
on_holder_read_back (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  json_t *own = holder_value (self, self->place.epoch + 1);

  report_take_over (self,
                    answer->status == STATUS_OK
                        && json_equal (own, answer_row (answer, ROW_HOLDER)));
  json_decref (own);
}

static void
on_take_over (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;

  if (answer->status == STATUS_UNKNOWN)
    platform_read (&self->platform,
                   json_pack ("[s]", ROW_HOLDER),
                   NULL,
                   on_holder_read_back,
                   self);
  else
    report_take_over (self, answer->status == STATUS_OK);
}

void
store_take_over (control_t *self, uint64_t epoch)
{
  /* Another host has taken over.  The write would be conditional on that host's row, the
     one last read, and so replace it. */
  if (self->holder_epoch + 1 != epoch)
    {
      report_take_over (self, false);
      return;
    }
  json_t *conditions
      = json_pack ("[o]", platform_condition (ROW_HOLDER, last_read_holder (self)));
  json_t *writes = json_pack ("{s:o,s:{s:i}}",
                              ROW_HOLDER,
                              holder_value (self, epoch),
                              ROW_BEAT,
                              "beat",
                              0);

  platform_transact (&self->platform, conditions, writes, on_take_over, self);
}

/* For writes that need no retry: a beat is soon followed by the next one; resigning and
   the settled version only shorten waits. */
static void
ignore_answer (void *owner, const platform_answer_t *answer)
{
  (void)owner;
  (void)answer;
}

void
store_write_beat (control_t *self, uint64_t epoch, uint64_t beat, bool resign)
{
  json_t *conditions
      = json_pack ("[o]", platform_condition (ROW_HOLDER, holder_value (self, epoch)));
  json_t *writes = json_pack ("{s:{s:I,s:b}}",
                              ROW_BEAT,
                              "beat",
                              (json_int_t)beat,
                              "resigned",
                              resign);

  platform_transact (&self->platform, conditions, writes, ignore_answer, self);
}

void
store_write_settled (control_t *self, uint64_t epoch, uint64_t version)
{
  json_t *conditions
      = json_pack ("[o]", platform_condition (ROW_HOLDER, holder_value (self, epoch)));
  json_t *writes = json_pack ("{s:{s:I}}", ROW_SETTLED, "version", (json_int_t)version);

  platform_transact (&self->platform, conditions, writes, ignore_answer, self);
}

typedef struct
{
  control_t *self;
  table_t table;
} commit_t;

static void
on_commit_table (void *owner, const platform_answer_t *answer)
{
  commit_t *commit = owner;
  control_t *self = commit->self;
  place_msg_t msg = { .kind = PLACE_COMMIT_DONE,
                      .ok = answer->status == STATUS_OK,
                      .conflict = answer->status == STATUS_CONFLICT };

  if (!msg.ok)
    log_warning ("place",
                 "Table version %" G_GUINT64_FORMAT " was not committed: %s.",
                 commit->table.version,
                 status_name (answer->status));
  control_handle_place (self, &msg);
  if (msg.ok)
    {
      log_decision ("place",
                    "Committed table version %" G_GUINT64_FORMAT ".",
                    commit->table.version);
      control_announce_commit (self, commit->table.version);
      /* As fresh as a read: nothing higher was committed before this commit started. */
      control_apply_table (self, &commit->table, answer->started);
    }
  g_free (commit);
}

static bool
block_changed (const table_t *a, const table_t *b, uint32_t keyed, uint32_t block)
{
  const uint32_t first = block * SLOT_BLOCK;

  for (uint32_t s = first; s < first + SLOT_BLOCK; s++)
    if (!slot_equal (&a->slots[keyed][s], &b->slots[keyed][s]))
      return true;
  return a->version == 0;
}

static void
add_changed_blocks (const table_t *previous, const table_t *candidate, json_t *writes)
{
  char row[64];

  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t b = 0; b < SLOT_BLOCKS; b++)
      {
        if (!block_changed (previous, candidate, k, b))
          continue;
        g_snprintf (row, sizeof row, ROW_SLOTS "%u/%u", k, b);
        json_object_set_new (writes, row, table_block_to_json (candidate, k, b));
      }
}

void
store_commit_table (control_t *self, const table_t *candidate)
{
  const table_t *previous = &self->place.table;
  commit_t *commit = g_new (commit_t, 1);
  json_t *head = previous->version == 0 ? NULL : table_head_to_json (previous);
  json_t *conditions = json_pack (
      "[o,o]",
      platform_condition (ROW_HOLDER, holder_value (self, candidate->holder_epoch)),
      platform_condition (ROW_HEAD, head));
  json_t *writes = json_pack ("{s:o,s:o}",
                              ROW_HEAD,
                              table_head_to_json (candidate),
                              ROW_MEMBERS,
                              table_members_to_json (candidate));

  commit->self = self;
  commit->table = *candidate;
  add_changed_blocks (previous, candidate, writes);
  platform_transact (&self->platform, conditions, writes, on_commit_table, commit);
}
