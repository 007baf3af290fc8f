"""Declared IP networks, and the one that an address belongs to: the longest prefix wins."""

from __future__ import annotations

from collections.abc import Sequence

import netaddr

from salthead.networks.declaration import Network
from salthead.toml_file import ConfigFileError


class NetworkDirectory:
    """The networks of a policy file, checked; ConfigFileError names the entry that is wrong.

    A network may lie within another one only if it says so: otherwise a mistyped prefix would
    quietly take machines out of the network that they belong to.
    """

    def __init__(self, declared: Sequence[Network]) -> None:
        self.names = [network.name for network in declared]
        self.prefixes: list[netaddr.IPNetwork] = []
        for n, network in enumerate(declared):
            self.prefixes.append(self._checked_prefix(n, network))
        self.index = {prefix: n for n, prefix in enumerate(self.prefixes)}
        for n, network in enumerate(declared):
            self._check_within(n, network)

    def _checked_prefix(self, n: int, network: Network) -> netaddr.IPNetwork:
        entry = f"networks[{n}]"
        if not network.name or network.name in self.names[:n]:
            raise ConfigFileError(f"{entry}.name: must be there, and only once")
        try:
            prefix = netaddr.IPNetwork(network.prefix)
        except (netaddr.AddrFormatError, ValueError):
            raise ConfigFileError(f"{entry}.prefix: no network: {network.prefix!r}") from None
        if prefix.ip != prefix.network or "/" not in network.prefix:
            raise ConfigFileError(
                f"{entry}.prefix: {network.prefix!r} is no network, as {prefix.cidr} is"
            )
        if prefix in self.prefixes:
            same = self.names[self.prefixes.index(prefix)]
            raise ConfigFileError(f"{entry}.prefix: the same as that of {same!r}")
        return prefix

    def _check_within(self, n: int, network: Network) -> None:
        own = self.prefixes[n]
        larger = [prefix for prefix in self.prefixes if prefix != own and own in prefix]
        nearest = netaddr.smallest_matching_cidr(own.ip, larger)
        found = None if nearest is None else self.names[self.index[nearest]]
        if network.within == found:
            return
        entry, name = f"networks[{n}].within", network.name
        if found is None:
            raise ConfigFileError(f"{entry}: {name!r} is not within {network.within!r}")
        raise ConfigFileError(f"{entry}: {name!r} lies within {found!r}")

    def of(self, address: str) -> int | None:
        """The index of the network that an address (``host:port`` or bare) is in; None if none."""
        host = address.rpartition(":")[0] if address.count(":") == 1 else address
        if host.startswith("["):
            host = host[1:].partition("]")[0]
        try:
            found = netaddr.smallest_matching_cidr(netaddr.IPAddress(host), self.prefixes)
        except (netaddr.AddrFormatError, ValueError):
            return None
        return None if found is None else self.index[found]
