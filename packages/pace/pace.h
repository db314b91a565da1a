#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * PACE: how long the targets of a service work on a request, as measured by all hosts.
 *
 * Load: fleets in which one host meets a target every few seconds, while targets of one
 * service differ in speed, slow down before they are full, and change.  Hosts report what
 * they measured; the granter combines it into one estimate per target and sends the list
 * to all hosts.
 *
 * An estimate has the work time with few requests at the target, how much longer a
 * request takes when the target is nearly full, the mean number of requests there, and
 * how many requests a second all hosts have for the keys that it owns. Without samples it
 * drifts towards the mean of its service, so that a target that was slow is tried again.
 *
 * Decision logic without I/O.  Times are in ms on one clock.
 */

/* What one host measured at one target since its last report. */
typedef struct
{
  name_t target;
  name_t service;
  uint32_t light_ms; /* sum of the work times of requests that found few others there */
  uint32_t light;    /* their number */
  uint32_t busy_ms;  /* the same for more than half of its slots */
  uint32_t busy;
  uint32_t load; /* sum of the requests at the target, itself included, as it reported */
  uint32_t wanted; /* requests for keys that it owns, whether they were sent or not */
} pace_sample_t;

/* The estimate for one target. */
typedef struct
{
  name_t target;
  uint32_t work_ms;
  uint32_t strain_permille; /* work time when nearly full, per 1000 of WORK_MS; >= 1000 */
  uint32_t load_permille;   /* mean number of requests there */
  uint32_t wanted_permille; /* requests a second for keys that it owns, by all hosts */
} pace_t;

/* Adds the work time of one request to SAMPLE: LOAD requests were at the target, itself
 * included, which has SLOTS. */
void pace_sample_add (pace_sample_t *sample, msec_t work, uint32_t load, uint32_t slots);

bool pace_sample_is_empty (const pace_sample_t *sample);

/* The granter's estimates. */
typedef struct
{
  GHashTable *targets;  /* id to the state of one target */
  GHashTable *services; /* name to the mean work time of its targets */
  msec_t planned_at, next_plan;
  uint32_t plans; /* since the last complete list */
} pace_fleet_t;

void pace_fleet_init (pace_fleet_t *self);
void pace_fleet_finish (pace_fleet_t *self);

/* Forgets everything; the host is no longer the granter. */
void pace_fleet_clear (pace_fleet_t *self);

/* SAMPLES (pace_sample_t) of one host arrived. */
void pace_fleet_report (pace_fleet_t *self, const GArray *samples, msec_t now);

/*
 * Each PACE_PLAN_MS, appends to OUT (pace_t) the estimates that changed since they were
 * last listed, and each PACE_COMPLETE_PLANS times all.  Returns whether there are any.
 */
bool pace_fleet_plan (pace_fleet_t *self, msec_t now, GArray *out);

/* The work time of a request that finds LOAD thousandths of requests at a target with
 * SLOTS, itself included. */
msec_t pace_work_ms (const pace_t *self, msec_t load, uint32_t slots);
