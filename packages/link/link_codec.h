#pragma once

#include "../core/fault.h"
#include "../directory/directory.h"

/*
 * LINK_CODEC: what hosts tell one another, in MessagePack.
 *
 * A host reports to the granter; the granter answers with its news, and sends
 * them unasked when a table of owners changes.  What goes to many hosts is sent
 * to some of them, with the addresses of those that they pass it on to.
 *
 * A message is an envelope, which holds these addresses, and a body.
 */

typedef struct
{
  name_t host;
  name_t address; /* of its link */
  uint64_t life;
  name_t service; /* a keyed one */
  uint64_t table_version;
  uint64_t configuration_row; /* version of the newest row that it knows */
  bool asks_table;            /* it missed changes of the table of owners */
  bool asks_configuration;    /* the store doesn't answer it */
  GArray *loads;              /* key_load_t */
} link_report_t;

typedef struct
{
  name_t host; /* the granter */
  name_t address;
  uint64_t life;
  msec_t role_left;                        /* its role lasts at least so much longer */
  uint32_t hosts;                          /* that it hears of, itself included */
  uint64_t configuration_row, targets_row; /* versions of the newest rows that it knows */
  bool has_table;
  uint64_t table_before; /* TABLE is what changed since that version; 0: it is whole */
  key_table_t table;
} link_news_t;

/* One row of a table of the store, as a feed told it.  The texts aren't owned. */
typedef struct
{
  text_t key;
  text_t value;
  uint64_t version;
  bool removed;
} link_row_t;

/* Rows that the granter's feed of TABLE told after the row of version BEFORE: all changes
 * up to the store's version AFTER.  Without rows: the host has to ask the store. */
typedef struct
{
  uint32_t table;
  uint64_t before, after;
  GArray *rows; /* link_row_t; read ones point into the message's bytes */
} link_rows_t;

/* A request that was in flight at a target's end, or that a target answered. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t target;
  bool cleared;
} link_suspect_t;

typedef enum
{
  LINK_REPORT,
  LINK_NEWS,
  LINK_ROWS,
  LINK_SUSPECT,
} link_kind_t;

typedef struct
{
  GArray *pass_on; /* name_t: hosts that the body is to be passed on to */
  text_t body;     /* points into the message's bytes */
  link_kind_t kind;
  link_report_t report;
  link_news_t news;
  link_rows_t rows;
  link_suspect_t suspect;
} link_msg_t;

/* All make a body, to be freed by the caller. */
GByteArray *link_write_report (const link_report_t *report);
GByteArray *link_write_news (const link_news_t *news);
GByteArray *link_write_rows (const link_rows_t *rows);
GByteArray *link_write_suspect (const link_suspect_t *suspect);

/* A message with BODY, to be passed on to the hosts at the N addresses PASS_ON. */
GByteArray *link_write_message (text_t body, const name_t *pass_on, guint n);

/* On STATUS_OK the message is to be freed by link_msg_finish. */
status_t link_read (link_msg_t *msg, text_t bytes, fault_t *fault);
void link_msg_finish (link_msg_t *self);
