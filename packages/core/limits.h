#pragma once

/*
 * LIMITS: all limits and time-outs of the program.
 *
 * Times are in milliseconds and end in _MS, sizes are in bytes and end in
 * _BYTES, all others are counts, factors or, with _PERCENT, percentages.
 * Table sizes can be set smaller on the compiler's command line, for tests
 * that run many instances in one process.
 *
 * The sections from the routing leases to DRAIN_MS are for `chicorywood`
 * (packages/control and packages/worker), those from the structured log on for
 * `chicorywood route` (packages/coordinator and packages/proxy).  Both use
 * the limits of the slices that they share: STREAM_*, SUSPECT_*, CONNECT_MS and
 * CONNECTION_IDLE_MS, and the TCP and reconnect times of LINK_*.
 */

/* Names of hosts, services, data centres and targets. */
#ifndef NAME_MAX_BYTES
#define NAME_MAX_BYTES 63
#endif

/* The message of a fault; longer ones are truncated. */
#define FAULT_MAX_BYTES 255

/* Sizes of one deployment. */
#ifndef SERVICE_MAX
#define SERVICE_MAX 16
#endif
#ifndef TARGET_MAX
#define TARGET_MAX 640
#endif
#ifndef HOST_MAX
#define HOST_MAX 640
#endif
#ifndef WITNESS_MAX
#define WITNESS_MAX 7
#endif
#define WORKER_MAX 16
/* Services whose keys have owners. */
#ifndef KEYED_MAX
#define KEYED_MAX 4
#endif

/* Hash slots of a service's keys.  A store row holds SLOT_BLOCK of them. */
#ifndef SLOT_COUNT
#define SLOT_COUNT 1024
#endif
#ifndef SLOT_BLOCK
#define SLOT_BLOCK 256
#endif
#define SLOT_BLOCKS (SLOT_COUNT / SLOT_BLOCK)

/* Routing leases.  A lease runs from the start of the read that confirmed it. */
#define LEASE_MS 700
#define LEASE_POLL_MS 250
#define LEASE_QUERY_MS 200
/* Votes of other hosts can extend a lease for this long after its last read. */
#define LEASE_EXTEND_MAX_MS (20 * 60 * 1000)
/* After a longer gap between two ticks a host revokes its own lease, and does not judge
 * the age of the placement role's heartbeat: the process may have been stopped. */
#define CLOCK_GAP_MS 400

/* Added to every wait for another host's lease, to allow for clock drift. */
#define LEASE_MARGIN_MS 40

/* The placement role. */
#define PLACE_QUERY_MS 100 /* between queries, and the wait for hosts' replies */
/* A host that is silent, or behind the current version, for longer than this is removed
 * from the table. */
#define PLACE_HOST_TIMEOUT_MS 4000
#define PLACE_VERSION_TIMEOUT_MS 1000
#define HELLO_INTERVAL_MS 1000
#define PLACE_BEAT_MS 200
#define PLACE_BEAT_TIMEOUT_MS 700 /* without a new heartbeat, another host takes over */
#define PLACE_BALANCE_MS 1000
#define PLACE_MOVES_PER_ROUND 16
#define PLACE_RETRY_MS 200

/* Grants to targets that check them. */
#define GRANT_MS 700
#define GRANT_RENEW_MS 250
/* Targets of unkeyed services are only probed; workers detect failures themselves. */
#define PROBE_UNKEYED_MS 1000
#define GRANT_RETRY_MS 20
/* Hosts that renew a target's grant in addition to the holder, in case it fails. */
#define GRANT_RENEWERS 2
#define PROBE_TIMEOUT_MS 350
#define PROBE_FAILURES 2

/* Requests. */
#define BODY_MAX_BYTES (1024 * 1024)
#define HEADER_MAX_BYTES (16 * 1024)
#define HEADER_IDLE_MS 10000
#define REQUEST_MAX 4096
#define CONNECT_MS 200
#define CONNECTION_IDLE_MS 4000
#define PROGRESS_MS 2000
/* Reading from a target pauses above the high-water mark of unsent bytes, and resumes
 * below the low-water mark. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES (64 * 1024)
#define STORED_ANSWER_MAX_BYTES 4096

/* Retries. */
#define RETRY_BASE_MS 10
#define RETRY_CAP_MS 500
#define RETRY_BUDGET_PERCENT 10
#define RETRY_BUDGET_MAX 100
#define RETRY_ATTEMPTS_MAX 8 /* together they outlast an overload of some 100 ms */

