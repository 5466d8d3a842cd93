"""Build script: compiles the modules on the path of every GET with mypyc if it and a C compiler are
available. Otherwise they are interpreted, with the same results. docs/design.md has the measured
difference."""

import os

from setuptools import setup

COMPILED = [
    "damsonstream/routing/interface.py",
    "damsonstream/routing/router.py",
    "damsonstream/routing/gateway.py",
    "damsonstream/routing/life.py",
    "damsonstream/protocol/fastcgi.py",
    "damsonstream/protocol/resp.py",
    "damsonstream/protocol/bulletin.py",
]

modules = []
if os.environ.get("DAMSONSTREAM_PURE") != "1":
    try:
        from mypyc.build import mypycify

        modules = mypycify(COMPILED, opt_level="2", debug_level="0")
    except ImportError:
        print("mypyc is not installed; the modules are not compiled")

setup(ext_modules=modules)
