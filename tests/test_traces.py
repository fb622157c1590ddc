"""Replay recorded decisions through the functions that made them."""

import collections
import json
import pathlib
from collections.abc import Iterator
from typing import Any

import cattrs
import pytest

from dragonflyramp.backends._lease_rights import Ownership, lease_rights
from dragonflyramp.backends._ramp import Completion, RampState, SlowStartRamp
from dragonflyramp.callers import ClaimSettings
from dragonflyramp.callers._claim_records import Bucket, ClaimKey
from dragonflyramp.callers._claim_steps import (
    Ledger,
    Operation,
    Step,
    decide,
)
from dragonflyramp.members._texts import (
    AdoptedTexts,
    RootFacts,
    Source,
    Text,
)
from dragonflyramp.models import Configuration, Lease, Warmth
from dragonflyramp.results import ResultCode

_FOLDER = pathlib.Path(__file__).parent / 'traces'
FILES = tuple(sorted(_FOLDER.glob('*.jsonl')))
NAMES = tuple(path.stem for path in FILES)
_SETTINGS = ClaimSettings()


def lines(path: pathlib.Path, decision: str) -> Iterator[dict[str, Any]]:
    """Read the decisions of one kind; there has to be one."""
    found = [json.loads(line) for line in path.read_text().splitlines()]
    chosen = [line for line in found if line['trace'] == decision]
    assert chosen
    yield from chosen


@pytest.mark.parametrize('path', FILES, ids=NAMES)
def test_no_cold_send_without_lease(path: pathlib.Path) -> None:
    """Guard against a send to a cold replica under an unusable lease."""
    for line in lines(path, 'lease'):
        usable = lease_rights(
            cattrs.structure(line['lease'], Lease),
            cattrs.structure(line['ownership'], Ownership),
            margin_seconds=line['margin_seconds'],
            now_seconds=line['now_seconds'],
        )
        allowed = usable.slots(1, warm=line['warm']) > 0
        assert allowed or not line['is_sent'], line


@pytest.mark.parametrize('path', FILES, ids=NAMES)
def test_ramp_changes_again(path: pathlib.Path) -> None:
    """Guard against a ramp that grows faster than the recorded one."""
    ramp = SlowStartRamp()
    for line in lines(path, 'ramp'):
        state = cattrs.structure(line['before'], RampState)
        now_seconds = line['now_seconds']
        if line['event'] == 'note_end':
            completion = cattrs.structure(line['completion'], Completion)
            ramp.note_end(state, completion, now_seconds)
        elif line['event'] == 'restart':
            ramp.restart(state, now_seconds)
        else:
            ramp.resume(state, Warmth(line['warmth']), line['limit'])
        assert (state.warmth.value, state.limit) == (
            line['warmth'],
            line['limit'],
        ), line


@pytest.mark.parametrize('path', FILES, ids=NAMES)
def test_numbers_never_go_back(path: pathlib.Path) -> None:
    """Guard against a daemon that adopts a number below the one it holds."""
    held: dict[int, AdoptedTexts] = collections.defaultdict(AdoptedTexts)
    for line in lines(path, 'adopt'):
        adopted = held[line['daemon']]
        assert adopted.number == line['held'], line
        adopted.adopt(text_of(line['number']))
        assert adopted.number == max(line['held'], line['number']), line


@pytest.mark.parametrize('path', FILES, ids=NAMES)
async def test_claim_decided_again(path: pathlib.Path) -> None:
    """Guard against a changed decision, and a key that two requests ran."""
    ran: dict[str, str] = {}
    for line in lines(path, 'claim'):
        operation = Operation(
            step=Step(line['step']),
            key=cattrs.structure(line['key'], ClaimKey),
            token=line['token'],
            until_seconds=0,
            code=ResultCode(line['code']),
            unsettled_version=line['unsettled_version'],
        )
        decision = decide(operation, ledger_of(line))
        assert decision.reply.code == line['reply'], line
        assert decision.needs_write == line['needs_write'], line
        if operation.step is Step.record and operation.code is ResultCode.ok:
            first = ran.setdefault(operation.key.digest, operation.token)
            assert first == operation.token, line


def text_of(number: int) -> Text:
    """Make a text of a number; only the number decides on adoption."""
    return Text(
        root=b'',
        facts=RootFacts(number, ()),
        parts={},
        configuration=Configuration(
            number=number, user='', failure_domains={}, services={}, holds={}
        ),
        source=Source.member,
    )


def ledger_of(line: dict[str, Any]) -> Ledger:
    """Rebuild what a decision saw of its bucket."""
    bucket = Bucket()
    own_tokens = set()
    if line['found']:
        found = line['found'].encode()
        bucket = Bucket({found[:32].decode(): found})
        if line['is_own']:
            own_tokens = {line['found'].split()[3]}
    return Ledger(
        bucket=bucket,
        version=line['version'],
        now_unix_seconds=line['unix_seconds'],
        own_tokens=own_tokens,
        settings=_SETTINGS,
    )
