"""Define the root object of the stored text and its encoding."""

import re
from collections.abc import Iterable

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.converters import decode_json, encode_json
from dragonflyramp.models import Hold
from dragonflyramp.operators._parts import PartRef
from dragonflyramp.results import ResultCode

ROOT_NAME = 'texts/root'
#: Number of earlier changes that the root records.
HISTORY_LENGTH = 32
#: Numbers of an era of the store begin after this number times the era. So a
#: number that a restored store has forgotten is not given out again.
_NUMBERS_PER_ERA = 1_000_000

_SHA256_PATTERN = re.compile('[0-9a-f]{64}')


@attrs.frozen(kw_only=True)
class HistoryEntry:
    """Record of an accepted change."""

    #: Number of the text that the change stored.
    number: int
    write_id: str
    author: str
    #: Time of the operator's command, in ISO 8601.
    at: str
    note: str


@attrs.frozen(kw_only=True)
class Root:
    """Object that lists the parts and the holds of the stored text.

    It also records the last change, with the fields of a `HistoryEntry`, and
    the history of earlier ones. Holds are sorted by name, the history by
    number.
    """

    number: int
    write_id: str
    author: str
    at: str
    note: str
    parts: tuple[PartRef, ...]
    holds: tuple[Hold, ...]
    history: tuple[HistoryEntry, ...] = ()

    @property
    def history_entry(self) -> HistoryEntry:
        """Return the record of the change that stored this root."""
        return HistoryEntry(
            number=self.number,
            write_id=self.write_id,
            author=self.author,
            at=self.at,
            note=self.note,
        )

    def includes_write(self, write_id: str) -> bool:
        """Return whether a write stored this root or a root in its history."""
        entries = (self.history_entry, *self.history)
        return any(entry.write_id == write_id for entry in entries)

    def history_before(self, number: int) -> tuple[HistoryEntry, ...]:
        """Return the history for the next root, which has this number."""
        entries = (*self.history, self.history_entry)
        earlier = [entry for entry in entries if entry.number < number]
        return tuple(earlier[-HISTORY_LENGTH:])


def next_number(number: int, era: int) -> int:
    """Return the number of the push after a number, in an era of the store.

    >>> next_number(7, 0), next_number(7, 1), next_number(1000001, 1)
    (8, 1000001, 1000002)
    """
    return max(number, era * _NUMBERS_PER_ERA) + 1


def is_of_earlier_era(root: Root, era: int) -> bool:
    """Return whether a root was stored before the last restore."""
    return root.number <= era * _NUMBERS_PER_ERA


def sorted_holds(holds: Iterable[Hold]) -> tuple[Hold, ...]:
    """Return the holds in the order in which a root lists them."""
    return tuple(sorted(holds, key=lambda hold: hold.name))


def encode_root(root: Root) -> bytes:
    """Encode a root as JSON; equal roots give equal bytes."""
    return encode_json(root)


def decode_root(body: bytes) -> Result[Root, ResultCode]:
    """Decode a root; fail with bad_message if it is malformed."""
    return decode_json(body, Root).bind(_validate_root)


def _validate_root(root: Root) -> Result[Root, ResultCode]:
    # Object names contain the digests, so any other string is rejected.
    digests = [ref.sha256 for ref in root.parts]
    if root.number > 0 and all(map(_SHA256_PATTERN.fullmatch, digests)):
        return Success(root)
    return Failure(ResultCode.bad_message)
