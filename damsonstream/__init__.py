"""damsonstream: a router before tiers of caches with one origin behind them."""
__version__ = "0.4.0"
