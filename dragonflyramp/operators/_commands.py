"""Run the operators' commands, without argument parsing or printing."""

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.operators._drafts import Proposal
from dragonflyramp.operators._outcomes import PushOutcome, Refused
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._push import Pusher
from dragonflyramp.operators._roots import HistoryEntry
from dragonflyramp.operators._stored import StoredText, TextStore
from dragonflyramp.operators._text import (
    check_text,
    put_base,
    shift_lines,
    take_base,
)
from dragonflyramp.operators._zones import Operator
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class PushRequest:
    """Ask to push a text, with or without the base line of `show`."""

    text: bytes
    note: str = ''
    base: int | None = None
    released: frozenset[str] = frozenset()


def check(text: bytes) -> tuple[Problem, ...]:
    """List the problems of a text; holds are checked as far as it goes."""
    return check_text(text).swap().value_or(())


async def push(
    pusher: Pusher, operator: Operator, request: PushRequest
) -> PushOutcome:
    """Push a text; a base in the request goes before that of its line."""
    based = take_base(request.text)
    proposal = Proposal(
        text=based.text,
        base=based.base if request.base is None else request.base,
        write_id=operator.new_write_id(),
        author=operator.author,
        at=operator.at,
        note=request.note,
        released=request.released,
    )
    outcome = await pusher.push(proposal)
    if isinstance(outcome, Refused) and based.base is not None:
        problems = shift_lines(outcome.problems, 1)
        return attrs.evolve(outcome, problems=problems)
    return outcome


async def show(texts: TextStore) -> Result[bytes, ResultCode]:
    """Return the text with its base line; fail as `read_text` states."""
    found = await texts.read_text()
    return found.bind(_shown)


async def history(
    texts: TextStore,
) -> Result[tuple[HistoryEntry, ...], ResultCode]:
    """Return the remembered changes, the latest last."""
    found = await texts.read_root()
    if isinstance(found, Failure):
        return found
    root = found.unwrap().root
    return Success((*root.history, root.entry) if root else ())


def explain(query: str) -> ResultCode | None:
    """Find a result code by its number or name.

    >>> explain('406').name
    'slots_over_connections'
    >>> explain('hold_protected').value
    409
    """
    for code in ResultCode:
        if query in {str(code.value), code.name}:
            return code
    return None


def _shown(found: StoredText) -> Result[bytes, ResultCode]:
    if found.stored.root is None:
        return Failure(ResultCode.object_missing)
    return Success(put_base(found.text, found.stored.number))
