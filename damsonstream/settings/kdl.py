"""Reads the operators' KDL 2 files and validates them; each error names the file, the line and the field.

Usage: `parse(text, file)` returns the top-level `Section`. Its methods `section()`, `text()`, `size()`,
`duration()`, `number()` and `flag()` read the expected fields, and `finish()` rejects all fields that were
not read. All of them raise `KdlError`.

The KDL library (ckdl) doesn't report line numbers. `node_lines()` tokenizes the text itself and returns the
line of each node, in the order in which the library returns the nodes.
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
UNIT_BYTES = {None: 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)")
UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
MAX_FILE_BYTES = 1 << 20  # operators' files take a few KB


class KdlError(Exception):
    """An invalid settings file; the message names the file, the line, the field and the problem."""

    def __init__(self, file: str, line: int, field: str, message: str) -> None:
        where = f"{file}:{line}" if line else file  # line 0: the error concerns the whole file
        super().__init__(f"{where}: {field}: {message}" if field else f"{where}: {message}")
        self.file, self.line, self.field, self.message = file, line, field, message


@dataclass(slots=True)
class NodeLine:
    """The name and the line of a node, and those of its children."""

    name: str
    line: int
    children: list[NodeLine] = field(default_factory=list)


# Splits a KDL text into tokens, as far as the names and lines of nodes require it.
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


def node_lines(text: str) -> list[NodeLine]:
    """Returns the nodes of a text with their lines, as far as it can be tokenized.

    A node that is commented out by /- gets an empty name, so that it matches no node of the library.
    """
    top: list[NodeLine] = []
    stack: list[list[NodeLine]] = [top]
    offset, line, node_start, commented_out = 0, 1, True, False
    while offset < len(text) and (found := TOKEN.match(text, offset)):
        kind, token = found.lastgroup or "", found[0]
        if token == "/*":
            depth, end = 1, found.end()
            while depth and (mark := re.compile(r"/\*|\*/").search(text, end)):
                depth += 1 if mark[0] == "/*" else -1
                end = mark.end()
            token = text[offset : end if not depth else len(text)]
        elif kind in ("line", "mark"):
            if token == "{" and stack[-1]:
                stack.append(stack[-1][-1].children)
            elif token == "}" and len(stack) > 1:
                stack.pop()
            node_start, commented_out = True, commented_out and kind == "line" and node_start
        elif kind == "dash":
            commented_out = commented_out or node_start
        elif (
            kind in ("raw", "q", "hash", "long", "string", "word")
            and node_start
            and not token.startswith("(")
        ):
            name = token.strip('"') if kind in ("long", "string") else token
            stack[-1].append(NodeLine("" if commented_out else name, line))
            node_start = False
        line += token.count("\n")
        offset += len(token)
    return top


def match_lines(nodes: list[ckdl.Node], found: list[NodeLine]) -> list[NodeLine | None]:
    """Returns the position of each node, matched in order by name; None where there is no match."""
    matched: list[NodeLine | None] = []
    start = 0
    for node in nodes:
        index = next((n for n in range(start, len(found)) if found[n].name == node.name), None)
        matched.append(None if index is None else found[index])
        start = start if index is None else index + 1
    return matched


def first_invalid_line(text: str) -> int:
    """Returns the number of the first line up to which the text is invalid KDL, not merely incomplete."""
    lines = text.split("\n")
    for count in range(1, len(lines) + 1):
        try:
            ckdl.parse("\n".join(lines[:count]), version=2)
        except ckdl.ParseError as fault:
            if "end of data" not in str(fault) and "Parse error" not in str(fault):
                return count
    return len(lines)


class Section:
    """A node of the file, or the whole file, whose child nodes are read as fields one by one."""

    def __init__(
        self, file: str, path: str, line: int, nodes: list[ckdl.Node], found: list[NodeLine],
        args: list[object] | None = None,
    ) -> None:  # fmt: skip
        self.file, self.path, self.line = file, path, line
        self.nodes, self.positions = nodes, match_lines(nodes, found)
        self.args = args or []
        self.used: set[int] = set()  # indexes of the nodes that were read

    def error(self, message: str, name: str = "", line: int = 0) -> KdlError:
        """Returns an error about this section or its field `name`, to be raised by the caller."""
        path = ".".join(part for part in (self.path, name) if part)
        return KdlError(self.file, line or self.line, path, message)

    def line_of(self, index: int) -> int:
        found = self.positions[index]
        return found.line if found else self.line

    def sections(self, name: str) -> list[Section]:
        """Returns every child node of that name."""
        sections = []
        for index, node in enumerate(self.nodes):
            if node.name == name:
                self.used.add(index)
                found = self.positions[index]
                path = ".".join(part for part in (self.path, name) if part)
                if node.properties:
                    raise self.error("properties (name=value) are not used", name, self.line_of(index))
                sections.append(Section(self.file, path, self.line_of(index), list(node.children),
                                        found.children if found else [], list(node.args)))  # fmt: skip
        return sections

    def section(self, name: str) -> Section | None:
        """Returns the only child node of that name, or None if there is none."""
        found = self.sections(name)
        if len(found) > 1:
            raise self.error("given twice", name, found[1].line)
        return found[0] if found else None

    def value(self, name: str, default: Value, convert: Callable[[object], Value], expected: str) -> Value:
        """Returns the field's only value, as `convert` returns it, or the default if the field is absent.

        `convert` rejects a value by raising ValueError; `expected` describes the allowed values in the error.
        """
        section = self.section(name)
        if section is None:
            return default
        if len(section.args) != 1 or section.nodes:
            raise self.error(f"takes one value, {expected}", name, section.line)
        try:
            return convert(section.args[0])
        except (TypeError, ValueError, KeyError, OverflowError) as fault:
            message = f"{section.args[0]!r} is not {expected}"
            raise self.error(message, name, section.line) from fault

    def text(self, name: str, default: str = "") -> str:
        def convert(value: object) -> str:
            if not isinstance(value, str) or not value:
                raise ValueError
            return value

        return self.value(name, default, convert, "a string")

    def texts(self, name: str, what: str = "string") -> tuple[str, ...]:
        """Returns the values of a field that takes one or more strings; `what` names them in errors."""
        found = self.section(name)
        if found is None:
            return ()
        if not found.args or not all(isinstance(value, str) for value in found.args):
            raise self.error(f"takes one {what} or more", name, found.line)
        return tuple(str(value) for value in found.args)

    def number(self, name: str, default: float, minimum: float = 0.0, maximum: float = 1e12) -> float:
        def convert(value: object) -> float:
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not minimum <= value <= maximum
            ):
                raise ValueError
            return value

        return self.value(name, default, convert, f"a number from {minimum:g} to {maximum:g}")

    def flag(self, name: str, default: bool) -> bool:
        def convert(value: object) -> bool:
            if not isinstance(value, bool):
                raise ValueError
            return value

        return self.value(name, default, convert, "#true or #false")

    def size(self, name: str, default: int, minimum: int = 0) -> int:
        """Returns a size in bytes."""
        return self.value(name, default, lambda value: parse_size(value, minimum),
                          'a size such as "64MiB"'
                          + (f", at least {minimum} bytes" if minimum else ""))  # fmt: skip

    def duration(self, name: str, default: float, minimum: float = 0.0) -> float:
        """Returns a duration in seconds."""
        return self.value(name, default, lambda value: parse_duration(value, minimum),
                          'a duration such as "90s", "7d"'
                          + (f", at least {minimum:g} s" if minimum else ""))  # fmt: skip

    def finish(self) -> None:
        """Raises an error for the first field that was not read: it is unknown."""
        for index, node in enumerate(self.nodes):
            if index not in self.used:
                raise self.error("is not a field", node.name, self.line_of(index))


def parse_size(value: object, minimum: int = 0) -> int:
    """Returns the bytes of a size such as "64MiB"; raises ValueError if it is malformed or too small."""
    found = SIZE.fullmatch(str(value)) if not isinstance(value, bool) else None
    if not found or (parsed := int(found[1]) * UNIT_BYTES[found[2]]) < minimum:
        raise ValueError
    return parsed


def parse_duration(value: object, minimum: float = 0.0) -> float:
    """Returns the seconds of a duration such as "90s"; raises ValueError if it is malformed or too small."""
    found = DURATION.fullmatch(str(value))
    if not found or (parsed := float(found[1]) * UNIT_SECONDS[found[2]]) < minimum:
        raise ValueError
    return parsed


def parse(text: str, file: str) -> Section:
    """Returns the top-level section of a KDL text; `file` is its name in errors."""
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as fault:
        raise KdlError(file, first_invalid_line(text), "", f"is not valid KDL: {fault}") from fault
    return Section(file, "", 1, list(document.nodes), node_lines(text))


def read(path: str) -> Section:
    """Returns the top-level section of a file."""
    try:
        with Path(path).open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as fault:
        raise KdlError(path, 0, "", f"can't be read: {fault.strerror}") from fault
    if len(data) > MAX_FILE_BYTES:
        raise KdlError(path, 0, "", f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as fault:
        line = data[: fault.start].count(b"\n") + 1
        raise KdlError(path, line, "", "is not UTF-8") from fault


def shipped(package: str, folder: str) -> list[str]:
    """Returns the names of the KDL files that come with a package, without their suffix."""
    entries = (resources.files(package) / folder).iterdir()
    return sorted(entry.name.removesuffix(".kdl") for entry in entries if entry.name.endswith(".kdl"))


def find(name: str, package: str, folder: str) -> tuple[str, Section]:
    """Loads a shipped file by its name, or a user's file by its path; returns its short name and content."""
    if name in (names := shipped(package, folder)):
        text = (resources.files(package) / folder / f"{name}.kdl").read_text()
        return name, parse(text, f"{name}.kdl")
    path = Path(name)
    if not path.suffix and not path.exists():
        raise KdlError(name, 0, "", f"not found; shipped {folder}: {', '.join(names)}")
    return path.stem, read(name)
