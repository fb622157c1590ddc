"""Hold objects of the store, within bounds on their memory.

Other writers may leave any objects beside those that the product uses. One that
cannot be held is left out, and the others stay.

_fields       type of decoded JSON objects
_measures     memory of decoded JSON values
_rooms        memory of a VM, divided among the kinds
_held_objects objects of one kind, within a bound on their memory
_left_out     objects that are left out, each reported once
"""

from dragonflyramp.stored_objects._fields import Fields
from dragonflyramp.stored_objects._held_objects import HeldObjects
from dragonflyramp.stored_objects._left_out import (
    LeftOutReason,
    create_left_out,
    find_left_out_reason,
    log_left_out,
    report_unusable,
)
from dragonflyramp.stored_objects._measures import measure_bytes
from dragonflyramp.stored_objects._rooms import ObjectRoom

__all__ = (
    'Fields',
    'HeldObjects',
    'LeftOutReason',
    'ObjectRoom',
    'create_left_out',
    'find_left_out_reason',
    'measure_bytes',
    'log_left_out',
    'report_unusable',
)
