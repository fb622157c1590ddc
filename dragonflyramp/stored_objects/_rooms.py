"""Divide the memory of a VM among the kinds of objects."""

from collections.abc import Mapping

import attrs

#: Used where the memory of the VM is unknown.
_DEFAULT_MAX_BYTES = 268_435_456
#: Share of a kind that is not named. A relisted kind takes its share twice.
_SMALL_SHARE = 0.05


@attrs.frozen
class ObjectRoom:
    """Memory that the objects of a kind may take together."""

    #: Memory of the VM; 0 if unknown.
    memory_bytes: int = 0
    #: Share of the memory by kind.
    shares: Mapping[str, float] = attrs.field(factory=dict)

    def max_bytes(self, kind: str) -> int:
        """Return the bytes that the objects of a kind may take."""
        if not self.memory_bytes:
            return _DEFAULT_MAX_BYTES
        return int(self.memory_bytes * self.shares.get(kind, _SMALL_SHARE))
