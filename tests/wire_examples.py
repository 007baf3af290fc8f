"""Examples of every kind of wire message and stored record, as bytes.

    python3 tests/wire_examples.py        regenerates tests/fixtures/wire_examples.json

The fixture was generated before identifiers in the code were renamed. A message or record that
encodes to other bytes than the fixture is a change of the wire format or of stored data.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import uuid
from collections.abc import Awaitable
from pathlib import Path
from typing import Any
from unittest import mock

ROOT = Path(__file__).resolve().parent.parent
FIXTURE = ROOT / "tests" / "fixtures" / "wire_examples.json"
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT / "tests")]

import msgspec  # noqa: E402

from helpers import FLAVORS, given, heartbeat, settings, spec  # noqa: E402
from salthead.autoscaling.scale_in import TerminationDecision  # noqa: E402
from salthead.cluster.model import UP  # noqa: E402
from salthead.cluster.recent_starts import RecentStarts  # noqa: E402
from salthead.cluster.resources import MachineKind  # noqa: E402
from salthead.controller.controller import Controller  # noqa: E402
from salthead.controller.handlers import ClientHandlers, PeerHandlers  # noqa: E402
from salthead.leader.page_writer import write_pages  # noqa: E402
from salthead.leader.peer_calls import ask_connectivity, ask_to_withhold_vote  # noqa: E402
from salthead.leader.term import Term  # noqa: E402
from salthead.leases.leader_lease import LeaseClock  # noqa: E402
from salthead.leases.unloaded_renewals import NO_TERM  # noqa: E402
from salthead.policy import PartialCutPolicy, Policy, ZonePolicy  # noqa: E402
from salthead.protocol.messages import JobStatus, StopCommand, encode  # noqa: E402
from salthead.scheduling import scheduling_pass  # noqa: E402
from salthead.state_store import records  # noqa: E402
from salthead.state_store.done_tasks import DoneTaskLayout  # noqa: E402
from salthead.state_store.held_lease import HeldLease  # noqa: E402
from salthead.state_store.request_stats import RequestClass  # noqa: E402
from salthead.transport.client import Answer  # noqa: E402
from salthead.transport.http import Reply, Request  # noqa: E402
from salthead.zones import records as zone_records  # noqa: E402
from salthead.zones.state import ZonePhase, ZoneState  # noqa: E402

NOW, WALL = 1000.0, 5000.0
FENCING_TOKEN, REVISION, LEASE = 7, 9, 5
ZONE_POLICY = ZonePolicy(
    enabled=True,
    min_machines=5,
    suspect_share=0.5,
    lost_share=0.8,
    return_share=0.5,
    return_after_s=3.0,
    max_return_after_s=60.0,
    penalty_half_life_s=180.0,
    steps=[0.25, 0.5],
    step_s=4.0,
    max_hold_s=60.0,
    slow_factor=2.0,
    probe_after_s=30.0,
    probe_machines=2,
    max_evacuation_s=60.0,
)
CUT_POLICY = PartialCutPolicy(
    enabled=True, min_machines=5, shared_share=0.15, wait_boots=1.5, handover_factor=1.5
)
ANSWERS: dict[str, dict[str, Any]] = {
    "/grants": {"tether": LEASE},
    "/txn": {"epoch": REVISION + 1},
    "/hosts": {"saltlicks": ["host-1", "host-2"]},
    "/peer/knocks": {"knocks": 3, "served_s": 0.5, "seen": [["m9", 1, 2, 6]]},
    "/peer/promise": {"promise": True},
    "/keys": {"rows": [], "epoch": REVISION},
    "/changes": {"log": [], "epoch": REVISION},
}


class CallRecorder:
    """Client of one process that records calls, with encoded bodies, instead of sending them."""

    def __init__(self) -> None:
        self.calls: list[list[Any]] = []

    def dial(self, endpoint: str, slots: int) -> Any:
        """Return this recorder in place of a ``HttpClient``."""
        return self

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 2.0,
        query: dict[str, Any] | None = None,
        endpoint: str = "",
    ) -> Answer:
        """Record the call, and return an example answer."""
        self.calls.append([method, path, encode(body).hex(), query or {}])
        if path.startswith("/keys/"):
            return Answer(404, {})
        if path == "/do":
            worker = heartbeat("m1", 9)
            return Answer(200, msgspec.to_builtins(worker))
        return Answer(200, ANSWERS.get(path, {}))

    def close(self) -> None:
        """Do nothing: there is no connection to close."""


def request(body: Any = None, parameter: str = "") -> Request:
    """Return a request in the form that handlers receive."""
    payload = b"" if body is None else encode(body)
    return Request(parameter, payload, "10.0.0.1", None, None)


async def reply_bytes(answer: Reply | Awaitable[Reply]) -> list[Any]:
    """Return the status and the hexadecimal body of a handler's reply."""
    reply = answer if isinstance(answer, Reply) else await answer
    body = reply.body if isinstance(reply.body, bytes) else encode(reply.body)
    return [reply.status, body.hex()]


