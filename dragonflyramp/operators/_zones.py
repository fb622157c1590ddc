"""Take failure domains and replicas out of service and back in."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration, Hold, HoldKind
from dragonflyramp.operators._drafts import Proposal
from dragonflyramp.operators._edits import add_hold, remove_hold
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    refused,
)
from dragonflyramp.operators._push import Pusher
from dragonflyramp.operators._replicas import list_fleet
from dragonflyramp.operators._stored import StoredRoot, StoredText
from dragonflyramp.operators._text import parse_text
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ReplicaList


@attrs.frozen(kw_only=True)
class Operator:
    """Name the operator and give what a change records."""

    author: str
    #: When the operator gave the command, in ISO 8601.
    at: str
    new_write_id: Callable[[], str]


@attrs.frozen(kw_only=True)
class HoldRequest:
    """Ask to take a failure domain or a replica out of service."""

    name: str
    reason: str
    confirm_dark: bool = False


@attrs.frozen
class _Editable:
    """Hold the stored text and what it says."""

    stored: StoredRoot
    text: str
    configuration: Configuration


@attrs.frozen(kw_only=True)
class _Edited:
    """Hold an edited text and the holds that the edit releases."""

    text: str
    note: str
    released: frozenset[str] = frozenset()


_EditOutcome: TypeAlias = Result[_Edited, Accepted | Refused]


class _Edit(Protocol):
    """Edit a text; fail with the outcome when there is nothing to push."""

    async def apply(self, found: _Editable) -> _EditOutcome:
        """Edit a fresh copy of the text."""


async def take_out(
    pusher: Pusher, operator: Operator, request: HoldRequest
) -> PushOutcome:
    """Add a hold; a hold of this name that is in force stays as it is."""
    return await _run(
        pusher, operator, _TakeOut(pusher.replicas, operator, request)
    )


async def bring_in(
    pusher: Pusher, operator: Operator, name: str
) -> PushOutcome:
    """Remove a hold; refuse when there is none of this name."""
    return await _run(pusher, operator, _BringIn(name))


async def _run(pusher: Pusher, operator: Operator, edit: _Edit) -> PushOutcome:
    """Edit and push, again on a fresh copy after a conflict.

    A hold is a deliberate act, so another operator's change in between does
    not refuse it.
    """
    retries = pusher.texts.retries
    outcome = await _run_once(pusher, operator, edit)
    for attempt in range(retries.attempts - 1):
        if not _is_overtaken(outcome):
            break
        await retries.wait(attempt)
        outcome = await _run_once(pusher, operator, edit)
    return outcome


async def _run_once(
    pusher: Pusher, operator: Operator, edit: _Edit
) -> PushOutcome:
    read = await pusher.texts.read_text()
    editable = read.alt(_unreadable).bind(_editable)
    if isinstance(editable, Failure):
        unreadable: Refused = editable.failure()
        return unreadable
    found = editable.unwrap()
    edited = await edit.apply(found)
    if isinstance(edited, Failure):
        settled: Accepted | Refused = edited.failure()
        return settled
    change = edited.unwrap()
    proposal = Proposal(
        text=change.text.encode(),
        base=found.stored.number,
        write_id=operator.new_write_id(),
        author=operator.author,
        at=operator.at,
        note=change.note,
        released=change.released,
    )
    return await pusher.push(proposal)


@attrs.frozen
class _TakeOut(_Edit):
    replicas: ReplicaList
    operator: Operator
    request: HoldRequest

    async def apply(self, found: _Editable) -> _EditOutcome:
        name = self.request.name
        root = found.stored.root
        if root and name in found.configuration.holds:
            return Failure(Accepted(root=root, is_changed=False))
        kind = await self._kind(found.configuration)
        if isinstance(kind, Failure):
            return kind
        text = add_hold(found.text, self._hold(kind.unwrap()))
        return Success(_Edited(text=text, note=f'zone out {name}'))

    async def _kind(
        self, configuration: Configuration
    ) -> Result[HoldKind, Refused]:
        name = self.request.name
        if name in configuration.failure_domains:
            return Success(HoldKind.failure_domain)
        fleet = await list_fleet(self.replicas, configuration)
        if isinstance(fleet, Failure):
            sentence = 'is no failure domain, and the VM list cannot be read'
            return Failure(refused(fleet.failure(), sentence, name))
        if any(known.replica_id == name for known in fleet.unwrap().known):
            return Success(HoldKind.replica)
        sentence = 'is neither a failure domain nor a replica'
        return Failure(refused(ResultCode.unknown_name, sentence, name))

    def _hold(self, kind: HoldKind) -> Hold:
        return Hold(
            name=self.request.name,
            kind=kind,
            by=self.operator.author,
            at=self.operator.at,
            reason=self.request.reason,
            confirm_dark=self.request.confirm_dark,
        )


@attrs.frozen
class _BringIn(_Edit):
    name: str

    async def apply(self, found: _Editable) -> _EditOutcome:
        name = self.name
        if name not in found.configuration.holds:
            return Failure(
                refused(ResultCode.unknown_name, 'is not held', name)
            )
        text = remove_hold(found.text, name)
        if text is None:
            sentence = 'has no table of its own; use push --release'
            return Failure(refused(ResultCode.unknown_name, sentence, name))
        released = frozenset((name,))
        note = f'zone in {name}'
        return Success(_Edited(text=text, note=note, released=released))


def _is_overtaken(outcome: PushOutcome) -> bool:
    if isinstance(outcome, Refused):
        return outcome.has_code(ResultCode.stale_base)
    return False


def _unreadable(code: ResultCode) -> Refused:
    return refused(code, 'the stored text cannot be read')


def _editable(found: StoredText) -> Result[_Editable, Refused]:
    parsed = parse_text(found.text)
    if isinstance(parsed, Failure):
        return Failure(Refused(problems=parsed.failure()))
    text = found.text.decode()
    return Success(_Editable(found.stored, text, parsed.unwrap()))
