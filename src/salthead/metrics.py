"""Prometheus metrics.

Their names, labels and help texts are an interface that operators rely on, so some of them differ
from the names of the variables.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REGISTRY = CollectorRegistry()
REQUEST_LATENCY = Histogram(
    "salthead_request_seconds",
    "Time to answer a request",
    ["path"],
    registry=REGISTRY,
    buckets=(0.002, 0.01, 0.05, 0.2, 1.0, 5.0),
)
ANSWERS = Counter("salthead_answers_total", "Answers given", ["path", "status"], registry=REGISTRY)
ERRORS = Counter("salthead_trouble_total", "Errors by kind", ["kind"], registry=REGISTRY)
LEADING = Gauge("salthead_leading", "1 while this controller leads", registry=REGISTRY)
FENCING_TOKEN = Gauge(
    "salthead_token", "Token of the term led by this controller", registry=REGISTRY
)
LEASE_REVOCATIONS = Counter(
    "salthead_lease_revocations_total",
    "Revocations sent for leases of this controller, by result",
    ["result"],
    registry=REGISTRY,
)
STATE_REQUESTS = Counter(
    "salthead_state_requests_total",
    "Requests to the state service, by class and result",
    ["class", "result"],
    registry=REGISTRY,
)
STATE_REQUESTS_WAITING = Gauge(
    "salthead_state_requests_waiting",
    "Requests to the state service that wait for their turn, by class",
    ["class"],
    registry=REGISTRY,
)
STATE_OLDEST_WAIT_SECONDS = Gauge(
    "salthead_state_oldest_wait_seconds",
    "Time since which the oldest request waits for its turn, by class",
    ["class"],
    registry=REGISTRY,
)
LOADING_SECONDS = Gauge(
    "salthead_loading_seconds",
    "Time for which this term has been loading records; 0 once they are loaded",
    registry=REGISTRY,
)
UNLOADED_HEARTBEATS = Counter(
    "salthead_unloaded_heartbeats_total",
    "Heartbeats handled before the records were loaded, by the answer",
    ["answer"],
    registry=REGISTRY,
)
OUTCOME_WRITES = Counter(
    "salthead_outcome_writes_total",
    "Transactions that write outcomes of jobs, by result",
    ["result"],
    registry=REGISTRY,
)
INDETERMINATE_OUTCOMES = Gauge(
    "salthead_indeterminate_outcomes",
    "Jobs whose outcome was sent by this term, without a result yet",
    registry=REGISTRY,
)
MACHINES = Gauge("salthead_machines", "Machines by phase", ["phase"], registry=REGISTRY)
WAITING_TASKS = Gauge("salthead_waiting_tasks", "Tasks with no machine", registry=REGISTRY)
BLOCKED_JOBS = Gauge(
    "salthead_awaiting_jobs", "Jobs that wait for other jobs to be done", registry=REGISTRY
)
ACTIVE_JOBS = Gauge("salthead_active_jobs", "Jobs that are not over", registry=REGISTRY)
ZONE_STATES = Gauge(
    "salthead_zone", "1 for the state that a zone is in", ["zone", "state"], registry=REGISTRY
)
ZONE_OPEN_MACHINES = Gauge(
    "salthead_zone_open_machines",
    "Machines of a returning zone that get new work",
    ["zone"],
    registry=REGISTRY,
)
SILENT_NETWORK_MACHINES = Gauge(
    "salthead_network_unheard_machines",
    "Machines of a declared network that are not heard",
    ["network"],
    registry=REGISTRY,
)
LINK_STATES = Gauge(
    "salthead_links",
    "Machines by group and by what is confirmed of their links",
    ["group", "state"],
    registry=REGISTRY,
)
BLOCKED_ACTIONS = Counter(
    "salthead_withheld_total",
    "Actions withheld, by the evidence that was lacking",
    ["action", "lacking"],
    registry=REGISTRY,
)
DISPLACED_JOBS = Gauge(
    "salthead_displaced_jobs", "Jobs that lost tasks with a lost zone", registry=REGISTRY
)
TEAM_CPUS = Gauge(
    "salthead_team_cpus",
    "CPUs of a team: booked, counted for silent machines, and its limit",
    ["team", "count"],
    registry=REGISTRY,
)
UNRECONCILED_MACHINES = Gauge(
    "salthead_unheard_machines",
    "Machines that a new leader has not accounted for",
    ["why"],
    registry=REGISTRY,
)
TASKS_RELEASED = Counter(
    "salthead_tasks_released_total",
    "Tasks that are certainly not on their machine any more, by the proof",
    ["proof"],
    registry=REGISTRY,
)
INVARIANTS_BROKEN = Counter(
    "salthead_invariants_broken_total",
    "Checks of the ledger that failed: each is a fault in salthead",
    ["which"],
    registry=REGISTRY,
)
CANCELLED_JOBS_OVERDUE = Counter(
    "salthead_cancelled_jobs_overdue_total",
    "Cancelled jobs with a task on a machine after the time limit of cancellations",
    registry=REGISTRY,
)
TASKS_ADOPTED = Counter(
    "salthead_tasks_adopted_total", "Tasks of earlier leaders taken over", registry=REGISTRY
)
ORPHAN_TASKS = Counter(
    "salthead_stray_tasks_total", "Tasks found that no binding explains", registry=REGISTRY
)
CPU_SECONDS = Gauge(
    "salthead_cpu_seconds", "Rented CPU-seconds of this term by use", ["use"], registry=REGISTRY
)

_ANSWER_SERIES: dict[tuple[str, int], tuple[Counter, Histogram]] = {}


def count_answer(path: str, status: int, seconds: float) -> None:
    """Count an answer and observe its latency in seconds; labelled series are cached."""
    series = _ANSWER_SERIES.get((path, status))
    if series is None:
        series = ANSWERS.labels(path, str(status)), REQUEST_LATENCY.labels(path)
        _ANSWER_SERIES[path, status] = series
    answers, latency = series
    answers.inc()
    latency.observe(seconds)


def clear_zones() -> None:
    """Remove the zone series, which only the leader can keep up to date."""
    for gauge in (ZONE_STATES, ZONE_OPEN_MACHINES, SILENT_NETWORK_MACHINES):
        gauge.clear()
    DISPLACED_JOBS.set(0)


def clear_links() -> None:
    """Remove the link series, which only the leader can keep up to date."""
    LINK_STATES.clear()


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