/* Requests that crash targets. */
#define SUSPECT_MAX 256
#define SUSPECT_KEEP_MS (60 * 1000)
#define SUSPECT_TARGETS_MAX 4
#define REPORTS_MAX 24 /* less than LINK_QUEUE_MAX: repeated at once */
/* Lost targets after which a request is blocked.  The requirements allow three crashes;
 * with fewer, a popular lookup that merely was in flight at the loss of two targets would
 * be refused. */
#define SUSPECT_LOSS_THRESHOLD 3

/* Order claims grouped into one store transaction. */
#define CLAIM_GROUP_MS 4
#define CLAIM_GROUP_MAX 64

/* Calls to the platform. */
#define PLATFORM_TIMEOUT_MS 700

/* Responses to own calls that are not streamed.  A page of the store's rows has 1 MB. */
#define HTTPC_HEAD_MAX_BYTES (64 * 1024)
#define HTTPC_BODY_MAX_BYTES (4 * 1024 * 1024)
/* Times the timeout without progress: the longest that a call may take. */
#define HTTPC_PROGRESS_FACTOR 4

/* Peer messages between hosts. */
#define PEER_MESSAGE_MAX_BYTES 512
#define PEER_QUEUE_MAX 256

/* A shutdown waits this long for requests in flight. */
#define DRAIN_MS 30000

/* The structured log. */
/* About 300 lines: more than one second of a burst. */
#define EVENTLOG_BUFFER_BYTES (64 * 1024)
#define EVENTLOG_LINE_BYTES 768     /* the longest line has about 400; longer are cut */
#define EVENTLOG_ROUTINE_PER_S 20   /* a sample of served requests, at most 5 KB/s */
#define EVENTLOG_FAILURES_PER_S 100 /* at most 25 KB/s */
/* A host changes its state most often, some hundred lines per second, when most requests
 * fail. */
#define EVENTLOG_STATE_RESERVE_BYTES (24 * 1024)
#define EVENTLOG_FLUSH_MS 500 /* the delay for an operator who follows the log */

/* Dispatch of requests to targets. */
/* Estimated service time of a target before its first answer. */
#define DISPATCH_INITIAL_SERVICE_TIME_MS 100
/* A target's load report counts less with its age, and is ignored when older. */
#define DISPATCH_LOAD_REPORT_MAX_AGE_MS 1000
/* Requests queued at a target, in addition to its slots.  The first deployment's targets
 * queue 12. */
#define DISPATCH_TARGET_QUEUE_MAX 12
#define DISPATCH_BACKOFF_MS 100 /* first back-off after a failed connection; doubles */
#define DISPATCH_BACKOFF_MAX_MS 2000 /* a recovered target is tried again within this */
#define DISPATCH_OWNER_RETRY_MS 150  /* a move is committed and broadcast within this */
/* A new owner's grant arrives this long after its table. */
#define DISPATCH_GRANT_DELAY_MS 10
#define DISPATCH_POLL_MS 25 /* between checks of a waiting request */
/* Per request, including attempts that weren't executed. */
#define DISPATCH_ATTEMPTS_MAX 4
#define DISPATCH_OWNER_WAIT_PERCENT 50 /* of the objective: wait for a key's owner */
/* Of the objective: wait for a free slot, if the queue is longer than
 * DISPATCH_SHORT_QUEUE. */
#define DISPATCH_CAPACITY_WAIT_PERCENT 25
#define DISPATCH_SHORT_QUEUE 3 /* requests that get a slot within an objective */
/* Times the expected time: an answer that is later counts as lost. */
#define DISPATCH_OVERDUE_FACTOR 4
/* Times the expected time, while the process stops and callers are still directed to it:
 * three requests in ten need longer, see stops.h. */
#define DISPATCH_STOP_FACTOR 2
#define DISPATCH_LONGEST_MS 10000        /* what counts as lately there, at least */
#define DISPATCH_PLANNED_WAIT_PERCENT 25 /* of the wait in a target's queue */
#define DISPATCH_RETRY_AFTER_MIN_MS 100  /* the targets' load doesn't change sooner */
/* The longest time for which a target is left alone because it said so; then one request
 * is tried. */
