#pragma once

#include "../core/fault.h"
#include "../directory/directory.h"
#include "../pace/pace.h"
#include "../rate/rate.h"

/*
 * LINK_CODEC: encoding of the messages between coordinators, in MessagePack.
 *
 * Every host sends reports to the granter.  The granter replies with an update, and also
 * sends one when a key table changes.  A message to many hosts is sent to some of them,
 * with the addresses of the hosts that each of these has to forward it to.
 *
 * A message consists of an envelope, which holds these addresses, and a body.
 */

typedef struct
{
  name_t host;
  name_t address; /* address:port of its link */
  uint64_t incarnation;
  msec_t sent_at;     /* on the sender's clock, > 0; the reply returns it */
  uint32_t link_mbps; /* capacity of its network link */
  name_t service;     /* a keyed service */
  uint64_t table_version;
  uint64_t configuration_row_version; /* version of the newest row that the host has */
  uint64_t targets_version; /* the host has all changes of targets up to this version */
  bool requests_table;      /* it missed changes of the key table, and needs all of it */
  bool requests_configuration; /* it gets no response from the store, and needs the row */
  GArray *loads;               /* key_load_t */
  GArray *rates;               /* rate_report_t */
  msec_t rates_at; /* when RATES was made, on a clock of the host; the reply returns it */
  GArray *leaving; /* target_incarnation_t: targets that stated that they leave */
  GArray *service_times; /* target_service_time_t since the last report; NULL: none */
} link_report_t;

/* The granter's list of all targets whose rate is limited. */
typedef struct
{
  GArray *shares; /* rate_share_t */
} link_shares_t;

/* What a host measured at targets, for the granter. */
typedef struct
{
  GArray *samples; /* pace_sample_t */
} link_samples_t;

/* The granter's list of targets whose pace has changed, or of all. */
typedef struct
{
  GArray *paces; /* pace_t */
} link_paces_t;

/* What the granter knows of a store table. */
typedef struct
{
  uint64_t newest_change; /* version of the newest change that it has */
  msec_t age_ms; /* since that was known to be the newest; LINK_AGE_UNKNOWN at most */
} link_freshness_t;

#define LINK_AGE_UNKNOWN (1000 * 1000)

typedef struct
{
  name_t host; /* the granter */
  name_t address;
  uint64_t incarnation;
  msec_t role_left_ms;   /* ms for which its role lasts at least; 0: it has ended */
  uint32_t n_hosts;      /* number of hosts that report, itself included */
  msec_t report_sent_at; /* of the report that this replies to; 0: not a reply */
  msec_t rates_at;       /* of that report; its rates get GRANTS */
  GArray *grants;        /* rate_grant_t; NULL when encoded: none */
  link_freshness_t configuration, targets;
  bool has_table;
  uint64_t table_base_version; /* TABLE has the changes since this version; 0: complete */
  key_table_t table;
} link_update_t;

/* One row from a feed of a store table.  The texts are not owned. */
typedef struct
{
  text_t key;
  text_t value;
  uint64_t version;
  bool removed;
  bool packed;           /* VALUE is packed, see link_pack.h */
  uint64_t base_version; /* a patch of the row's value at this version; 0: by itself */
} link_row_t;

/* All rows of a store table that changed in a range of versions, from the granter's feed.
 * Without rows, the receiver has to read the store. */
typedef struct
{
  uint32_t table;
  /* Later than the first version, up to the second. */
  uint64_t from_version, to_version;
  GArray *rows; /* link_row_t; when decoded, they point into the message */
} link_rows_t;

/* Reports that a request was in flight when a target was lost, or clears that report. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t target;
  bool cleared; /* a target answered the request */
} link_suspect_t;

typedef enum
{
  LINK_REPORT,
  LINK_UPDATE,
  LINK_ROWS,
  LINK_SUSPECT,
  LINK_SHARES,
  LINK_SAMPLES,
  LINK_PACES,
} link_kind_t;

typedef struct
{
  GArray *forward_to; /* name_t: addresses of the hosts to forward BODY to */
  text_t body;        /* points into the message */
  link_kind_t kind;
  link_report_t report;
  link_update_t update;
  link_rows_t rows;
  link_suspect_t suspect;
  link_shares_t shares;
  link_samples_t samples;
  link_paces_t paces;
} link_msg_t;

/* These return a body, which the caller frees. */
GByteArray *link_encode_report (const link_report_t *report);
GByteArray *link_encode_update (const link_update_t *update);
GByteArray *link_encode_rows (const link_rows_t *rows);
GByteArray *link_encode_suspect (const link_suspect_t *suspect);
GByteArray *link_encode_shares (const link_shares_t *shares);
GByteArray *link_encode_samples (const link_samples_t *samples);
GByteArray *link_encode_paces (const link_paces_t *paces);

/* Returns a message with BODY, for its receiver to forward to N addresses. */
GByteArray *link_encode_message (text_t body, const name_t *forward_to, guint n);

/* Returns STATUS_OK, or STATUS_DECODE if the bytes are not exactly one valid message.
 * After STATUS_OK, MSG has to be released by link_msg_finish. */
status_t link_decode (link_msg_t *msg, text_t bytes, fault_t *fault);
void link_msg_finish (link_msg_t *self);
