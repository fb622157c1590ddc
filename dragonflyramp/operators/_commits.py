"""Update the root object conditionally and determine the outcome."""

import attrs
from returns.result import Failure, Success

from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    Unknown,
    refuse,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._roots import HISTORY_LENGTH, Root
from dragonflyramp.operators._text_stores import StoredRoot, TextStore
from dragonflyramp.results import ResultCode


@attrs.frozen
class RootUpdate:
    """New root, and the version of the stored root that it replaces."""

    root: Root
    version: int
    #: Era of the store in which the root was read that this one replaces.
    era: int = 0

    def resolve(self, read_back: StoredRoot) -> PushOutcome | None:
        """Return the outcome that a root read back proves; None without proof.

        The platform may return an older root than the latest, so a root that
        is not newer than the replaced one proves nothing.
        """
        if read_back.root and read_back.root.includes_write(self.root.write_id):
            return Accepted(root=self.root)
        if read_back.version <= self.version:
            return None
        if read_back.number - self.root.number > HISTORY_LENGTH:
            return _unknown_outcome(
                'the history no longer reaches back to this push; '
                'compare your text with the output of `show`'
            )
        number = self.root.number
        return refuse(
            ResultCode.stale_base,
            f'another push was stored as number {number}; '
            'edit the output of `show` and push again',
        )


async def commit_update(
    text_store: TextStore, update: RootUpdate
) -> PushOutcome:
    """Write the root; after a failure, read it back before a retry.

    Every attempt requires the same stored version, so at most one of the
    writes takes effect.
    """
    may_have_taken_effect = False
    for attempt in range(text_store.retries.max_attempts):
        write_result = await text_store.write_root(update.root, update.version)
        if text_store.store.current_era() != update.era:
            return _restored_outcome()
        if isinstance(write_result, Success):
            return Accepted(root=update.root)
        code = write_result.failure()
        if code is ResultCode.body_too_large:
            return refuse(
                ResultCode.text_too_large,
                'the text has too many services or holds; remove some',
            )
        may_have_taken_effect = (
            may_have_taken_effect or code is not ResultCode.version_conflict
        )
        resolved = await _resolve_from_store(text_store, update)
        if resolved:
            return resolved
        await text_store.retries.wait_before_retry(attempt)
    return _unresolved_outcome(
        update, may_have_taken_effect=may_have_taken_effect
    )


async def _resolve_from_store(
    text_store: TextStore, update: RootUpdate
) -> PushOutcome | None:
    read_result = await text_store.read_root()
    if isinstance(read_result, Failure):
        return None
    return update.resolve(read_result.unwrap())


def _unresolved_outcome(
    update: RootUpdate, *, may_have_taken_effect: bool
) -> Refused | Unknown:
    if may_have_taken_effect:
        write_id = update.root.write_id
        return _unknown_outcome(
            f'the platform did not confirm write {write_id}; '
            'look for its time and author in `history`'
        )
    return refuse(
        ResultCode.stale_base,
        'the stored text has changed since it was read; '
        'edit the output of `show` and push again',
    )


def _restored_outcome() -> Unknown:
    return _unknown_outcome(
        'the store was restored from an older copy during this push; '
        'compare your text with the output of `show`, and push again'
    )


def _unknown_outcome(sentence: str) -> Unknown:
    return Unknown(
        problem=Problem(code=ResultCode.push_unknown, sentence=sentence)
    )
