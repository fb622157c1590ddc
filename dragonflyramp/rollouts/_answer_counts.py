"""Count good and bad answers by route and software version."""

import enum
import secrets
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.bounded_maps import drop_oldest

#: Limit on the kinds of answers that a front counts and reports.
MAX_ANSWER_KEYS = 512
#: Limit on the texts of a report; answers with longer ones are not counted.
MAX_TEXT_LENGTH = 400
#: Limits on the reports that a hub keeps.
_MAX_SENDERS = 1024
#: Processes of one front whose counts are kept after its restarts.
_MAX_PROCESSES = 4


class AnswerKind(enum.Enum):
    """What an answer says about the version that gave it."""

    good = 'good'
    failed = 'failed'
    #: Not failed, but much later than usual on its route.
    slow = 'slow'


@attrs.frozen
class AnswerKey:
    """Answers that are counted together."""

    service: str
    #: `RolloutOrder.key` of the order during which they came.
    order_key: str
    route: str
    #: Replica of the target version; empty for all replicas of other versions.
    replica_id: str


@attrs.frozen
class AnswerCounts:
    """Numbers of answers."""

    good: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """Return the number of all answers."""
        return self.good + self.failed + self.slow

    def plus(self, other: 'AnswerCounts') -> 'AnswerCounts':
        """Return the sum of both."""
        return AnswerCounts(
            self.good + other.good,
            self.failed + other.failed,
            self.slow + other.slow,
        )

    def minus(self, earlier: 'AnswerCounts') -> 'AnswerCounts':
        """Return what was added to earlier counts; never negative."""
        return AnswerCounts(
            max(0, self.good - earlier.good),
            max(0, self.failed - earlier.failed),
            max(0, self.slow - earlier.slow),
        )

    def greatest(self, other: 'AnswerCounts') -> 'AnswerCounts':
        """Return the greater of each number."""
        return AnswerCounts(
            max(self.good, other.good),
            max(self.failed, other.failed),
            max(self.slow, other.slow),
        )


NO_ANSWERS = AnswerCounts()
_ONE_ANSWER: Mapping[AnswerKind, AnswerCounts] = MappingProxyType(
    {
        AnswerKind.good: AnswerCounts(good=1),
        AnswerKind.failed: AnswerCounts(failed=1),
        AnswerKind.slow: AnswerCounts(slow=1),
    }
)

AnswersByKey = Mapping[AnswerKey, AnswerCounts]


@attrs.frozen
class RolloutReport:
    """What one front has counted since its start, for the hubs."""

    #: Random number of the process: counts of another process are added.
    process_id: str = ''
    answers: AnswersByKey = attrs.field(factory=dict)
    #: By service, the `RolloutOrder.key` of the rollout for which this front
    #: sends nothing more to old replicas and has no request left there.
    drained_orders: Mapping[str, str] = attrs.field(factory=dict)


NO_ROLLOUT_REPORT = RolloutReport()


def _create_process_id() -> str:
    return secrets.token_hex(4)


@attrs.define(eq=False)
class OwnAnswers:
    """Answers that this front has got since its start."""

    process_id: str = attrs.field(factory=_create_process_id)
    by_key: dict[AnswerKey, AnswerCounts] = attrs.field(factory=dict)
    drained_orders: dict[str, str] = attrs.field(factory=dict)

    def record(self, key: AnswerKey, kind: AnswerKind) -> None:
        """Count one answer, unless another daemon would reject the key."""
        if max(map(len, attrs.astuple(key))) > MAX_TEXT_LENGTH:
            return
        counts = self.by_key.get(key, NO_ANSWERS)
        self.by_key[key] = counts.plus(_ONE_ANSWER[kind])
        drop_oldest(self.by_key, MAX_ANSWER_KEYS)

    def forget_other_orders(self, service: str, order_key: str) -> None:
        """Drop the counts of a service that belong to earlier orders."""
        outdated = [
            key
            for key in self.by_key
            if key.service == service and key.order_key != order_key
        ]
        for key in outdated:
            self.by_key.pop(key)
        if self.drained_orders.get(service) != order_key:
            self.drained_orders.pop(service, None)

    def report(self) -> RolloutReport:
        """Return the report for the hubs."""
        if not self.by_key and not self.drained_orders:
            return NO_ROLLOUT_REPORT
        return RolloutReport(
            self.process_id, dict(self.by_key), dict(self.drained_orders)
        )


@attrs.define(eq=False)
class ReportedAnswers:
    """Reports of all fronts, of which each hub has a copy."""

    own: OwnAnswers = attrs.field(factory=OwnAnswers)
    #: By name of the front, and by process of this front.
    _reports: dict[str, dict[str, RolloutReport]] = attrs.field(factory=dict)

    def apply_report(self, sender: str, report: RolloutReport) -> None:
        """Keep a report; one that arrives late or again changes nothing."""
        if not report.process_id:
            return
        processes = self._reports.setdefault(sender, {})
        drop_oldest(self._reports, _MAX_SENDERS)
        earlier = processes.get(report.process_id, NO_ROLLOUT_REPORT)
        processes[report.process_id] = _merge(earlier, report)
        drop_oldest(processes, _MAX_PROCESSES)

    def answers(self, service: str, order_key: str) -> AnswersByKey:
        """Return the sums of all fronts for one order."""
        sums: dict[AnswerKey, AnswerCounts] = {}
        for report in self._all_reports():
            for key, counts in report.answers.items():
                if key.service == service and key.order_key == order_key:
                    sums[key] = sums.get(key, NO_ANSWERS).plus(counts)
        return sums

    def has_drained(self, sender: str, service: str, order_key: str) -> bool:
        """Return whether a front has no request left at old replicas."""
        return any(
            report.drained_orders.get(service) == order_key
            for report in self._reports.get(sender, {}).values()
        )

    def _all_reports(self) -> Iterable[RolloutReport]:
        yield self.own.report()
        for processes in self._reports.values():
            yield from processes.values()


def _merge(earlier: RolloutReport, report: RolloutReport) -> RolloutReport:
    """Return a report with no number below that of an earlier report.

    Requests to a hub may overtake each other.
    """
    answers = {
        key: counts.greatest(earlier.answers.get(key, NO_ANSWERS))
        for key, counts in report.answers.items()
    }
    drained = {**earlier.drained_orders, **report.drained_orders}
    return RolloutReport(report.process_id, answers, drained)
