#pragma once

/*
 * LIMITS: every bound of the program, in one place.
 *
 * Times are in milliseconds and end in _MS, sizes are in bytes and end in
 * _BYTES, all else counts items.  Sizes of tables may be set smaller by the
 * compiler's command line, for tests that run many parts in one process.
 */

/* Names of hosts, services, data centres and targets. */
#ifndef NAME_MAX_BYTES
#define NAME_MAX_BYTES 63
#endif

/* The longest message kept with a fault. */
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

/* Slots a service's keys hash to.  Store rows carry SLOT_BLOCK of them each. */
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
#define LEASE_ASK_MS 200
/* A host may extend its lease by other hosts' word for this long after its last read. */
#define LEASE_EXTEND_MAX_MS (20 * 60 * 1000)
/* A longer step of the clock between two ticks closes what a host holds. */
#define CLOCK_GAP_MS 400

/* Added to every wait for another host's lease, for clocks that run unevenly. */
#define LEASE_MARGIN_MS 40

/* The place duty. */
#define PLACE_CENSUS_MS 100
/* A host that is silent, or behind the versions, for longer is left out of the table. */
#define PLACE_FORGET_MS 4000
#define PLACE_BEHIND_MS 1000
#define HELLO_MS 1000
#define PLACE_BEAT_MS 200
#define PLACE_LAPSE_MS 700
#define PLACE_ROUND_MS 1000
#define PLACE_MOVES_PER_ROUND 16
#define PLACE_RETRY_MS 200

/* Grants to targets that check them. */
#define GRANT_MS 700
#define GRANT_RENEW_MS 250
/* Instances of unkeyed services are only probed; workers see for themselves. */
#define PROBE_UNKEYED_MS 1000
#define GRANT_RETRY_MS 20
/* Hosts that renew a target beside the holder, in case it is lost. */
#define GRANT_RENEWERS 2
#define PROBE_TIMEOUT_MS 350
#define PROBE_FAILURES 2

/* Requests. */
#define BODY_MAX_BYTES (1024 * 1024)
#define HEADER_MAX_BYTES (16 * 1024)
#define HEADER_IDLE_MS 10000
#define QUEUE_MAX 4096
#define CONNECT_MS 200
#define CONNECTION_IDLE_MS 4000
#define PROGRESS_MS 2000
/* Reading from a target stops above the first, and goes on below the second. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES (64 * 1024)
#define STORED_ANSWER_MAX_BYTES 4096

/* Retries. */
#define RETRY_BASE_MS 10
#define RETRY_CAP_MS 500
#define RETRY_BUDGET_PERCENT 10
#define RETRY_BUDGET_MAX 100
#define RETRY_ATTEMPTS 4

/* Requests that crash targets. */
#define SUSPECT_MAX 256
#define SUSPECT_KEEP_MS (60 * 1000)
#define SUSPECT_TARGETS_MAX 4
/* The users allow three crashes; with fewer a popular look-up that is merely in flight at
 * the ends of two targets would be refused. */
#define SUSPECT_TARGETS 3

/* Order claims grouped into one store transaction. */
#define CLAIM_GROUP_MS 4
#define CLAIM_GROUP_MAX 64

/* The platform's service. */
#define PLATFORM_TIMEOUT_MS 700

/* Messages between hosts. */
#define PEER_MESSAGE_MAX_BYTES 512
#define PEER_QUEUE_MAX 256

/* A shutdown waits this long for requests in flight. */
#define DRAIN_MS 30000

/* The structured log. */
/* Some 300 lines: more than a burst's second. */
#define EVENTLOG_BUFFER_BYTES (64 * 1024)
#define EVENTLOG_LINE_BYTES 768   /* the longest line has some 400; longer ones are cut */
#define EVENTLOG_ROUTINE_PER_S 20 /* a sample of served requests, 5 KB/s at most */
#define EVENTLOG_FLUSH_MS 500     /* an engineer who follows the log waits no longer */

/* Dispatch: the fate of one request. */
#define DISPATCH_WORK_START_MS 100 /* a target's work on a request, before any answer */
/* A target's report of its load is worth nothing later. */
#define DISPATCH_REPORT_KEEP_MS 1000
/* Targets of the first users queue 12 beside their slots. */
#define DISPATCH_TARGET_LOAD_MAX 12
#define DISPATCH_AVOID_MS 100       /* first pause after a failed connection; doubles */
#define DISPATCH_AVOID_MAX_MS 2000  /* a target that is back is tried within this */
#define DISPATCH_OWNER_RETRY_MS 150 /* a move is committed and told within this */
#define DISPATCH_GRANT_MS 10 /* a new owner's grant arrives so long after its table */
#define DISPATCH_POLL_MS 25  /* how often a waiting request looks again */
#define DISPATCH_SENDS_MAX 4 /* of one request, those that weren't run included */
#define DISPATCH_OWNER_WAIT_PERCENT 50 /* of the objective: wait for a key's owner */
/* Of the objective: wait for room, while more than a short queue waits. */
#define DISPATCH_ROOM_WAIT_PERCENT 25
#define DISPATCH_SHORT_QUEUE 3    /* so many turns come round within an objective */
#define DISPATCH_SILENCE_FACTOR 4 /* an answer this many times late is taken for lost */
#define DISPATCH_RETRY_AFTER_MIN_MS 100 /* sooner nothing has changed at the targets */
/* A target answers at its deadline; the answer may take so long to arrive. */
#define DISPATCH_LAST_ANSWER_MS 40

