"""Compiles the modules that every GET goes through, where mypyc and a C compiler are at hand; else they are
interpreted, with the same results. docs/design.md has the measured difference."""

import os

from setuptools import setup

COMPILED = [
    "damsonstream/routing/interface.py",
    "damsonstream/routing/router.py",
    "damsonstream/routing/gateway.py",
    "damsonstream/routing/handler.py",
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
        print("mypyc is not installed: the package stays interpreted")

setup(ext_modules=modules)
