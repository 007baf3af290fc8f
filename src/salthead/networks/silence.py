"""Machines of each declared network, and which of them are silent."""

from __future__ import annotations

from dataclasses import dataclass

from pyroaring import BitMap

from salthead.networks.directory import NetworkDirectory


@dataclass(frozen=True, slots=True)
class NetworkView:
    """State of a network, for operators."""

    name: str
    prefix: str
    machines: int
    silent: int  # machines without a recent heartbeat

    @property
    def all_silent(self) -> bool:
        """Return whether the network has machines and all of them are silent."""
        return 0 < self.machines == self.silent


class NetworkSilence:
    """Machines by network; the address of each machine is looked up once."""

    def __init__(self, directory: NetworkDirectory) -> None:
        self.directory = directory
        self.members = [BitMap() for _ in directory.names]
        self.known = BitMap()
        self.network_of: dict[int, int] = {}

    def record_endpoint(self, machine: int, endpoint: str) -> None:
        """Assign a machine to the network of its endpoint, once."""
        if not endpoint or machine in self.known:
            return
        self.known.add(machine)
        network = self.directory.find(endpoint)
        if network is not None:
            self.members[network].add(machine)
            self.network_of[machine] = network

    def remove(self, machine: int) -> None:
        """Remove a terminated machine."""
        self.known.discard(machine)
        self.network_of.pop(machine, None)
        for members in self.members:
            members.discard(machine)

    def name_of(self, machine: int) -> str | None:
        """Return the name of a machine's network; None if its address is in no declared one."""
        network = self.network_of.get(machine)
        return None if network is None else self.directory.names[network]

    def views(self, reporting: BitMap) -> list[NetworkView]:
        """Return the views of all networks; a machine counts only in its smallest network.

        ``reporting``: the machines with a recent heartbeat.
        """
        return [
            NetworkView(name, str(prefix), len(members), len(members - reporting))
            for name, prefix, members in zip(
                self.directory.names, self.directory.prefixes, self.members, strict=True
            )
        ]
