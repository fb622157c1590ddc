"""Update the root conditionally and settle an update without a reply."""

import attrs
from returns.result import Failure, Success

from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    Unknown,
    refused,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._roots import HISTORY_LENGTH, Root
from dragonflyramp.operators._stored import StoredRoot, TextStore
from dragonflyramp.results import ResultCode


@attrs.frozen
class Update:
    """Hold a root and the version of the object that it replaces."""

    root: Root
    version: int

    def settle(self, seen: StoredRoot) -> PushOutcome | None:
        """Decide from a root read back; None while it decides nothing.

        The platform may answer with an older version than it has, so a root
        that is not newer says nothing.
        """
        if seen.root and seen.root.includes(self.root.write_id):
            return Accepted(root=self.root)
        if seen.version <= self.version:
            return None
        if seen.number - self.root.number > HISTORY_LENGTH:
            return _unknown('the history no longer reaches back to it')
        number = self.root.number
        return refused(
            ResultCode.stale_base, f'number {number} was taken by another push'
        )


async def commit(texts: TextStore, update: Update) -> PushOutcome:
    """Write the root; after a lost reply, write again and read back.

    The repetition names the same version, so at most one of the writes
    takes effect.
    """
    is_lost = False
    for attempt in range(texts.retries.attempts):
        written = await texts.write_root(update.root, update.version)
        if isinstance(written, Success):
            return Accepted(root=update.root)
        code = written.failure()
        if code is ResultCode.body_too_large:
            return refused(ResultCode.text_too_large, 'has too many parts')
        is_lost = is_lost or code is not ResultCode.version_conflict
        settled = await _read_back(texts, update)
        if settled:
            return settled
        await texts.retries.wait(attempt)
    return _undecided(update, is_lost=is_lost)


async def _read_back(texts: TextStore, update: Update) -> PushOutcome | None:
    seen = await texts.read_root()
    if isinstance(seen, Failure):
        return None
    return update.settle(seen.unwrap())


def _undecided(update: Update, *, is_lost: bool) -> Refused | Unknown:
    if is_lost:
        write_id = update.root.write_id
        return _unknown(f'look for write {write_id} in `history`')
    return refused(
        ResultCode.stale_base, 'the stored text changed since it was read'
    )


def _unknown(sentence: str) -> Unknown:
    return Unknown(
        problem=Problem(code=ResultCode.push_unknown, sentence=sentence)
    )
