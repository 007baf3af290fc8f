"""Small worlds for the tests: settings, jobs, machines and reports, on fake time."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.cluster.invariants import Invariants
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine
from salthead.heartbeats.handling import handle_heartbeat
from salthead.protocol.messages import Command, Heartbeat, MachineType, Submission, TaskStatus
from salthead.settings import Limits, Settings

Invariants.strict = True

LIMITS: dict[str, Any] = {
    "zones": ["north", "south"],
    "teams": [
        {"name": "red", "cpus": 8.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "blue", "cpus": 16.0, "cpus_max": 64.0, "gpus": 2.0, "gpus_max": 4.0},
    ],
    "workers": {
        "report_s": 2.0,
        "lease_s": 12.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 5.0,
        "cancel_s": 40.0,
    },
    "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 4.0, "txn_ops": 8},
    "cloud": {"rps": 8.0, "list_lag_s": 2.0},
}

FLAVORS = [
    MachineType(
        name="small",
        vcpus=8,
        ram_gb=32,
        rate=1.0,
        spot_price=0.4,
        boot_s=20.0,
        zones=["north", "south"],
    ),
    MachineType(
        name="big",
        vcpus=32,
        ram_gb=128,
        accelerators=2,
        rate=5.0,
        spot_price=2.0,
        boot_s=20.0,
        zones=["north", "south"],
    ),
]


def limits(**changes: Any) -> Limits:
    return msgspec.convert(LIMITS | changes, Limits)


def settings_tree(member: str = "n0", others: tuple[str, ...] = ()) -> dict[str, Any]:
    return {
        "member": member,
        "area": "north",
        "client_listen": f"{member}:1",
        "cluster_listen": f"{member}:2",
        "seeds": [{"member": o, "area": "north", "endpoint": f"{o}:2"} for o in others],
        "endpoints": {"cloud": "cloud:1", "state": "state:1"},
        "settings": LIMITS,
    }


def settings(
    member: str = "n0", others: tuple[str, ...] = (), kind: Any = Settings, **state: Any
) -> Any:
    """Settings of this version, or of ``kind``, with changes to the state service's limits."""
    tree = settings_tree(member, others)
    tree["settings"] = LIMITS | {"state": LIMITS["state"] | state}
    return msgspec.convert(tree, kind)


def spec(job_id: str = "req-1", **changes: Any) -> Submission:
    """A small array, with changes by the names of the structure's attributes."""
    found: dict[str, Any] = {
        "job_id": job_id,
        "job_class": "b",
        "team": "blue",
        "shape": "array",
        "urgency": "normal",
        "task_count": 2,
        "vcpus": 2.0,
        "ram_gb": 4.0,
        "estimated_run_s": 20.0,
        "at": 1000.0,
    }
    return msgspec.convert(msgspec.to_builtins(Submission(**(found | changes))), Submission)


def given(job: Any) -> dict[str, Any]:
    """A submission as a user sends it, or with what another controller left out: no field is
    missing."""
    made = job if not isinstance(job, dict) else msgspec.convert(job, Submission)
    found = {
        field.encode_name: getattr(made, field.name) for field in msgspec.structs.fields(Submission)
    }
    return found | {"kit": found["kit"] or "img-0"}


def ledger(now: float = 0.0, fencing_token: int = 7, **changes: Any) -> Ledger:
    made = Ledger(limits(**changes), fencing_token, now)
    made.set_machine_types(FLAVORS)
    made.loaded = True
    return made


def ready(now: float = 0.0, **changes: Any) -> Ledger:
    made = ledger(now, **changes)
    made.ready = True
    return made


def heartbeat(
    name: str,
    sequence: int,
    *task_count: tuple[Any, ...],
    incarnation: int = 1,
    fencing_token: int = 7,
    machine_type: str = "small",
    zone: str = "north",
    spot: bool = False,
    warning_s: float | None = None,
) -> Heartbeat:
    """Pieces are (piece, attempt, phase[, cause[, saved]])."""
    return Heartbeat(
        worker=name,
        incarnation=incarnation,
        sequence=sequence,
        fencing_token=fencing_token,
        machine_type=machine_type,
        zone=zone,
        spot=spot,
        warning_s=warning_s,
        endpoint="x:1",
        tasks=[
            TaskStatus(
                task_id=p[0],
                attempt=p[1],
                phase=p[2],
                cause=p[3] if len(p) > 3 else None,
                saved=p[4] if len(p) > 4 else False,
            )
            for p in task_count
        ],
    )


def machine(led: Ledger, name: str, now: float = 0.0, **kind: Any) -> Machine:
    """A machine that is up, in the machine registry, and has reported under the token."""
    led.add_machine(
        name,
        kind.get("machine_type", "small"),
        kind.get("zone", "north"),
        kind.get("spot", False),
        now,
        registered=True,
    )
    assert handle_heartbeat(led, heartbeat(name, 1, **kind), now) == []
    return led.machines[name]


def job(led: Ledger, now: float = 0.0, **changes: Any) -> Job:
    made = led.add_job(spec(**changes), now)
    assert made is not None
    return made


def verbs(orders: list[Command] | None) -> list[tuple[str, str]]:
    assert orders is not None
    return [(order["verb"], order["piece"]) for order in msgspec.to_builtins(orders)]
