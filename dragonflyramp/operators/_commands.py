"""Implement the operators' commands, apart from arguments and output."""

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.operators._hold_changes import Operator
from dragonflyramp.operators._outcomes import PushOutcome, Refused
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._proposals import Proposal
from dragonflyramp.operators._pushers import Pusher
from dragonflyramp.operators._roots import HistoryEntry
from dragonflyramp.operators._text_parsing import (
    add_base_line,
    parse_text_with_base,
    shift_line_numbers,
    split_base_line,
)
from dragonflyramp.operators._text_stores import StoredText, TextStore
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class PushRequest:
    """Text to push, with or without a base line."""

    text: bytes
    note: str = ''
    #: Number of the stored text that was edited; None to use the base line.
    base: int | None = None
    #: Names of the holds that the push may remove or change.
    released_holds: frozenset[str] = frozenset()


def check(text: bytes) -> tuple[Problem, ...]:
    """Return the problems of a text, which may have a base line.

    Holds are checked only against the replicas that the text lists.
    """
    return parse_text_with_base(text).swap().value_or(())


async def push(
    pusher: Pusher, operator: Operator, request: PushRequest
) -> PushOutcome:
    """Push a text; the base of the request overrides that of the base line."""
    text_and_base = split_base_line(request.text)
    proposal = Proposal(
        text=text_and_base.text,
        base=text_and_base.base if request.base is None else request.base,
        write_id=operator.new_write_id(),
        author=operator.author,
        at=operator.at,
        note=request.note,
        released_holds=request.released_holds,
    )
    outcome = await pusher.push(proposal)
    if isinstance(outcome, Refused) and text_and_base.base is not None:
        problems = shift_line_numbers(outcome.problems, 1)
        return attrs.evolve(outcome, problems=problems)
    return outcome


async def show(text_store: TextStore) -> Result[bytes, ResultCode]:
    """Return the stored text with a base line.

    Fail with object_missing before the first push, or as
    `TextStore.read_text` states.
    """
    read_result = await text_store.read_text()
    return read_result.bind(_with_base_line)


async def history(
    text_store: TextStore,
) -> Result[tuple[HistoryEntry, ...], ResultCode]:
    """Return the recorded changes, the oldest first.

    Fail as `TextStore.read_root` states.
    """
    read_result = await text_store.read_root()
    if isinstance(read_result, Failure):
        return read_result
    root = read_result.unwrap().root
    return Success((*root.history, root.history_entry) if root else ())


def find_result_code(query: str) -> ResultCode | None:
    """Return the result code with this number or name; None if there is none.

    >>> find_result_code('406').name
    'slots_over_connections'
    >>> find_result_code('hold_protected').value
    409
    """
    for code in ResultCode:
        if query in {str(code.value), code.name}:
            return code
    return None


def _with_base_line(stored_text: StoredText) -> Result[bytes, ResultCode]:
    if stored_text.stored_root.root is None:
        return Failure(ResultCode.object_missing)
    return Success(
        add_base_line(stored_text.text, stored_text.stored_root.number)
    )
