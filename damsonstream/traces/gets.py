"""Rows of a trace as GETs: what is used, mended or skipped, and why. No I/O.

How it is called: `Maker(format, options).make(rows)` gives a `Batch`: GETs in the order of the file, the line
and the fate of each row. Fates are names of `MENDED` and `SKIPPED`, or USED. The whole is done on columns at
once; only the words of a column that are new in a batch are looked at one by one.

What a GET has (`GET`): time (microseconds of the trace's own clock), object, client and tenant (stable
hashes), size in bytes (-1: not known), group (that a purge may name), kind (0 read, 1 write), flags.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
import pyarrow as pa
import pyarrow.compute as pc
import xxhash

from damsonstream.traces.format import ABSENT, Format
from damsonstream.traces.rows import Rows

GET = np.dtype([("time", "<i8"), ("object", "<u8"), ("client", "<u8"), ("size", "<i8"), ("tenant", "<u4"),
                ("group", "<u2"), ("kind", "u1"), ("flags", "u1")])  # fmt: skip
READ, WRITE = 0, 1
DRAWN, MOVED = 1, 2  # flags: the size was drawn; the time was mended
# Fates, by number: a row has one, the first that applied.
USED = 0
MENDED = ("extra-fields", "missing-fields", "bad-utf8", "no-size", "bad-size", "negative-size", "absurd-size",
          "no-duration", "no-operation", "unknown-operation", "late", "clock-step")  # fmt: skip
SKIPPED = (
    "empty",
    "missing-fields",
    "too-long",
    "open-quote",
    "nul-byte",
    "header-again",
    "changed-header",
    "no-time",
    "bad-time",
    "no-key",
    "dropped-operation",
    "unknown-operation",
    "late",
    "time-jump",
    "cut-line",
)
MEND = {rule: place + 1 for place, rule in enumerate(MENDED)}
SKIP = {reason: place + 128 for place, reason in enumerate(SKIPPED)}
ABSURD = 1 << 50  # bytes: a petabyte is no object
MOST_TIME = 1 << 62  # microseconds
WHOLE = r"^[+-]?[0-9]{1,18}$"
DECIMAL = r"^[+-]?([0-9]{1,18}(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,2})?$"


def name(fate: int) -> str:
    if fate == USED:
        return "used"
    return MENDED[fate - 1] if fate < 128 else SKIPPED[fate - 128]


@dataclass(slots=True, frozen=True)
class Options:
    seed: int = 1  # of drawn sizes, and of the hashes
    draw_sizes: bool = True
    median_size: int = 8_000  # of drawn ones, log-normal with a sigma of `spread`
    spread: float = 1.2


@dataclass(slots=True)
class Batch:
    """Rows in the order of the file. `gets` holds junk where the fate is a skip."""

    gets: np.ndarray
    fates: np.ndarray  # u1
    lines: np.ndarray  # i8
    extra: list[tuple[int, int]] = field(
        default_factory=list
    )  # lines that never became rows, and their fates

    def __len__(self) -> int:
        return len(self.gets)


def mixed(values: np.ndarray, seed: int) -> np.ndarray:
    """Well-spread 64 bits from 64 bits (splitmix), the same on every machine."""
    with np.errstate(over="ignore"):
        x = values.astype(np.uint64) + np.uint64(
            (seed * 0x9E3779B97F4A7C15 + 0x9E3779B97F4A7C15) & (2**64 - 1)
        )
        x = (x ^ (x >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ (x >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        return x ^ (x >> np.uint64(31))


def fraction(values: np.ndarray) -> np.ndarray:
    return ((values >> np.uint64(11)).astype(np.float64) + 0.5) / 2**53


def encoded(column: pa.Array) -> tuple[list[bytes], np.ndarray]:
    """The words of a column, and which of them each row has."""
    told = column.view(pa.binary()).dictionary_encode()
    words = [word or b"" for word in told.dictionary.to_pylist()]
    return words, np.asarray(told.indices.to_numpy(zero_copy_only=False), np.int64)


def hashed(column: pa.Array, seed: int, absent: frozenset[bytes]) -> tuple[np.ndarray, np.ndarray]:
    """A stable hash of each row's word, and whether it has none."""
    words, which = encoded(column)
    if not len(which):
        return np.zeros(0, np.uint64), np.zeros(0, bool)
    values = np.array([xxhash.xxh3_64_intdigest(word, seed) for word in words], np.uint64)
    none = np.array([word.strip() in absent for word in words], bool)
    return values[which], none[which]