/* Of the drain time, from when a host hears that a key's owner leaves: it may have heard
 * as late as NEWS_KEEP_MS and a read of the store. */
#define DISPATCH_LEAVER_PERCENT 25
/* Broken requests that are remembered of a target: some run at the same time. */
#define DISPATCH_LOSSES 8
/* A target that ended is known to have ended within this: its entry lapses, or it is
 * back. */
#define DISPATCH_LOSS_KEEP_MS 8000

/* Another data centre's target is taken if it is this much faster, by kind of request:
 * large answers cost the links between data centres most. */
#define DISPATCH_REMOTE_PERCENT_DOWNLOAD 200
#define DISPATCH_REMOTE_PERCENT_MUTATING 30
#define DISPATCH_REMOTE_PERCENT_IDEMPOTENT 5

/* The budget of repeats is kept in this many parts of its window. */
#define BUDGET_PARTS 10
/* Hosts that share the extra repeats; more than the first users have. */
#define BUDGET_HOSTS 16
/* Kept below the ratio, since each host counts on its own. */
#define BUDGET_SAFETY_PERCENT 70

/* The proxy's connections. */
#define PROXY_LISTEN_BACKLOG 1024 /* all callers of a lost host come at once */
#define PROXY_LINE_MAX 32         /* requests of one connection at a time */
#define PROXY_BODY_MAX_BYTES (16 * 1024 * 1024) /* before a configuration tells it */
#define PROXY_BODY_HOLD_BYTES (256 * 1024)      /* a larger body is sent as it comes */
/* A larger answer is passed on as it comes. */
#define PROXY_ANSWER_HOLD_BYTES (1024 * 1024)
#define PROXY_PROGRESS_MS 5000 /* an answer that is passed on may pause so long */
#define PROXY_ANSWER_MAX_BYTES (32 * 1024 * 1024) /* one answer, held whole */
#define PROXY_HEAD_MAX_BYTES (64 * 1024)          /* before a configuration tells it */
#define PROXY_IDLE_MS 15000     /* the same for a connection without a request */
#define PROXY_LINGER_MS 1000    /* a closed connection's last bytes are read so long */
#define CALL_CONNECT_MS 400     /* two round trips within a region and a lost packet */
#define CALL_IDLE_MS 8000       /* a target that tells no Keep-Alive time */
#define CALL_IDLE_MARGIN_MS 700 /* before the time that the target told */
#define CALL_IDLE_MAX 6         /* connections kept for one target */
/* Of the connections that a target accepts, over all hosts. */
#define CALL_IDLE_PERCENT 60
#define CALL_SILENT_MS 1500 /* unacknowledged bytes: the peer is gone */
#define PROXY_MAILBOX 256   /* messages; a burst of configurations has some dozens */
#define PROXY_LOADS_MS 500  /* how often loads of keys are told, and news asked for */
#define PROXY_GRACE_MARGIN_MS 500 /* from the last connection's end to SIGKILL */
/* Two missed readiness questions, a second apart, and a margin. */
#define PROXY_LEAVE_MS 2600
#define PROXY_DRAIN_TICK_MS 100 /* well below the margin before SIGKILL */

/* Owners of keys. */
/* A grant's length in calm.  A crashed owner's keys rest so long; a granter's end and the
 * next one's start have to fit in. */
#define KEYS_HOLD_MS 4000
#define KEYS_RENEW_MS 1000        /* three renewals may be lost before a grant runs out */
#define KEYS_SLOW_CLOCK_PERCENT 2 /* a target's clock may run so much slow */
#define KEYS_MARGIN_MS 100        /* a grant's bytes on the way */
/* Of a grant that only has a new fence seen: its answer and a release come within that.
 */
#define KEYS_FENCE_HOLD_MS 200
#define KEYS_SETTLE_MS 1200 /* first split: no target joined for so long */
#define KEYS_RETRY_MS 150   /* between tries of a call that failed */
/* Before the role ends the longest holds are granted, to outlast a store that is away. */
#define KEYS_LAST_ROUND_MS 900

