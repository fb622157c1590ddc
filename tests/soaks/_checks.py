"""Check the promises from what callers and replicas saw."""

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from tests.soaks._callers import Asked
from tests.systems import RECORD, SHARDS

#: A change is in force, and a leaving replica gets nothing, after this time.
IN_FORCE_SECONDS = 3.0
#: A front may be out of touch for so long after a fault that met it.
TOUCH_SECONDS = 4.0
_WINDOW_SECONDS = 10
_RATIO = 0.2
_TOP = 4
_LEAST = 0.6
_NOT_RUN = frozenset((408, 421, 429, 503))
_OK = 200
_NOT_FOUND = 404


@attrs.frozen(kw_only=True)
class Arrival:
    """Hold one request at a replica."""

    request_id: str
    service: str
    replica_id: str
    at_seconds: float


@attrs.frozen(kw_only=True)
class Seen:
    """Hold all that was seen from outside in one run."""

    asked: Sequence[Asked]
    arrivals: Sequence[Arrival]
    #: When each replica said that it drains.
    drained: Mapping[str, float]
    #: Start and end of each unplanned fault, with the time to recover.
    troubles: Sequence[tuple[float, float]]
    slack: int

    def is_calm(self, start_seconds: float, end_seconds: float) -> bool:
        """Tell whether no unplanned fault lies in or shortly before a span."""
        return not any(
            start < end_seconds and start_seconds < end + TOUCH_SECONDS
            for start, end in self.troubles
        )


def violations(seen: Seen) -> list[str]:
    """Name every broken promise."""
    checks = (
        _wrong_answers,
        _run_twice,
        _untrue_refusals,
        _budget,
        _work_for_leaving,
        _regresses,
        _cut_off,
    )
    return list(itertools.chain.from_iterable(check(seen) for check in checks))


def _wrong_answers(seen: Seen) -> Iterator[str]:
    for asked in seen.asked:
        if asked.status != _OK:
            continue
        if asked.path.startswith('/search'):
            yield from _wrong_search(asked)
        elif not asked.headers.get('Server-Stamp'):
            yield f'{asked.request_id}: a success without a stamp'


def _wrong_search(asked: Asked) -> Iterator[str]:
    stamps = asked.headers.get('Part-Stamps', '').split(', ')
    shards = [stamp.rpartition('.')[0].rpartition('-')[0] for stamp in stamps]
    missing = int(asked.headers.get('Missing-Parts', '0'))
    if len(set(shards)) != len(shards) or set(shards) - set(SHARDS):
        yield f'{asked.request_id}: parts of {shards}'
    if len(shards) + missing != len(SHARDS):
        yield f'{asked.request_id}: untrue coverage'
    if len(shards) < _LEAST * len(SHARDS):
        yield f'{asked.request_id}: too few parts'
    letters = sorted((shard[-1].encode() for shard in shards), reverse=True)
    if asked.body != b''.join(letter * RECORD for letter in letters[:_TOP]):
        yield f'{asked.request_id}: a body that is not that of its parts'


def _run_twice(seen: Seen) -> Iterator[str]:
    runs = collections.Counter(one.request_id for one in seen.arrivals)
    for asked in seen.asked:
        count = runs[asked.request_id]
        if asked.path.startswith('/order') and count > 1:
            yield f'{asked.request_id}: ran {count} times'


def _untrue_refusals(seen: Seen) -> Iterator[str]:
    ran = {one.request_id for one in seen.arrivals}
    for asked in seen.asked:
        is_order = asked.path.startswith('/order')
        is_said = asked.status in _NOT_RUN
        if is_order and is_said and asked.request_id in ran:
            yield f'{asked.request_id}: ran, and {asked.status} says it has not'


def _budget(seen: Seen) -> Iterator[str]:
    """Count arrivals beyond the first in windows that slide."""
    by_service = collections.defaultdict(list)
    for one in sorted(seen.arrivals, key=lambda arrival: arrival.at_seconds):
        by_service[one.service].append(one)
    for service, arrivals in by_service.items():
        window = _Window(seen.slack)
        over = next(filter(window.is_over, arrivals), None)
        if over is not None:
            yield f'{service}: {window.extra} extra for {window.first}'


@attrs.define
class _Window:
    """Count the first and the extra arrivals of the last seconds."""

    slack: int
    first: int = 0
    extra: int = 0
    _known: set[str] = attrs.field(factory=set)
    #: Time of each arrival, and whether it was extra.
    _counted: collections.deque[tuple[float, bool]] = attrs.field(
        factory=collections.deque
    )

    def is_over(self, arrival: Arrival) -> bool:
        """Count one more and tell whether that is too many."""
        is_extra = arrival.request_id in self._known
        self._known.add(arrival.request_id)
        self._counted.append((arrival.at_seconds, is_extra))
        start_seconds = arrival.at_seconds - _WINDOW_SECONDS
        while self._counted[0][0] < start_seconds:
            self._counted.popleft()
        self.extra = sum(is_extra for _, is_extra in self._counted)
        self.first = len(self._counted) - self.extra
        return self.extra > _RATIO * self.first + self.slack


def _work_for_leaving(seen: Seen) -> Iterator[str]:
    for one in seen.arrivals:
        drained_seconds = seen.drained.get(one.replica_id)
        if drained_seconds is None:
            continue
        due_seconds = drained_seconds + IN_FORCE_SECONDS
        is_late = one.at_seconds > due_seconds
        if is_late and seen.is_calm(drained_seconds, one.at_seconds):
            yield f'{one.request_id}: reached {one.replica_id}, which left'


def _regresses(seen: Seen) -> Iterator[str]:
    """A process that knew the newest route must not forget it."""
    known: set[int] = set()
    probes = [one for one in seen.asked if one.path.startswith('/newest')]
    for asked in sorted(probes, key=lambda one: one.started_seconds):
        if asked.status == _OK:
            known.add(asked.incarnation)
        elif asked.status == _NOT_FOUND and asked.incarnation in known:
            yield f'{asked.request_id}: a route that was known is gone'


def _cut_off(seen: Seen) -> Iterator[str]:
    """Planned work on its own cuts off no request."""
    for asked in seen.asked:
        is_cut = not asked.status and not asked.is_refused
        if is_cut and seen.is_calm(asked.started_seconds, asked.ended_seconds):
            yield f'{asked.request_id}: cut off at {asked.front}'


def arrivals_of(
    service: str, replica_id: str, seen: Iterable[tuple[float, str]]
) -> Iterator[Arrival]:
    """Name what a replica noted."""
    for at_seconds, request_id in seen:
        yield Arrival(
            request_id=request_id,
            service=service,
            replica_id=replica_id,
            at_seconds=at_seconds,
        )
