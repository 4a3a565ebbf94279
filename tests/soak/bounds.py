"""Bounds of the checked guarantees, in seconds unless stated otherwise."""

# The limits below apply to a node that has not been disturbed for this time.
SETTLING_TIME = 3.0

# A version is in force everywhere within this time of its acknowledgement.
APPLY_LIMIT = 3.0

# A node that has applied a version does not go back to an older one after this
# time.
ROLLBACK_LIMIT = 0.25

# A leaving target receives no request after this time.
DRAIN_LIMIT = 2.5

# An abandoned request reaches no target later than this after it was abandoned,
# except for this many arrivals in a run.
ABANDON_LIMIT = 0.5
MAX_ABANDONED_ARRIVALS = 3

# A request is answered within this time after its route's timeout; a later one
# is overdue. The guarantee is violated if at least this many requests, and more
# than this share of the requests that reached their timeout, are overdue.
TIMEOUT_SLACK = 0.5
MIN_OVERDUE_REQUESTS = 8
MAX_OVERDUE_SHARE = 0.25

# A request that was received completely is answered before its connection
# closes. It counts as received after this time, or once it reached a target.
LOSS_SLACK = 0.2

# Limit of the retries that one service receives in a window: a ratio of the
# first attempts plus a constant number.
BUDGET_WINDOW = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 36.8

# A forwarded deadline ends at most this long after the caller's deadline.
DEADLINE_SLACK = 0.5

# After this time without a fault, at least this share of the requests is
# answered with status 200.
RECOVERY_TIME = 15.0
RECOVERY_SHARE = 0.25

# Time between SIGTERM and SIGKILL.
GRACE_PERIOD = 6.0

# A stall of the soak's event loop that is longer than this counts as a
# disturbance of all nodes.
LOOP_STALL = 0.1
