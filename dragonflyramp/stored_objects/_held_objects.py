"""Hold the objects of one kind, within a bound on their memory."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.metrics import counters
from dragonflyramp.stored_objects._fields import Fields
from dragonflyramp.stored_objects._left_out import (
    LeftOutReason,
    report_left_out,
)
from dragonflyramp.stored_objects._measures import measure_bytes
from dragonflyramp.stored_objects._rooms import ObjectRoom

#: Entry of an object in the dictionaries.
_SLOT_BYTES = 200
#: Once less than this share of the room is taken, a listing may bring back
#: objects that were left out for want of room.
_ROOM_SHARE = 0.75


@attrs.define(eq=False)
class HeldObjects:
    """Objects of one kind by name.

    If they take more memory than they may, large ones are left out first, so
    that none costs the many small ones that daemons depend on.
    """

    kind: str
    max_bytes: int = ObjectRoom().max_bytes('')
    held_bytes: int = 0
    #: Whether objects were left out for want of room.
    is_incomplete: bool = False
    _objects_by_name: dict[str, Fields] = attrs.field(factory=dict, repr=False)
    _sizes: dict[str, int] = attrs.field(factory=dict, repr=False)
    #: Names by the number of bits of their size, in the order of their writes.
    _names_by_class: dict[int, dict[str, None]] = attrs.field(
        factory=dict, repr=False
    )

    @property
    def by_name(self) -> Mapping[str, Fields]:
        """Return the present objects, which change with these."""
        return MappingProxyType(self._objects_by_name)

    @property
    def may_be_completed(self) -> bool:
        """Return whether objects that were left out may have room again."""
        return (
            self.is_incomplete
            and self.held_bytes < self.max_bytes * _ROOM_SHARE
        )

    def put(self, name: str, fields: Fields) -> set[str]:
        """Hold an object; return the names of those that are left out."""
        if self._objects_by_name.get(name) == fields:
            return set()
        self.remove(name)
        measured_bytes = measure_bytes(fields, self.max_bytes)
        if measured_bytes is None:
            self._report(name)
            return {name}
        size = measured_bytes + _SLOT_BYTES + 2 * len(name)
        self._objects_by_name[name] = fields
        self._sizes[name] = size
        self._names_by_class.setdefault(size.bit_length(), {})[name] = None
        self.held_bytes += size
        left_out: set[str] = set()
        while self.held_bytes > self.max_bytes:
            left_out.add(self._leave_out_largest())
        return left_out

    def size_of(self, names: Iterable[str]) -> int:
        """Return the bytes that the objects of some names take."""
        return sum(self._sizes.get(name, 0) for name in names)

    def remove(self, name: str) -> None:
        """Drop an object if it is held."""
        if self._objects_by_name.pop(name, None) is None:
            return
        size = self._sizes.pop(name)
        self.held_bytes -= size
        size_class = size.bit_length()
        names = self._names_by_class[size_class]
        names.pop(name)
        if not names:
            self._names_by_class.pop(size_class)

    def _leave_out_largest(self) -> str:
        """Leave out the newest of the largest objects; return its name."""
        names = self._names_by_class[max(self._names_by_class)]
        name = next(reversed(names))
        self.remove(name)
        self._report(name)
        return name

    def _report(self, name: str) -> None:
        self.is_incomplete = True
        counters.add('bad_objects', LeftOutReason.no_room.value)
        report_left_out(self.kind, name, LeftOutReason.no_room)
