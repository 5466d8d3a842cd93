"""Names of what gateways decide together, each of which can be switched off. Loads nothing."""

ZONES = "zones"  # only where the operator's file names a hierarchy
PIECES = ("evidence", "turns", "shares", "subsets", "members", ZONES)
