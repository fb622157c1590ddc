"""Limit the requests that this front gives to the target version."""

import math
import zlib

import attrs

from dragonflyramp.bounded_maps import drop_oldest
from dragonflyramp.rollouts._answer_counts import AnswerKind

#: Limit on the routes whose requests are paced apart.
_MAX_ROUTES = 1024
#: Requests that a route may give at once after its replicas were full.
_MAX_CREDIT = 2.0
_CRC_RANGE = 4_294_967_296
#: A replica whose score of bad answers is greater gets nothing more. Each
#: answer multiplies the score, and a bad one adds 1: three in a row suffice.
_MAX_BAD_SCORE = 2.4
_BAD_SCORE_FACTOR = 0.8


@attrs.define(eq=False)
class ExposureLimiter:
    """Requests of one service and rollout, and those given to the target.

    The sum given never exceeds the cap times the requests so far by more than
    this front's part of the slack and the offset, whatever the share is. With
    an offset that is uniform between 0 and 1, the expected sum over all fronts
    stays below the cap and the slack.
    """

    cap_share: float
    #: Random number between 0 and 1, drawn once.
    offset: float
    request_count: int = 0
    given_count: int = 0
    #: Requests that each route may give at the present share.
    _credits: dict[str, float] = attrs.field(factory=dict)

    def is_due(self, route: str, share: float, slack: float) -> bool:
        """Return whether the next request of a route is for the target.

        `slack` is this front's part of the requests beyond the cap.
        """
        allowance = self.cap_share * (self.request_count + 1) + self.offset
        allowance += slack
        if share <= 0 or self.given_count + 1 > allowance:
            return False
        return self._credit(route) + share >= 1

    def record_request(
        self, route: str, share: float, *, is_given: bool
    ) -> None:
        """Count a request, and whether the target got it."""
        self.request_count += 1
        credit = self._credit(route) + share
        if is_given:
            self.given_count += 1
            credit -= 1
        self._credits[route] = min(credit, _MAX_CREDIT)
        drop_oldest(self._credits, _MAX_ROUTES)

    def _credit(self, route: str) -> float:
        """Return the credit of a route, at first spread between 0 and 1.

        With the same one, all routes of a front would be due at once.
        """
        credit = self._credits.get(route)
        if credit is None:
            spread = zlib.crc32(route.encode()) / _CRC_RANGE
            credit = math.fmod(self.offset + spread, 1)
        return credit


@attrs.define(eq=False)
class ServiceExposure:
    """What this front has given to the target version of one rollout."""

    order_key: str
    limiter: ExposureLimiter
    _bad_scores: dict[str, float] = attrs.field(factory=dict)

    def record_answer(self, replica_id: str, kind: AnswerKind) -> None:
        """Count an answer of a target replica."""
        score = self._bad_scores.get(replica_id, 0) * _BAD_SCORE_FACTOR
        if kind is not AnswerKind.good:
            score += 1
        if not self.is_stopped(replica_id):
            self._bad_scores[replica_id] = score

    def is_stopped(self, replica_id: str) -> bool:
        """Return whether this front gives a replica nothing more."""
        return self._bad_scores.get(replica_id, 0) > _MAX_BAD_SCORE
