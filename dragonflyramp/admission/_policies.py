"""Define the interface of admission control."""

import contextlib
from typing import Protocol

import attrs

from dragonflyramp.backends import RequestContext


@attrs.frozen(kw_only=True)
class Rejection:
    """Refusal of a request that has not run."""

    #: When there is capacity for the request.
    retry_after_seconds: float
    #: Label of the reason in the metrics and the log.
    reason: str


class AdmissionPolicy(Protocol):
    """Policy for the order in which requests run."""

    async def admit(
        self,
        context: RequestContext,
        cleanup: contextlib.ExitStack,
        now_seconds: float,
    ) -> Rejection | None:
        """Wait until a request may run, or reject it.

        `cleanup` releases what the request takes, when it has been answered or
        its caller has left.
        """

    def stop_waiting(self) -> None:
        """Reject the requests that wait; let none wait from now on."""


@attrs.frozen
class AdmitAll(AdmissionPolicy):
    """Let all requests run at once, in the order of their arrival."""

    async def admit(
        self,
        context: RequestContext,
        cleanup: contextlib.ExitStack,
        now_seconds: float,
    ) -> None:
        """Return None: the request may run."""

    def stop_waiting(self) -> None:
        """Do nothing, because no request waits."""
