"""Explain the outcome of a request from the logs of several daemons."""

import collections
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from dragonflyramp.results import ResultCode

#: Log messages that report a store or member unreachable, or reachable again.
_LOST_MESSAGES = ('store lost', 'member lost')
_REGAINED_MESSAGES = ('store regained', 'member reached')


@attrs.frozen
class LogLine:
    """Decoded log line, and the daemon or file that it comes from."""

    source: str
    fields: Mapping[str, Any]

    @property
    def time(self) -> str:
        """Return the time as logged; empty if the line has none."""
        return str(self.fields.get('time', ''))

    @property
    def message(self) -> str:
        """Return the message; empty if the line has none."""
        return str(self.fields.get('message', ''))


@attrs.define
class _DaemonState:
    """State of a daemon, according to its log lines so far."""

    configuration: str = 'no configuration'
    configuration_since: str = ''
    lost_since: dict[str, str] = attrs.field(factory=dict)
    replica_states: dict[str, str] = attrs.field(factory=dict)

    def update(self, line: LogLine) -> None:
        """Apply a line that reports a change of the daemon's state."""
        fields = line.fields
        if line.message == 'front started':
            # A new process does not have the state of the previous one.
            self.lost_since.clear()
            self.replica_states.clear()
        if line.message == 'configuration in force':
            self.configuration = 'version {0}'.format(fields['version'])
            self.configuration_since = line.time
        replica = fields.get('replica')
        if replica is not None:
            state = fields.get('state', '')
            description = f'{line.message} as {state} at {line.time}'
            self.replica_states[str(replica)] = description
        self._update_dependencies(line)

    def _update_dependencies(self, line: LogLine) -> None:
        if line.message in _LOST_MESSAGES:
            self.lost_since[_dependency(line)] = line.time
        if line.message in _REGAINED_MESSAGES:
            self.lost_since.pop(_dependency(line), None)


@attrs.frozen
class _Attempt:
    """Attempt of a request on a replica; fields in the order of the log.

    `started_ms` and `ended_ms` count from the arrival of the caller's request.
    """

    replica_id: str
    purpose: str
    started_ms: float
    expected_latency_ms: float
    ended_ms: float
    outcome: str

    def __str__(self) -> str:
        """Describe the replica, the times and the outcome."""
        return (
            f'{self.purpose} send to {self.replica_id} '
            f'at {self.started_ms} ms, expected {self.expected_latency_ms} ms, '
            f'{self.outcome} at {self.ended_ms} ms'
        )


@attrs.frozen
class _RequestPart:
    """Part of a request that one service answers, with its attempts."""

    service: str
    code_name: str
    attempts: Sequence[_Attempt]


