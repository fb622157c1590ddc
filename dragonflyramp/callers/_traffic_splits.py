"""Distribute requests over services by weight."""

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.routes import Route, WeightedService

#: Limit on the splits that are kept, those of earlier configurations included.
_MAX_SPLITS = 1024


@attrs.define(eq=False)
class WeightedRoundRobin:
    """Select services by smooth weighted round robin.

    It matches the weights even over a few requests. Random selection would at
    times deviate from them by more than a tenth over a few hundred requests.
    """

    _current_weights: dict[tuple[WeightedService, ...], list[float]] = (
        attrs.field(factory=dict)
    )

    def select(self, route: Route) -> str:
        """Return the service that is furthest below its share of requests."""
        split = route.split
        if len(split) == 1:
            return split[0].service
        current_weights = use_entry(
            self._current_weights,
            split,
            lambda: [0 for _ in split],
            _MAX_SPLITS,
        )
        total_weight = sum(
            weighted_service.weight for weighted_service in split
        )
        for index, weighted_service in enumerate(split):
            current_weights[index] += weighted_service.weight
        selected_index = current_weights.index(max(current_weights))
        current_weights[selected_index] -= total_weight
        return split[selected_index].service
