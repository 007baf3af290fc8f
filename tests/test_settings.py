"""The settings file: rejected values and their error messages."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from salthead.cli import main
from salthead.settings import load
from salthead.toml_file import ConfigFileError

GOOD = """
member = "n0"
area = "a"
client_listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
unheard_of = 3
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
zones = ["a"]
new_field = "x"
[settings.workers]
report_s = 1
lease_s = 11.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 36.0
[settings.state]
rps = 60.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 4.0
list_lag_s = 8.0
"""


def test_unknown_fields_are_ignored(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD)
    assert load(path).settings.workers.heartbeat_interval_s == 1.0


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('member = "n0"', "", "member"),
        ('member = "n0"', "member = 5", "$.member"),
        ('member = "n0"', 'member = ""', "member"),
        ("lease_s = 11.0", 'lease_s = "long"', "$.settings.workers.lease_s"),
        ("lease_s = 11.0", "lease_s = -1.0", "settings.workers.lease_s"),
        ("txn_ops = 12", "txn_ops = 1.5", "$.settings.state.txn_ops"),
        ("txn_ops = 12", "txn_ops = 12\nnext = 5", "$.settings.state.next"),
        ("txn_ops = 12", "txn_ops = 12\nnext = { value_kb = 0.0 }", "state.next.value_kb"),
        ("txn_ops = 12", "txn_ops = 12\nnext = { txn_ops = 1.5 }", "state.next.txn_ops"),
        (
            "list_lag_s = 8.0",
            "list_lag_s = 8.0\n[settings.quota]\ncpu_share = -0.1",
            "settings.quota.cpu_share",
        ),
        (
            "list_lag_s = 8.0",
            "list_lag_s = 8.0\n[settings.quota]\ncpu_share = nan",
            "settings.quota.cpu_share",
        ),
        (
            "list_lag_s = 8.0",
            'list_lag_s = 8.0\n[settings.quota]\nram_mb = "98 MB"',
            "$.settings.quota.ram_mb",
        ),
        (
            "list_lag_s = 8.0",
            "list_lag_s = 8.0\n[settings.quota]\nmax_connections = -1",
            "quota.max_connections",
        ),
        ('zones = ["a"]', "zones = []", "settings.zones"),
        ('cloud = "127.0.0.1:1"', 'cloud = "nowhere"', "endpoints.cloud"),
        ('client_listen = "127.0.0.1:8080"', 'client_listen = "127.0.0.1:99999"', "client_listen"),
        ('member = "n0"', "member = ", "invalid TOML"),
    ],
)
def test_bad_settings_name_file_and_field(tmp_path: Path, old: str, new: str, named: str) -> None:
    path = tmp_path / "s.toml"
    assert old in GOOD
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ConfigFileError) as error:
        load(path)
    assert named in str(error.value) and str(path) in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    "quota", ["", "[settings.quota]", "[settings.quota]\ncpu_share = 0.0\nmax_connections = 0"]
)
def test_a_quota_may_name_nothing(tmp_path: Path, quota: str) -> None:
    path = tmp_path / "s.toml"
    path.write_text(f"{GOOD}\n{quota}\n")
    assert load(path).settings.quota.max_connections == 0


@pytest.mark.parametrize(
    ("next_limits", "kept"),
    [
        ("", (60.0, 20.0, 4.0, 12)),
        ("next = {}", (60.0, 20.0, 4.0, 12)),
        ("next = { write_rps = 15.0, value_kb = 2.0, txn_ops = 4 }", (60.0, 15.0, 2.0, 4)),
        ("next = { value_kb = 64.0, txn_ops = 4, new_field = 1 }", (60.0, 20.0, 4.0, 4)),
    ],
)
def test_the_smaller_of_the_limits_now_and_next_is_kept(
    tmp_path: Path,
    next_limits: str,
    kept: tuple[float, float, float, int],
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD.replace("txn_ops = 12", f"txn_ops = 12\n{next_limits}"))
    found = load(path).settings.state.effective()
    assert (found.rps, found.write_rps, found.value_kb, found.txn_ops) == kept


def test_serve_ends_with_one_line(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["serve", "--config", str(tmp_path / "missing.toml")])
    assert result.exit_code != 0
    assert result.output.strip().count("\n") == 0
    assert "missing.toml" in result.output
