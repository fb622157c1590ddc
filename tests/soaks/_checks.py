"""Check the guarantees against the records of callers and replicas."""

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from tests.deployments import RECORD_BYTES, SHARDS
from tests.soaks._callers import BODY_REPEATS, RequestRecord

#: Fronts must apply a change, such as the drain of a replica, within this time.
_PROPAGATION_SECONDS = 3.0
#: After a notice of a replica, this many requests may reach it after this time.
_NOTICE_MARGIN_SECONDS = 0.5
_MAX_LATE_REQUESTS = 2
#: After a request has ended this many replicas, it may reach this many more,
#: whatever happens to the fronts meanwhile.
_CRASH_LIMIT = 3
_MAX_LATER_CRASHES = 3
#: For this long after an unplanned fault, a front may apply changes late and
#: connections may fail.
_RECOVERY_SECONDS = 4.0
#: Defaults of `budget_window_s` and `retry_budget_ratio`.
_BUDGET_WINDOW_SECONDS = 10
_BUDGET_RATIO = 0.2
#: `top_k` and `min_shard_share` of the search route.
_TOP_K = 4
_MIN_SHARD_SHARE = 0.6
#: Start of the bodies of the lookup service, which end with the request id.
_LOOKUP_RECORD = b'p' * RECORD_BYTES
#: Statuses that tell the caller that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Failures of replicas, which fronts relay.
_RELAYED_FAILURES = frozenset((500, 504))
#: Log messages of fronts that had an answer which could not be proved.
_LOST_PROOFS = (
    'answer has no proof and is not sent',
    'reply cannot be relayed without its stamp',
)
_OK = 200
_NOT_FOUND = 404


@attrs.frozen(kw_only=True)
class Execution:
    """Execution of a request by a replica."""

    request_id: str
    service: str
    replica_id: str
    started_at_seconds: float


@attrs.frozen(kw_only=True)
class ReceivedRequests:
    """Requests that arrived at a replica, and its replies that want no more."""

    replica_id: str
    #: Monotonic time and request id.
    arrivals: Sequence[tuple[float, str]]
    #: Monotonic time, request id and for how many seconds.
    notices: Sequence[tuple[float, str, float]]
    #: Bodies of the requests that have one.
    bodies: Sequence[bytes] = ()


@attrs.frozen(kw_only=True)
class Observations:
    """Records of callers and replicas, and the faults, of one run."""

    requests: Sequence[RequestRecord]
    executions: Sequence[Execution]
    #: Arrivals and notices of each replica.
    received: Sequence['ReceivedRequests'] = ()
    #: Time at which a replica was registered as draining, by its id.
    drain_started_at_seconds: Mapping[str, float]
    #: Start and end of each unplanned fault, including front restarts.
    unplanned_fault_spans: Sequence[tuple[float, float]]
    #: Extra executions per window that the budget allows beyond its ratio.
    budget_slack: int
    #: When one request, which is sent again and again, ended replicas.
    crashed_at_seconds: Sequence[float] = ()
    #: Log lines of all fronts.
    log_lines: Sequence[str] = ()

    def is_undisturbed(
        self, starts_at_seconds: float, ends_at_seconds: float
    ) -> bool:
        """Return whether no unplanned fault can affect the time span."""
        return not any(
            start < ends_at_seconds
            and starts_at_seconds < end + _RECOVERY_SECONDS
            for start, end in self.unplanned_fault_spans
        )


def find_violations(observations: Observations) -> list[str]:
    """Return a message for each violated guarantee."""
    checks = (
        _invalid_answers,
        _lost_proofs,
        _duplicate_executions,
        _false_refusals,
        _changed_bodies,
        _exceeded_budgets,
        _requests_to_draining_replicas,
        _requests_despite_notice,
        _lost_routes,
        _failed_connections,
        _repeated_crashes,
    )
    return list(
        itertools.chain.from_iterable(check(observations) for check in checks)
    )


def _invalid_answers(observations: Observations) -> Iterator[str]:
    """Check the proof and the body of each answer that a replica gave."""
    stamped_ids = _stamped_ids(observations.executions)
    for record in observations.requests:
        check = _failure_violations
        if record.status // 100 == _OK // 100:
            is_search = record.path.startswith('/search')
            check = _search_violations if is_search else _relay_violations
        yield from check(record, stamped_ids)


def _stamped_ids(executions: Iterable[Execution]) -> Mapping[str, str]:
    """Return the id of the request by the stamp of each execution.

    A replica numbers its stamps.
    """
    counts: collections.Counter[str] = collections.Counter()
    stamped_ids: dict[str, str] = {}
    for execution in executions:
        counts[execution.replica_id] += 1
        number = counts[execution.replica_id]
        stamped_ids[f'{execution.replica_id}.{number}'] = execution.request_id
    return stamped_ids


