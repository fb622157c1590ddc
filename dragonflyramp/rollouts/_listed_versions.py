"""Keep which software versions of a service are listed, and since when."""

from collections.abc import Iterable

import attrs

from dragonflyramp.replicas import ReplicaEntry

#: A version that is listed beside another gets nothing for this long without an
#: order: the order may still be on its way. It arrives within 5 s, and within
#: 15 s more if the store is unstable.
_UNORDERED_DELAY_SECONDS = 20


@attrs.define(eq=False)
class _ListedVersion:
    first_seen_at_seconds: float
    #: Start time of the oldest process.
    start_time_ms: int

    @property
    def age_key(self) -> tuple[float, int]:
        """Return a key that orders versions, the present one first."""
        return (self.first_seen_at_seconds, self.start_time_ms)


@attrs.define(eq=False)
class ListedVersions:
    """Software versions of the listed replicas of one service."""

    #: Versions that were rolled back or replaced, and still have replicas.
    withdrawn: set[str] = attrs.field(factory=set)
    _by_version: dict[str, _ListedVersion] = attrs.field(factory=dict)

    def update(
        self, entries: Iterable[ReplicaEntry], now_seconds: float
    ) -> None:
        """Replace the listed replicas; forget the versions without any."""
        listed: dict[str, _ListedVersion] = {}
        for entry in entries:
            version = entry.software_version
            known = listed.get(version) or self._by_version.get(version)
            if known is None:
                known = _ListedVersion(now_seconds, entry.start_time_ms)
            known.start_time_ms = min(known.start_time_ms, entry.start_time_ms)
            listed[version] = known
        self._by_version = listed
        self.withdrawn &= listed.keys()

    def withdraw_all_but(self, version: str) -> None:
        """Withdraw the versions that a completed rollout replaced."""
        self.withdrawn = self._by_version.keys() - {version}

    def has_others(self, version: str) -> bool:
        """Return whether another version in use is listed."""
        return bool(self._by_version.keys() - self.withdrawn - {version})

    def permits_unordered(self, version: str, now_seconds: float) -> bool:
        """Return whether a version may get requests without an order."""
        if version in self.withdrawn:
            return False
        listed = self._by_version.get(version)
        if listed is None:
            return True
        age_seconds = now_seconds - listed.first_seen_at_seconds
        if age_seconds >= _UNORDERED_DELAY_SECONDS:
            return True
        in_use = self._by_version.keys() - self.withdrawn
        present = min(in_use, key=lambda name: self._by_version[name].age_key)
        return version == present
