"""Define which software versions may get a request."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

import attrs

from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.rollouts._answer_counts import AnswerKind


class ListedReplica(Protocol):
    """Replica that may get a request."""

    @property
    def entry(self) -> ReplicaEntry:
        """Return the replica's entry in the store."""


Candidate = TypeVar('Candidate', bound=ListedReplica)


@attrs.frozen(kw_only=True)
class Sending:
    """Attempt at a request, for which a replica is selected."""

    service: str
    route: str
    #: Whether it is neither a retry nor a hedge.
    is_first: bool
    #: Whether it may go to a replica that the request has tried, if there is
    #: no other.
    may_repeat_replica: bool = False


class VersionPolicy(Protocol):
    """Policy for which software versions of a service get which requests."""

    def record_listed(
        self, service: str, entries: Iterable[ReplicaEntry], now_seconds: float
    ) -> None:
        """Hear of all replicas of a service after a change."""

    def permits(self, entry: ReplicaEntry, now_seconds: float) -> bool:
        """Return whether a replica may get requests at all."""

    def divides_requests(self, service: str) -> bool:
        """Return whether `narrow` has to choose among all candidates."""

    def narrow(
        self, candidates: list[Candidate], sending: Sending, now_seconds: float
    ) -> list[Candidate]:
        """Return the permitted candidates of which one may get an attempt."""

    def record_start(
        self, entry: ReplicaEntry, sending: Sending, now_seconds: float
    ) -> None:
        """Count an attempt that has started."""

    def record_answer(
        self, entry: ReplicaEntry, route: str, kind: AnswerKind
    ) -> None:
        """Count what an attempt says about its version."""


@attrs.frozen
class AllVersions(VersionPolicy):
    """Give requests to all software versions alike."""

    def record_listed(
        self, service: str, entries: Iterable[ReplicaEntry], now_seconds: float
    ) -> None:
        """Ignore the replicas."""

    def permits(self, entry: ReplicaEntry, now_seconds: float) -> bool:
        """Return that every replica may get requests."""
        return True

    def divides_requests(self, service: str) -> bool:
        """Return that there is nothing to choose."""
        return False

    def narrow(
        self, candidates: list[Candidate], sending: Sending, now_seconds: float
    ) -> list[Candidate]:
        """Return all candidates."""
        return candidates

    def record_start(
        self, entry: ReplicaEntry, sending: Sending, now_seconds: float
    ) -> None:
        """Ignore the attempt."""

    def record_answer(
        self, entry: ReplicaEntry, route: str, kind: AnswerKind
    ) -> None:
        """Ignore the answer."""
