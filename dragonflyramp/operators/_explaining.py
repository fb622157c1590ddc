"""Tell the story of one request from the log lines of several daemons."""

import collections
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from dragonflyramp.results import ResultCode

#: Messages after which a dependency is lost, and again there.
_LOST = ('store lost', 'member lost')
_REGAINED = ('store regained', 'member reached')


@attrs.frozen
class LogLine:
    """Hold one decoded log line and where it is from."""

    source: str
    fields: Mapping[str, Any]

    @property
    def time(self) -> str:
        """Give the time as written."""
        return str(self.fields.get('time', ''))

    @property
    def message(self) -> str:
        """Give the message."""
        return str(self.fields.get('message', ''))


@attrs.define
class _Beliefs:
    """Hold what a daemon believed when it wrote a line."""

    version: str = 'no configuration'
    version_time: str = ''
    lost: dict[str, str] = attrs.field(factory=dict)
    replicas: dict[str, str] = attrs.field(factory=dict)

    def learn(self, line: LogLine) -> None:
        """Take over a line that changes what the daemon believes."""
        fields = line.fields
        if line.message == 'front started':
            # A new process believes nothing that the one before believed.
            self.lost.clear()
            self.replicas.clear()
        if line.message == 'configuration in force':
            self.version = 'version {0}'.format(fields['version'])
            self.version_time = line.time
        replica = fields.get('replica')
        if replica is not None:
            state = fields.get('state', '')
            told = f'{line.message} as {state} at {line.time}'
            self.replicas[str(replica)] = told
        self._learn_dependency(line)

    def _learn_dependency(self, line: LogLine) -> None:
        if line.message in _LOST:
            self.lost[_dependency(line)] = line.time
        if line.message in _REGAINED:
            self.lost.pop(_dependency(line), None)


@attrs.frozen
class _Send:
    """Hold what a line tells of one send."""

    replica: str
    purpose: str
    started_ms: float
    expected_ms: float
    ended_ms: float
    ending: str

    def __str__(self) -> str:
        """Say where the send went and how it ended."""
        return (
            f'{self.purpose} send to {self.replica} at {self.started_ms} ms, '
            f'expected {self.expected_ms} ms, '
            f'{self.ending} at {self.ended_ms} ms'
        )


@attrs.frozen
class _Part:
    """Hold what a line tells of one part of a request."""

    service: str
    code_name: str
    sends: Sequence[_Send]


def read_log(name: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; whatever stands before the JSON names the source."""
    for raw in text:
        before, brace, rest = raw.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        words = before.split()
        label = words[-1] if words else name
        yield LogLine(str(fields.get('node', label)), fields)


def explain_request(
    request_id: str, lines: Iterable[LogLine]
) -> tuple[str, ...]:
    """Tell in order what the daemons decided on a request, and on what."""
    beliefs: dict[str, _Beliefs] = collections.defaultdict(_Beliefs)
    story: list[str] = []
    for line in sorted(lines, key=lambda one: one.time):
        known = beliefs[line.source]
        if line.fields.get('request') == request_id:
            story.extend(_tell(line, known))
        else:
            known.learn(line)
    return tuple(story)


def _dependency(line: LogLine) -> str:
    what, _, _rest = line.message.partition(' ')
    named = line.fields.get('peer', line.fields.get('kind'))
    return f'{what} {named}'


def _tell(line: LogLine, known: _Beliefs) -> Iterator[str]:
    fields = line.fields
    outcome = str(fields.get('outcome', fields.get('code')))
    yield f'{line.time} {line.source}: {line.message}: {outcome}'
    elapsed_ms = fields.get('elapsed_ms')
    if elapsed_ms is not None:
        target_ms = fields.get('target_ms')
        yield f'  after {elapsed_ms} ms; the target is {target_ms} ms'
    yield from _tell_beliefs(known)
    parts = [_read_part(*part) for part in fields.get('parts', ())]
    for part in parts:
        yield from _tell_part(part, known)
    cause = '; '.join(_causes(outcome, parts))
    yield f'  cause: {cause}'


def _tell_beliefs(known: _Beliefs) -> Iterator[str]:
    since = known.version_time or 'never'
    yield f'  {known.version} in force since {since}'
    for dependency, lost_time in known.lost.items():
        yield f'  {dependency} lost since {lost_time}'


def _read_part(
    service: str, code_name: str, sends: Sequence[Sequence[Any]]
) -> _Part:
    return _Part(service, code_name, [_Send(*send) for send in sends])


def _tell_part(part: _Part, known: _Beliefs) -> Iterator[str]:
    yield f'  part of {part.service}: {part.code_name}'
    for send in part.sends:
        yield f'    {send}'
        told = known.replicas.get(send.replica)
        if told is not None:
            yield f'      {told}'


def _causes(outcome: str, parts: Sequence[_Part]) -> list[str]:
    """Name what kept the request from going well."""
    late = [part for part in parts if part.code_name == _LATE]
    causes = [
        f'{part.service}: {_sentence(part.code_name)}'
        for part in parts
        if part.code_name not in _NO_FAILURE
    ]
    if late:
        count = len(late)
        hedged = sum(len(part.sends) > 1 for part in late)
        causes.append(
            f'{count} parts were not in when the answer was due, '
            f'{hedged} of them in spite of a second send'
        )
    return causes or [_sentence(outcome)]


def _sentence(name: str) -> str:
    code = ResultCode.__members__.get(name)
    return code.meaning.sentence if code else name


_LATE = ResultCode.cancelled.name
_NO_FAILURE = frozenset((_LATE, ResultCode.ok.name))
