"""Decides whose requests are processed first while more come in than a gateway can process, and which of them
have waited too long to be opened. It does no I/O and reads no clock.

Usage: one `RequestCredit` for each client connection. `remaining_time_ms()` for each request.
"""

from __future__ import annotations

INITIAL_CREDIT = 4  # requests; a new connection has shown nothing yet
MAX_CREDIT = 32  # requests: as many as a connection may have open
CREDIT_PER_ANSWER = 2  # the one that the request used, and another one
REGAIN_INTERVAL_S = 1.0  # in which a connection without credit regains that for one request
# Share of the latency objective that a request may wait for being read, as in the queue of the router: after
# a longer wait, the objective can't be met.
MAX_WAIT_SHARE = 1 / 4
# Of a connection without credit. While others wait, its requests are refused, which takes far less time than
# opening them.
MAX_WAIT_WITHOUT_CREDIT_MS = 50.0


class RequestCredit:
    """The requests of one connection that are processed before those of connections without credit.

    Each request uses credit, and its final answer returns it, unless it was answered at once, without being
    opened: a refused or unusable one, or a health check. A client that takes its requests back, or whose
    requests can't be opened, runs out of credit and regains it slowly. Times are in seconds.
    """

    def __init__(self) -> None:
        self.credit = INITIAL_CREDIT
        self.exhausted_at = 0.0  # when credit was used last, or regained

    def use(self, now: float) -> bool:
        """Called for each request; returns whether there was credit for it."""
        if not self.is_left(now):
            return False
        self.credit -= 1
        self.exhausted_at = now
        return True

    def earn(self) -> None:
        """Called for the final answer to each request that was opened."""
        self.credit = min(MAX_CREDIT, self.credit + CREDIT_PER_ANSWER)

    def is_left(self, now: float) -> bool:
        """Returns whether the connection has credit for another request."""
        if not self.credit and now - self.exhausted_at >= REGAIN_INTERVAL_S:
            self.credit, self.exhausted_at = 1, now
        return self.credit > 0


def remaining_time_ms(time_left_ms: int, waited_ms: float, objective_ms: float, has_credit: bool) -> int:
    """Returns how much time a request has left that waited before it was read; 0 if it must be refused, so
    that others which wait can be processed in time."""
    max_wait_ms = MAX_WAIT_SHARE * min(objective_ms, time_left_ms)
    if not has_credit:
        max_wait_ms = min(max_wait_ms, MAX_WAIT_WITHOUT_CREDIT_MS)
    return time_left_ms - int(waited_ms) if waited_ms < max_wait_ms else 0
