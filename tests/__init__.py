"""Drawn cases are the same ones on every run: CI gives one verdict. To look for new ones:
HYPOTHESIS_PROFILE=search."""

import os

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("search", deadline=None, max_examples=5000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))
