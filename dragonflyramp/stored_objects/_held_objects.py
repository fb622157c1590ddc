"""Hold the objects of one kind, within a bound on their memory."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.stored_objects._fields import Fields
from dragonflyramp.stored_objects._left_out import (
    LeftOutReason,
    create_left_out,
    report_unusable,
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

    def put(
        self, name: str, fields: Fields, size: int | None = None
    ) -> set[str]:
        """Hold an object; return the names of those that are left out.

        `size` is that of the object in another instance, if it is known. An
        object that is too deep, or too large for all room, is replaced by its
        name.
        """
        if self._objects_by_name.get(name) == fields:
            return set()
        self.remove(name)
        if size is None:
            size = self._measure(name, fields)
        if size is None:
            report_unusable(self.kind, name, LeftOutReason.too_large)
            return self.put(
                name, create_left_out(name, LeftOutReason.too_large)
            )
        self._objects_by_name[name] = fields
        self._sizes[name] = size
        self._names_by_class.setdefault(size.bit_length(), {})[name] = None
        self.held_bytes += size
        left_out: set[str] = set()
        while self.held_bytes > self.max_bytes:
            left_out.add(self._leave_out_largest())
        return left_out

    @property
    def sizes(self) -> Mapping[str, int]:
        """Return the bytes of each object, which change with these."""
        return MappingProxyType(self._sizes)

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

    def _measure(self, name: str, fields: Fields) -> int | None:
        measured_bytes = measure_bytes(fields, self.max_bytes)
        if measured_bytes is None:
            return None
        return measured_bytes + _SLOT_BYTES + 2 * len(name)

    def _leave_out_largest(self) -> str:
        """Leave out the newest of the largest objects; return its name."""
        names = self._names_by_class[max(self._names_by_class)]
        name = next(reversed(names))
        self.remove(name)
        self.is_incomplete = True
        report_unusable(self.kind, name, LeftOutReason.no_room)
        return name