#define DISPATCH_PAUSE_MAX_MS (60 * 60 * 1000)
/* Added to the time: it and both of its ends are rounded to milliseconds. */
#define DISPATCH_PAUSE_MARGIN_MS 2
/* Of the time until a target takes requests again, added to it at random for each caller:
 * the targets take a few at first. */
#define DISPATCH_PAUSE_SPREAD_PERCENT 50
#define DISPATCH_PAUSE_SPREAD_MAX_MS 5000
/* Shorter pauses have lines of the class that is limited per second. */
#define PAUSE_STATE_LINE_MS 1000
/* A target answers by its deadline; the answer may take this long to arrive. */
#define DISPATCH_ANSWER_TRANSIT_MS 40

/* Of the drain time: a leaving owner gets requests for its keys while these move, for the
 * first from when a host learns of it, and for the second at most from when it can have
 * begun to leave.  The rest is for requests on their way. */
#define DISPATCH_LEAVING_OWNER_PERCENT 25
#define DISPATCH_LEFT_PERCENT 80
/* Of the time in which a data centre has to be emptied, from the earliest time at which
 * that can have been acknowledged: owners there get requests for their keys while these
 * move.  The rest is for requests on their way. */
#define EVACUATION_OWNER_PERCENT 80
/* Statements of targets that they leave, remembered over a removal from the list. */
#define DISPATCH_LEAVING_HISTORY 64
/* Interrupted requests remembered per target: several run at the same time. */
#define DISPATCH_LOSS_HISTORY 8
/* The end of a target is known within this: its entry expires, or it has restarted. */
#define DISPATCH_LOSS_MAX_AGE_MS 8000

/* A target in another data centre is used if it is faster by this much, by kind of
 * request: large bodies load the links between data centres most. */
#define DISPATCH_REMOTE_PERCENT_DOWNLOAD 200
#define DISPATCH_REMOTE_PERCENT_UPLOAD 200
#define DISPATCH_REMOTE_PERCENT_MUTATING 30
#define DISPATCH_REMOTE_PERCENT_IDEMPOTENT 5

/* The pace of targets, as all hosts measure it. */
/* Hosts in a fleet from which on they share what they measured: one of fewer hosts meets
 * each target often enough by itself. */
#define PACE_HOSTS_LEAST 32
#define PACE_REPORT_MS 1000 /* between a host's reports */
#define PACE_PLAN_MS 1000   /* between the granter's lists */
/* A complete list after as many; the others have what changed. */
#define PACE_COMPLETE_PLANS 8
#define PACE_CHANGE_PERCENT 8 /* a smaller change isn't listed */
#define PACE_SAMPLES 40       /* requests that a moving average counts */
#define PACE_OWNER_SAMPLES 8  /* the same for the load of an owner of keys */
#define PACE_SAMPLES_LEAST 6  /* fewer say nothing about a target under strain */
#define PACE_SAMPLES_PRIOR 10 /* how much the mean of the service counts */
#define PACE_STRAIN_MAX 4
#define PACE_STRAINED_PERMILLE 1250 /* for the log: it slows down before it is full */
#define PACE_DRIFT_PLANS 8          /* without samples, to the mean of the service */
#define PACE_SWALLOWS_MS 20000      /* since a target left a request without an answer */
#define PACE_FORGET_MS (60 * 1000)
#define PACE_KEEP_MS 12000 /* a host goes by its own samples when the list is older */
#define PACE_WORK_MAX_MS (10 * 60 * 1000)
/* So long a report of a target's load tells where a slot is free. */
#define PACE_HEARD_MS 500
/* The momentary speed of a target's machine changes several times a second. */
#define PACE_MOMENT_MS 300
#define PACE_MOMENT_MAX_PERCENT 10000

/* The requests for an owner's keys a second: a smaller change isn't listed. */
#define PACE_WANTED_CHANGE_PERCENT 20
#define PACE_WANTED_CHANGE_PERMILLE 1000
/* Of the last period in the average, where it has more than that. */
#define PACE_WANTED_WEIGHT 0.5

