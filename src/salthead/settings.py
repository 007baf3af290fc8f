"""Typed structures of the settings file that the platform provides, and their validation."""

from __future__ import annotations

from pathlib import Path

import msgspec

from salthead import toml_file
from salthead.toml_file import ConfigFileError


class Seed(msgspec.Struct):
    """Identity and peer address of another controller."""

    member: str
    endpoint: str
    area: str = ""


class Endpoints(msgspec.Struct):
    """Addresses of the cloud API and the state service, each as HOST:PORT."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guaranteed capacity and the limit of its quota."""

    name: str
    guaranteed_cpus: float = msgspec.field(name="cpus", default=0.0)
    max_cpus: float = msgspec.field(name="cpus_max", default=0.0)
    guaranteed_gpus: float = msgspec.field(name="gpus", default=0.0)
    max_gpus: float = msgspec.field(name="gpus_max", default=0.0)


class Objective(msgspec.Struct):
    """A service-level objective of a job class, and the share of jobs that must meet it."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: float = 0.0
    within_ms: float = 0.0
    share: float = 0.0
    times: float = 1.0


class WorkerTimings(msgspec.Struct):
    """Heartbeat interval and lease of workers, and timeouts of their tasks."""

    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


STATE_LIMIT_NAMES = ("rps", "write_rps", "value_kb", "txn_ops")


class UpcomingStateLimits(msgspec.Struct):
    """Announced limits of the state service; a limit that is None does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service: request rates, and sizes of values and transactions."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    upcoming: UpcomingStateLimits | None = msgspec.field(name="next", default=None)

    def effective(self) -> StateLimits:
        """Return the smaller of the current and the upcoming value of each limit.

        The upcoming limits take effect without notice. A request that exceeds them would then be
        refused on every retry.
        """
        if self.upcoming is None:
            return self
        smaller = {
            name: min(getattr(self, name), value)
            for name in STATE_LIMIT_NAMES
            if (value := getattr(self.upcoming, name)) is not None
        }
        return msgspec.structs.replace(self, upcoming=None, **smaller)


class CloudLimits(msgspec.Struct):
    """Rate limit of the cloud API, and the delay with which its machine list is updated."""

    rps: float
    list_lag_s: float


class ProcessQuota(msgspec.Struct):
    """Resources that the platform grants a controller process; 0 means unspecified."""

    cpu_share: float = 1.0
    ram_mb: float = 0.0
    max_connections: int = 0


class Limits(msgspec.Struct):
    """Settings that are the same for all controllers."""

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
    """Contents of the settings file of one controller."""

    member: str
    area: str
    client_listen: str
    cluster_listen: str
    endpoints: Endpoints
    settings: Limits
    seeds: list[Seed] = []


# Entries with a lower bound, by their names in the file. 0 leaves a quota unspecified.
NON_NEGATIVE_QUOTAS = ("cpu_share", "ram_mb", "max_connections")
POSITIVE_ENTRIES = {
    "settings.workers": ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"),
    "settings.state": STATE_LIMIT_NAMES,
    "settings.cloud": ("rps",),
}


def split_endpoint(text: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port; raise ValueError if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, not {text!r}")
    return host, int(port)


def check(settings: Settings) -> None:
    """Validate what the types do not express; raise ConfigFileError that names the field."""
    _check_addresses(settings)
    if not settings.member:
        raise ConfigFileError("member: must not be empty")
    limits = settings.settings
    if not limits.zones:
        raise ConfigFileError("settings.zones: must contain at least one zone")
    _check_numbers(limits)
    team_names = [team.name for team in limits.teams]
    if len(set(team_names)) != len(team_names):
        raise ConfigFileError("settings.teams: team names must be unique")


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
    for path, names in POSITIVE_ENTRIES.items():
        values = msgspec.to_builtins(groups[path])
        for name in names:
            if not values[name] > 0:
                raise ConfigFileError(f"{path}.{name}: must be greater than 0")
    for name in POSITIVE_ENTRIES["settings.state"]:
        value = getattr(limits.state.upcoming, name, None)
        if value is not None and not value > 0:
            raise ConfigFileError(f"settings.state.next.{name}: must be greater than 0")
    for name in NON_NEGATIVE_QUOTAS:
        if not getattr(limits.quota, name) >= 0:  # true for NaN as well
            raise ConfigFileError(f"settings.quota.{name}: must not be negative")


def load(path: str | Path) -> Settings:
    """Read and validate a settings file; raise ConfigFileError that names file and problem."""
    return toml_file.read(path, Settings, check)
