"""This gateway's share of the caps that hold for all gateways together. No I/O; the caller passes the time.

Usage: `Shares(own_index, scope, count, now, static)`; `fraction(now)` returns how much of any cap of that
scope (the cold budget of a cache, a source's limit) this gateway may use. `record_get(now)` is called for
each GET. `renewals_and_requests(now, candidates)` returns the lease requests to send, `grant(now, peer,
request)` what is lent to another gateway, and `receive_grant(now, peer, grant)` accepts what another one
lends.

Each gateway owns an equal share: the cap divided by the configured number of gateways. It always keeps
`FLOOR_FRACTION` of that; it lends the rest to gateways with more demand, and gets it back as the lease
expires. One fraction serves all caps of a scope, since gateways differ only in their demand.

**The sum never exceeds the cap**: the borrower counts a lease from when it sent the request, the lender from
when it granted it, which is later, and an eighth longer in case their clocks run at different speeds. So at
each time at most one gateway uses a lent share, whatever is lost, late, duplicated or held up on the way, and
clocks need not agree. A gateway that starts knows no lease of its previous process, and keeps to its floor
until the longest of them has expired. Nobody takes over the share of a silent gateway: it may be alive and
only unreachable. When the configured number of gateways changes, running ones use the smaller of both shares
for the duration of a lease, and new ones start with their floor: the sum is then at most 1 + FLOOR_FRACTION.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile
from statistics import median

from damsonstream.peers import wire

S = 10_000  # clock ticks (0.1 ms) per second
CAP_MILLIONTHS = 1_000_000  # shares are whole millionths of a cap, so that sums are exact
# Of the equal share, never lent: serves a sudden rise in demand until a lease is granted.
FLOOR_FRACTION = 0.25
# Longer than messages take, and short enough for a gateway that starts with its floor.
LEASE_DURATION = 3 * S
# A lender waits longer than it lent by one part in this many: tolerated difference in clock speed.
CLOCK_MARGIN_DIVISOR = 8
RENEW_BEFORE_END = LEASE_DURATION // 2  # renewal starts this long before the end: three attempts at most
REQUEST_INTERVAL = S  # between requests
MAX_PARALLEL_REQUESTS = 8  # gateways asked at a time, each for half an equal share or less
# A lender refuses renewal if it has less left than this fraction of what it wants; demand is a coarse
# estimate.
RENEWAL_THRESHOLD = 0.75
MIN_LEASE_FRACTION = 0.05  # of the equal share: a smaller lease is not worth a message
MAX_LEASES = 32  # lent, and as many borrowed: enough for many times the usual traffic
# A reported demand counts up to this multiple of the median, so that an invalid one has little effect.
OUTLIER_FACTOR = 8.0
DEMAND_WINDOW, BURST_WINDOW = 8 * S, S  # demand is the mean over the first, or over the second in a burst
# A burst has this many GETs in BURST_WINDOW above twice the mean: at 2 GETs a second one window in 30 by
# chance.
BURST_MARGIN = 4


@dataclass(slots=True)
class Lease:
    """A lent or borrowed share, or a pending request for one."""

    peer: int
    millionths: int
    expires_at: int
    requested_at: int = 0  # when it was last requested
    number: int = 0  # number of the lease, in tables keyed by request number


class Shares:
    """One gateway's share of the caps of one scope (its location, or the fleet), and its leases."""

    def __init__(
        self, own_index: int, scope: int, count: int, now: int, static: bool = False,
        get_times: deque[int] | None = None,
    ) -> None:  # fmt: skip
        """`count`: gateways of the scope. `static`: send no messages and keep to the equal share.
        `get_times`: those of another scope's instance, where both count the same GETs."""
        self.own_index, self.scope, self.static = own_index, scope, static
        self.count, self.equal_share = max(1, count), CAP_MILLIONTHS // max(1, count)
        self.provisional = self.equal_share if static else 0  # what it certainly owns until `settled_at`
        self.started_at, self.settled_at = now, now if static else now + self.max_lease_duration()
        # by borrower and lease number; emptied by time
        self.lent: dict[tuple[int, int], Lease] = {}
        self.borrowed: dict[int, Lease] = {}  # by lease number; emptied by time
        self.pending: dict[int, Lease] = {}  # unanswered requests, by request number; emptied by time
        self.next_request_at = now
        # Last lease or request number. Starts from the clock, not to repeat numbers of the previous process.
        self.sequence = now & 0x3FFFFFFF
        # emptied as DEMAND_WINDOW moves on
        self.get_times: deque[int] = deque() if get_times is None else get_times
        self.mean_demand = 0.0  # GETs a second of a gateway, the mean of those known; 0: unknown

    @staticmethod
    def max_lease_duration() -> int:
        """Returns how long a lent share may be in use elsewhere."""
        return LEASE_DURATION + LEASE_DURATION // CLOCK_MARGIN_DIVISOR

    def resize(self, now: int, count: int) -> None:
        """Sets the configured number of gateways. A smaller share holds at once, a larger one after all
        others have learned of the change."""
        if max(1, count) == self.count:
            return
        previous = self.owned(now)
        self.count = max(1, count)
        self.equal_share = CAP_MILLIONTHS // self.count
        self.provisional, self.settled_at = min(previous, self.equal_share), now + self.max_lease_duration()

    def owned(self, now: int) -> int:
        """Returns what this gateway owns, lent or not, in millionths. One that has just started has its floor
        only, since its previous process may have lent the rest."""
        if self.static or now >= self.settled_at:
            return self.equal_share
        return max(self.provisional, self.floor())

    def floor(self) -> int:
        """Returns what is never lent, in millionths."""
        return int(FLOOR_FRACTION * self.equal_share)

    def record_get(self, now: int) -> None:
        """Counts a GET."""
        self.get_times.append(now)
        if len(self.get_times) > 4096:
            self.get_times.popleft()

    def demand(self, now: int) -> float:
        """Returns the GETs a second that this gateway takes."""
        while self.get_times and self.get_times[0] <= now - DEMAND_WINDOW:
            self.get_times.popleft()
        average = len(self.get_times) * S / max(S, min(DEMAND_WINDOW, now - self.started_at))
        recent = sum(1 for _ in takewhile(lambda at: at > now - BURST_WINDOW, reversed(self.get_times)))
        return float(recent) if recent > 2 * average + BURST_MARGIN else average

    def set_peer_demands(self, demands: list[float]) -> None:
        """Sets the known demands of the other gateways of the scope, in GETs a second; each counts up to
        OUTLIER_FACTOR times the median. They must come from heartbeats, which all gateways send at the same
        rate: those that request leases have the most demand."""
        limit = OUTLIER_FACTOR * max(0.1, median(demands)) if demands else 0.0
        self.mean_demand = sum(min(limit, demand) for demand in demands) / len(demands) if demands else 0.0

    def wanted(self, now: int) -> int:
        """Returns the share, in millionths, that would be this gateway's if the cap were divided by
        demand."""
        own_demand, mean_demand = self.demand(now), self.mean_demand
        total = own_demand + mean_demand * (self.count - 1)
        return int(CAP_MILLIONTHS * own_demand / total) if mean_demand and total else self.equal_share

    def expire_leases(self, now: int) -> None:
        """Drops expired leases and requests."""
        self.lent = {key: lease for key, lease in self.lent.items() if lease.expires_at > now}
        self.borrowed = {key: lease for key, lease in self.borrowed.items() if lease.expires_at > now}
        self.pending = {key: lease for key, lease in self.pending.items() if lease.expires_at > now}

    def retained(self, now: int) -> int:
        """Returns what it owns less what is lent, in millionths."""
        return max(0, self.owned(now) - sum(lease.millionths for lease in self.lent.values()))

    def usable_millionths(self, now: int) -> int:
        """Returns what this gateway may use now, in millionths of a cap."""
        self.expire_leases(now)
        return self.retained(now) + sum(lease.millionths for lease in self.borrowed.values())

    def fraction(self, now: int) -> float:
        """Returns what this gateway may use now, as a fraction of a cap."""
        return self.usable_millionths(now) / CAP_MILLIONTHS

    def renewals_and_requests(
        self, now: int, candidates: Iterable[tuple[int, float]]
    ) -> list[tuple[int, wire.LeaseRequest]]:
        """Returns the requests to send now, with their receivers. `candidates`: gateways of the scope that
        may be asked, in order of preference, with their reported demand (negative: unknown)."""
        self.expire_leases(now)
        requests = []
        shortfall = self.wanted(now) - self.usable_millionths(now)
        min_lease = max(1, int(MIN_LEASE_FRACTION * self.equal_share))
        for number, lease in self.borrowed.items():
            # a lease that is no longer needed is not renewed, and so returns to its lender
            if (
                lease.expires_at - now <= RENEW_BEFORE_END
                and now - lease.requested_at >= REQUEST_INTERVAL
                and shortfall > -lease.millionths
            ):
                lease.requested_at = now
                requests.append(self.request(now, lease.peer, number, lease.millionths))
        if self.static or shortfall < min_lease or now < max(self.next_request_at, self.settled_at):
            return requests
        self.next_request_at = now + REQUEST_INTERVAL
        busy = {lease.peer for lease in (*self.borrowed.values(), *self.pending.values())}
        mean_demand, max_lease = self.mean_demand, self.equal_share - self.floor()
        lenders = [peer for peer, demand in candidates if peer not in busy and demand < mean_demand]
        count = min(MAX_PARALLEL_REQUESTS, max(1, 2 * shortfall // max(1, self.equal_share)))
        for peer in lenders[:count]:
            if len(self.borrowed) + len(self.pending) >= MAX_LEASES:
                break
            self.sequence += 1
            amount = max(min_lease, min(max_lease, shortfall // count))
            requests.append(self.request(now, peer, self.sequence, amount))
        return requests

    def request(self, now: int, peer: int, lease: int, millionths: int) -> tuple[int, wire.LeaseRequest]:
        """Returns a request for a lease, new or to be renewed, and notes that it is pending."""
        self.sequence += 1
        self.pending[self.sequence] = Lease(peer, millionths, now + LEASE_DURATION, now, lease)
        return peer, wire.LeaseRequest(self.scope, lease, self.sequence, millionths)

    def grant(self, now: int, peer: int, request: wire.LeaseRequest) -> wire.Grant | None:
        """Returns the grant for a request, if any. A repeated request gets the same answer and no more."""
        if request.scope != self.scope or self.static:
            return None
        self.expire_leases(now)
        key = peer, request.lease
        lease = self.lent.get(key)
        if lease is None:
            spare = self.retained(now) - max(self.floor(), self.wanted(now))
            amount = min(request.millionths, spare)
            if (
                amount < max(1, int(MIN_LEASE_FRACTION * self.equal_share))
                or len(self.lent) >= MAX_LEASES
                or now < self.settled_at
            ):
                return None
            lease = self.lent[key] = Lease(peer, amount, 0)
        elif self.retained(now) < RENEWAL_THRESHOLD * min(self.wanted(now), self.equal_share):
            return None  # needed here: the lease is left to expire
        lease.expires_at = now + self.max_lease_duration()
        return wire.Grant(self.scope, request.lease, request.request, lease.millionths, LEASE_DURATION)

    def receive_grant(self, now: int, peer: int, grant: wire.Grant) -> bool:
        """Accepts a grant if this gateway requested it from that peer; returns whether it did. The lease
        counts from when it was requested."""
        lease = self.pending.get(grant.request)
        if lease is None or (lease.peer, lease.number, self.scope) != (peer, grant.lease, grant.scope):
            return False
        del self.pending[grant.request]
        expires_at = lease.requested_at + min(LEASE_DURATION, grant.duration)
        known = self.borrowed.get(grant.lease)
        if expires_at <= now or grant.millionths > lease.millionths or (known and known.peer != peer):
            return False
        self.borrowed[grant.lease] = Lease(peer, grant.millionths, expires_at, lease.requested_at)
        return True