/* Moving keys by load. */
#define KEYS_PLAN_MS 500      /* how often loads are weighed */
#define KEYS_LOAD_KEEP 0.85   /* of the loads from one plan to the next: some 3 s count */
#define KEYS_MOVE_SAMPLES 100 /* fewer requests say too little */
#define KEYS_MOVE_USE_PERCENT 130 /* of the mean use: such a target gives keys away */
#define KEYS_MOVE_GAP_PERCENT 50  /* of the mean use, between giver and taker */
/* Under way at a time, since requests for them wait; of many targets, a part. */
#define KEYS_MOVES_MAX 6
#define KEYS_MOVES_PERCENT 25
/* Beyond the mean by so many standard deviations is not chance: 1 plan in 40 at most. */
#define KEYS_MOVE_DEVIATIONS 2
#define KEYS_MOVE_FILL_PERCENT 110 /* of the mean use: so far a taker is filled */
#define KEYS_MOVE_PIECE_PERCENT 25 /* of the mean use: the least that is worth a move */
/* Of the load that evens two targets: a single key may be as much, and both gain. */
#define KEYS_MOVE_GAIN 1.8
/* A block of keys is hot at once if so many requests came, so many times the usual. */
#define KEYS_SHIFT_BLOCK 64 /* the users' hot keys are 60 to 200 neighbours */
#define KEYS_SHIFT_SAMPLES 8
#define KEYS_SHIFT_FACTOR 3
#define KEYS_SHIFT_HISTORY 3  /* plans' worth of requests before: the usual is known */
#define KEYS_RUNS_MAX 8       /* a target, on average; each is granted on its own */
#define KEYS_JOIN_KEYS_MIN 64 /* a joining target's share isn't cut finer */

/* The granter's role. */
/* Two renewals may be lost; a take-over has to fit into what a grant's hold has left. */
#define ROLE_LEASE_MS 2500
#define ROLE_RENEW_MS 800
#define ROLE_WATCH_MS 4000 /* between one host's looks; the hosts' looks are spread */
/* Hosts' looks after a lapse are spread over this. */
#define ROLE_SPREAD_MS 300
#define ROLE_MARGIN_MS 100 /* from the check to the grant's last byte */

/* The store's client. */
#define STORE_CALL_MS 1200   /* the slowest answers of a working store come after 0.4 s */
#define STORE_WATCH_MS 10000 /* the longest that a change may stay untold unnoticed */
/* Its return is noticed well within what a configuration may take. */
#define STORE_RETRY_MS 250
#define STORE_RETRY_MAX_MS 600
/* Entries that lapsed in an outage are back so long after it. */
#define STORE_LAPSE_MS 2000
#define STORE_SIGNS_MS 3000     /* calls that were away together come back within this */
#define COORDINATOR_TICK_MS 100 /* a tenth of the shortest time that it watches */
#define COORDINATOR_MAILBOX 64  /* reports of the proxy: two a second and service */
#define ORDER_CALL_MS 1200 /* a release is answered when the work under way has ended */

/* Messages between hosts. */
/* A full queue means that the host is away; what it misses comes anew. */
#define LINK_QUEUE_MAX 32                   /* messages */
#define LINK_MESSAGE_MAX_BYTES (256 * 1024) /* four of the store's largest rows */
#define LINK_SILENT_MS 2000        /* unacknowledged bytes: the connection is made anew */
#define LINK_RECONNECT_MS 200      /* a host that starts again is reached soon */
#define LINK_RECONNECT_MAX_MS 2000 /* one that is gone costs little */
#define LINK_FORGET_MS 30000       /* a host that wasn't written to for so long is gone */
/* A host believes news so long: two reports may be lost.  What it misses meanwhile has to
 * be read from the store within the bounds of leaving targets and configurations. */
#define NEWS_KEEP_MS 1300
#define REPORT_FORGET_MS 5000 /* a host that doesn't report isn't counted any more */

/* Of a message beside its rows: names, and the addresses of hosts that get it next. */
#define LINK_OVERHEAD_BYTES 1024
/* A change of owners has arrived everywhere, on the way over a host that passes it on. */
#define TABLE_TOLD_MS 500
/* Between asks for a missed change: a round trip and its queue. */
#define TABLE_ASK_MS 200

/* A message to many hosts. */
#define SPREAD_DIRECT 16     /* the first users' hosts: without a second hop */
#define SPREAD_HEARD_MS 1200 /* two reports of a host, and their way */
/* A link that is busy so long delays requests and renewals noticeably. */
#define SPREAD_BUSY_MS 200

/* Feeds of the store's tables. */
#define FEED_GATHER_MS 150 /* changes close together are told in one answer */
#define FEED_BEHIND_MS 400 /* a feed that missed a change for so long asks the store */

/* The settings file. */
#define SETTINGS_LOOK_MS 2000 /* between looks at the settings file */
