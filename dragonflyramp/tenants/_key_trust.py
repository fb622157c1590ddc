"""Decide whether a daemon may still trust the API keys that it knows."""

from collections.abc import Callable
from typing import Protocol

import attrs


class KeyTrust(Protocol):
    """Policy for requests with a key while no changes of keys arrive."""

    def trusts_keys(self, now_seconds: float) -> bool:
        """Return whether requests with a key may be served."""


@attrs.frozen
class TrustAlways(KeyTrust):
    """Serve with what the daemon knows, however old it is."""

    def trusts_keys(self, now_seconds: float) -> bool:
        """Return True."""
        return True


@attrs.frozen(kw_only=True)
class TrustWhileInformed(KeyTrust):
    """Refuse keys once neither the store nor another daemon has responded."""

    max_age_seconds: float
    #: Returns the seconds since the last response, given the present time.
    news_age_seconds: Callable[[float], float]

    def trusts_keys(self, now_seconds: float) -> bool:
        """Return whether the last response is recent enough."""
        return self.news_age_seconds(now_seconds) <= self.max_age_seconds