/* Of the objective: the wait in an owner's queue that hosts leave. */
#define OWNERS_WAIT_PERCENT 55
/* Of what an owner ends: what it gets while its queue is far above, and below that. */
#define OWNERS_LEAST_PERMILLE 250
#define OWNERS_MOST_PERMILLE 3000

/* A second attempt beside the first. */
/* Of the mean work time: so long before the objective it begins. */
#define SECOND_LEAD_PERCENT 125
/* Times the mean work time: an answer that is later may miss its deadline. */
#define SECOND_LATE_FACTOR 3
/* Retries left, so that one remains for a failed attempt. */
#define SECOND_BUDGET_LEAST 2

/* Logged of each configuration: what a check of it found. */
#define JUDGE_FINDINGS_MAX 16

/* Buckets of the retry budget's sliding window. */
#define BUDGET_BUCKETS 20
/* Hosts that share the extra retries, until the real number is known; more than the first
 * deployment has. */
#define BUDGET_INITIAL_HOSTS 16
/* Of the retry ratio: below 100, since each host counts on its own; more in a fleet of
 * PACE_HOSTS_LEAST. */
#define BUDGET_SAFETY_PERCENT 75
#define BUDGET_SAFETY_LARGE_PERCENT 90

/* The proxy's connections. */
#define PROXY_LISTEN_BACKLOG 1024 /* all callers of a failed host reconnect at once */
#define PROXY_PIPELINE_MAX 128    /* unanswered requests per connection */
/* Received and not parsed, while there are as many. */
#define PROXY_UNPARSED_MAX_BYTES (64 * 1024)
/* Answers that the caller hasn't taken, beyond which no further request of it is parsed.
 */
#define PROXY_UNSENT_MAX_BYTES (1024 * 1024)
#define ARRIVALS_MERGE_MS 10 /* between bytes whose times of arrival are told apart */
#define PROXY_BODY_MAX_BYTES (16 * 1024 * 1024)   /* until a configuration sets it */
#define PROXY_BODY_BUFFER_BYTES (256 * 1024)      /* larger request bodies are streamed */
#define PROXY_RESPONSE_BUFFER_BYTES (1024 * 1024) /* larger responses are streamed */
/* Of a process's memory: what the messages that are being forwarded may occupy.  The rest
 * is for connections, tables, and what the kernel holds for them. */
#define BUFFERS_MEMORY_PERCENT 25
/* Of what is left of that: the part of one message. */
#define BUFFERS_PARTS 32
#define BUFFERS_LEAST_BYTES (16 * 1024) /* what one read from a socket takes */
/* Of a process's memory: all that is held for callers and targets.  The rest is for
 * tables, control, what the allocator holds beyond it, and the kernel. */
#define ACCOUNT_MEMORY_PERCENT 50
/* Of that: what connections may hold by reading ahead, and one connection's part of what
 * is left of it. */
#define ACCOUNT_SHARED_PERCENT 50
#define ACCOUNT_SHARES 32
#define ACCOUNT_SHARE_LEAST_BYTES (4 * 1024) /* a request */
/* Of that: from here on new requests are refused, connections are closed, down to
 * ACCOUNT_CLOSE_TO_PERCENT, and none is accepted. */
#define ACCOUNT_REFUSE_PERCENT 80
#define ACCOUNT_CLOSE_PERCENT 90
#define ACCOUNT_CLOSE_TO_PERCENT 75
#define ACCOUNT_ACCEPT_PERCENT 95
#define ACCOUNT_RETRY_AFTER_MS 1000   /* stated when a request is refused */
#define ACCOUNT_TAKES_NOTHING_MS 1000 /* then a connection is closed before others */
#define ACCOUNT_GIVE_BACK_PERCENT 10  /* less isn't worth the processor time */
/* After more than that, the rest of a crowd follows. */
#define ACCOUNT_SETTLE_MS 30000
#define ACCOUNT_GIVE_BACK_MS 5000     /* between two times */
#define ACCOUNT_CONNECTION_BYTES 2048 /* a connection without any bytes */
#define ACCOUNT_EXCHANGE_BYTES 1024   /* a request beside its structure and texts */
/* Descriptors for files, listeners, the store, peers and operators, and of the others
 * those for callers. */
