"""Limit how many requests of each kind and tenant are rejected."""

import attrs

from dragonflyramp.bounded_maps import use_entry

#: After this many rejections in succession the next request is sent. Each kind
#: is served at least a quarter as often as all if it is sent a third as often
#: and three quarters of that succeed.
_MAX_SUCCESSIVE_REJECTIONS = 2
#: Limit on the kinds whose rejections are kept.
_MAX_KINDS = 4096


@attrs.define(eq=False)
class _Rejections:
    """Number of rejections since the last admitted request."""

    count: int = 0


@attrs.define(eq=False)
class RejectionLimiter:
    """Successive rejections of each kind: a route and a tenant."""

    _by_kind: dict[tuple[str, str], _Rejections] = attrs.field(factory=dict)

    def try_reject(self, kind: tuple[str, str]) -> bool:
        """Return whether another request may be rejected, and count it."""
        rejections = use_entry(self._by_kind, kind, _Rejections, _MAX_KINDS)
        if rejections.count >= _MAX_SUCCESSIVE_REJECTIONS:
            self._by_kind.pop(kind)
            return False
        rejections.count += 1
        return True

    def record_admission(self, kind: tuple[str, str]) -> None:
        """Forget the rejections of a kind."""
        if self._by_kind:
            self._by_kind.pop(kind, None)
