"""Tests of the codecs against recorded traces, with input split at every byte, and with malformed input."""

from __future__ import annotations

from struct import pack
from typing import Any

from damsonstream.protocol import bulletin, fastcgi, resp
from tests.helpers import TraceCase, get_records, list_frame

RESPONDER = pack(">HB5x", 1, 1)


def decode_all_splits(data: bytes, feed: Any) -> list[str]:
    """Decodes the data expected; the result must be the same in any two pieces, and byte by byte."""
    expected = feed([data])
    pieces = [[data[:split], data[split:]] for split in range(len(data))] + [[bytes([byte]) for byte in data]]
    for variant in pieces:
        if (lines := feed(variant)) != expected:
            return [f"differs in {len(variant)} pieces, the first of {len(variant[0])}", *lines]
    return list(expected)


class FastCgi(TraceCase):
    def read(self, pieces: list[bytes]) -> list[str]:
        decoder, lines = fastcgi.Decoder(), list[str]()
        try:
            for piece in pieces:
                for message in decoder.feed(piece):
                    match message:
                        case fastcgi.Request():
                            content = f"{message.fields} {message.body!r} {message.keep_connection}"
                            lines.append(f"request {message.id} {content}")
                        case fastcgi.RequestAborted():
                            lines.append(f"aborted {message.id}")
                            decoder.release_id(message.id)
                        case fastcgi.ManagementReply():
                            lines.append(f"reply {message.data.hex(' ', 8)}")
        except fastcgi.ProtocolError as error:
            lines.append(f"error: {error}")
        return [*lines, f"open {sorted(decoder.open_ids)}, partial {sorted(decoder.partial_requests)}"]

    def test_stream_split_at_every_byte(self) -> None:
        stream = b"".join((
            get_records(1, {"SCRIPT_NAME": "/v1/tiles", "HTTP_X_LONG": "v" * 130}),
            get_records(2, {"A": "1"}, b"a write's body"),
            fastcgi.record(fastcgi.BEGIN, 3, pack(">HB5x", 2, 1)),  # role Authorizer, which is not supported
            fastcgi.record(fastcgi.GET_VALUES, 0, fastcgi.pair(b"FCGI_MPXS_CONNS", b"")),
            fastcgi.record(77, 0, b"?"),
            fastcgi.record(fastcgi.STDIN, 9, b"of an id that is not open"),
            fastcgi.record(fastcgi.BEGIN, 4, RESPONDER),
            fastcgi.record(fastcgi.ABORT, 4),  # before it was received completely
            fastcgi.record(fastcgi.ABORT, 1),
            fastcgi.record(fastcgi.BEGIN, 5, pack(">HB5x", 1, 0)),  # without KEEP_CONN, and incomplete
        ))  # fmt: skip
        self.check("fastcgi", decode_all_splits(stream, self.read))

    def test_too_many_open_ids(self) -> None:
        stream = b"".join(fastcgi.record(fastcgi.BEGIN, id, RESPONDER) for id in range(1, 34))
        lines = self.read([stream])
        self.assertEqual(len(lines), 2)
        self.assertEqual(lines[0], f"reply {fastcgi.end_request(33, fastcgi.OVERLOADED).hex(' ', 8)}")

    def test_malformed_input(self) -> None:
        begin = fastcgi.record(fastcgi.BEGIN, 1, RESPONDER)
        params, empty = fastcgi.record(fastcgi.PARAMS, 1, bytes(9_000)), fastcgi.record(fastcgi.PARAMS, 1)
        cases = {
            "unknown version": b"\2" + begin[1:],
            "begin record too short": fastcgi.record(fastcgi.BEGIN, 1, b"\0\1"),
            "parameters too long": begin + 2 * params,
            "body too long": begin + empty + fastcgi.record(fastcgi.STDIN, 1, bytes(48_001)),
            "name-value pair cut off": begin + fastcgi.record(fastcgi.PARAMS, 1, b"\5\1abc") + empty,
            "length cut off": begin + fastcgi.record(fastcgi.PARAMS, 1, b"\x80") + empty,
        }
        self.check("fastcgi-broken", [f"{name}: {self.read([data])[0]}" for name, data in cases.items()])

    def test_large_answer_is_split(self) -> None:
        body = bytes(range(256)) * 900
        data, out, offset, sizes = (
            fastcgi.encode_answer(7, b"200 OK", [(b"X-Current", b"1")], body), b"", 0, list[int]()
        )  # fmt: skip
        while offset < len(data):
            _, kind, id, size, padding = fastcgi.HEADER.unpack_from(data, offset)
            self.assertEqual((id, (size + padding) % 8), (7, 0))
            out += data[offset + 8 : offset + 8 + size] if kind == fastcgi.STDOUT else b""
            sizes.append(size)
            offset += 8 + size + padding
        self.assertEqual(out, b"Status: 200 OK\r\nX-Current: 1\r\n\r\n" + body)
        self.assertEqual((kind, sizes[-2], max(sizes)), (fastcgi.END, 0, fastcgi.MAX_RECORD_CONTENT))