@dataclass(slots=True)
class Numbers:
    """A column of numbers: whole ones, and a decimal part where there is one."""

    whole: np.ndarray  # int64
    part: np.ndarray | None  # float64, 0 to 1
    ok: np.ndarray
    absent: np.ndarray


def numbers(column: pa.Array, absent: Sequence[str]) -> Numbers:
    count = len(column)
    every = np.ones(count, bool)
    none = np.zeros(count, bool)
    if not pc.any(pc.is_in(column, value_set=pa.array([*ABSENT, *absent], pa.string()))).as_py():
        try:  # what a good file has: all whole, read at once
            if not pc.any(pc.match_substring(column, "x", ignore_case=True)).as_py():
                return Numbers(np.asarray(pc.cast(column, pa.int64())), None, every, none)
        except pa.ArrowInvalid:
            pass
    trimmed = pc.ascii_trim_whitespace(column)
    none = np.asarray(pc.is_in(trimmed, value_set=pa.array([*ABSENT, *absent], pa.string())))
    whole_ok = np.asarray(pc.match_substring_regex(trimmed, WHOLE)) & ~none
    decimal = np.asarray(pc.match_substring_regex(trimmed, DECIMAL)) & ~none & ~whole_ok
    whole = np.zeros(count, np.int64)
    plain = pc.replace_substring_regex(trimmed, r"^\+", "")
    if whole_ok.any():
        whole[whole_ok] = np.asarray(pc.cast(plain.filter(pa.array(whole_ok)), pa.int64()))
    part = None
    if decimal.any():
        values = np.asarray(pc.cast(plain.filter(pa.array(decimal)), pa.float64()))
        fits = np.abs(values) < 9e18
        floors = np.floor(np.where(fits, values, 0.0))
        part = np.zeros(count)
        whole[decimal], part[decimal] = floors.astype(np.int64), values - floors
        decimal[np.flatnonzero(decimal)[~fits]] = False
    return Numbers(whole, part, whole_ok | decimal, none)


