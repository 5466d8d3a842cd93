"""Converts rows of a trace into GETs, and decides which rows are used, repaired ("mended") or skipped, and
why. No I/O.

Usage: `GetBuilder(format, options).build(rows)` returns a `Batch`: the GETs in file order, with the line
number and the fate of each row. A fate is `USED` or the code of a rule in `MENDED` or `SKIPPED`. Columns are
processed as arrays; only the distinct words of a column are handled one by one.

Fields of a GET (`GET`): time (microseconds on the trace's own clock), object, client and tenant (stable
hashes), size in bytes (-1: unknown), group (the purge group of the object), kind (0 read, 1 write), flags.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
import pyarrow as pa
import pyarrow.compute as pc
import xxhash

from damsonstream.traces.format import NULL_MARKERS, Format
from damsonstream.traces.rows import Rows

GET = np.dtype([("time", "<i8"), ("object", "<u8"), ("client", "<u8"), ("size", "<i8"), ("tenant", "<u4"),
                ("group", "<u2"), ("kind", "u1"), ("flags", "u1")])  # fmt: skip
READ, WRITE = 0, 1
DRAWN, MOVED = 1, 2  # flags: the size was drawn at random; the time was corrected
# Codes of fates. A row has one: USED, 1 to 127 repaired (a code of MENDED), from 128 skipped (of SKIPPED).
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
MENDED_CODES = {rule: index + 1 for index, rule in enumerate(MENDED)}
SKIPPED_CODES = {reason: index + 128 for index, reason in enumerate(SKIPPED)}
MAX_SIZE = 1 << 50  # bytes; a size above a petabyte is an error in the trace
MAX_TIME = 1 << 62  # microseconds
INTEGER_PATTERN = r"^[+-]?[0-9]{1,18}$"
DECIMAL_PATTERN = r"^[+-]?([0-9]{1,18}(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,2})?$"


def fate_name(code: int) -> str:
    """Returns the name of a fate: "used", or the rule or reason."""
    if code == USED:
        return "used"
    return MENDED[code - 1] if code < 128 else SKIPPED[code - 128]


@dataclass(slots=True, frozen=True)
class Options:
    """How GETs are built from rows."""

    seed: int = 1  # for drawn sizes and for the hashes of words
    draw_sizes: bool = True
    median_size: int = 8_000  # of drawn sizes, which are log-normal with sigma `spread`
    spread: float = 1.2


@dataclass(slots=True)
class Batch:
    """Rows in file order. The values in `gets` are undefined where the row is skipped."""

    gets: np.ndarray
    fates: np.ndarray  # u1
    lines: np.ndarray  # i8
    # (line, fate) of lines that could not be parsed into rows
    extra: list[tuple[int, int]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.gets)


def mix64(values: np.ndarray, seed: int) -> np.ndarray:
    """Returns SplitMix64 hashes of `values`, the same on every machine."""
    with np.errstate(over="ignore"):
        x = values.astype(np.uint64) + np.uint64(
            (seed * 0x9E3779B97F4A7C15 + 0x9E3779B97F4A7C15) & (2**64 - 1)
        )
        x = (x ^ (x >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ (x >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        return x ^ (x >> np.uint64(31))


def fraction(values: np.ndarray) -> np.ndarray:
    """Maps uniform 64-bit integers to floats between 0 and 1, both exclusive."""
    return ((values >> np.uint64(11)).astype(np.float64) + 0.5) / 2**53


def dictionary_encode(column: pa.Array) -> tuple[list[bytes], np.ndarray]:
    """Returns the distinct words of a column, and the index of each row's word."""
    encoding = column.view(pa.binary()).dictionary_encode()
    words = [word or b"" for word in encoding.dictionary.to_pylist()]
    return words, np.asarray(encoding.indices.to_numpy(zero_copy_only=False), np.int64)


def hash_words(column: pa.Array, seed: int, absent: frozenset[bytes]) -> tuple[np.ndarray, np.ndarray]:
    """Returns a stable hash of each row's word, and whether the word stands for an absent value."""
    words, indices = dictionary_encode(column)
    if not len(indices):
        return np.zeros(0, np.uint64), np.zeros(0, bool)
    values = np.array([xxhash.xxh3_64_intdigest(word, seed) for word in words], np.uint64)
    is_absent = np.array([word.strip() in absent for word in words], bool)
    return values[indices], is_absent[indices]


@dataclass(slots=True)
class Numbers:
    """A parsed column of numbers: the integer part, and the fractional part if any row has one."""

    integers: np.ndarray  # int64
    fractions: np.ndarray | None  # float64, 0 to 1
    valid: np.ndarray  # bool
    absent: np.ndarray  # bool


