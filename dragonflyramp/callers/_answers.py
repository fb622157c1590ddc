"""Define the answers to queries.

A success exists only with its proof: whose stamp it bears, of which attempt at
which request, and by which route of which version of the configuration.
"""

from typing import TypeAlias

import attrs

from dragonflyramp.backends import ProvenSuccess, UnprovenSuccessError
from dragonflyramp.messages import Reply, Request
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings, Route, required_shard_count


@attrs.frozen(kw_only=True)
class RouteVersion:
    """Route of a request, and the version of its routing table."""

    route: Route
    version: int


@attrs.frozen(kw_only=True)
class RelayedAnswer:
    """Success of one replica, relayed to the caller.

    Raise UnprovenSuccessError if the route does not name the service.
    """

    success: ProvenSuccess
    routed: RouteVersion

    def __attrs_post_init__(self) -> None:
        """Check the success against the route."""
        route = self.routed.route
        if route.gather is not None:
            raise UnprovenSuccessError('a search is not relayed')
        if self.success.service not in route.services:
            raise UnprovenSuccessError('service is not of the route')

    @property
    def request(self) -> Request:
        """Return the request that is answered."""
        return self.success.request

    @property
    def reply(self) -> Reply:
        """Return the relayed reply."""
        return self.success.reply

    @property
    def proofs(self) -> tuple[ProvenSuccess, ...]:
        """Return the proofs of the success."""
        return (self.success,)


@attrs.frozen(kw_only=True)
class RelayedFailure:
    """Failure that a replica reported, relayed to the caller.

    Raise UnprovenSuccessError for a success.
    """

    reply: Reply

    def __attrs_post_init__(self) -> None:
        """Check that the reply is no success."""
        if self.reply.is_success:
            raise UnprovenSuccessError('a success is no failure')


@attrs.frozen(kw_only=True)
class MergedAnswer:
    """Merged results of the shards that answered in time.

    Raise UnprovenSuccessError if the parts are no answer by the route: too few,
    of shards that it does not name, two of one shard or with one stamp, of
    several requests, or in a content coding.
    """

    parts: tuple[ProvenSuccess, ...]
    routed: RouteVersion
    body: bytes

    def __attrs_post_init__(self) -> None:
        """Check the parts against the route and each other."""
        gather = self.routed.route.gather
        if gather is None:
            raise UnprovenSuccessError('only a search is merged')
        if len(self.parts) < required_shard_count(
            len(gather.shards), gather.min_share
        ):
            raise UnprovenSuccessError('too few parts')
        _check_parts(self.parts, gather)

    @property
    def request(self) -> Request:
        """Return the request that is answered."""
        return self.parts[0].request

    @property
    def proofs(self) -> tuple[ProvenSuccess, ...]:
        """Return the proofs of the success."""
        return self.parts

    @property
    def stamps(self) -> tuple[str, ...]:
        """Return the servers' signatures of the parts."""
        return tuple(part.stamp for part in self.parts)

    @property
    def version(self) -> int:
        """Return the version of the configuration that routed the query."""
        return self.routed.version

    @property
    def shard_count(self) -> int:
        """Return the number of shards of the search, answered or not."""
        gather = self.routed.route.gather
        return 0 if gather is None else len(gather.shards)

    @property
    def missing_count(self) -> int:
        """Return the number of shards that are not part of the answer."""
        return self.shard_count - len(self.parts)


@attrs.frozen(kw_only=True)
class Refusal:
    """Answer to a query that was refused, or that was sent and failed."""

    code: ResultCode
    #: Whether a replica may have run the request or may still run it.
    may_have_run: bool = False
    #: Delay before a retry; only set for requests that have not run.
    retry_after_seconds: float | None = None


#: Answers that a caller gets as a success.
Success: TypeAlias = RelayedAnswer | MergedAnswer
Answer: TypeAlias = Success | RelayedFailure | Refusal


def _check_parts(
    parts: tuple[ProvenSuccess, ...], gather: GatherSettings
) -> None:
    services = {part.service for part in parts}
    has_other_requests = any(
        part.request is not parts[0].request for part in parts
    )
    faults = {
        'part of no shard': not services.issubset(gather.shards),
        'two parts of one shard': len(services) < len(parts),
        'two parts with one stamp': (
            len({part.stamp for part in parts}) < len(parts)
        ),
        'parts of several requests': has_other_requests,
        'part in a content coding': any(
            part.reply.has_content_coding for part in parts
        ),
    }
    for fault, is_present in faults.items():
        if is_present:
            raise UnprovenSuccessError(fault)