#define ACCOUNT_FILES_RESERVED 64
#define ACCOUNT_CALLERS_PERCENT 75
/* Without any request; then a connection may be closed for others that wait. */
#define ACCOUNT_SILENT_MS 1000
#define PROXY_SKIPPED_RESPONSES_MAX 16   /* interim or to earlier requests, before ours */
#define PROXY_HEAD_MAX_BYTES (64 * 1024) /* until a configuration sets it */
#define PROXY_IDLE_MS 15000 /* without a request, until a configuration sets it */
/* After the time-out of its route, a request without an answer is logged. */
#define PROXY_UNANSWERED_MS 400
#define PROXY_LINGER_MS 1000 /* time to read the rest of a closed connection */
/* A caller that takes no byte of the answers that wait for it for this long is gone. */
#define PROXY_UNTAKEN_MS 30000
#define HTTP_HEAD_USUAL_BYTES 512
#define HTTP_HEAD_KEPT_BYTES                                                             \
  (4 * 1024)                    /* a connection keeps as much for its next head          \
                                 */
#define PROXY_COPIED_BYTES 4096 /* shorter answers share blocks of the output */
/* A connection that is being closed ends when no byte of its answers was taken for this
 * long. */
#define PROXY_STALLED_MS 5000
#define TARGET_CONNECT_MS 400   /* two round trips within a region and a lost packet */
#define POOL_IDLE_MS 8000       /* for targets that send no Keep-Alive time */
#define POOL_IDLE_MARGIN_MS 700 /* before the end of the target's Keep-Alive time */
#define POOL_IDLE_MAX 6         /* idle connections kept per target */
/* Of the connections that a target accepts: idle ones, over all hosts. */
#define POOL_IDLE_PERCENT 60
/* Bytes unacknowledged for this long: the peer is gone. */
#define PROXY_TCP_USER_TIMEOUT_MS 1500
#define PROXY_ACKNOWLEDGED_CHECK_MS 250 /* several within PROXY_TCP_USER_TIMEOUT_MS */
#define PROXY_MAILBOX_MESSAGES 256      /* a burst of configurations has a few dozen */
/* Between reports of key loads, which also request updates from the granter. */
#define PROXY_REPORT_MS 500
/* The same while targets limit their rate: the demand for them may multiply at once. */
#define PROXY_LIMITED_REPORT_MS 200
#define PROXY_GRACE_MARGIN_MS 500 /* from the last connection's end to SIGKILL */
/* Before the last connection's end: requests that still wait are rejected; then requests
 * at targets are given up, which leaves time to write their responses. */
#define PROXY_LAST_ANSWERS_MS 300
#define PROXY_LAST_WRITES_MS 200 /* at least two of PROXY_DRAIN_TICK_MS */
/* Two failed readiness probes, a second apart, and a margin. */
#define PROXY_UNREADY_MS 2600
#define PROXY_DRAIN_TICK_MS 100 /* well below PROXY_GRACE_MARGIN_MS */

/* Owners of keys. */
/* Usual length of a grant.  Keys of a crashed owner are unavailable for this long; the
 * failure of a granter and its successor's start have to fit in. */
#define KEYS_HOLD_MS 4000
#define KEYS_HOLD_LIMIT_MS 600000 /* the longest grant that settings may allow */
#define KEYS_RENEW_MS 1000        /* three renewals may be lost before a grant expires */
/* Of all ranges together: what a host of a fifth of a core sends beside its callers. With
 * more ranges grants are renewed less often, and last longer. */
#define KEYS_RENEWALS_PER_S 400
#define KEYS_RENEWALS_PER_HOLD_LEAST 3 /* two may be lost */
/* Renewals under way at a time: a small host begins no more than it ends in time. */
#define KEYS_RENEWALS_AT_ONCE 80
#define KEYS_SLOW_CLOCK_PERCENT 2 /* the most that a target's clock may run slow */
#define KEYS_MARGIN_MS 100        /* transmission of a grant */
/* A call that its owner's host has taken may be read this much later: the process stands
 * still, or has others to read first.  One that reads nothing for longer has ended. */
#define KEYS_STALL_MS 10000
/* Length of a grant that only shows the owner a new fence: its answer and a release fit
 * in. */