def parse_numbers(column: pa.Array, absent: Sequence[str]) -> Numbers:
    """Parses a column of integers or decimals. `absent`: words that stand for an absent value besides
    `NULL_MARKERS`."""
    count = len(column)
    all_valid = np.ones(count, bool)
    is_absent = np.zeros(count, bool)
    if not pc.any(pc.is_in(column, value_set=pa.array([*NULL_MARKERS, *absent], pa.string()))).as_py():
        try:  # fast path: all values are integers. An "x" is excluded because Arrow reads hexadecimal
            if not pc.any(pc.match_substring(column, "x", ignore_case=True)).as_py():
                return Numbers(np.asarray(pc.cast(column, pa.int64())), None, all_valid, is_absent)
        except pa.ArrowInvalid:
            pass
    trimmed = pc.ascii_trim_whitespace(column)
    is_absent = np.asarray(pc.is_in(trimmed, value_set=pa.array([*NULL_MARKERS, *absent], pa.string())))
    is_integer = np.asarray(pc.match_substring_regex(trimmed, INTEGER_PATTERN)) & ~is_absent
    is_decimal = np.asarray(pc.match_substring_regex(trimmed, DECIMAL_PATTERN)) & ~is_absent & ~is_integer
    integers = np.zeros(count, np.int64)
    without_plus = pc.replace_substring_regex(trimmed, r"^\+", "")
    if is_integer.any():
        integers[is_integer] = np.asarray(pc.cast(without_plus.filter(pa.array(is_integer)), pa.int64()))
    fractions = None
    if is_decimal.any():
        values = np.asarray(pc.cast(without_plus.filter(pa.array(is_decimal)), pa.float64()))
        fits = np.abs(values) < 9e18
        floors = np.floor(np.where(fits, values, 0.0))
        fractions = np.zeros(count)
        integers[is_decimal], fractions[is_decimal] = floors.astype(np.int64), values - floors
        is_decimal[np.flatnonzero(is_decimal)[~fits]] = False
    return Numbers(integers, fractions, is_integer | is_decimal, is_absent)