def parse_log(name: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; skip those without a JSON object.

    The source of a line is its `node`, else the last word before the JSON
    object, else `name`.
    """
    for raw_line in text:
        prefix, opening_brace, remainder = raw_line.partition('{')
        if not opening_brace:
            continue
        try:
            fields = json.loads(opening_brace + remainder)
        except ValueError:
            continue
        words = prefix.split()
        default_source = words[-1] if words else name
        yield LogLine(str(fields.get('node', default_source)), fields)


def explain_request(
    request_id: str, lines: Iterable[LogLine]
) -> tuple[str, ...]:
    """Describe what each daemon logged about a request, in time order.

    Each description includes the state of the daemon at that time.
    """
    states: dict[str, _DaemonState] = collections.defaultdict(_DaemonState)
    explanation: list[str] = []
    for line in sorted(lines, key=lambda logged: logged.time):
        state = states[line.source]
        if line.fields.get('request') == request_id:
            explanation.extend(_explain_line(line, state))
        else:
            state.update(line)
    return tuple(explanation)


def _dependency(line: LogLine) -> str:
    dependency_kind, _, _rest = line.message.partition(' ')
    dependency_name = line.fields.get('peer', line.fields.get('kind'))
    return f'{dependency_kind} {dependency_name}'


def _explain_line(line: LogLine, state: _DaemonState) -> Iterator[str]:
    fields = line.fields
    outcome = str(fields.get('outcome', fields.get('code')))
    yield f'{line.time} {line.source}: {line.message}: {outcome}'
    elapsed_ms = fields.get('elapsed_ms')
    if elapsed_ms is not None:
        target_ms = fields.get('target_ms')
        yield f'  after {elapsed_ms} ms; the target is {target_ms} ms'
    yield from _describe_times(fields)
    yield from _describe_fingerprint(fields)
    yield from _describe_state(state)
    parts = [_parse_request_part(*part) for part in fields.get('parts', ())]
    for part in parts:
        yield from _describe_request_part(part, state)
    cause = '; '.join(_failure_causes(outcome, parts))
    yield f'  cause: {cause}'


def _describe_times(fields: Mapping[str, Any]) -> Iterator[str]:
    """Describe when the stages of a search ended."""
    times = fields.get('times')
    if not times:
        return
    descriptions = [
        f'{description} at {times[name]} ms'
        for name, description in _STAGE_DESCRIPTIONS
        if name in times
    ]
    read_delay_ms = times.get('read_delay_ms')
    connection_count = times.get('new_connection_count')
    stages = ', '.join(descriptions)
    yield f'  waited {read_delay_ms} ms to be read; {stages}'
    yield f'  new connections for the first sends: {connection_count}'


def _describe_fingerprint(fields: Mapping[str, Any]) -> Iterator[str]:
    """Describe what other ids the request has come under."""
    fingerprint = fields.get('fingerprint')
    if fingerprint:
        yield f'  fingerprint {fingerprint}, the same for all its repeats'
    last_crash = fields.get('last_crash')
    if last_crash:
        yield f'  a replica ended while it ran the request as {last_crash}'


def _describe_state(state: _DaemonState) -> Iterator[str]:
    since = state.configuration_since or 'never'
    yield f'  {state.configuration} in force since {since}'
    for dependency, lost_time in state.lost_since.items():
        yield f'  {dependency} lost since {lost_time}'


def _parse_request_part(
    service: str, code_name: str, attempts: Sequence[Sequence[Any]]
) -> _RequestPart:
    return _RequestPart(
        service, code_name, [_Attempt(*attempt) for attempt in attempts]
    )


def _describe_request_part(
    part: _RequestPart, state: _DaemonState
) -> Iterator[str]:
    yield f'  part of {part.service}: {part.code_name}'
    for attempt in part.attempts:
        yield f'    {attempt}'
        description = state.replica_states.get(attempt.replica_id)
        if description is not None:
            yield f'      {description}'


def _failure_causes(outcome: str, parts: Sequence[_RequestPart]) -> list[str]:
    """Return the causes of failed and late parts.

    Without such parts, return the meaning of the outcome's result code.
    """
    late = [part for part in parts if part.code_name == _LATE_CODE]
    causes = [
        f'{part.service}: {_code_meaning(part.code_name)}'
        for part in parts
        if part.code_name not in _NON_FAILURE_CODES
    ]
    if late:
        count = len(late)
        hedged = sum(len(part.attempts) > 1 for part in late)
        causes.append(
            f'parts that had not arrived when the answer was due: {count} '
            f'({hedged} of them despite a second send)'
        )
    return causes or [_code_meaning(outcome)]


def _code_meaning(name: str) -> str:
    code = ResultCode.__members__.get(name)
    return code.meaning.sentence if code else name


#: Stages of a search in the log, in their order.
_STAGE_DESCRIPTIONS = (
    ('admitted_ms', 'admitted'),
    ('first_written_ms', 'first part sent'),
    ('last_written_ms', 'last part sent'),
    ('last_part_ms', 'last part received'),
    ('ended_ms', 'search ended'),
    ('merged_ms', 'answer merged'),
)
#: A part that has not arrived when the answer is due is cancelled.
_LATE_CODE = ResultCode.cancelled.name
_NON_FAILURE_CODES = frozenset((_LATE_CODE, ResultCode.ok.name))
