"""The bounds of the promises, in seconds where nothing else is said."""

# Time without a disturbance after which a node is bound by the limits below.
CALM_TIME = 3.0

# A version is in force everywhere within this time of its acknowledgement.
APPLY_LIMIT = 3.0

# A node that has shown a version doesn't go back after this time.
ROLLBACK_LIMIT = 0.25

# A leaving target gets nothing after this time.
DRAIN_LIMIT = 2.5

# An abandoned request reaches no target after this time.
ABANDON_LIMIT = 0.5
ABANDONED_REQUESTS = 3

# A request is answered within this time of its route's timeout.
TIMEOUT_SLACK = 0.5
TIMEOUT_REQUESTS = 8
TIMEOUT_SHARE = 0.25

# A request that was read whole is answered before its connection ends.
LOSS_SLACK = 0.2

# Repeats that one service may get in a window of time.
BUDGET_WINDOW = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 36.8

# A deadline that is handed on ends at most so much after the caller's own.
DEADLINE_SLACK = 0.5

# After this time without a fault so much of the load is served.
RECOVERY_TIME = 15.0
RECOVERY_SHARE = 0.25

# Time between SIGTERM and SIGKILL.
GRACE_PERIOD = 6.0

# A stall of the soak's own loop that counts as a disturbance of all nodes.
OWN_STALL = 0.1
