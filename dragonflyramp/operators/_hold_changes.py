"""Add and remove holds by editing the stored text."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration, Hold, HoldKind
from dragonflyramp.operators._hold_tables import (
    delete_hold_table,
    insert_hold_table,
)
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    refuse,
)
from dragonflyramp.operators._proposals import Proposal
from dragonflyramp.operators._pushers import Pusher
from dragonflyramp.operators._replicas import read_inventory
from dragonflyramp.operators._text_parsing import parse_text
from dragonflyramp.operators._text_stores import StoredRoot, StoredText
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ReplicaLister


@attrs.frozen(kw_only=True)
class Operator:
    """Operator who runs one command, and the time of the command."""

    #: Name that the history and the holds record.
    author: str
    #: Time of the command, in ISO 8601.
    at: str
    #: Creates a unique id for each write of the root.
    new_write_id: Callable[[], str]


@attrs.frozen(kw_only=True)
class HoldRequest:
    """Hold to add on a failure domain or a replica."""

    name: str
    reason: str
    confirm_dark: bool = False


@attrs.frozen
class _CurrentText:
    """Stored text that an edit starts from, with its parsed content."""

    stored_root: StoredRoot
    text: str
    configuration: Configuration


@attrs.frozen(kw_only=True)
class _EditedText:
    """Edited text, note for the history, and names of the released holds."""

    text: str
    note: str
    released_holds: frozenset[str] = frozenset()


_EditResult: TypeAlias = Result[_EditedText, Accepted | Refused]


class _HoldEdit(Protocol):
    """Edit of the stored text that adds or removes one hold."""

    async def apply(self, current: _CurrentText) -> _EditResult:
        """Return the text to push.

        Fail with Accepted if no push is needed, or with Refused if the edit is
        not possible.
        """


async def add_hold(
    pusher: Pusher, operator: Operator, request: HoldRequest
) -> PushOutcome:
    """Add a hold and push the text; keep an existing hold unchanged."""
    return await _push_edit_with_retries(
        pusher,
        operator,
        _HoldAddition(pusher.replica_lister, operator, request),
    )


async def remove_hold(
    pusher: Pusher, operator: Operator, name: str
) -> PushOutcome:
    """Remove a hold and push the text; refuse if there is no such hold."""
    return await _push_edit_with_retries(pusher, operator, _HoldRemoval(name))


async def _push_edit_with_retries(
    pusher: Pusher, operator: Operator, edit: _HoldEdit
) -> PushOutcome:
    """Edit and push the text; after a conflict, edit the new stored text.

    A hold is a deliberate decision, so a concurrent change by another
    operator must not cause its addition or removal to be refused.
    """
    retries = pusher.text_store.retries
    outcome = await _push_edit(pusher, operator, edit)
    for attempt in range(retries.max_attempts - 1):
        if not _has_stale_base(outcome):
            break
        await retries.wait_before_retry(attempt)
        outcome = await _push_edit(pusher, operator, edit)
    return outcome


async def _push_edit(
    pusher: Pusher, operator: Operator, edit: _HoldEdit
) -> PushOutcome:
    read_result = await pusher.text_store.read_text()
    parse_result = read_result.alt(_refuse_unreadable).bind(_parse_stored_text)
    if isinstance(parse_result, Failure):
        refusal: Refused = parse_result.failure()
        return refusal
    current = parse_result.unwrap()
    edit_result = await edit.apply(current)
    if isinstance(edit_result, Failure):
        outcome_without_push: Accepted | Refused = edit_result.failure()
        return outcome_without_push
    edited = edit_result.unwrap()
    proposal = Proposal(
        text=edited.text.encode(),
        base=current.stored_root.number,
        write_id=operator.new_write_id(),
        author=operator.author,
        at=operator.at,
        note=edited.note,
        released_holds=edited.released_holds,
    )
    return await pusher.push(proposal)


@attrs.frozen
class _HoldAddition(_HoldEdit):
    replica_lister: ReplicaLister
    operator: Operator
    request: HoldRequest

    async def apply(self, current: _CurrentText) -> _EditResult:
        name = self.request.name
        root = current.stored_root.root
        if root and name in current.configuration.holds:
            return Failure(Accepted(root=root, is_changed=False))
        kind_result = await self._determine_kind(current.configuration)
        if isinstance(kind_result, Failure):
            return kind_result
        text = insert_hold_table(
            current.text, self._create_hold(kind_result.unwrap())
        )
        return Success(_EditedText(text=text, note=f'zone out {name}'))

    async def _determine_kind(
        self, configuration: Configuration
    ) -> Result[HoldKind, Refused]:
        name = self.request.name
        if name in configuration.failure_domains:
            return Success(HoldKind.failure_domain)
        inventory_result = await read_inventory(
            self.replica_lister, configuration
        )
        if isinstance(inventory_result, Failure):
            sentence = (
                'is not a failure domain, and the replicas cannot be listed'
            )
            return Failure(refuse(inventory_result.failure(), sentence, name))
        if any(
            replica.replica_id == name
            for replica in inventory_result.unwrap().replicas
        ):
            return Success(HoldKind.replica)
        sentence = 'is neither a failure domain nor a replica'
        return Failure(refuse(ResultCode.unknown_name, sentence, name))

    def _create_hold(self, kind: HoldKind) -> Hold:
        return Hold(
            name=self.request.name,
            kind=kind,
            by=self.operator.author,
            at=self.operator.at,
            reason=self.request.reason,
            confirm_dark=self.request.confirm_dark,
        )


@attrs.frozen
class _HoldRemoval(_HoldEdit):
    name: str

    async def apply(self, current: _CurrentText) -> _EditResult:
        name = self.name
        if name not in current.configuration.holds:
            return Failure(refuse(ResultCode.unknown_name, 'has no hold', name))
        text = delete_hold_table(current.text, name)
        if text is None:
            sentence = (
                'the hold has no table of its own; '
                'delete it from the text and use push --release'
            )
            return Failure(refuse(ResultCode.unknown_name, sentence, name))
        released_holds = frozenset((name,))
        note = f'zone in {name}'
        return Success(
            _EditedText(text=text, note=note, released_holds=released_holds)
        )


def _has_stale_base(outcome: PushOutcome) -> bool:
    if isinstance(outcome, Refused):
        return outcome.has_code(ResultCode.stale_base)
    return False


def _refuse_unreadable(code: ResultCode) -> Refused:
    return refuse(code, 'the stored text cannot be read')


def _parse_stored_text(
    stored_text: StoredText,
) -> Result[_CurrentText, Refused]:
    parse_result = parse_text(stored_text.text)
    if isinstance(parse_result, Failure):
        return Failure(Refused(problems=parse_result.failure()))
    text = stored_text.text.decode()
    return Success(
        _CurrentText(stored_text.stored_root, text, parse_result.unwrap())
    )
