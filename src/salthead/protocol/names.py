"""Every name that crosses the wire. The other layers use the Python names."""

# paths, users and workers
WORK = "/work"
UP = "/up"
HELLO = "/hello"
# the last segment of a cancellation's path
CANCEL = "cancel"
# paths, operators
OVERVIEW = "/overview"
METRICS = "/metrics"
# paths, workers
DO = "/do"
# paths, cloud
FLAVORS = "/flavors"
HOSTS = "/hosts"
HOSTS_RETURN = "/hosts/return"
# paths, state service
KEYS = "/keys"
TXN = "/txn"
GRANTS = "/grants"
CHANGES = "/changes"
# paths between controllers
PEER_SUBMIT = "/peer/submit"
PEER_POLL = "/peer/poll"
PEER_CANCEL = "/peer/cancel"
PEER_REDIRECTED = "/peer/knocks"
PEER_OVERVIEW = "/peer/overview"
PEER_PROMISE = "/peer/promise"

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

# verbs of orders
START = "start"
STOP = "stop"
REAP = "reap"

# phases of a machine in the cloud's list
BOOTING = "booting"
FAILED = "failed"

# ranks of urgency, the highest first
URGENCIES = ("prod", "urgent", "normal", "idle")
ARRAY = "array"
GANG = "gang"
