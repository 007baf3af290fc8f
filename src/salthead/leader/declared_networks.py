"""Creation of the tracker of silent machines in the networks that a policy declares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead.policy import Network

if TYPE_CHECKING:
    from salthead.networks.silence import NetworkSilence


def network_silence(networks: list[Network]) -> NetworkSilence | None:
    """Return a tracker of silent machines per declared network, or None if none is declared."""
    if not networks:
        return None
    # Imported here so that its libraries are loaded only if networks are declared.
    from salthead.networks.directory import NetworkDirectory
    from salthead.networks.silence import NetworkSilence

    return NetworkSilence(NetworkDirectory(networks))
