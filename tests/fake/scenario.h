#pragma once

#include "fake.h"

/*
 * SCENARIO: failure scenarios for the simulated fleet, and their outcomes.
 *
 * A scenario starts from a fleet that serves every slot and injects failures.  The
 * program ownership runs the scenarios, prints the outcomes and fails on a breach.
 */

/* Times in ms, counted from the start of the scenario. */
typedef struct
{
  msec_t unserved;  /* until every slot was served again; -1: not before the end */
  msec_t withdrawn; /* until slot 0 was withdrawn from its owner; -1: never */
  msec_t assigned;  /* until slot 0 was assigned to another owner; -1: never */
  msec_t blackout;  /* total time with at least one slot unserved */
  uint64_t owner_breaches;
  uint64_t route_breaches;
  uint64_t moves;
  uint64_t digest;
} outcome_t;

typedef struct
{
  const char *name;
  void (*run) (fake_t *fake);
  msec_t span;       /* ms for which the fleet is observed after `run` */
  bool no_blackout;  /* expected: every slot is served throughout */
  bool served_in_3s; /* expected: every slot is served within 3 s in 99 of 100 runs */
} scenario_t;

extern const scenario_t scenarios[];
extern const size_t n_scenarios;

/* Returns NULL if there is no such scenario. */
const scenario_t *scenario_find (const char *name);

/* Starts a fleet from SETUP and SEED, runs SCENARIO and records its OUTCOME. */
void scenario_run (const scenario_t *scenario,
                   const fake_setup_t *setup,
                   uint64_t seed,
                   outcome_t *outcome);

/* The size of the first users' fleets: 12 hosts and 15 targets in 3 data centres.
 * Messages take 0 to 2 ms, 1 ms on average. */
extern const fake_setup_t scenario_setup_default;
