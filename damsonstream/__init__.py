"""damsonstream: a router (gateway) in front of tiers of caches with one origin."""
__version__ = "0.4.0"
