"""Declared networks: validation of the policy file, longest prefix match and silence."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from helpers import heartbeat, ledger, machine
from salthead import policy
from salthead.heartbeats.handling import handle_heartbeat
from salthead.networks.declaration import Network
from salthead.networks.directory import NetworkDirectory
from salthead.networks.silence import NetworkSilence, NetworkView
from salthead.toml_file import ConfigFileError
from salthead.zones.recovery import ZoneRecovery
from test_zones import zone_policy

EAST = Network("east", "10.1.0.0/16")
EAST_2 = Network("east-2", "10.1.2.0/24", within="east")
WEST = Network("west", "10.2.0.0/16")
SIX = Network("six", "fd00:12::/32")


@pytest.mark.parametrize(
    ("networks", "named"),
    [
        ([EAST, EAST_2, WEST, SIX], ""),
        ([EAST_2, EAST], ""),  # in any order
        ([Network("a", "10.0.0.0/8"), Network("b", "10.1.0.0/16", "a"), EAST_2], "networks[2]"),
        ([Network("", "10.1.0.0/16")], "networks[0].name"),
        ([EAST, Network("east", "10.2.0.0/16")], "networks[1].name"),
        ([Network("a", "10.1.0.0/33")], "networks[0].prefix"),
        ([Network("a", "10.1.0.300/16")], "networks[0].prefix"),
        ([Network("a", "east")], "networks[0].prefix"),
        ([Network("a", "10.1.0.5/16")], "networks[0].prefix"),  # host bits are set
        ([Network("a", "10.1.0.5")], "networks[0].prefix"),  # an address, not a prefix
        ([Network("a", "fd00:12::1/32")], "networks[0].prefix"),
        ([EAST, Network("b", "10.1.0.0/16")], "networks[1].prefix"),  # a duplicate prefix
        ([SIX, Network("b", "fd00:0012:0::/32")], "networks[1].prefix"),
        # It overlaps without naming the outer network.
        ([EAST, Network("b", "10.1.2.0/24")], "networks[1].within"),
        ([EAST, Network("b", "10.3.0.0/24", "east")], "networks[1].within"),
        ([EAST, Network("b", "10.1.2.0/24", "west")], "networks[1].within"),
        ([Network("a", "10.1.0.0/16", "b")], "networks[0].within"),
    ],
)
def test_networks_are_checked(networks: list[Network], named: str) -> None:
    if not named:
        assert len(NetworkDirectory(networks).prefixes) == len(networks)
        return
    with pytest.raises(ConfigFileError) as found:
        NetworkDirectory(networks)
    assert str(found.value).startswith(named)


@pytest.mark.parametrize(
    ("address", "name"),
    [
        ("10.1.2.9:9000", "east-2"),  # the longest prefix wins
        ("10.1.3.9:9000", "east"),
        ("10.1.3.9", "east"),
        ("10.2.0.1:1", "west"),
        ("10.9.0.1:1", None),
        ("[fd00:12::9]:9000", "six"),
        ("fd00:12::9", "six"),
        ("fd00:13::9", None),
        ("somewhere:9000", None),
        ("", None),
    ],
)
def test_an_address_is_in_the_smallest_network(address: str, name: str | None) -> None:
    directory = NetworkDirectory([EAST, EAST_2, WEST, SIX])
    found = directory.find(address)
    assert (None if found is None else directory.names[found]) == name


def test_what_is_silent_in_each_network() -> None:
    led = ledger()
    silence = NetworkSilence(NetworkDirectory([EAST, EAST_2, WEST]))
    recovery = ZoneRecovery(
        led, zone_policy(suspect_share=0.2), random.Random(1), 0.0, 1000.0, silence
    )
    led.zone_hooks, led.ready = recovery, True
    addresses = [f"10.1.2.{n}:9" for n in range(4)] + [f"10.1.3.{n}:9" for n in range(4)]
    addresses += [f"10.2.0.{n}:9" for n in range(2)] + ["host:9"]
    for n, address in enumerate(addresses):
        machine(led, f"m{n}").endpoint = address
    now = 0.0
    while now < 12.0:
        now += 1.0
        for n in range(4, len(addresses)):  # the first four are silent
            handle_heartbeat(led, heartbeat(f"m{n}", int(now) + 1), now)
            led.machines[f"m{n}"].endpoint = addresses[n]
        if now == 1.0:
            for n in range(4):
                handle_heartbeat(led, heartbeat(f"m{n}", 2), now)
        recovery.observe(now)
    views = {view.name: (view.machines, view.silent) for view in recovery.evidence.network_views()}
    assert views == {"east": (4, 0), "east-2": (4, 4), "west": (2, 0)}
    assert "nothing is heard of east-2" in recovery.states[0].reason
    led.machine_gone(led.machines["m0"], now)
    assert recovery.evidence.network_views()[1] == NetworkView("east-2", "10.1.2.0/24", 3, 3)


def test_networks_of_a_policy_file(tmp_path: Path) -> None:
    path = tmp_path / "policy.toml"
    path.write_text('[[networks]]\nname = "east"\nprefix = "10.1.0.0/16"\n')
    assert policy.load(path).networks == [EAST]
    path.write_text('[[networks]]\nname = "east"\nprefix = "10.1.0.0/16"\nlink = "x"\n')
    with pytest.raises(ConfigFileError, match="link"):
        policy.load(path)
    path.write_text('[[networks]]\nname = "east"\nprefix = "10.1.0.0"\n')
    with pytest.raises(ConfigFileError, match=r"policy\.toml: networks\[0\]\.prefix"):
        policy.load(path)
