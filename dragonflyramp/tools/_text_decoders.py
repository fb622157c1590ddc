"""Decode the configuration and the holds from the operators' text."""

from collections.abc import Mapping

import attrs
from loguru import logger
from returns.result import Failure

from dragonflyramp import operators
from dragonflyramp.models import Configuration
from dragonflyramp.platform import TEXTS_KIND, StoreDecoder, create_body_reader
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.routes import RoutingTable
from dragonflyramp.routing_state import ObjectDecoder
from dragonflyramp.views import Fields


@attrs.frozen
class TextDecoder(ObjectDecoder):
    """Decode the operators' text and the platform's replica entries.

    The text also lists the holds, so config_kind and holds_kind are the same.
    """

    config_kind: str = TEXTS_KIND
    entries_kind: str = StoreDecoder().entries_kind
    holds_kind: str = TEXTS_KIND

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return the kinds to watch, each once."""
        return (TEXTS_KIND, self.entries_kind)

    def decode_table(
        self, objects_by_name: Mapping[str, Fields]
    ) -> RoutingTable | None:
        """Decode the stored text; return None if it cannot be read."""
        configuration = _read_configuration(objects_by_name)
        return (
            None
            if configuration is None
            else operators.build_routing_table(configuration)
        )

    def decode_entry(self, stored_object: Fields) -> ReplicaEntry | None:
        """Decode a replica's entry; return None if it is malformed."""
        return StoreDecoder().decode_entry(stored_object)

    def decode_held_domains(
        self, objects_by_name: Mapping[str, Fields]
    ) -> frozenset[str] | None:
        """Return the failure domains on hold; None if the text is unreadable.

        Without any object there is no text, and nothing is on hold.
        """
        if not objects_by_name:
            return frozenset()
        configuration = _read_configuration(objects_by_name)
        return (
            None
            if configuration is None
            else operators.held_domains(configuration)
        )


def _read_configuration(
    objects_by_name: Mapping[str, Fields],
) -> Configuration | None:
    read_result = operators.ConfigurationReader(
        create_body_reader(objects_by_name)
    ).read()
    if isinstance(read_result, Failure):
        logger.bind(code=read_result.failure().name).warning(
            'the text cannot be read yet'
        )
        return None
    return read_result.unwrap()
