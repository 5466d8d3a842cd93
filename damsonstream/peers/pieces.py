"""Names of what gateways decide together, each of which can be switched off. Loads nothing."""

PIECES = ("evidence", "turns", "shares", "subsets", "members")