class Resp(TraceCase):
    def read(self, pieces: list[bytes]) -> list[str]:
        decoder, lines = resp.Decoder(), list[str]()
        for piece in pieces:
            lines += map(str, decoder.feed(piece))
        return lines + [f"error: {decoder.error}"] * bool(decoder.error)

    def test_answers_split_at_every_byte(self) -> None:
        stream = b"".join((
            resp.array(b"9b1f", b"served", b"version=4b,stamp=1764576000123,res=hit,took=0", b"the\r\nbytes"),
            resp.array(b"a0", b"still_good", b"version=4be0,res=stale,gauges=util:0.61;x1:0.4;new:7", b""),
            resp.array(b"a1", b"overload", b"res=src_refused,took=12", b""),
            resp.array(b"a2", b"not_here", b"-", b""), resp.array(b"a3", b"crashed", b"-", b""),
            resp.array(b"a4", b"nobody", b"res=unheard", b""),
        ))  # fmt: skip
        self.check("resp", decode_all_splits(stream, self.read))

    def test_commands(self) -> None:
        same = resp.forward_fields(b"tiles", b"7f3a", b"3", b"5c0f", b"4be0")
        how = dict(join=True, renew=True, copies=True)
        lines = [
            resp.forward(b"9b", same, b"x", wait_ms=90, source="s-01", rank=1, age_ms=5, **how),
            resp.forward(b"9b", resp.forward_fields(b"tiles", b"7f3a", b"0", b"", b""), b"", wait_ms=1,
                         source="", rank=0, age_ms=0, join=False, renew=False, copies=False),
            (resp.stop(b"9b"),),
        ]  # fmt: skip
        self.check("resp-commands", [str(b"".join(pieces)) for pieces in lines])

    def test_malformed_input(self) -> None:
        good = resp.array(b"a", b"served", b"-", b"")
        cases = {
            "not an array": b"+OK\r\n", "wrong array length": b"*3\r\n",
            "length that is no number": b"*4\r\n$x\r\n", "length line without end": b"*" + b"4" * 40,
            "unknown result word": good.replace(b"served", b"severe"),
            "string without CRLF": b"*4\r\n$1\r\nabc", "body too long": good[:-6] + b"$240001\r\n",
            "waiting time that is no number": resp.array(b"a", b"served", b"took=soon", b""),
            "infinite waiting time": resp.array(b"a", b"served", b"took=inf", b""),
            "negative waiting time": resp.array(b"a", b"served", b"took=-1", b""),
            "valid answers before garbage": good + good.replace(b"a", b"b") + b"noise that never ends" + good,
            "gauges out of range": resp.array(b"a", b"overload", b"gauges=util:nan;x1:-1;x0:1e9", b""),
        }  # fmt: skip
        self.check("resp-broken", [f"{name}: {self.read([data])}" for name, data in cases.items()])

    def test_answer_whose_length_is_too_short_is_not_returned(self) -> None:
        """Against the failure in which the first part of an object was served as the whole: the length that
        the cache gave ended at a line end of the object."""
        lines = b"".join(b"line %02d\r\n" % number for number in range(20))
        whole, good = resp.array(b"b", b"served", b"-", lines), resp.array(b"a", b"served", b"-", b"object")
        for size in range(len(lines)):
            spoilt = good + whole.replace(b"$%d\r\n" % len(lines), b"$%d\r\n" % size)
            for most in (1, 2, 4):  # answers of a step
                decoder = resp.Decoder()
                answers, more = decoder.feed(spoilt, most), True
                while more and (more := decoder.has_more):
                    answers += decoder.feed(b"", most)
                self.assertEqual([answer.ident for answer in answers], [b"a"], f"length {size}")
                self.assertTrue(decoder.error)

    def test_line_of_the_object_that_resembles_an_answer(self) -> None:
        body = b"list\r\n*4 items\r\nend"
        spoilt = resp.array(b"b", b"served", b"-", body).replace(b"$%d\r\n" % len(body), b"$4\r\n")
        self.assertEqual(resp.Decoder().feed(spoilt), [])
        self.assertEqual(resp.Decoder().feed(resp.array(b"b", b"served", b"-", body))[0].body, body)


class Bulletin(TraceCase):
    def read(self, pieces: list[bytes], last: int = 40) -> list[str]:
        decoder, lines = bulletin.Decoder(last, ("east", "west"), ("std", "parent")), list[str]()
        try:
            for piece in pieces:
                lines += [f"{decoder.last_event}: {event}" for event in decoder.feed(piece)]
        except bulletin.ProtocolError as error:
            lines.append(f"error: {error}, last event {decoder.last_event}")
        return lines

    def frame(self, number: int, kind: int, payload: bytes = b"") -> bytes:
        return pack(">IQB", 9 + len(payload), number, kind) + payload

    def test_frames_split_at_every_byte(self) -> None:
        stream = b"".join((
            self.frame(40, 0),
            self.frame(40, 4, pack(">HQ", 17, 1)),  # received before
            list_frame(41, 1, (0x00C41F7A, "10.1.0.9:5050", 0, 1)),
            self.frame(42, 3, pack(">QQ", 0x7F3A9C21E0B4D655, 1764576000123)),
            self.frame(43, 4, pack(">HQ", 17, 1764576000480)),
            list_frame(44, 2, (0x00C41F7A, "10.1.0.9:5050", 2, 0)),
        ))  # fmt: skip
        self.check("bulletin", decode_all_splits(stream, self.read))

    def test_events_before_a_malformed_frame_are_kept(self) -> None:
        good = self.frame(41, 4, pack(">HQ", 17, 1))
        cases = {
            "missing event": good + self.frame(43, 4, pack(">HQ", 17, 1)),
            "frame too long": good + b"\xff\xff\xff\xff" + bytes(9),
            "unknown kind of frame": good + self.frame(42, 9),
            "unknown state": good + list_frame(42, 2, (1, "10.1.0.9:5050", 7, 1)),
            "list entry cut off": good + self.frame(42, 2, bytes(26)),
        }  # fmt: skip
        self.check("bulletin-broken", [f"{name}: {self.read([data])}" for name, data in cases.items()])
