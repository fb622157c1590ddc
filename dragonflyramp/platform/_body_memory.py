"""Bound the memory of the bodies of callers' requests."""

import attrs

#: A front has at least 200 MB, and bodies normally have a few kilobytes.
_MAX_HELD_BYTES = 16_777_216


@attrs.define(eq=False)
class BodyMemory:
    """Bytes of the bodies of requests that have not been answered yet.

    Beyond the limit, the request whose body grows is refused: it has not run.
    """

    max_bytes: int = _MAX_HELD_BYTES
    held_bytes: int = 0
    _by_request: dict[int, int] = attrs.field(factory=dict)

    def try_hold(self, request_key: int, byte_count: int) -> bool:
        """Set how many bytes a request holds; return False without room."""
        added_bytes = byte_count - self._by_request.get(request_key, 0)
        if self.held_bytes + added_bytes > self.max_bytes:
            return False
        self.held_bytes += added_bytes
        self._by_request[request_key] = byte_count
        return True

    def release(self, request_key: int) -> None:
        """Forget a request that is answered."""
        self.held_bytes -= self._by_request.pop(request_key, 0)
