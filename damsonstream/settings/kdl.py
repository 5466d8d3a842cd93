"""Operators' own files, in KDL 2: read by the library, checked with file, line and field in each message.

How it is called: `parse(text, file)` gives the top `Section`; its `section()`, `text()`, `size()`, `span()`,
`number()` and `flag()` take out what is expected, and `finish()` says what is left over. All raise `Fault`.

The library (ckdl) tells no lines. `places()` finds them: it walks the text's tokens and gives each node's
line, in the order in which the library gives the nodes.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from importlib import resources
from pathlib import Path
from typing import TypeVar

import ckdl

Value = TypeVar("Value")
SIZE = re.compile(r"(\d+)\s*(B|KiB|MiB|GiB)?")
SIZES = {None: 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
SPAN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)")
SPANS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
MOST = 1 << 20  # bytes of a file: an operator's own is some KB


class Fault(Exception):
    """The file can't be used: file, line, field and what is wrong."""

    def __init__(self, file: str, line: int, field: str, what: str) -> None:
        where = f"{file}:{line}" if line else file  # 0: it is the file as a whole
        super().__init__(f"{where}: {field}: {what}" if field else f"{where}: {what}")
        self.file, self.line, self.field, self.what = file, line, field, what


@dataclass(slots=True)
class Place:
    name: str
    line: int
    children: list[Place] = field(default_factory=list)


TOKEN = re.compile(
    r'(?P<raw>(?P<hash>#+)(?P<q>"""|")(?:.|\n)*?(?P=q)(?P=hash))'
    r'|(?P<long>"""(?:\\.|[^\\])*?""")'
    r'|(?P<string>"(?:\\(?:.|\n)|[^"\\])*")'
    r"|(?P<comment>//[^\n]*|/\*)"
    r"|(?P<dash>/-)"
    r"|(?P<on>\\[^\n]*\n)"
    r"|(?P<line>\r?\n)"
    r"|(?P<mark>[;{}])"
    r"|(?P<space>[^\S\n]+)"
    r'|(?P<word>[^\s;{}"/\\]+|.)'
)


def places(text: str) -> list[Place]:
    """Nodes and their lines, as far as the text can be followed; what is behind /- is left out."""
    top: list[Place] = []
    stack: list[list[Place]] = [top]
    at, line, fresh, dashed = 0, 1, True, False
    while at < len(text) and (found := TOKEN.match(text, at)):
        kind, token = found.lastgroup or "", found[0]
        if token == "/*":
            depth, end = 1, found.end()
            while depth and (mark := re.compile(r"/\*|\*/").search(text, end)):
                depth += 1 if mark[0] == "/*" else -1
                end = mark.end()
            token = text[at : end if not depth else len(text)]
        elif kind in ("line", "mark"):
            if token == "{" and stack[-1]:
                stack.append(stack[-1][-1].children)
            elif token == "}" and len(stack) > 1:
                stack.pop()
            fresh, dashed = True, dashed and kind == "line" and fresh
        elif kind == "dash":
            dashed = dashed or fresh
        elif kind in ("raw", "q", "hash", "long", "string", "word") and fresh and not token.startswith("("):
            name = token.strip('"') if kind in ("long", "string") else token
            stack[-1].append(Place("" if dashed else name, line))
            fresh = False
        line += token.count("\n")
        at += len(token)
    return top


def match(nodes: list[ckdl.Node], found: list[Place]) -> list[Place | None]:
    """The place of each node: in order, by name; what can't be matched has none."""
    matched: list[Place | None] = []
    at = 0
    for node in nodes:
        there = next((n for n in range(at, len(found)) if found[n].name == node.name), None)
        matched.append(None if there is None else found[there])
        at = at if there is None else there + 1
    return matched


def broken_line(text: str) -> int:
    """The line by which the text can't be KDL any more: the first whose prefix is wrong and not only
    short."""
    lines = text.split("\n")
    for count in range(1, len(lines) + 1):
        try:
            ckdl.parse("\n".join(lines[:count]), version=2)
        except ckdl.ParseError as fault:
            if "end of data" not in str(fault) and "Parse error" not in str(fault):
                return count
    return len(lines)


