"""Limit how many backend servers one request can crash.

A request is *proven* once a backend server completed it. While a request
is not proven, and its service has canaries or it crashed a server, only
admitted attempts run. An admitted attempt stays counted until it is
answered or its deadline passes, because a lost relay or a caller that went
away hides a crash. Crashes and admitted attempts together never exceed two.
"""

import asyncio

import attrs

from dragonflyramp.callers._quarantine import Quarantine
from dragonflyramp.callers._suspicions import (
    MAX_CRASHES,
    Exposure,
    ProvenRequests,
    SuspicionTable,
)
from dragonflyramp.metrics import counters


def _table(suspects: 'Suspects') -> SuspicionTable:
    return SuspicionTable(suspects.quarantine.settings)


def _proven(suspects: 'Suspects') -> ProvenRequests:
    return ProvenRequests(suspects.quarantine.settings)


@attrs.define(eq=False)
class Suspects:
    """Admit attempts of requests that may crash backend servers."""

    quarantine: Quarantine
    _table: SuspicionTable = attrs.field(
        default=attrs.Factory(_table, takes_self=True), init=False
    )
    _proven: ProvenRequests = attrs.field(
        default=attrs.Factory(_proven, takes_self=True), init=False
    )

    def is_limited(
        self, fingerprint: str, now_seconds: float, *, has_canary: bool
    ) -> bool:
        """Tell whether attempts have to go one by one for now."""
        if self._proven.contains(fingerprint, now_seconds):
            return False
        suspicion = self._table.find(fingerprint, now_seconds)
        return has_canary or bool(suspicion and suspicion.crashes)

    def admit(
        self, exposure: Exposure, now_seconds: float, *, has_canary: bool
    ) -> bool:
        """Count an attempt that is about to be sent, or hold it back.

        A proven request is held back only on the shard that it crashed.
        """
        fingerprint = exposure.fingerprint
        suspicion = self._table.find(fingerprint, now_seconds)
        is_crashed = suspicion and suspicion.crashed_shard == exposure.shard
        if not is_crashed and not self.is_limited(
            fingerprint, now_seconds, has_canary=has_canary
        ):
            return True
        suspicion = self._table.obtain(fingerprint, now_seconds)
        if suspicion.exposed(now_seconds) >= MAX_CRASHES:
            return False
        suspicion.admitted[exposure.attempt_id] = exposure.until_seconds
        return True

    def resolve(self, exposure: Exposure, now_seconds: float) -> None:
        """Note that an attempt ended without a completion or a crash."""
        suspicion = self._table.find(exposure.fingerprint, now_seconds)
        if suspicion and suspicion.admitted.pop(exposure.attempt_id, None):
            self._table.settle(exposure.fingerprint)

    def complete(self, exposure: Exposure, now_seconds: float) -> None:
        """Note that a backend server ran an attempt to its end."""
        suspicion = self._table.find(exposure.fingerprint, now_seconds)
        if suspicion is None:
            return
        if suspicion.complete(exposure):
            self._proven.add(exposure.fingerprint, now_seconds)
        self._table.settle(exposure.fingerprint)

    def crash(self, exposure: Exposure, now_seconds: float) -> None:
        """Note a crash and quarantine the fingerprint at the second one."""
        fingerprint = exposure.fingerprint
        counters.add('crashes', fingerprint.partition(':')[0])
        suspicion = self._table.obtain(fingerprint, now_seconds)
        suspicion.crash(exposure, now_seconds)
        self._proven.discard(fingerprint)
        if suspicion.crashes >= MAX_CRASHES:
            self.quarantine.start(fingerprint, now_seconds)
        self._table.settle(fingerprint)

    def refuse(self, exposure: Exposure, now_seconds: float) -> None:
        """Quarantine a request that a relay saw crash two servers.

        The relay also counts the crashes of other fronts' attempts.
        """
        self.quarantine.start(exposure.fingerprint, now_seconds)
        self.resolve(exposure, now_seconds)

    async def wait_change(
        self, fingerprint: str, now_seconds: float, timeout_seconds: float
    ) -> None:
        """Wait until an attempt of the fingerprint ended, or the timeout."""
        suspicion = self._table.find(fingerprint, now_seconds)
        if suspicion is None:
            return
        try:
            async with asyncio.timeout(timeout_seconds):
                await suspicion.changed.wait()
        except TimeoutError:
            return
