"""Paths and values on the wire; ``messages`` declares the names of fields."""

# Paths for users and workers.
JOBS_PATH = "/work"
READY_PATH = "/up"
HEARTBEAT_PATH = "/hello"
# The last segment of the path of a cancellation.
CANCEL_SUFFIX = "cancel"
# Paths for operators.
OVERVIEW_PATH = "/overview"
METRICS_PATH = "/metrics"
# Paths of workers.
COMMAND_PATH = "/do"
# Paths of the cloud.
MACHINE_TYPES_PATH = "/flavors"
MACHINES_PATH = "/hosts"
MACHINES_TERMINATE_PATH = "/hosts/return"
# Paths of the state service.
KEYS_PATH = "/keys"
TRANSACTIONS_PATH = "/txn"
LEASES_PATH = "/grants"
CHANGES_PATH = "/changes"
# Paths between controllers.
PEER_SUBMIT_PATH = "/peer/submit"
PEER_STATUS_PATH = "/peer/poll"
PEER_CANCEL_PATH = "/peer/cancel"
PEER_CONNECTIVITY_PATH = "/peer/knocks"
PEER_OVERVIEW_PATH = "/peer/overview"
PEER_WITHHOLD_VOTE_PATH = "/peer/promise"

# Phases of a job.
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

# Phases of a task on its machine.
FETCHING = "fetching"
GATHERING = "gathering"
FLUSHING = "flushing"
EXITED = "exited"
TASK_PHASES = frozenset({FETCHING, GATHERING, RUNNING, FLUSHING, EXITED})

# Causes of a task's exit.
HALTED = "halted"
MATES_GONE = "mates_gone"
ALONE = "alone"
ERROR = "error"
FULL = "full"
IN_USE = "in_use"
UNKNOWN = "unknown"

# Verbs of commands.
START = "start"
STOP = "stop"
REAP = "reap"

# Phases of a machine in the cloud's list.
BOOTING = "booting"
FAILED = "failed"

# Priorities of jobs, the highest first.
URGENCIES = ("prod", "urgent", "normal", "idle")
# Shapes of jobs.
ARRAY = "array"
GANG = "gang"
