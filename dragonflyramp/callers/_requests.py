"""Define what callers ask and what they are answered, free of encoding."""

from collections.abc import Mapping

import attrs

from dragonflyramp.results import ResultCode, RunState


@attrs.frozen(kw_only=True)
class SearchRequest:
    """Ask for hits of a service; `received_seconds` is monotonic."""

    request_id: str
    service: str
    body: bytes
    deadline_ms: int
    received_seconds: float


@attrs.frozen(kw_only=True)
class SubmitRequest:
    """Ask for a run that must not be repeated under the same key."""

    request_id: str
    service: str
    body: bytes
    deadline_ms: int
    received_seconds: float
    idempotency_key: str


@attrs.frozen
class Hit:
    """Hold one hit of a backend server and the score it is merged by."""

    score: float
    fields: Mapping[str, object]


@attrs.frozen
class MissingShard:
    """Name a shard that is not in the answer, and why."""

    shard: str
    code: ResultCode


@attrs.frozen(kw_only=True)
class Coverage:
    """Count the documents of an answer; None means unknown."""

    merged: int
    total: int | None
    fraction: float | None
    missing: tuple[MissingShard, ...]


@attrs.frozen(kw_only=True)
class SearchAnswer:
    """Answer a search from one single snapshot."""

    request_id: str
    snapshot_id: str
    hits: tuple[Hit, ...]
    coverage: Coverage


@attrs.frozen(kw_only=True)
class SubmitAnswer:
    """Answer a submit; the code tells a fresh outcome from a recorded one."""

    request_id: str
    code: ResultCode
    body: bytes


@attrs.frozen
class Refusal:
    """Refuse a request; `run` says whether any part of it was run.

    It differs from the meaning of the code when the refusal comes after
    parts were sent, as with a request that crashed backend servers.
    """

    code: ResultCode
    run: RunState = attrs.field()

    @run.default
    def _run_of_code(self) -> RunState:
        return self.code.meaning.run
