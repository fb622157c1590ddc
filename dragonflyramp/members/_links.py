"""Define what callers and backends need of the links between daemons."""

import asyncio
from typing import Protocol, TypeAlias

import attrs

from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.models import Configuration, Lease, MemberId, SliceId


@attrs.frozen
class RelayLost:
    """Tell a query that the stream to one of its relays closed."""

    relay_id: MemberId


RelayEvent: TypeAlias = Part | RelayLost


class RelayLinks(Protocol):
    """Reach the relays of the group from a front."""

    def candidates(self, slice_id: SliceId) -> tuple[MemberId, ...]:
        """List connected relays for a slice: holder first, then deputies."""

    def reports(self) -> tuple[Report, ...]:
        """List the latest report of each connected relay."""

    def open_inbox(self, query_id: str) -> asyncio.Queue[RelayEvent]:
        """Create the queue that receives the events of one query."""

    def close_inbox(self, query_id: str) -> None:
        """Drop the queue; what arrives later is counted as late.

        The query is forgotten, so that it can no longer be cancelled.
        """

    async def send_query(self, relay_id: MemberId, query: Query) -> bool:
        """Send a query; False when nothing was sent."""

    async def cancel_query(self, relay_id: MemberId, query_id: str) -> None:
        """Ask a relay to stop working on a query."""

    async def send_submit(
        self, relay_id: MemberId, submit: Submit
    ) -> SubmitOutcome:
        """Send a submit once and wait for its outcome.

        The outcome's code is no_relay when nothing was sent, and
        outcome_unknown when the stream closed or the time ran out.
        """


class QueryServer(Protocol):
    """Serve the queries of fronts at a relay."""

    def start_query(self, query: Query, outbox: asyncio.Queue[Part]) -> None:
        """Queue each attempt; exactly one part per attempt follows."""

    def cancel_query(self, query_id: str) -> None:
        """Drop what is queued and close what runs for a query."""

    async def run_submit(self, submit: Submit) -> SubmitOutcome:
        """Send a submit to one replica at most once."""

    def report(self) -> Report:
        """Describe what the relay can serve now."""

    async def wait_report_change(self) -> None:
        """Wait until the report differs from the last one taken."""


class LeaseTable(Protocol):
    """Tell a relay its standing for each slice."""

    def lease(self, slice_id: SliceId, now_seconds: float) -> Lease:
        """Give the lease of a slice; state foreign when there is none."""

    def slice_ids(self) -> tuple[SliceId, ...]:
        """List the slices that this relay holds or deputises for."""

    def settled_number(self, now_seconds: float) -> int:
        """Give the configuration number that every lease now reflects.

        A shard that a later configuration moved to this relay's slice may
        still be served by the relay that held it before.
        """


class ConfigurationSource(Protocol):
    """Give the adopted configuration."""

    @property
    def current(self) -> Configuration | None:
        """Return the adopted configuration, or None before the first."""

    async def wait_change(self, number: int) -> Configuration:
        """Wait for a configuration with a number above the given one."""

    def is_isolated(self, now_seconds: float) -> bool:
        """Tell whether platform and members were silent for too long."""
