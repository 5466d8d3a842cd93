"""Names of the fleet-wide features, each of which can be switched off. Imports nothing.

The names are used in configuration: `evidence` (shared outcomes of forwards, evidence.py), `turns` (who runs
a trial, trials.py), `shares` (leases of caps, shares.py), `subsets` (which gateways watch a source,
subsets.py), `members` (heartbeats and failure detection, membership.py), `zones` (verdicts on zones,
tiers/verdicts.py).
"""

ZONES = "zones"  # takes effect only where the operator's file defines a hierarchy
FEATURES = ("evidence", "turns", "shares", "subsets", "members", ZONES)
