"""Share between daemons how slow replicas are.

Answers the load of many daemons that each send few requests to a replica: on
its own a daemon would learn of each slow replica with a late part, and has
forgotten it when it sends there again.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

#: Samples count for about this long; a slow replica stays slow for seconds.
_FADE_SECONDS = 1.5
#: Fewer samples may all be of one pause of 150 to 200 ms.
_LEAST_SAMPLES = 3
#: A replica that answers this many times later than usual is told as slow.
_SLOW_RATIO = 2
#: Tallies that are neither slow nor nearly so are not worth their bytes.
_TELLING_RATIO = 1.4
#: A hub with many askers tells the same tallies for this long.
_SAME_SECONDS = 0.25
#: A daemon that asks nobody drops its samples at this number of replicas.
_MOST_FRESH = 4096


@attrs.frozen
class Tally:
    """Sum latencies relative to the usual ones; counts fade with time."""

    count: float = 0
    total: float = 0
    at_seconds: float = 0

    @property
    def ratio(self) -> float:
        """Average the samples."""
        return self.total / self.count if self.count else 1

    def faded(self, now_seconds: float) -> 'Tally':
        """Count what is left of the samples at a time."""
        passed_seconds = max(0, now_seconds - self.at_seconds)
        left = math.exp(-passed_seconds / _FADE_SECONDS)
        return Tally(self.count * left, self.total * left, now_seconds)

    def plus(self, other: 'Tally') -> 'Tally':
        """Add samples of the same time."""
        return Tally(
            self.count + other.count,
            self.total + other.total,
            max(self.at_seconds, other.at_seconds),
        )


Tallies = Mapping[str, Tally]


def _pass_over(slow: Mapping[str, float], now_seconds: float) -> None:
    """Leave it at the tallies, as a board does that only gathers."""


@attrs.define(eq=False)
class PaceBoard:
    """Gather tallies of replicas by id: own, those asked with, those told."""

    #: Called with the ids of slow replicas and their ratios.
    on_slow: Callable[[Mapping[str, float], float], None] = _pass_over
    _fresh: dict[str, Tally] = attrs.field(factory=dict)
    _local: dict[str, Tally] = attrs.field(factory=dict)
    #: What each hub told last, by its name.
    _told: dict[str, Tallies] = attrs.field(factory=dict)
    _telling: Tallies = attrs.field(factory=dict)
    _telling_seconds: float = -math.inf

    def note(self, replica_id: str, ratio: float, now_seconds: float) -> None:
        """Add a sample of this daemon's own sends."""
        sample = Tally(1, ratio, now_seconds)
        if len(self._fresh) >= _MOST_FRESH:
            self._fresh = {}
            self._late(now_seconds)
        _add(self._fresh, replica_id, sample)
        _add(self._local, replica_id, sample)

    def take_fresh(self) -> Tallies:
        """Give the own samples since the last time, to tell them one hub."""
        fresh = self._fresh
        self._fresh = {}
        return fresh

    def hear(self, tallies: Tallies, now_seconds: float) -> None:
        """Add the samples of a daemon that asks this one."""
        for replica_id, tally in tallies.items():
            _add(
                self._local,
                replica_id,
                attrs.evolve(tally, at_seconds=now_seconds),
            )

    def local(self, now_seconds: float) -> Tallies:
        """Give what was heard here and tells of a slow replica."""
        if now_seconds - self._telling_seconds >= _SAME_SECONDS:
            self._telling_seconds = now_seconds
            self._telling = self._late(now_seconds)
        return self._telling

    def take_told(
        self, hub_name: str, tallies: Tallies, now_seconds: float
    ) -> None:
        """Take over what a hub tells, and name the slow replicas."""
        self._told[hub_name] = {
            replica_id: attrs.evolve(tally, at_seconds=now_seconds)
            for replica_id, tally in tallies.items()
        }
        # Forgets what is old, also at a daemon that nobody asks.
        self.local(now_seconds)
        slow = self._slow(tallies, now_seconds)
        if slow:
            self.on_slow(slow, now_seconds)

    def _late(self, now_seconds: float) -> Tallies:
        """Let all tallies fade, and pick those worth telling."""
        faded = {
            replica_id: tally.faded(now_seconds)
            for replica_id, tally in self._local.items()
        }
        self._local = {
            replica_id: tally
            for replica_id, tally in faded.items()
            if tally.count > _FORGOTTEN_COUNT
        }
        return {
            replica_id: tally
            for replica_id, tally in self._local.items()
            if tally.ratio > _TELLING_RATIO
        }

    def _slow(
        self, replica_ids: Iterable[str], now_seconds: float
    ) -> dict[str, float]:
        slow = {}
        for replica_id in replica_ids:
            total = Tally(at_seconds=now_seconds)
            for told in self._told.values():
                tally = told.get(replica_id)
                if tally is not None:
                    total = total.plus(tally.faded(now_seconds))
            if total.count >= _LEAST_SAMPLES and total.ratio >= _SLOW_RATIO:
                slow[replica_id] = total.ratio
        return slow


def _add(tallies: dict[str, Tally], replica_id: str, tally: Tally) -> None:
    known = tallies.get(replica_id)
    if known is not None:
        tally = known.faded(tally.at_seconds).plus(tally)
    tallies[replica_id] = tally


#: What is left of a sample after about seven seconds.
_FORGOTTEN_COUNT = 0.01