def _failure_violations(
    record: RequestRecord, stamped_ids: Mapping[str, str]
) -> Iterator[str]:
    stamp = record.headers.get('Server-Stamp')
    is_relayed = record.status in _RELAYED_FAILURES
    is_own = is_relayed and stamped_ids.get(stamp or '') == record.request_id
    if stamp and not is_own:
        yield (
            f'{record.request_id}: {record.status} with the '
            f'Server-Stamp {stamp} of another answer'
        )


def _relay_violations(
    record: RequestRecord, stamped_ids: Mapping[str, str]
) -> Iterator[str]:
    stamp = record.headers.get('Server-Stamp')
    if not stamp:
        yield f'{record.request_id}: success without a Server-Stamp'
    elif stamped_ids.get(stamp) != record.request_id:
        yield f'{record.request_id}: {stamp} is the stamp of another request'
    if record.headers.get('Request-Id') != record.request_id:
        yield f'{record.request_id}: success with another Request-Id, or none'
    if record.body != _LOOKUP_RECORD + record.request_id.encode():
        yield f'{record.request_id}: body is not its own, or not whole'


def _search_violations(
    record: RequestRecord, stamped_ids: Mapping[str, str]
) -> Iterator[str]:
    stamps = record.headers.get('Part-Stamps', '').split(', ')
    shards = [stamp.rpartition('.')[0].rpartition('-')[0] for stamp in stamps]
    missing = int(record.headers.get('Missing-Parts', '0'))
    if 'Server-Stamp' in record.headers:
        yield f'{record.request_id}: search with a Server-Stamp'
    if {stamped_ids.get(stamp) for stamp in stamps} != {record.request_id}:
        yield f'{record.request_id}: stamp of another request in {stamps}'
    if len(set(shards)) != len(shards) or set(shards) - set(SHARDS):
        yield f'{record.request_id}: unknown or duplicate shards in {shards}'
    if len(shards) + missing != len(SHARDS):
        yield f'{record.request_id}: Missing-Parts does not match Part-Stamps'
    if len(shards) < _MIN_SHARD_SHARE * len(SHARDS):
        yield f'{record.request_id}: fewer parts than the minimum shard share'
    # The body of a replica repeats the last letter of its shard, and ends with
    # the id of the request.
    records = [shard[-1:].encode() * RECORD_BYTES for shard in shards]
    records.extend(record.request_id.encode() for _ in shards)
    if record.body != b''.join(sorted(records, reverse=True)[:_TOP_K]):
        yield f'{record.request_id}: body does not match its parts'


def _lost_proofs(observations: Observations) -> Iterator[str]:
    for line in observations.log_lines:
        if any(message in line for message in _LOST_PROOFS):
            yield f'a front had an answer without a proof: {line}'


def _duplicate_executions(observations: Observations) -> Iterator[str]:
    execution_counts = collections.Counter(
        execution.request_id for execution in observations.executions
    )
    for record in observations.requests:
        count = execution_counts[record.request_id]
        if record.path.startswith('/order') and count > 1:
            yield f'{record.request_id}: non-idempotent, ran {count} times'


def _false_refusals(observations: Observations) -> Iterator[str]:
    executed_ids = {
        execution.request_id for execution in observations.executions
    }
    for record in observations.requests:
        is_order = record.path.startswith('/order')
        is_not_run_status = record.status in _NOT_RUN_STATUSES
        if is_order and is_not_run_status and record.request_id in executed_ids:
            yield (
                f'{record.request_id}: ran, '
                f'but {record.status} means that it did not'
            )


