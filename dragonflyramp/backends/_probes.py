"""Find out whether the process of a replica still runs."""

import asyncio
import enum
from typing import Protocol

#: A replica in another failure domain accepts a connection within a few
#: milliseconds.
_PROBE_TIMEOUT_SECONDS = 0.25


class ProbeOutcome(enum.Enum):
    """What a new connection to a replica shows."""

    listening = 'listening'
    #: Nothing listens at the address: the process has ended.
    refused = 'refused'
    #: The network or the VM does not respond.
    unknown = 'unknown'


class ReplicaProbe(Protocol):
    """Check of a replica that closed a connection without a reply."""

    async def __call__(self, address: str) -> ProbeOutcome:
        """Connect to an `IP:port` address and return the outcome."""


class ConnectProbe(ReplicaProbe):
    """Open a TCP connection and close it at once.

    It takes the place of the one that was lost, so a replica that lives has no
    more connections than before.
    """

    async def __call__(self, address: str) -> ProbeOutcome:
        """Connect to an `IP:port` address and return the outcome."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeOutcome.refused
        except (OSError, ValueError, OverflowError):
            return ProbeOutcome.unknown
        writer.transport.abort()
        return ProbeOutcome.listening
