"""Read one HTTP/1.1 reply from the bytes of a connection."""

import asyncio

import attrs
import httptools

from dragonflyramp.backends._sends import Ending

#: Replies of the users' servers are a few kilobytes.
_MAX_REPLY_BYTES = 8 * 1024 * 1024
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = (204, 304)


@attrs.define(eq=False)
class RawReply:
    """Hold the parts of a reply as they came."""

    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    keeps_alive: bool = False
    #: The body lasts until the connection ends.
    is_until_eof: bool = False
    is_whole: bool = False
    #: Bytes came that belong to no request.
    has_extra: bool = False


class _Collector:
    """Take what the parser finds; only the first final reply counts."""

    def __init__(self, *, is_head: bool) -> None:
        """Start with an empty reply; one to HEAD has no body."""
        self.raw = RawReply()
        self.parser = httptools.HttpResponseParser(self)
        self._is_head = is_head

    def on_message_begin(self) -> None:
        """Notice a second reply."""
        self.raw.has_extra = self.raw.is_whole

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Keep a header."""
        if not self.raw.is_whole:
            self.raw.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        raw = self.raw
        if raw.is_whole:
            return
        raw.status = self.parser.get_status_code()
        has_body = not (
            self._is_head
            or raw.status in _NO_BODY_STATUSES
            or raw.status < _FIRST_FINAL_STATUS
        )
        raw.is_until_eof = has_body and not _has_length(raw)
        raw.keeps_alive = self.parser.should_keep_alive()
        raw.keeps_alive = raw.keeps_alive and not raw.is_until_eof
        raw.is_whole = self._is_head

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if not self.raw.is_whole:
            self.raw.body.extend(body)

    def on_message_complete(self) -> None:
        """Complete the reply; pass over an interim one."""
        if self.raw.status < _FIRST_FINAL_STATUS:
            self.raw.headers.clear()
        else:
            self.raw.is_whole = True


class Reading:
    """Wait for one reply; `done` gives how the wait ended."""

    def __init__(self, *, is_head: bool) -> None:
        """Wait for the first byte."""
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[Ending] = loop.create_future()
        self._collector = _Collector(is_head=is_head)

    @property
    def raw(self) -> RawReply:
        """Give what has come so far."""
        return self._collector.raw

    def feed(self, received: bytes) -> None:
        """Parse what was received."""
        try:
            self._collector.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.raw.has_extra = True
        if self.raw.is_whole:
            self.end(Ending.replied)
        elif self.raw.has_extra or len(self.raw.body) > _MAX_REPLY_BYTES:
            self.end(Ending.garbled)

    def end_at_eof(self) -> None:
        """Complete a body without a length."""
        if self.raw.is_until_eof:
            self.raw.is_whole = True
            self.end(Ending.replied)

    def end(self, ending: Ending) -> None:
        """End the wait once; a later end is dropped."""
        if not self.done.done():
            self.done.set_result(ending)


def _has_length(raw: RawReply) -> bool:
    names = {name.lower() for name, _ in raw.headers}
    return bool(names & {'content-length', 'transfer-encoding'})
