"""Hypothesis generates the same cases on every run, so that the result of CI is reproducible. To search for
new failing cases, set HYPOTHESIS_PROFILE=search."""

import os

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("search", deadline=None, max_examples=5000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))