#define KEYS_FENCE_HOLD_MS 200
/* Of these without an answer while an owner is to release its keys: each is one more
 * grant that may be read late. */
#define KEYS_FENCE_ATTEMPTS_MAX 4
/* Time for owners to confirm what a granter remembers after a loss of the store. */
#define KEYS_CONFIRM_MS 1500
/* Fences of one era of the store; those of the next one begin above them. */
#define KEYS_FENCES_PER_ERA 1000000000u
/* Before the initial assignment: no target has joined for this long. */
#define KEYS_INITIAL_WAIT_MS 1200
#define KEYS_RETRY_MS 150 /* between attempts of a failed call */
/* When the role's lease has less than this left, grants get the maximum length, to
 * outlast a store that is unreachable. */
#define KEYS_FINAL_RENEWAL_MS 900

/* Of a target that takes nearly no requests. */
#define KEYS_PLANNED_TIME_MAX_MS 100000

/* Rebalancing of keys by load. */
#define KEYS_PLAN_MS 500 /* between plans */
/* Of the moving average of a target's time per request: some 3 s of requests where
 * each target gets five a second. */
#define KEYS_TIME_SAMPLES 16
#define KEYS_LOAD_RETENTION 0.85 /* share of a load kept per plan: about 3 s count */
#define KEYS_MOVE_SAMPLES 100    /* fewer requests are not significant */
/* Of the mean utilization: keys are moved away from a target that is above the first, if
 * the receiver is lower by the second. */
#define KEYS_MOVE_UTILIZATION_PERCENT 130
#define KEYS_MOVE_GAP_PERCENT 50
/* Moves in progress at a time, the larger of a number and a share of the targets:
 * limited, since requests for these keys wait. */
#define KEYS_MOVES_MAX 6
#define KEYS_MOVES_PERCENT 25
/* Standard deviations above the mean: chance exceeds them in 1 plan of 40 at most. */
#define KEYS_MOVE_DEVIATIONS 2
/* Of the mean utilization: a receiver is filled up to the first; the smallest move that
 * is worth its cost is the second. */
#define KEYS_MOVE_FILL_PERCENT 110
#define KEYS_MOVE_MIN_PERCENT 25
/* Upper limit of a move, times the load that evens two targets: a single key may be as
 * much, and both targets still improve. */
#define KEYS_MOVE_MAX_FACTOR 1.8
/* A block of keys has become hot if at least KEYS_HOT_SAMPLES requests came, more than
 * KEYS_HOT_FACTOR times the usual number. */
#define KEYS_HOT_BLOCK 64 /* hot keys are 60 to 200 adjacent keys */
#define KEYS_HOT_SAMPLES 8
#define KEYS_HOT_FACTOR 3
/* The usual number is known after this many plans' worth of requests. */
#define KEYS_HOT_HISTORY 3
/* On average over the targets; each range has its own grant. */
#define KEYS_RANGES_PER_TARGET_MAX 8
#define KEYS_JOIN_KEYS_MIN 64 /* the smallest share of a joining target */

/* The store's rows hold 64 KiB, maybe as base64.  A longer table of owners is packed; an
 * earlier version can't read that, but could not have written a longer one either. */
#define KEYS_ROW_PLAIN_MAX_BYTES (48 * 1024)

/* The granter's role. */
/* Two renewals may be lost; a take-over has to fit into the rest of a grant's hold. */
#define ROLE_LEASE_MS 2500
#define ROLE_RENEW_MS 800
#define ROLE_CHECK_MS 4000 /* between one host's checks; randomized per host */
/* Random delay of the hosts' checks after the lease has expired. */
#define ROLE_CHECK_JITTER_MS 300
/* A host with a link of ROLE_HANDICAP_MBPS or less checks this much later, one with a
 * faster link by that factor less.  When hosts start there are no grants to outlast, and
 * they may start at slightly different times. */
#define ROLE_HANDICAP_MS 300
#define ROLE_HANDICAP_MBPS 10
/* A host with at least this handicap leaves a vacant role to the others at first. */
#define ROLE_GIVE_WAY_MS 50
#define ROLE_START_HANDICAPS 5
/* Head start of the last granter over other hosts after a loss of the store. */
#define ROLE_KEEPER_MS 600
#define ROLE_ATTEMPTS_MAX 8 /* writes of the role without an answer yet */
#define ROLE_READS_MAX 4    /* reads of the owners without an answer yet */
#define ROLE_MARGIN_MS 100  /* from the check to the grant's last byte */

