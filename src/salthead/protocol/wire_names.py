"""Paths and values of the wire. Fields are mapped to it in ``messages``."""

# paths, users and workers
JOBS_PATH = "/work"
READY_PATH = "/up"
HEARTBEAT_PATH = "/hello"
# the last segment of a cancellation's path
CANCEL_SUFFIX = "cancel"
# paths, operators
OVERVIEW_PATH = "/overview"
METRICS_PATH = "/metrics"
# paths, workers
COMMAND_PATH = "/do"
# paths, cloud
MACHINE_TYPES_PATH = "/flavors"
MACHINES_PATH = "/hosts"
MACHINES_TERMINATE_PATH = "/hosts/return"
# paths, state service
KEYS_PATH = "/keys"
TRANSACTIONS_PATH = "/txn"
LEASES_PATH = "/grants"
CHANGES_PATH = "/changes"
# paths between controllers
PEER_SUBMIT_PATH = "/peer/submit"
PEER_STATUS_PATH = "/peer/poll"
PEER_CANCEL_PATH = "/peer/cancel"
PEER_CONNECTIVITY_PATH = "/peer/knocks"
PEER_OVERVIEW_PATH = "/peer/overview"
PEER_WITHHOLD_VOTE_PATH = "/peer/promise"

# phases of a job
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

# phases of a task on its machine
FETCHING = "fetching"
GATHERING = "gathering"
FLUSHING = "flushing"
EXITED = "exited"
TASK_PHASES = frozenset({FETCHING, GATHERING, RUNNING, FLUSHING, EXITED})

# causes of an exit
HALTED = "halted"
MATES_GONE = "mates_gone"
ALONE = "alone"
ERROR = "error"
FULL = "full"
IN_USE = "in_use"
UNKNOWN = "unknown"

# verbs of commands
START = "start"
STOP = "stop"
REAP = "reap"

# phases of a machine in the cloud's list
BOOTING = "booting"
FAILED = "failed"

# priorities of jobs, the highest first
URGENCIES = ("prod", "urgent", "normal", "idle")
ARRAY = "array"
GANG = "gang"
