"""Lease arithmetic: every bound is safe for a clock drift of the other party."""

import pytest

from salthead.leases.leader_lease import (
    LeaderStickiness,
    LeaseClock,
    certainly_expired_at,
    leader_ttl,
    valid_until,
    vote_withheld_duration_s,
)


@pytest.mark.parametrize("lease_s", [3.0, 11.0, 21.0, 60.0])
def test_a_leaders_lease_and_takeover_fit_into_a_workers(lease_s: float) -> None:
    ttl = leader_ttl(lease_s)
    # The lease with its margin, and as much again for the election and the worker's next retries.
    assert ttl + 0.1 <= lease_s / 2
    assert ttl >= 0.1


@pytest.mark.parametrize("ttl", [0.5, 3.6, 7.0])
@pytest.mark.parametrize("drift", [-0.0005, 0.0, 0.0005])
def test_the_holder_stops_before_the_service_can_end_the_lease(ttl: float, drift: float) -> None:
    # The service counts from the receipt of the request, which is after its sending, on its clock.
    ours = valid_until(100.0, ttl) - 100.0
    assert ours * (1 + drift) < ttl


@pytest.mark.parametrize("drift", [-0.0005, 0.0, 0.0005])
def test_a_worker_has_let_go_before_it_is_taken_to_have(drift: float) -> None:
    assert (certainly_expired_at(50.0, 21.0) - 50.0) * (1 + drift) > 21.0


def test_renewals_never_shorten_and_a_drop_ends() -> None:
    clock = LeaseClock(4.0)
    assert not clock.valid(0.0)
    clock.record_renewal(10.0)
    clock.record_renewal(9.0)  # a late answer to an earlier renewal
    assert clock.valid(13.5) and not clock.valid(14.0)
    clock.invalidate()
    assert not clock.valid(10.1)


class TestPromises:
    """Outages of the state service that outlast the leader's lease."""

    def test_promises_carry_on_from_the_lease_without_a_gap(self) -> None:
        clock = LeaseClock(5.0)
        clock.record_renewal(0.0)
        assert clock.extend_by_withheld_votes(4.0, 4.1)
        assert clock.valid(6.5) and not clock.valid(7.0)
        assert clock.extend_by_withheld_votes(6.0, 6.2) and clock.valid(8.5)

    def test_after_a_gap_only_the_lease_counts(self) -> None:
        clock = LeaseClock(5.0)
        clock.record_renewal(0.0)
        assert not clock.extend_by_withheld_votes(5.5, 5.6), "a peer may have campaigned in between"
        assert not clock.valid(5.7)
        clock.record_renewal(6.0)
        assert clock.valid(6.1)

    @pytest.mark.parametrize("drift", [-0.0005, 0.0, 0.0005])
    @pytest.mark.parametrize("ttl", [1.0, 3.7, 7.0, 20.0])
    def test_the_leader_stops_before_a_peer_may_stand(self, ttl: float, drift: float) -> None:
        clock, peer = LeaseClock(ttl), LeaderStickiness(ttl, -1e9)
        clock.record_renewal(0.0)
        peer.withhold_vote(0.0)  # received no earlier than it was sent
        clock.extend_by_withheld_votes(0.0, 0.0)
        assert peer.withheld_until * (1 + drift) > clock.votes_withheld_until

    @pytest.mark.parametrize(
        ("now", "own_key", "first_ever", "stands"),
        [
            (100.5, False, False, False),  # an earlier process may have withheld its vote
            (100.5, True, False, True),  # the leader was that process itself
            (100.5, False, True, True),  # there was never a leader
            (100.0 + vote_withheld_duration_s(5.0) + 0.2, False, False, True),
        ],
    )
    def test_a_process_that_started_may_have_forgotten_a_promise(
        self, now: float, own_key: bool, first_ever: bool, stands: bool
    ) -> None:
        assert LeaderStickiness(5.0, 100.0).may_campaign(now, own_key, first_ever) == stands

    def test_a_promise_binds_whatever_the_key_says(self) -> None:
        peer = LeaderStickiness(5.0, 0.0)
        assert peer.withhold_vote(50.0)
        assert not peer.may_campaign(51.0, True, True)
        assert peer.may_campaign(54.0, False, False)

    def test_no_promise_while_an_own_try_is_in_doubt(self) -> None:
        peer = LeaderStickiness(5.0, 0.0)
        peer.campaign_indeterminate = True
        assert not peer.withhold_vote(50.0)
