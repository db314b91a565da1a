#pragma once

#include "../config/config.h"
#include "../platform/platform.h"

/*
 * CLI_STORE: a synchronous client of the platform and of the hosts' admin ports, for the
 * CLI.  It runs one call at a time in an event loop of its own.
 */

typedef struct
{
  struct event_base *base;
  msclock_t clock;
  metrics_t metrics;
  platform_t platform;
  status_t status;
  json_t *body; /* of the last call, or NULL */
} cli_store_t;

typedef struct
{
  uint64_t version; /* 0: no configuration accepted yet */
  char *text;       /* the configuration, NULL if there is none */
  json_t *head;     /* the row config/head, with its version, seal (the checksum of text),
                       author, reason and time; NULL if there is none */
} cli_store_config_t;

void cli_store_init (cli_store_t *self, text_t address, uint16_t port);
void cli_store_finish (cli_store_t *self);

/* Reads the accepted configuration.  STATUS_UNAVAILABLE if the platform can't be read,
 * STATUS_CONFIG if the checksum doesn't match; CONFIG is filled then too. */
status_t
cli_store_read_config (cli_store_t *self, cli_store_config_t *config, fault_t *fault);
void cli_store_config_clear (cli_store_config_t *config);

/*
 * Accepts TEXT as the version after BASE, if BASE is still the accepted version.
 * If the platform's answer is lost, reads the outcome back.  STATUS_CONFLICT if
 * another version was accepted first, STATUS_UNKNOWN if the outcome couldn't be
 * determined, STATUS_UNAVAILABLE if nothing was written.
 */
status_t cli_store_accept (cli_store_t *self,
                           const cli_store_config_t *base,
                           text_t text,
                           const char *author,
                           const char *reason,
                           fault_t *fault);

/* Reads the history rows, oldest first, as a JSON object by row name.  ROWS is owned by
 * SELF and valid until its next call. */
status_t cli_store_read_history (cli_store_t *self, const json_t **rows, fault_t *fault);

/* GETs PATH from a host's admin port.  STATUS_UNAVAILABLE unless the answer is a 200 with
 * JSON.  The caller owns BODY. */
status_t cli_store_get_json (cli_store_t *self,
                             text_t address,
                             uint16_t port,
                             const char *path,
                             json_t **body,
                             fault_t *fault);