/* The store's client. */
#define STORE_CALL_MS 1200 /* the slowest answers of a working store take 0.4 s */
/* The network link of a busy host holds its packets for up to half a second. */
#define STORE_CONNECT_MS 600
#define STORE_WATCH_MS 10000 /* the longest wait for a change */
/* The store's recovery is noticed well within the time that a configuration may take. */
#define STORE_RETRY_MS 250
#define STORE_RETRY_MAX_MS 600
/* Entries that expired in an outage are renewed within this time after it. */
#define STORE_ENTRY_RENEWAL_MS 2000
#define STORE_RECOVERY_MS 3000          /* all calls recover from an outage within this */
#define OUTBOX_MAX 64                   /* reports of requests that crash targets */
#define OUTBOX_LOG_EVERY 100            /* of the messages that wait */
#define COORDINATOR_TICK_MS 100         /* a tenth of the shortest time that it checks */
#define COORDINATOR_MAILBOX_MESSAGES 64 /* proxy reports: two per second and service */
/* A release is answered when the running requests have ended.  A call has ended by then,
 * connecting included: a successor counts on it. */
#define COMMAND_CALL_MS 1200
/* When a call is given up: before the connection times out, as its socket tells until
 * then what the target's host has acknowledged. */
#define COMMAND_LIMIT_MS 1100

/* Links between hosts. */
/* A full queue means that the host is unreachable; what it misses is sent again. */
#define LINK_QUEUE_MAX 32                   /* messages */
#define LINK_MESSAGE_MAX_BYTES (256 * 1024) /* four of the store's largest rows */
#define LINK_TCP_TIMEOUT_MS 2000   /* bytes unacknowledged for this long: reconnect */
#define LINK_RECONNECT_MS 200      /* a restarted host is reached soon */
#define LINK_RECONNECT_MAX_MS 2000 /* a host that has gone costs little */
#define LINK_IDLE_MS 30000         /* an unused host's socket is closed */
#define UPDATE_VALID_MS 1300       /* two reports may be lost */
/* A host whose knowledge of a table is older than this, or than the share of the drain
 * time, watches the store itself.  A tick, a call and a connection to a target later, it
 * is still within the 2 s in which configurations have to take effect. */
#define RELAY_MAX_AGE_MS 1400
#define RELAY_DRAIN_PERCENT 70
/* Of that age: the store confirms the granter's feeds this often.  A report's interval
 * and a batch of changes fit into the rest. */
#define RELAY_CONFIRM_PERCENT 40
#define REPORT_TIMEOUT_MS 5000 /* a host that doesn't report is no longer counted */

/* One row between hosts, unpacked: the store's largest configurations are a tenth. */
#define LINK_ROW_MAX_BYTES (4 * 1024 * 1024)
/* Rows from this size on are packed. */
#define LINK_PACK_MIN_BYTES 1024
/* Changes that the granter keeps to send them again: some ten seconds of a release. */
#define RELAY_ROWS_MAX 128
/* Of the granter's link: what configurations that are sent again may take. */
#define RELAY_LINK_PERCENT 30

/* Of a message besides its rows: names, and the addresses of hosts to forward to. */
#define LINK_OVERHEAD_BYTES 1024
/* A change of owners has reached all hosts, including those by a forwarding host. */
#define TABLE_BROADCAST_MS 500
/* Between requests for a missed change: a round trip and its queueing. */
#define TABLE_REQUEST_MS 200

/* Fan-out of a message to many hosts. */
#define SPREAD_DIRECT_HOSTS 16 /* the first deployment's hosts need no second hop */
#define SPREAD_ALIVE_MS 1200   /* two reports of a host, and their transmission */
/* A link that is busy for this long delays requests and renewals noticeably.  It is less
 * than what a host takes to read the same from the store. */
#define SPREAD_BUSY_MS 400

/* Targets that left are remembered for this long; copies of the store are seconds old. */
#define DEPARTED_KEEP_MS 60000

