"""Directory of declared IP networks, with lookup of addresses by longest prefix match."""

from __future__ import annotations

from collections.abc import Sequence

import netaddr

from salthead.networks.declaration import Network
from salthead.toml_file import ConfigFileError


class NetworkDirectory:
    """Validated networks of a policy file; ConfigFileError names the entry that is wrong.

    A network that lies within another one must declare it: otherwise a mistyped prefix would
    silently take machines out of the network that they belong to.
    """

    def __init__(self, declared: Sequence[Network]) -> None:
        self.names = [network.name for network in declared]
        self.prefixes: list[netaddr.IPNetwork] = []
        for n, network in enumerate(declared):
            self.prefixes.append(self._parse_prefix(n, network))
        self.number_by_prefix = {prefix: n for n, prefix in enumerate(self.prefixes)}
        for n, network in enumerate(declared):
            self._check_within(n, network)

    def _parse_prefix(self, n: int, network: Network) -> netaddr.IPNetwork:
        """Return an entry's prefix; raises ConfigFileError if its name or prefix is invalid."""
        entry = f"networks[{n}]"
        if not network.name or network.name in self.names[:n]:
            raise ConfigFileError(f"{entry}.name: must be set and unique")
        try:
            prefix = netaddr.IPNetwork(network.prefix)
        except (netaddr.AddrFormatError, ValueError):
            raise ConfigFileError(f"{entry}.prefix: invalid network {network.prefix!r}") from None
        if prefix.ip != prefix.network or "/" not in network.prefix:
            raise ConfigFileError(
                f"{entry}.prefix: {network.prefix!r} is not a network prefix such as {prefix.cidr}"
            )
        if prefix in self.prefixes:
            same = self.names[self.prefixes.index(prefix)]
            raise ConfigFileError(f"{entry}.prefix: already declared by {same!r}")
        return prefix

    def _check_within(self, n: int, network: Network) -> None:
        own = self.prefixes[n]
        supernets = [prefix for prefix in self.prefixes if prefix != own and own in prefix]
        smallest = netaddr.smallest_matching_cidr(own.ip, supernets)
        parent = None if smallest is None else self.names[self.number_by_prefix[smallest]]
        if network.within == parent:
            return
        entry, name = f"networks[{n}].within", network.name
        if parent is None:
            raise ConfigFileError(f"{entry}: {name!r} is not within {network.within!r}")
        raise ConfigFileError(f"{entry}: {name!r} lies within {parent!r}")

    def find(self, address: str) -> int | None:
        """Return the index of the network of an address (``host:port`` or bare); None if none."""
        host = address.rpartition(":")[0] if address.count(":") == 1 else address
        if host.startswith("["):
            host = host[1:].partition("]")[0]
        try:
            prefix = netaddr.smallest_matching_cidr(netaddr.IPAddress(host), self.prefixes)
        except (netaddr.AddrFormatError, ValueError):
            return None
        return None if prefix is None else self.number_by_prefix[prefix]
