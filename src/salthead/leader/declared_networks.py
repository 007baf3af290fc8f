"""The networks that a policy declares, for loops that follow which machines are silent together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead.policy import Network

if TYPE_CHECKING:
    from salthead.networks.silence import NetworkSilence


def network_silence(networks: list[Network]) -> NetworkSilence | None:
    """Which machines of the declared networks are silent; None where none is declared."""
    if not networks:
        return None
    # Here, so that the libraries are loaded only where networks are declared.
    from salthead.networks.directory import NetworkDirectory
    from salthead.networks.silence import NetworkSilence

    return NetworkSilence(NetworkDirectory(networks))
