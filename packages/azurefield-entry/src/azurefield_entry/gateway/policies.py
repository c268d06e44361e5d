"""Parameters of the gateway's policies.

Further calls are the calls to a leaf after the first one: retries and hedges.
"""

from __future__ import annotations

# Network time of a request and its answer between caller and gateway. The caller's deadline and
# the latency goal include it, but the gateway can't measure it.
CALLER_TRANSIT_S = 0.012
# While another attempt is left, the deadline of a call to a shard is this fraction of the latency
# goal after the goal. An overloaded leaf then drops the call instead of answering it too late.
FIRST_DEADLINE_EXTRA_FRACTION = 0.1
# Size of one record in a shard's answer.
RECORD_BYTES = 16
# A sent call whose answer is no longer needed is cancelled only after this time. If it ends before,
# its connection can be reused.
SUPERSEDED_CALL_GRACE_S = 0.3
# A call that gets no free connection within this fraction of the latency goal, or within this time
# if the route has no goal, is tried on another server or refused.
CONNECTION_WAIT_FRACTION = 0.25
CONNECTION_WAIT_S = 0.25
# Each instance uses this fraction of the allowed ratio of further calls, which leaves a margin: the
# limit applies to all instances together.
FURTHER_CALLS_RATIO_FRACTION = 0.9
# The allowance is divided among the instances that call a service. A restarted instance no longer
# knows what it has spent, so two starts of each instance in one window must fit into the allowance.
FURTHER_CALLS_ALLOWANCE_FRACTION = 0.4
# Hedges may use this fraction of the further calls; the rest is reserved for retries.
HEDGE_BUDGET_FRACTION = 0.5
HEDGE_QUANTILE_MIN = 0.7
# Delay before a hedge as a fraction of the latency goal, until enough latencies were observed.
INITIAL_HEDGE_DELAY_FRACTION = 1 / 3
# Number of recent calls that decide whether all servers are slow. The answers of one request arrive
# in the order of their latencies, the slowest last. With fewer calls than a request has shards, its
# slowest answers alone would look as if all servers were slow.
HEDGE_RECENT_CALLS = 128
# Added to the expected wait for servers of other zones, since traffic between zones is billed by
# the byte.
OTHER_ZONE_PENALTY_S = 0.015
# Time after which a refused caller may retry.
RETRY_AFTER_S = 0.1
# Longer than a server keeps an idle connection, so that the gateway does not close it first: a new
# connection costs the server time.
CONNECTION_IDLE_MAX_S = 3600.0
# Number of instances among which connections are divided while none is known.
INSTANCES_ASSUMED = 8
TICK_INTERVAL_S = 0.25
# An instance still counts in the division of limits for this time after its store entry ended.
INSTANCE_GRACE_S = 12.0
# A request that arrives before the first configuration waits for it at most this long, and at most
# this fraction of the time left until the caller's deadline.
START_WAIT_S = 0.5
START_WAIT_FRACTION = 0.4
# Added to the expected wait for a server whose calls all fail, when a server is chosen.
FAILURE_COST_S = 1.0
# Calls that running requests over many shards may need together, until the settings are known.
CALLS_MAX = 8192
