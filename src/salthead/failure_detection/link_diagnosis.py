"""State of the links to groups of machines, by direction, for operators."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from salthead.cluster.model import LOST, UP, Machine


class LinkState(StrEnum):
    """The directions of the link between the leader and a machine that are confirmed to work."""

    BOTH_WAYS = "both_ways"
    HEARTBEATS_ONLY = "reports_arrive_answers_do_not"
    COMMANDS_ONLY = "commands_arrive_reports_do_not"
    SILENT = "nothing_arrives"


@dataclass(frozen=True, slots=True)
class LinkView:
    """State of the links to one group of machines."""

    group: str
    machines: int
    counts: dict[LinkState, int]
    since_s: float  # how long the link that failed first has been failing

    @property
    def diagnosis(self) -> str:
        """Return the most frequent state of failing links in words; empty if none fails."""
        failing = {state: n for state, n in self.counts.items() if state is not LinkState.BOTH_WAYS}
        if not failing:
            return ""
        state = max(failing, key=lambda candidate: failing[candidate])
        return f"{state.value.replace('_', ' ')} ({failing[state]} of {self.machines})"


def link_state(machine: Machine, now: float, fresh_s: float) -> LinkState:
    """Return the state of the link to a machine, each direction judged by its own evidence.

    ``fresh_s``: how long a heartbeat, or the answer to a direct call, confirms its direction.
    """
    links = machine.links
    heartbeats_arrive = now - max(machine.last_heartbeat_at, links.last_received_at) <= fresh_s
    if heartbeats_arrive:
        responses_arrive = machine.unresponsive_since is None and not links.unaccepted_answers
        return LinkState.BOTH_WAYS if responses_arrive else LinkState.HEARTBEATS_ONLY
    commands_arrive = (
        links.confirmed_command_sent_at > links.command_failed_at
        and now - links.confirmed_command_sent_at <= fresh_s
    )
    return LinkState.COMMANDS_ONLY if commands_arrive else LinkState.SILENT


def link_views(
    machines: Iterable[Machine], group_of: Callable[[Machine], str], now: float, fresh_s: float
) -> list[LinkView]:
    """Return one view for each group with live or lost machines, sorted by name."""
    counts: dict[str, Counter[LinkState]] = defaultdict(Counter)
    failing_s: dict[str, float] = defaultdict(float)
    for machine in machines:
        if machine.phase not in (UP, LOST):
            continue
        group, state = group_of(machine), link_state(machine, now, fresh_s)
        counts[group][state] += 1
        if state is not LinkState.BOTH_WAYS:
            confirmed_at = max(
                machine.last_heartbeat_at,
                machine.links.confirmed_answer_sent_at,
                machine.provisioned_at,
            )
            failing_s[group] = max(failing_s[group], now - confirmed_at)
    return [
        LinkView(group, by_state.total(), dict(by_state), failing_s[group])
        for group, by_state in sorted(counts.items())
    ]
