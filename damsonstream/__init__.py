"""damsonstream: a router before tiers of caches with one origin behind them."""