def micros(told: Numbers, unit: int) -> tuple[np.ndarray, np.ndarray]:
    """Microseconds, and whether they fit."""
    limit = MOST_TIME // max(1, unit // 1000)
    fits = np.abs(told.whole) < limit
    whole = np.where(fits, told.whole, 0)
    times = whole * (unit // 1000) if unit >= 1000 else whole // (1000 // unit)
    if told.part is not None and unit >= 1000:
        times = times + np.floor(told.part * (unit // 1000)).astype(np.int64)
    return times, fits


class Maker:
    def __init__(self, format: Format, options: Options) -> None:
        self.format, self.options = format, options
        self.absent = frozenset(word.encode() for word in ABSENT)
        told = format.operation
        self.operations = {
            **{word.encode(): READ for word in told.read},
            **{word.encode(): WRITE for word in told.write},
            **{word.encode(): 2 for word in told.drop},
        }

    def make(self, rows: Rows) -> Batch:
        count = len(rows.lines)
        batch = Batch(np.zeros(count, GET), np.zeros(count, np.uint8), rows.lines)
        extra: dict[int, int] = {}  # the first reason holds for these too
        for reason, lines in rows.skipped.items():
            at = np.isin(rows.lines, lines)
            self.fate(batch, at, SKIP[reason])
            there = set(rows.lines[at].tolist())
            for line in lines:
                if line not in there:
                    extra.setdefault(line, SKIP[reason])
        batch.extra = list(extra.items())
        if not count:
            return batch
        self.headers(batch, rows)
        for rule, lines in rows.mended.items():
            self.fate(batch, np.isin(rows.lines, lines), MEND[rule])
        self.times(batch, rows)
        self.keys(batch, rows)
        self.operation(batch, rows)
        self.sizes(batch, rows)
        for column, field_ in ((self.format.client, "client"), (self.format.tenant, "tenant")):
            if column:
                values, _ = hashed(rows.columns[column], self.options.seed, self.absent)
                batch.gets[field_] = values if field_ == "client" else values >> np.uint64(32)
        return batch

    def fate(self, batch: Batch, at: np.ndarray, fate: int) -> None:
        """The first skip that applies holds, else the first mend."""
        if fate >= 128:
            batch.fates[at & (batch.fates < 128)] = fate
        else:
            batch.fates[at & (batch.fates == USED)] = fate

    def headers(self, batch: Batch, rows: Rows) -> None:
        """A header in the middle: shards were put together. One with other columns spoils what follows."""
        told = self.format.time
        again = np.asarray(pc.equal(rows.columns[told.column], told.column))
        if again.any():
            same = again.copy()
            for column, values in rows.columns.items():
                same &= np.asarray(pc.equal(values, column))
            self.fate(batch, same, SKIP["header-again"])
            self.fate(batch, again & ~same, SKIP["changed-header"])

    def times(self, batch: Batch, rows: Rows) -> None:
        told = self.format.time
        found = numbers(rows.columns[told.column], told.absent)
        times, fits = micros(found, told.unit)
        self.fate(batch, found.absent, SKIP["no-time"])
        self.fate(batch, ~found.ok | ~fits | (times < 0), SKIP["bad-time"])
        if told.minus:
            less = numbers(rows.columns[told.minus], ())
            took, fits = micros(less, told.unit)
            bad = ~less.ok | ~fits | (took < 0)
            self.fate(batch, bad, MEND["no-duration"])
            times = times - np.where(bad, 0, took)
        batch.gets["time"] = times

    def keys(self, batch: Batch, rows: Rows) -> None:
        seed = self.options.seed
        whole: np.ndarray | None = None
        for column in self.format.key:
            values, none = hashed(rows.columns[column], seed, self.absent)
            self.fate(batch, none, SKIP["no-key"])
            whole = values if whole is None else mixed(whole ^ (values << np.uint64(1)), seed)
        assert whole is not None
        batch.gets["object"] = whole
        batch.gets["group"] = whole % np.uint64(self.format.groups)

    def operation(self, batch: Batch, rows: Rows) -> None:
        told = self.format.operation
        if not told.column:
            return
        words, which = encoded(rows.columns[told.column])
        kinds = np.array(
            [4 if w.strip() in self.absent else self.operations.get(w.strip(), 3) for w in words], np.uint8
        )
        kind = kinds[which]
        self.fate(batch, kind == 2, SKIP["dropped-operation"])
        unknown = SKIP if told.unknown == "skip" else MEND
        self.fate(batch, kind == 3, unknown["unknown-operation"])
        self.fate(batch, kind == 4, MEND["no-operation"])
        batch.gets["kind"] = np.where(kind == WRITE, WRITE, READ)

    def sizes(self, batch: Batch, rows: Rows) -> None:
        told, count = self.format.size, len(batch)
        sizes = np.full(count, -1, np.int64)
        if told.column:
            found = numbers(rows.columns[told.column], told.absent)
            self.fate(batch, found.absent, MEND["no-size"])
            self.fate(batch, ~found.ok & ~found.absent, MEND["bad-size"])
            self.fate(batch, found.ok & (found.whole < 0), MEND["negative-size"])
            self.fate(batch, found.ok & (found.whole > ABSURD // told.unit), MEND["absurd-size"])
            good = found.ok & (found.whole >= 0) & (found.whole <= ABSURD // told.unit)
            sizes = np.where(good, found.whole * told.unit, -1)
        missing = sizes < 0
        if self.options.draw_sizes and missing.any():
            sizes = np.where(missing, self.drawn(batch.gets["object"]), sizes)
            batch.gets["flags"] |= np.where(missing, DRAWN, 0).astype(np.uint8)
        batch.gets["size"] = sizes

    def drawn(self, objects: np.ndarray) -> np.ndarray:
        """A size for each object, the same wherever it comes up: log-normal, from the object's own hash."""
        one = fraction(mixed(objects, self.options.seed + 1))
        other = fraction(mixed(objects, self.options.seed + 2))
        normal = np.sqrt(-2 * np.log(one)) * np.cos(2 * np.pi * other)  # Box and Muller's
        drawn = self.options.median_size * np.exp(self.options.spread * normal)
        clipped: np.ndarray = np.clip(drawn, 1, 1 << 30).astype(np.int64)
        return clipped
