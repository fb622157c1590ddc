"""Store texts in a simple form and publish them at the platform."""

import hashlib
import json
from collections.abc import Mapping, Sequence

from returns.result import Failure, Result, Success

from dragonflyramp.members import PartContent, RootFacts
from dragonflyramp.models import Configuration, Service
from dragonflyramp.results import ResultCode
from tests.standins.memory_objects import MemoryPlatform

BROKEN = b'broken'


class FakeCodec:
    """Implement TextCodec; each part of a text names one service."""

    def decode_root(self, root: bytes) -> Result[RootFacts, ResultCode]:
        """Read the number and the parts of a root."""
        try:
            fields = json.loads(root)
        except ValueError:
            return Failure(ResultCode.bad_message)
        return Success(RootFacts(fields['number'], tuple(fields['parts'])))

    def assemble(
        self, root: bytes, parts: Mapping[str, bytes]
    ) -> Result[Configuration, ResultCode]:
        """Build a configuration with a service for each part."""
        fields = json.loads(root)
        names = [parts[sha256] for sha256 in fields['parts']]
        if BROKEN in names:
            return Failure(ResultCode.text_syntax)
        return Success(
            configuration(fields['number'], [name.decode() for name in names])
        )

    def make_delta(self, base: bytes, root: bytes) -> bytes:
        """Encode the root with the number of its base."""
        return json.dumps(
            {'base': json.loads(base)['number'], 'root': json.loads(root)}
        ).encode()

    def apply_delta(
        self, base: bytes, delta: bytes
    ) -> Result[bytes, ResultCode]:
        """Make the root again; fail on another base."""
        fields = json.loads(delta)
        if fields['base'] != json.loads(base)['number']:
            return Failure(ResultCode.bad_message)
        return Success(json.dumps(fields['root']).encode())


def configuration(number: int, services: Sequence[str]) -> Configuration:
    """Make a configuration in which each service is one slice."""
    return Configuration(
        number=number,
        user='tests',
        failure_domains={},
        services={
            name: Service(name=name, deadline_ms=50) for name in services
        },
        holds={},
    )


def parts_of(services: Sequence[str]) -> list[PartContent]:
    """Make the parts of a text that names services."""
    bodies = [name.encode() for name in services]
    return [
        PartContent(hashlib.sha256(body).hexdigest(), body) for body in bodies
    ]


def root_of(number: int, services: Sequence[str]) -> bytes:
    """Make the root of a text that names services."""
    hashes = [part.sha256 for part in parts_of(services)]
    return json.dumps({'number': number, 'parts': hashes}).encode()


def publish(
    platform: MemoryPlatform, number: int, services: Sequence[str]
) -> None:
    """Write parts and root as an accepted push does."""
    for part in parts_of(services):
        platform.write(f'parts/{part.sha256}', part.body, 0)
    versions = platform.versions['texts/root']
    version = versions[-1].version if versions else 0
    platform.write('texts/root', root_of(number, services), version)
