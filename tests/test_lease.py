"""Lease arithmetic: every bound errs on the side of the other party's clock."""

import pytest

from salthead.coordination.lease import LeaseClock, leader_ttl, surely_over, valid_until


@pytest.mark.parametrize("lease_s", [3.0, 11.0, 21.0, 60.0])
def test_a_leaders_lease_and_takeover_fit_into_a_workers(lease_s: float) -> None:
    ttl = leader_ttl(lease_s)
    # the lease, its late end, and as much again for the election and the worker's next tries
    assert ttl + 0.1 <= lease_s / 2
    assert ttl >= 0.1


@pytest.mark.parametrize("ttl", [0.5, 3.6, 7.0])
@pytest.mark.parametrize("drift", [-0.0005, 0.0, 0.0005])
def test_the_holder_stops_before_the_service_can_end_the_lease(ttl: float, drift: float) -> None:
    # The service counts from the receipt, which is never before the sending, on its own clock.
    ours = valid_until(100.0, ttl) - 100.0
    assert ours * (1 + drift) < ttl


@pytest.mark.parametrize("drift", [-0.0005, 0.0, 0.0005])
def test_a_worker_has_let_go_before_it_is_taken_to_have(drift: float) -> None:
    assert (surely_over(50.0, 21.0) - 50.0) * (1 + drift) > 21.0


def test_renewals_never_shorten_and_a_drop_ends() -> None:
    clock = LeaseClock(4.0)
    assert not clock.valid(0.0)
    clock.renewed(10.0)
    clock.renewed(9.0)  # a late answer to an earlier renewal
    assert clock.valid(13.5) and not clock.valid(14.0)
    clock.drop()
    assert not clock.valid(10.1)