def full_submission() -> Any:
    """Return a submission with a value in each field."""
    return spec(
        "req-7",
        image="img",
        image_gb=2.5,
        machine_types=["big", "small"],
        zone="north",
        single_zone=True,
        spread_zones=True,
        spot=True,
        checkpoint_interval_s=5.0,
        checkpoint_save_s=1.0,
        deadline_s=90.0,
        depends_on=["req-1", "req-2"],
        accelerators=1.0,
    )


def static_examples() -> dict[str, Any]:
    """Return examples of messages and records that need no controller."""
    full = full_submission()
    many = spec("req-8", depends_on=[f"req-{n}" for n in range(300)])
    types = msgspec.to_builtins(FLAVORS)
    layout = DoneTaskLayout(16.0, 2.0)
    zone = ZoneState(ZONE_POLICY, NOW - 20.0)
    zone.enter(ZonePhase.LOST, "why", NOW - 10.0)
    return {
        "submission": encode(full).hex(),
        "submission with defaults": encode(spec()).hex(),
        "heartbeat": encode(
            heartbeat("m1", 3, ("req-1/0", 5, "running"), ("req-1/1", 6, "exited", "done", True))
        ).hex(),
        "status": encode(JobStatus.with_progress("req-1", "running", 3, 4, ["req-0"])).hex(),
        "status of a queued job": encode(JobStatus.with_progress("req-1", "queued")).hex(),
        "stop": encode(StopCommand("req-1/0", 5, 2.5)).hex(),
        "job": records.job_rows(full, 4.0, 8),
        "job with many dependencies": records.job_rows(many, 2.0, 8),
        "outcome": records.outcome_value(full, "done", WALL, 4.0),
        "outcome with its names cut": records.outcome_value(full, "aborted", WALL, 0.3),
        "machine types": records.machine_type_rows(types, 4.0),
        "machine types in parts": records.machine_type_rows(types * 9, 1.0),
        "done tasks": [
            [layout.item_name("req-1", base), layout.encode(base, range(base, base + 9))]
            for base in layout.item_starts(900)
        ],
        "zone": [
            zone_records.record_key("north 1"),
            zone_records.record_value(zone, 1, NOW, WALL),
        ],
        "keys": [
            records.job_key("req-1"),
            records.outcome_key("req-1"),
            records.dependencies_key("req-1", 2),
            records.LEADER,
            records.FENCING_TOKEN,
            records.DELEGATION_REQUESTS,
            records.DELEGATIONS,
            records.MACHINE_REGISTRY,
            records.DONE_TASKS,
        ],
    }


async def election_calls() -> list[list[Any]]:
    """Return the calls of a controller that campaigns for leadership and for its zone's leases."""
    recorder = CallRecorder()
    controller = Controller(settings("n0", ("n1",)), random.Random(1), lambda: NOW, recorder.dial)
    await controller.election._campaign(None, None)
    controller.leader_view.member = "n1"
    controller.leader_view.fencing_token = FENCING_TOKEN
    await controller.zone_lease_delegate._request_delegation()
    assert await ask_to_withhold_vote(controller.peers["n1"], "n0", 1.0)
    assert await ask_connectivity(controller.peers["n1"], leads=True) is not None
    await controller.leader_calls.query_or_cancel_job("/peer/poll", "req-1", 1.0)
    await controller.state_store.renew_lease(LEASE, 1.0)
    await controller.state_store.list_prefix("job/", RequestClass.USER)
    await controller.state_store.watch("job/", 3, 0.01)
    return recorder.calls


async def send_leader_calls(term: Term) -> None:
    """Make the leader call the state service, the cloud and the workers."""
    await term.outcomes.write_batch([term.ledger.jobs["req-1"]])
    machine = term.ledger.machines["m1"]
    machine.reconciled, machine.endpoint = False, "10.0.0.2:9"
    await term.worker_calls.reconcile(machine, 1.0)
    await term.worker_calls.send_commands(machine, [StopCommand("req-1/0", 5, 2.5)])
    await term.autoscaler.provision(MachineKind(0, 0, True), 3)
    assert machine.phase == UP
    await term.autoscaler.terminate([TerminationDecision.of(machine, "not needed")])
    await term.machine_type_records.store()
    term.machine_registry.pages.set("m1", ["small", "north", True, "10.0.0.2:9"])
    await write_pages(term.context, term.machine_registry.pages)
    term.save_loop.stale_dependencies["awaits/req-8/0"] = "req-8"
    await term.save_loop.delete_stale_dependencies()
    await term.zone_lease_delegations.grant(
        "n1", {"area": "north", "nonce": "x", "token": FENCING_TOKEN}
    )