class Section:
    """One node, or the whole file, whose fields are taken out one by one."""

    def __init__(
        self, file: str, path: str, line: int, nodes: list[ckdl.Node], found: list[Place],
        args: list[object] | None = None,
    ) -> None:  # fmt: skip
        self.file, self.path, self.line = file, path, line
        self.nodes, self.found = nodes, match(nodes, found)
        self.args = args or []
        self.taken: set[int] = set()

    def fault(self, what: str, name: str = "", line: int = 0) -> Fault:
        path = ".".join(part for part in (self.path, name) if part)
        return Fault(self.file, line or self.line, path, what)

    def at(self, place: int) -> int:
        found = self.found[place]
        return found.line if found else self.line

    def all(self, name: str) -> list[Section]:
        """Each node of that name."""
        sections = []
        for place, node in enumerate(self.nodes):
            if node.name == name:
                self.taken.add(place)
                found = self.found[place]
                path = ".".join(part for part in (self.path, name) if part)
                if node.properties:
                    raise self.fault("properties (name=value) are not used", name, self.at(place))
                sections.append(Section(self.file, path, self.at(place), list(node.children),
                                        found.children if found else [], list(node.args)))  # fmt: skip
        return sections

    def section(self, name: str) -> Section | None:
        found = self.all(name)
        if len(found) > 1:
            raise self.fault("given twice", name, found[1].line)
        return found[0] if found else None

    def value(self, name: str, default: Value, read: Callable[[object], Value], form: str) -> Value:
        section = self.section(name)
        if section is None:
            return default
        if len(section.args) != 1 or section.nodes:
            raise self.fault(f"takes one value, {form}", name, section.line)
        try:
            return read(section.args[0])
        except (TypeError, ValueError, KeyError, OverflowError) as fault:
            told = f"{section.args[0]!r} is not {form}"
            raise self.fault(told, name, section.line) from fault

    def text(self, name: str, default: str = "") -> str:
        def read(value: object) -> str:
            if not isinstance(value, str) or not value:
                raise ValueError
            return value

        return self.value(name, default, read, "a text")

    def texts(self, name: str, what: str = "text") -> tuple[str, ...]:
        """A field of one or more texts."""
        found = self.section(name)
        if found is None:
            return ()
        if not found.args or not all(isinstance(value, str) for value in found.args):
            raise self.fault(f"takes one {what} or more", name, found.line)
        return tuple(str(value) for value in found.args)

    def number(self, name: str, default: float, least: float = 0.0, most: float = 1e12) -> float:
        def read(value: object) -> float:
            if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
                raise ValueError
            return value

        return self.value(name, default, read, f"a number from {least:g} to {most:g}")

    def flag(self, name: str, default: bool) -> bool:
        def read(value: object) -> bool:
            if not isinstance(value, bool):
                raise ValueError
            return value

        return self.value(name, default, read, "#true or #false")

    def size(self, name: str, default: int, least: int = 0) -> int:
        return self.value(name, default, lambda value: size(value, least), 'a size such as "64MiB"'
                          + (f", {least} bytes at least" if least else ""))  # fmt: skip

    def span(self, name: str, default: float, least: float = 0.0) -> float:
        """Seconds."""
        return self.value(name, default, lambda value: span(value, least), 'a time such as "90s", "7d"'
                          + (f", {least:g} s at least" if least else ""))  # fmt: skip

    def finish(self) -> None:
        for place, node in enumerate(self.nodes):
            if place not in self.taken:
                raise self.fault("is not a field", node.name, self.at(place))


def size(value: object, least: int = 0) -> int:
    found = SIZE.fullmatch(str(value)) if not isinstance(value, bool) else None
    if not found or (told := int(found[1]) * SIZES[found[2]]) < least:
        raise ValueError
    return told


def span(value: object, least: float = 0.0) -> float:
    found = SPAN.fullmatch(str(value))
    if not found or (told := float(found[1]) * SPANS[found[2]]) < least:
        raise ValueError
    return told


def parse(text: str, file: str) -> Section:
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as fault:
        raise Fault(file, broken_line(text), "", f"is not KDL: {fault}") from fault
    return Section(file, "", 1, list(document.nodes), places(text))


def read(path: str) -> Section:
    try:
        with Path(path).open("rb") as stream:
            data = stream.read(MOST + 1)
    except OSError as fault:
        raise Fault(path, 0, "", f"can't be read: {fault.strerror}") from fault
    if len(data) > MOST:
        raise Fault(path, 0, "", f"is larger than {MOST} bytes")
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as fault:
        line = data[: fault.start].count(b"\n") + 1
        raise Fault(path, line, "", "is not UTF-8") from fault


def shipped(package: str, folder: str) -> list[str]:
    """Names of the files that a package brings."""
    entries = (resources.files(package) / folder).iterdir()
    return sorted(entry.name.removesuffix(".kdl") for entry in entries if entry.name.endswith(".kdl"))


def find(name: str, package: str, folder: str) -> tuple[str, Section]:
    """A shipped file or one of the user's own, with the name that it goes by."""
    if name in (names := shipped(package, folder)):
        text = (resources.files(package) / folder / f"{name}.kdl").read_text()
        return name, parse(text, f"{name}.kdl")
    path = Path(name)
    if not path.suffix and not path.exists():
        raise Fault(name, 0, "", f"is none of the {folder} ({', '.join(names)}), and no file")
    return path.stem, read(name)
