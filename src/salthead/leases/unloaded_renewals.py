"""For how long a leader may renew workers' leases before it knows which jobs are cancelled.

A renewal by a leader that has loaded the records carries the stops of cancelled tasks; one by a
leader that hasn't lets them run for one more lease. Those of the second kind must be over one lease
before ``cancel_s``, counted from the confirmation, however many terms they are spread over:

- An *informed* term has loaded the records, and no lease from before that is left. A worker that
  still runs a cancelled task at its end was last renewed before the confirmation or, under a
  delegation, within the leader's TTL after it. The next term renews leases at most for the time
  that is left after that.
- After any other term it is unknown for how long leases have been renewed, and no time is left.
"""

from __future__ import annotations

from dataclasses import dataclass

from salthead.leases.leader_lease import certainly_expired_at, leader_ttl
from salthead.leases.zone_leases import delegation_end_for_leader


@dataclass(frozen=True, slots=True)
class PrecedingTerm:
    """What is durably known of the term before this one."""

    informed: bool
    delegated: bool  # another controller may have renewed leases for it


UNKNOWN_TERM = PrecedingTerm(informed=False, delegated=True)
NO_TERM = PrecedingTerm(informed=True, delegated=False)  # nothing was cancelled before the first


def unloaded_renewal_s(lease_s: float, cancel_s: float, preceding: PrecedingTerm) -> float:
    """Return for how long a term may renew leases before it has loaded the records."""
    if not preceding.informed:
        return 0.0
    # One lease from the last renewal before the confirmation, and one from the last of this term.
    left_s = cancel_s - 2.0 * certainly_expired_at(0.0, lease_s)
    if preceding.delegated:
        left_s -= delegation_end_for_leader(0.0, leader_ttl(lease_s))
    return max(0.0, left_s)
