"""Define what the system needs of the platform's list of VMs."""

from collections.abc import Sequence
from typing import Protocol

import attrs
from returns.result import Result

from dragonflyramp.models import Replica, VmState
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class VirtualMachine:
    """Describe one VM that runs a backend server."""

    replica: Replica
    state: VmState


@attrs.frozen(kw_only=True)
class VmListing:
    """Hold the listed VMs; the version changes whenever the list does."""

    version: str
    machines: tuple[VirtualMachine, ...]


class VmList(Protocol):
    """List live and leaving VMs; the list lags behind reality."""

    async def list_vms(
        self, services: Sequence[str], known_version: str
    ) -> Result[VmListing | None, ResultCode]:
        """List the VMs of services; None when the version is known.

        Fail with platform_down or bad_reply.
        """