async def leader_examples() -> dict[str, Any]:
    """Return the replies and the calls of a leader with a small fleet."""
    recorder = CallRecorder()
    policy = Policy(zone_recovery=ZONE_POLICY, partial_cuts=CUT_POLICY)
    controller = Controller(
        settings("n0", ("n1",)), random.Random(1), lambda: NOW, recorder.dial, policy
    )
    controller.machine_types.update({found.name: found for found in FLAVORS})
    lease = HeldLease(controller.state_store, LEASE, NOW, 1e9)
    term = Term(controller, FENCING_TOKEN, REVISION, lease, LeaseClock(lease.ttl), NO_TERM)
    term.clock.record_renewal(NOW)
    ledger = term.ledger
    ledger.loaded = ledger.ready = True
    controller.leader_view.term, controller.leader_view.member = term, "n0"
    clients, peers = ClientHandlers(controller), PeerHandlers(controller)
    results: dict[str, Any] = {}
    for n in range(2):
        ledger.add_machine(f"m{n}", "small", "north", n == 1, NOW, registered=True)
        results[f"first heartbeat of m{n}"] = await reply_bytes(
            clients.heartbeat(request(heartbeat(f"m{n}", 1, spot=n == 1)))
        )
    results["submission accepted"] = await reply_bytes(
        clients.submit(request(given(spec("req-1", image="img", task_count=3))))
    )
    results["submission with dependencies"] = await reply_bytes(
        clients.submit(request(given(spec("req-3", depends_on=["req-1"]))))
    )
    results["submission refused"] = await reply_bytes(
        clients.submit(request(given(spec("req-2", team="none"))))
    )
    scheduling_pass.schedule(ledger, random.Random(1), NOW)
    results["starts"] = await reply_bytes(clients.heartbeat(request(heartbeat("m0", 2))))
    job = ledger.jobs["req-1"]
    binding = job.bindings[0]
    shown = ("req-1/0", binding.attempt, "running")
    name, other = binding.machine.name, ("req-9/1", 4, "running")
    spot = binding.machine.spot
    results["a stop"] = await reply_bytes(
        clients.heartbeat(request(heartbeat(name, 3, shown, other, spot=spot)))
    )
    # A task is reaped some seconds after its start, and the clock of the examples stands still.
    binding.machine.recent_starts = RecentStarts()
    exits = (("req-1/0", binding.attempt, "exited", "error"), ("req-9/1", 4, "exited", "halted"))
    results["reaped"] = await reply_bytes(
        clients.heartbeat(request(heartbeat(name, 4, *exits, spot=spot)))
    )
    results["heartbeat refused"] = await reply_bytes(clients.heartbeat(request({"saltlick": "m1"})))
    results["status"] = await reply_bytes(clients.poll(request(parameter="req-1")))
    results["status of a job that waits"] = await reply_bytes(
        clients.poll(request(parameter="req-3"))
    )
    results["no such job"] = await reply_bytes(clients.poll(request(parameter="nonsense")))
    results["overview"] = await reply_bytes(clients.overview(request()))
    results["up"] = await reply_bytes(clients.ready(request()))
    results["peer"] = await reply_bytes(peers.connectivity(request({"leads": True})))
    results["peer poll"] = await reply_bytes(peers.poll(request({"uid": "req-1"})))
    recorder.calls.clear()
    await send_leader_calls(term)
    results["cancelled"] = await reply_bytes(clients.cancel(request(parameter="req-1")))
    results["calls"] = recorder.calls
    return results


async def follower_examples() -> dict[str, Any]:
    """Return the replies of a controller that does not lead."""
    recorder = CallRecorder()
    controller = Controller(settings("n1", ("n0",)), random.Random(1), lambda: NOW, recorder.dial)
    controller.state_store.last_response_at = NOW
    controller.leader_view.member = "n0"
    clients, peers = ClientHandlers(controller), PeerHandlers(controller)
    results: dict[str, Any] = {}
    results["redirect"] = await reply_bytes(clients.heartbeat(request(heartbeat("m1", 4))))
    results["peer"] = await reply_bytes(peers.connectivity(request({"leads": True})))
    results["peer poll"] = await reply_bytes(peers.poll(request({"uid": "req-1"})))
    results["not up"] = await reply_bytes(clients.ready(request()))
    controller.leader_view.member = None
    results["no leader"] = await reply_bytes(clients.heartbeat(request(heartbeat("m1", 5))))
    results["overview"] = await reply_bytes(clients.overview(request()))
    return results


def examples() -> dict[str, Any]:
    """Return all examples as JSON-compatible data."""
    one = uuid.UUID(int=0x1234567890ABCDEF1234567890ABCDEF)
    with (
        mock.patch.object(uuid, "uuid4", lambda: one),
        mock.patch.object(time, "time", lambda: WALL),
    ):
        found = {
            "plain": static_examples(),
            "election": asyncio.run(election_calls()),
            "leader": asyncio.run(leader_examples()),
            "follower": asyncio.run(follower_examples()),
        }
    plain: dict[str, Any] = json.loads(json.dumps(found))
    return plain


if __name__ == "__main__":
    FIXTURE.write_text(json.dumps(examples(), indent=1, sort_keys=True) + "\n")
    print(f"wrote {FIXTURE.relative_to(ROOT)}")