/* Feeds of the store's tables. */
#define FEED_BATCH_MS 150 /* changes within this come in one answer */
#define FEED_LAG_MS 400   /* a feed that lags for this long queries the store */
/* A watch that hangs is recognized within this; its repetition still ends in time. */
#define FEED_HUNG_MS 1000
/* A watch that has not been answered so long after its wait is repeated once. */
#define FEED_OVERDUE_MS 500
/* Calls to the store with which the hosts of a fleet that hears no granter may have their
 * copies confirmed, together: a quarter of the smallest store's reads. */
#define FEED_CONFIRM_CALLS_PER_S 500

/* Copies of tables that may be outdated. */
/* Of the time in which a change has to take effect, until an outdated copy is not used
 * any more; the rest is for requests on their way. */
#define CURRENCY_LIMIT_PERCENT 80
/* A change that was learned of later than this may still be in time. */
#define CURRENCY_PATIENCE_MS 800
/* The store is expected to answer if it did so within this. */
#define CURRENCY_SOURCE_MS 2500
#define CURRENCY_STALL_MS 1000
#define CURRENCY_UNSURE_MS 1500 /* a call to the store, and its time to connect */

/* A task that runs this much later than planned reports it. */
#define TASK_LATE_MS 200

/* Limits that targets state on the requests from all hosts. */
/* Over which demand is counted: several reports of each host. */
#define RATE_WINDOW_MS 2000
#define RATE_PLAN_MS 200   /* between the granter's lists of shares */
#define RATE_SHARE_MS 1000 /* a share is valid for */
#define RATE_RIGHT_MS                                                                    \
  1000 /* rights may be used for, from the report that they answer                       \
        */
/* A host's last report counts for: its rights have ended, by clocks that differ by up to
 * a fifth. */
#define RATE_REPORT_MS 1200
#define RATE_STATEMENT_MS 2000 /* an own response counts more than the granter's list */
/* A limit that nobody states any more is forgotten after the first, or, if it is so low
 * that few responses come, after the time of RATE_KEEP_REQUESTS requests up to the
 * second. */
#define RATE_KEEP_MS 10000
#define RATE_KEEP_MAX_MS 60000
#define RATE_KEEP_REQUESTS 10
#define RATE_BURST_MS                                                                    \
  500 /* of its part: what a host without the granter may send at once */
/* Rights that may be unused at any time, on all hosts and at the granter: the limit times
 * the first, and the second. */
#define RATE_CEILING_MS 1000
#define RATE_CEILING_REQUESTS 4
#define RATE_AHEAD_MS 400 /* of a host's part: rights that it gets ahead of requests */
#define RATE_SPARE_PERCENT 65 /* of the ceiling: rights given ahead of requests */
#define RATE_SPARE_MIN 0.5    /* requests per second for which a host gets one ahead */
#define RATE_LISTED_MS 600    /* after which hosts tell the granter of a limit again */
#define RATE_REPLIES 8        /* on their way to a host at the same time */
#define RATE_UNUSED_MS 1000   /* rights that were not used for are returned */
#define RATE_WAIT_MS 400      /* a request waits for a right: two reports */
/* Of the limit: requests that may wait when no rights are left at the granter; twice as
 * far above the limit when those of RATE_LEFT_MS, and one at least, are left twice. */
#define RATE_WAIT_MIN_PERCENT 90
#define RATE_LEFT_MS 100
#define RATE_CREDIT_MAX 2     /* requests that were sent beyond the share, of one host */
#define RATE_ALONE_PERCENT 33 /* of its equal part: a host that lost the granter */
#define RATE_ALONE_KEEP_MS 2000 /* such a part is usable for, where it is rare */
/* Of the demand in half the window: beyond what random variation makes of it. */
#define RATE_RISE_PERCENT 90

/* Cold targets. */
/* Of the bound on requests to one in a second: what hosts use, as some send before the
 * granter shares the bound among them. */
#define WARMUP_USED_PERCENT 90
#define WARMUP_STATE_MS 1000     /* between a host's statements of the bound */
#define TARGET_COLD_SHIFT_MS 300 /* of the end of a warm-up: a smaller one isn't news */

/* The settings file. */
#define SETTINGS_CHECK_MS 2000 /* between checks for changes */
