"""Declared IP networks, and the one that an address belongs to: the longest prefix wins."""

from __future__ import annotations

import netaddr

from salthead.networks.declaration import Network
from salthead.toml_file import ConfigFileError


class NetworkDirectory:
    """The networks of a policy file, checked; ConfigFileError names the entry that is wrong.

    A network may lie within another one only if it says so: otherwise a mistyped prefix would
    quietly take machines out of the network that they belong to.
    """

    def __init__(self, declared: list[Network]) -> None:
        self.names = [one.name for one in declared]
        self.prefixes: list[netaddr.IPNetwork] = []
        for n, one in enumerate(declared):
            self.prefixes.append(self._prefix(n, one))
        self.index = {prefix: n for n, prefix in enumerate(self.prefixes)}
        for n, one in enumerate(declared):
            self._check_within(n, one)

    def _prefix(self, n: int, one: Network) -> netaddr.IPNetwork:
        entry = f"networks[{n}]"
        if not one.name or one.name in self.names[:n]:
            raise ConfigFileError(f"{entry}.name: must be there, and only once")
        try:
            prefix = netaddr.IPNetwork(one.prefix)
        except (netaddr.AddrFormatError, ValueError):
            raise ConfigFileError(f"{entry}.prefix: no network: {one.prefix!r}") from None
        if prefix.ip != prefix.network or "/" not in one.prefix:
            raise ConfigFileError(
                f"{entry}.prefix: {one.prefix!r} is no network, as {prefix.cidr} is"
            )
        if prefix in self.prefixes:
            other = self.names[self.prefixes.index(prefix)]
            raise ConfigFileError(f"{entry}.prefix: the same as that of {other!r}")
        return prefix

    def _check_within(self, n: int, one: Network) -> None:
        around = [prefix for prefix in self.prefixes if prefix != self.prefixes[n]]
        nearest = netaddr.smallest_matching_cidr(self.prefixes[n].ip, self._around(n, around))
        found = None if nearest is None else self.names[self.index[nearest]]
        if one.within == found:
            return
        if found is None:
            raise ConfigFileError(
                f"networks[{n}].within: {one.name!r} is not within {one.within!r}"
            )
        raise ConfigFileError(f"networks[{n}].within: {one.name!r} lies within {found!r}")

    def _around(self, n: int, others: list[netaddr.IPNetwork]) -> list[netaddr.IPNetwork]:
        return [prefix for prefix in others if self.prefixes[n] in prefix]

    def of(self, address: str) -> int | None:
        """The number of the network that an address (``host:port`` or bare) is in, if any."""
        host = address.rpartition(":")[0] if address.count(":") == 1 else address
        if host.startswith("["):
            host = host[1:].partition("]")[0]
        try:
            found = netaddr.smallest_matching_cidr(netaddr.IPAddress(host), self.prefixes)
        except (netaddr.AddrFormatError, ValueError):
            return None
        return None if found is None else self.index[found]