def _changed_bodies(observations: Observations) -> Iterator[str]:
    for received in observations.received:
        for body in received.bodies:
            request_id = body[: len(body) // BODY_REPEATS]
            if body != request_id * BODY_REPEATS:
                yield f'{received.replica_id}: got a changed body: {body!r}'


def _exceeded_budgets(observations: Observations) -> Iterator[str]:
    """Check retries and hedges against the retry budget in a sliding window."""
    executions_by_service = collections.defaultdict(list)
    for execution in sorted(
        observations.executions,
        key=lambda execution: execution.started_at_seconds,
    ):
        executions_by_service[execution.service].append(execution)
    for service, executions in executions_by_service.items():
        window = _BudgetWindow(observations.budget_slack)
        exceeding = next(filter(window.record, executions), None)
        if exceeding is not None:
            yield (
                f'{service}: {window.extra_count} extra executions '
                f'for {window.first_count} requests exceed the retry budget'
            )


@attrs.define
class _BudgetWindow:
    """Count first and extra executions of requests in the budget window."""

    slack: int
    first_count: int = 0
    extra_count: int = 0
    _seen_ids: set[str] = attrs.field(factory=set)
    #: Time of each execution and whether it was extra.
    _recent: collections.deque[tuple[float, bool]] = attrs.field(
        factory=collections.deque
    )

    def record(self, execution: Execution) -> bool:
        """Record an execution and return whether the budget is exceeded."""
        is_extra = execution.request_id in self._seen_ids
        self._seen_ids.add(execution.request_id)
        self._recent.append((execution.started_at_seconds, is_extra))
        window_starts_at_seconds = (
            execution.started_at_seconds - _BUDGET_WINDOW_SECONDS
        )
        while self._recent[0][0] < window_starts_at_seconds:
            self._recent.popleft()
        self.extra_count = sum(is_extra for _, is_extra in self._recent)
        self.first_count = len(self._recent) - self.extra_count
        return self.extra_count > _BUDGET_RATIO * self.first_count + self.slack


def _requests_to_draining_replicas(observations: Observations) -> Iterator[str]:
    for execution in observations.executions:
        drain_started_at_seconds = observations.drain_started_at_seconds.get(
            execution.replica_id
        )
        if drain_started_at_seconds is None:
            continue
        drain_deadline_at_seconds = (
            drain_started_at_seconds + _PROPAGATION_SECONDS
        )
        is_late = execution.started_at_seconds > drain_deadline_at_seconds
        if is_late and observations.is_undisturbed(
            drain_started_at_seconds, execution.started_at_seconds
        ):
            yield (
                f'{execution.request_id}: ran on {execution.replica_id}, '
                'which was draining'
            )


def _requests_despite_notice(observations: Observations) -> Iterator[str]:
    """Check that a front obeys a replica that leaves or wants a pause.

    Requests that were under way may still arrive, and a restarted front may
    not know of the notice yet.
    """
    process_ids = {
        record.request_id: record.process_id for record in observations.requests
    }
    for received in observations.received:
        for noticed_at_seconds, request_id, seconds in received.notices:
            starts_at_seconds = noticed_at_seconds + _NOTICE_MARGIN_SECONDS
            late_ids = [
                late_id
                for arrived_at_seconds, late_id in received.arrivals
                if starts_at_seconds
                < arrived_at_seconds
                < noticed_at_seconds + seconds
                and process_ids.get(late_id) == process_ids.get(request_id)
                and observations.is_undisturbed(
                    noticed_at_seconds, arrived_at_seconds
                )
            ]
            if len(late_ids) > _MAX_LATE_REQUESTS:
                yield (
                    f'{late_ids}: reached {received.replica_id}, which had '
                    f'answered {request_id} that it wants no more'
                )


def _lost_routes(observations: Observations) -> Iterator[str]:
    """Check that a process that has served `/newest/` keeps that route."""
    serving_process_ids: set[int] = set()
    newest_requests = [
        record
        for record in observations.requests
        if record.path.startswith('/newest')
    ]
    for record in sorted(
        newest_requests, key=lambda record: record.started_at_seconds
    ):
        if record.status == _OK:
            serving_process_ids.add(record.process_id)
        elif (
            record.status == _NOT_FOUND
            and record.process_id in serving_process_ids
        ):
            yield f'{record.request_id}: route served before is now unknown'


def _failed_connections(observations: Observations) -> Iterator[str]:
    """Check that no established connection fails without unplanned faults."""
    for record in observations.requests:
        is_failed = not record.status and not record.has_connect_error
        if is_failed and observations.is_undisturbed(
            record.started_at_seconds, record.ended_at_seconds
        ):
            yield (
                f'{record.request_id}: connection to {record.front_name} '
                'failed before the answer was complete'
            )


def _repeated_crashes(observations: Observations) -> Iterator[str]:
    """Check that the fronts stop a request that ends replicas."""
    later_count = len(observations.crashed_at_seconds) - _CRASH_LIMIT
    if later_count > _MAX_LATER_CRASHES:
        yield (
            f'a request ended {later_count} replicas after it had '
            f'ended {_CRASH_LIMIT}'
        )


def replica_executions(
    service: str, replica_id: str, executions: Iterable[tuple[float, str]]
) -> Iterator[Execution]:
    """Yield an execution for each request that a replica ran."""
    for started_at_seconds, request_id in executions:
        yield Execution(
            request_id=request_id,
            service=service,
            replica_id=replica_id,
            started_at_seconds=started_at_seconds,
        )
