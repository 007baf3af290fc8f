"""The settings file that the platform hands over."""

from __future__ import annotations

from pathlib import Path

import msgspec

from salthead import toml_file
from salthead.toml_file import ConfigFileError as SettingsError


class Seed(msgspec.Struct):
    """Another controller."""

    member: str
    endpoint: str
    area: str = ""


class Endpoints(msgspec.Struct):
    """Where the cloud and the state service are."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guarantee and limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    """What users expect of a class of jobs."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    within_ms: float = 0.0
    share: float = 0.0
    times: float = 1.0


class Workers(msgspec.Struct):
    """Periods and leases of workers."""

    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextState(msgspec.Struct):
    """Limits that the state service will have from some moment on; absent ones stay."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    def effective(self) -> State:
        """What every request keeps to: the smaller of the limits that are and those to come.

        They come without notice, and what is refused then would be refused for ever.
        """
        if self.next is None:
            return self
        both = {
            name: min(getattr(self, name), value)
            for name in ("rps", "write_rps", "value_kb", "txn_ops")
            if (value := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, next=None, **both)


class Cloud(msgspec.Struct):
    """Limits of the cloud's interface."""

    rps: float
    list_lag_s: float


class Quota(msgspec.Struct):
    """What the platform gives a process."""

    cpu_share: float = 1.0
    ram_mb: float = 0.0
    max_connections: int = 0


class Limits(msgspec.Struct):
    """What holds for all controllers."""

    zones: list[str]
    workers: Workers
    state: State
    cloud: Cloud
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: Quota = msgspec.field(default_factory=Quota)
    initial_size: int = 1
    clock_error_ms: float = 0.0


class Settings(msgspec.Struct):
    """The whole settings file."""

    member: str
    area: str
    client_listen: str
    cluster_listen: str
    endpoints: Endpoints
    settings: Limits
    seeds: list[Seed] = []


NOT_NEGATIVE = ("cpu_share", "ram_mb", "max_connections")  # of the quota; 0: none is named
POSITIVE = {
    "settings.workers": ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"),
    "settings.state": ("rps", "write_rps", "value_kb", "txn_ops"),
    "settings.cloud": ("rps",),
}


def split_endpoint(text: str) -> tuple[str, int]:
    """``host:port`` in its two parts; ValueError when it is not that."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def check(found: Settings) -> None:
    """What types alone do not say; SettingsError names the field."""
    _check_addresses(found)
    if not found.member:
        raise SettingsError("member: must not be empty")
    limits = found.settings
    if not limits.zones:
        raise SettingsError("settings.zones: at least one zone is needed")
    _check_numbers(limits)
    teams = [team.name for team in limits.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError("settings.teams: a name stands twice")


def _check_addresses(found: Settings) -> None:
    addresses = {
        "client_listen": found.client_listen,
        "cluster_listen": found.cluster_listen,
        "endpoints.cloud": found.endpoints.cloud,
        "endpoints.state": found.endpoints.state,
    }
    addresses |= {f"seeds[{n}].endpoint": seed.endpoint for n, seed in enumerate(found.seeds)}
    for field, text in addresses.items():
        try:
            split_endpoint(text)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None


def _check_numbers(limits: Limits) -> None:
    groups = {
        "settings.workers": limits.workers,
        "settings.state": limits.state,
        "settings.cloud": limits.cloud,
    }
    for path, names in POSITIVE.items():
        values = msgspec.to_builtins(groups[path])
        for name in names:
            if not values[name] > 0:
                raise SettingsError(f"{path}.{name}: must be above 0")
    for name in POSITIVE["settings.state"]:
        value = getattr(limits.state.next, name, None)
        if value is not None and not value > 0:
            raise SettingsError(f"settings.state.next.{name}: must be above 0")
    for name in NOT_NEGATIVE:
        if not getattr(limits.quota, name) >= 0:  # also refuses what is not a number
            raise SettingsError(f"settings.quota.{name}: must not be negative")


def load(path: str | Path) -> Settings:
    """Read and check a settings file; SettingsError says what is wrong, naming the file."""
    return toml_file.read(path, Settings, check)