def to_micros(values: Numbers, unit: int) -> tuple[np.ndarray, np.ndarray]:
    """Converts to microseconds; also returns which values fit. `unit`: nanoseconds."""
    limit = MAX_TIME // max(1, unit // 1000)
    fits = np.abs(values.integers) < limit
    integers = np.where(fits, values.integers, 0)
    times = integers * (unit // 1000) if unit >= 1000 else integers // (1000 // unit)
    if values.fractions is not None and unit >= 1000:
        times = times + np.floor(values.fractions * (unit // 1000)).astype(np.int64)
    return times, fits


class GetBuilder:
    """Builds GETs from parsed rows."""

    def __init__(self, format: Format, options: Options) -> None:
        self.format, self.options = format, options
        self.absent = frozenset(word.encode() for word in NULL_MARKERS)
        operation = format.operation
        self.kind_by_word = {
            **{word.encode(): READ for word in operation.read},
            **{word.encode(): WRITE for word in operation.write},
            **{word.encode(): 2 for word in operation.drop},
        }

    def build(self, rows: Rows) -> Batch:
        """Returns the GETs of `rows` with their fates."""
        count = len(rows.lines)
        batch = Batch(np.zeros(count, GET), np.zeros(count, np.uint8), rows.lines)
        extra: dict[int, int] = {}  # line: fate; the first reason that applies is kept
        for reason, lines in rows.skipped.items():
            matching = np.isin(rows.lines, lines)
            self.set_fate(batch, matching, SKIPPED_CODES[reason])
            row_lines = set(rows.lines[matching].tolist())
            for line in lines:
                if line not in row_lines:
                    extra.setdefault(line, SKIPPED_CODES[reason])
        batch.extra = list(extra.items())
        if not count:
            return batch
        self.mark_headers(batch, rows)
        for rule, lines in rows.mended.items():
            self.set_fate(batch, np.isin(rows.lines, lines), MENDED_CODES[rule])
        self.fill_times(batch, rows)
        self.fill_objects(batch, rows)
        self.fill_kinds(batch, rows)
        self.fill_sizes(batch, rows)
        for column, field_ in ((self.format.client, "client"), (self.format.tenant, "tenant")):
            if column:
                values, _ = hash_words(rows.columns[column], self.options.seed, self.absent)
                batch.gets[field_] = values if field_ == "client" else values >> np.uint64(32)
        return batch

    def set_fate(self, batch: Batch, at: np.ndarray, fate: int) -> None:
        """Sets the fate of the rows `at`. The first skip that applies is kept, else the first repair."""
        if fate >= 128:
            batch.fates[at & (batch.fates < 128)] = fate
        else:
            batch.fates[at & (batch.fates == USED)] = fate

    def mark_headers(self, batch: Batch, rows: Rows) -> None:
        """Skips header lines between rows, which occur where shards were concatenated. A header with other
        columns is counted separately, because the rows after it are misread."""
        time = self.format.time
        again = np.asarray(pc.equal(rows.columns[time.column], time.column))
        if again.any():
            same = again.copy()
            for column, values in rows.columns.items():
                same &= np.asarray(pc.equal(values, column))
            self.set_fate(batch, same, SKIPPED_CODES["header-again"])
            self.set_fate(batch, again & ~same, SKIPPED_CODES["changed-header"])

    def fill_times(self, batch: Batch, rows: Rows) -> None:
        time = self.format.time
        parsed = parse_numbers(rows.columns[time.column], time.absent)
        times, fits = to_micros(parsed, time.unit)
        self.set_fate(batch, parsed.absent, SKIPPED_CODES["no-time"])
        self.set_fate(batch, ~parsed.valid | ~fits | (times < 0), SKIPPED_CODES["bad-time"])
        if time.minus:
            parsed_durations = parse_numbers(rows.columns[time.minus], ())
            durations, fits = to_micros(parsed_durations, time.unit)
            bad = ~parsed_durations.valid | ~fits | (durations < 0)
            self.set_fate(batch, bad, MENDED_CODES["no-duration"])
            times = times - np.where(bad, 0, durations)
        batch.gets["time"] = times

    def fill_objects(self, batch: Batch, rows: Rows) -> None:
        seed = self.options.seed
        combined: np.ndarray | None = None
        for column in self.format.key:
            values, is_absent = hash_words(rows.columns[column], seed, self.absent)
            self.set_fate(batch, is_absent, SKIPPED_CODES["no-key"])
            combined = values if combined is None else mix64(combined ^ (values << np.uint64(1)), seed)
        assert combined is not None
        batch.gets["object"] = combined
        batch.gets["group"] = combined % np.uint64(self.format.groups)

    def fill_kinds(self, batch: Batch, rows: Rows) -> None:
        operation = self.format.operation
        if not operation.column:
            return
        words, indices = dictionary_encode(rows.columns[operation.column])
        kinds = np.array(
            [4 if w.strip() in self.absent else self.kind_by_word.get(w.strip(), 3) for w in words], np.uint8
        )
        kind = kinds[indices]
        self.set_fate(batch, kind == 2, SKIPPED_CODES["dropped-operation"])
        unknown = SKIPPED_CODES if operation.unknown == "skip" else MENDED_CODES
        self.set_fate(batch, kind == 3, unknown["unknown-operation"])
        self.set_fate(batch, kind == 4, MENDED_CODES["no-operation"])
        batch.gets["kind"] = np.where(kind == WRITE, WRITE, READ)

    def fill_sizes(self, batch: Batch, rows: Rows) -> None:
        size, count = self.format.size, len(batch)
        sizes = np.full(count, -1, np.int64)
        if size.column:
            parsed = parse_numbers(rows.columns[size.column], size.absent)
            self.set_fate(batch, parsed.absent, MENDED_CODES["no-size"])
            self.set_fate(batch, ~parsed.valid & ~parsed.absent, MENDED_CODES["bad-size"])
            self.set_fate(batch, parsed.valid & (parsed.integers < 0), MENDED_CODES["negative-size"])
            self.set_fate(
                batch, parsed.valid & (parsed.integers > MAX_SIZE // size.unit), MENDED_CODES["absurd-size"]
            )
            valid = parsed.valid & (parsed.integers >= 0) & (parsed.integers <= MAX_SIZE // size.unit)
            sizes = np.where(valid, parsed.integers * size.unit, -1)
        missing = sizes < 0
        if self.options.draw_sizes and missing.any():
            sizes = np.where(missing, self.draw_sizes(batch.gets["object"]), sizes)
            batch.gets["flags"] |= np.where(missing, DRAWN, 0).astype(np.uint8)
        batch.gets["size"] = sizes

    def draw_sizes(self, objects: np.ndarray) -> np.ndarray:
        """Returns a log-normal size for each object, derived from its hash so that it never varies."""
        uniform_a = fraction(mix64(objects, self.options.seed + 1))
        uniform_b = fraction(mix64(objects, self.options.seed + 2))
        normal = np.sqrt(-2 * np.log(uniform_a)) * np.cos(2 * np.pi * uniform_b)  # Box-Muller transform
        drawn = self.options.median_size * np.exp(self.options.spread * normal)
        clipped: np.ndarray = np.clip(drawn, 1, 1 << 30).astype(np.int64)
        return clipped
