"""Parameters of the gateway's policies."""

from __future__ import annotations

# Time for the request's way in and the answer's way back, which the caller counts and we don't.
CALLER_WAY_S = 0.012
# Calls to shards may take this part of the goal longer than the goal, then the leaf drops them.
FIRST_DEADLINE_EXTRA = 0.1
# Records of a shard's answer have this size.
RECORD_BYTES = 16
# A call that lost against another one may end in this time, so that its connection can be kept.
LINGER_S = 0.3
# A call that finds no free connection in this part of the goal is tried elsewhere or refused.
CONNECTION_WAIT_FRACTION = 0.25
CONNECTION_WAIT_S = 0.25
# Further calls are kept below the ratio that all instances together must keep to.
BUDGET_FRACTION = 0.9
# The allowance is divided among the instances. One that starts anew forgets what it has spent, so
# that two starts in one window must fit.
ALLOWANCE_FRACTION = 0.4
# Hedges may take this part of the further calls; the rest is left for retries.
HEDGE_FRACTION = 0.5
HEDGE_QUANTILE_MIN = 0.7
# Until latencies are known, a call is hedged after this part of the goal.
INITIAL_HEDGE_FRACTION = 1 / 3
# The answers of one request come in the order of their latencies, the slowest last, so that fewer
# calls than a request has shards would say that all servers are slow.
HEDGE_RECENT_CALLS = 128
# Added to the expected wait on servers of other zones, whose answers are priced by the byte.
OTHER_ZONE_S = 0.015
# A refused caller may come back after this time.
RETRY_AFTER_S = 0.1
# Idle connections are kept until the server closes them, since a new one costs it time.
IDLE_MAX_S = 3600.0
# While no instance is known, connections are divided among this many.
INSTANCES_ASSUMED = 8
TICK_S = 0.25
# An instance counts for this long after its entry in the store has ended.
INSTANCE_GRACE_S = 12.0
# A request that arrives while the process starts waits so long for the configuration, at most for
# this part of the time that its caller waits.
START_WAIT_S = 0.5
START_WAIT_FRACTION = 0.4
# The wait that a failed call costs its request, for the choice among servers.
FAILURE_COST_S = 1.0
