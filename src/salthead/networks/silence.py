"""Which machines of each declared network are silent."""

from __future__ import annotations

from dataclasses import dataclass

from pyroaring import BitMap

from salthead.networks.directory import NetworkDirectory


@dataclass(frozen=True, slots=True)
class NetworkView:
    """What operators see of a network."""

    name: str
    prefix: str
    machines: int
    silent: int  # machines of which no heartbeat has arrived lately

    @property
    def all_silent(self) -> bool:
        """Whether it has machines and all of them are silent."""
        return 0 < self.machines == self.silent


class NetworkSilence:
    """The machines of each network. An address is looked up once for each machine."""

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
        network = self.directory.of(endpoint)
        if network is not None:
            self.members[network].add(machine)
            self.network_of[machine] = network

    def gone(self, machine: int) -> None:
        """A machine was returned."""
        self.known.discard(machine)
        self.network_of.pop(machine, None)
        for members in self.members:
            members.discard(machine)

    def name_of(self, machine: int) -> str | None:
        """The network that a machine is in, if its address is in a declared one."""
        network = self.network_of.get(machine)
        return None if network is None else self.directory.names[network]

    def views(self, heard: BitMap) -> list[NetworkView]:
        """All networks; a machine counts only in the one with the longest prefix.

        ``heard``: the machines that have sent a heartbeat lately.
        """
        return [
            NetworkView(name, str(prefix), len(members), len(members - heard))
            for name, prefix, members in zip(
                self.directory.names, self.directory.prefixes, self.members, strict=True
            )
        ]
