"""The settings file that the platform hands over, as typed structures."""

from __future__ import annotations

from pathlib import Path

import msgspec

from salthead import toml_file
from salthead.toml_file import ConfigFileError


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
    """A team's guaranteed share of the cluster, and the limit of its quota."""

    name: str
    guaranteed_cpus: float = msgspec.field(name="cpus", default=0.0)
    max_cpus: float = msgspec.field(name="cpus_max", default=0.0)
    guaranteed_gpus: float = msgspec.field(name="gpus", default=0.0)
    max_gpus: float = msgspec.field(name="gpus_max", default=0.0)


class Objective(msgspec.Struct):
    """A service-level objective for a class of jobs: the share of them that has to attain it."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    within_ms: float = 0.0
    share: float = 0.0
    times: float = 1.0


class WorkerTimings(msgspec.Struct):
    """Intervals and leases of workers, and time limits of their tasks."""

    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


STATE_LIMITS = ("rps", "write_rps", "value_kb", "txn_ops")


class UpcomingStateLimits(msgspec.Struct):
    """Limits that the state service will have from some moment on; absent ones stay."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service: rates of calls, and sizes of values and transactions."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    upcoming: UpcomingStateLimits | None = msgspec.field(name="next", default=None)

    def effective(self) -> StateLimits:
        """The limits that every request keeps to: the smaller of current and upcoming ones.

        The upcoming ones take effect without notice, and a request that is refused then would be
        refused for ever.
        """
        if self.upcoming is None:
            return self
        smaller = {
            name: min(getattr(self, name), value)
            for name in STATE_LIMITS
            if (value := getattr(self.upcoming, name)) is not None
        }
        return msgspec.structs.replace(self, upcoming=None, **smaller)


class CloudLimits(msgspec.Struct):
    """Limits of the cloud's interface."""

    rps: float
    list_lag_s: float


class ProcessQuota(msgspec.Struct):
    """Resources that the platform gives a process; 0 where it names none."""

    cpu_share: float = 1.0
    ram_mb: float = 0.0
    max_connections: int = 0


class Limits(msgspec.Struct):
    """The settings that all controllers share."""

    zones: list[str]
    workers: WorkerTimings
    state: StateLimits
    cloud: CloudLimits
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: ProcessQuota = msgspec.field(default_factory=ProcessQuota)
    initial_size: int = 1
    clock_error_ms: float = 0.0


class Settings(msgspec.Struct):
    """The whole settings file of one controller."""

    member: str
    area: str
    client_listen: str
    cluster_listen: str
    endpoints: Endpoints
    settings: Limits
    seeds: list[Seed] = []


# Entries that have to be in range, by the names that the file gives them.
NOT_NEGATIVE = ("cpu_share", "ram_mb", "max_connections")  # of the quota; 0: none is named
POSITIVE = {
    "settings.workers": ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"),
    "settings.state": STATE_LIMITS,
    "settings.cloud": ("rps",),
}


def split_endpoint(text: str) -> tuple[str, int]:
    """``host:port`` in its two parts; ValueError when it is not that."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def check(settings: Settings) -> None:
    """Check what types alone do not say; ConfigFileError names the field."""
    _check_addresses(settings)
    if not settings.member:
        raise ConfigFileError("member: must not be empty")
    limits = settings.settings
    if not limits.zones:
        raise ConfigFileError("settings.zones: at least one zone is needed")
    _check_numbers(limits)
    team_names = [team.name for team in limits.teams]
    if len(set(team_names)) != len(team_names):
        raise ConfigFileError("settings.teams: a name stands twice")


def _check_addresses(settings: Settings) -> None:
    addresses = {
        "client_listen": settings.client_listen,
        "cluster_listen": settings.cluster_listen,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
    }
    addresses |= {
        f"seeds[{number}].endpoint": seed.endpoint for number, seed in enumerate(settings.seeds)
    }
    for field, text in addresses.items():
        try:
            split_endpoint(text)
        except ValueError as error:
            raise ConfigFileError(f"{field}: {error}") from None


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
                raise ConfigFileError(f"{path}.{name}: must be above 0")
    for name in POSITIVE["settings.state"]:
        value = getattr(limits.state.upcoming, name, None)
        if value is not None and not value > 0:
            raise ConfigFileError(f"settings.state.next.{name}: must be above 0")
    for name in NOT_NEGATIVE:
        if not getattr(limits.quota, name) >= 0:  # also refuses what is not a number
            raise ConfigFileError(f"settings.quota.{name}: must not be negative")


def load(path: str | Path) -> Settings:
    """Read and check a settings file; ConfigFileError says what is wrong, naming the file."""
    return toml_file.read(path, Settings, check)
