"""Small platform limits, machine types and settings for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.protocol.messages import MachineType
from salthead.settings import Limits, Settings

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

MACHINE_TYPES = [
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


def platform_limits(**changes: Any) -> Limits:
    """Return the limits; ``changes`` replace whole groups."""
    return msgspec.convert(LIMITS | changes, Limits)


def settings_tree(member: str = "n0", others: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the settings of a controller in the structure of its configuration file."""
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
    """Return settings of class ``kind``; ``state`` overrides limits of the state service."""
    tree = settings_tree(member, others)
    tree["settings"] = LIMITS | {"state": LIMITS["state"] | state}
    return msgspec.convert(tree, kind)
