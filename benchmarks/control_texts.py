"""Measure what an adopted configuration costs, in this process alone."""

import gc
import tracemalloc
from collections.abc import Callable

import attrs

from benchmarks.slopes import (
    Figure,
    exact_figure,
    fit_line,
    print_figures,
    processor_figure,
)
from benchmarks.tables import render_number, say
from benchmarks.texts import (
    make_machine,
    make_parts,
    make_root,
    make_text,
    shard_name,
)
from dragonflyramp.backends._slices import GainedNumbers, served_shards
from dragonflyramp.members._writer_views import facts_of
from dragonflyramp.models import Configuration
from dragonflyramp.slices import slice_map
from dragonflyramp.tools._texts import StoredTextCodec

#: 22,000 shards of 5 replicas are the 110,000 replicas of the design size.
SIZES = (1000, 4000, 22000)
CHANGES_PER_DAY = 8900
_DAY_SECONDS = 86400
_REPLICAS = 5
#: A root with a full history of 32 changes.
_NUMBER = 33


@attrs.frozen
class Change:
    """Hold a text before and after one edit of one service."""

    before: bytes
    after: bytes

    @property
    def changed_parts_bytes(self) -> int:
        """Count the bytes of the parts that the edit changed."""
        known = make_parts(self.before)
        return sum(
            len(body)
            for sha256, body in make_parts(self.after).items()
            if sha256 not in known
        )


def run() -> None:
    """Print the costs by number of services."""
    fits = []
    for size in SIZES:
        change = Change(make_text(size), make_text(size, slots=4))
        adopted = _adoption(change)
        print_figures(f'configuration of {size} services', adopted)
        print_figures('bytes of one change', _bytes(change))
        # Delta, part and use; a relay makes no offer unless it watches.
        per_change = (adopted[2], adopted[3], adopted[5])
        medians = [one.median for one in per_change]
        fits.append((size / 1000, sum(medians)))
    start, slope = fit_line(fits)
    say(
        'one change in one relay, by 1,000 services: '
        f'{render_number(start / 1000, 1)} ms '
        f'+ {render_number(slope / 1000, 2)} ms'
    )
    print_figures('memory', _memory())


def _adoption(change: Change) -> list[Figure]:
    """Measure the whole text first, and then one change of it."""
    codec = StoredTextCodec()
    base = make_root(change.before, _NUMBER)
    root = make_root(change.after, _NUMBER + 1)
    delta = codec.make_delta(base, root)
    texts = make_parts(change.before)
    configuration = codec.assemble(base, texts).unwrap()
    small = len(texts) < 1000
    return [
        processor_figure(
            'adopt a first root: parse and check the whole text',
            lambda: StoredTextCodec().assemble(base, texts),
        ),
        processor_figure(
            'offer: make the delta',
            lambda: codec.make_delta(base, root),
            repeats=20 if small else 4,
        ),
        processor_figure(
            'adopt: apply the delta', lambda: codec.apply_delta(base, delta)
        ),
        _alternating(codec, change),
        processor_figure(
            'use in a front: facts and slices',
            lambda: _use_in_front(attrs.evolve(configuration)),
        ),
        processor_figure(
            'use in a relay: facts, slices and shards',
            lambda: _use_in_relay(attrs.evolve(configuration)),
        ),
    ]


def _alternating(codec: StoredTextCodec, change: Change) -> Figure:
    """Adopt the two texts in turn, each of which changes one part."""
    texts = (change.before, change.after)
    roots = [make_root(text, _NUMBER) for text in texts]
    parts = [make_parts(text) for text in texts]
    turns = iter(range(1000))

    def adopt() -> None:  # noqa: WPS430 - the step that is measured
        turn = next(turns) % 2
        codec.assemble(roots[turn], parts[turn])

    return processor_figure('adopt: parse the part, merge, check', adopt)


def _use_in_front(configuration: Configuration) -> None:
    """Do what membership and a front's planner do with each change."""
    facts_of(configuration)
    slice_map(configuration)


def _use_in_relay(configuration: Configuration) -> None:
    """Do what membership and the backend tier do with each change."""
    facts_of(configuration)
    gained = GainedNumbers()
    gained.adopt(configuration)
    served_shards(configuration, (), ())
    gained.by_shard()


def _bytes(change: Change) -> list[Figure]:
    codec = StoredTextCodec()
    base = make_root(change.before, _NUMBER)
    root = make_root(change.after, _NUMBER + 1)
    offer = len(codec.make_delta(base, root)) + change.changed_parts_bytes
    whole = len(root) + len(change.after)
    per_second = CHANGES_PER_DAY / _DAY_SECONDS
    return [
        exact_figure('changed part and delta', 'B', offer),
        exact_figure('whole text and root', 'B', whole),
        exact_figure('root alone', 'B', len(root)),
        exact_figure(
            'changed parts a day, one offer', 'B/s', offer * per_second
        ),
        exact_figure('whole texts a day', 'B/s', whole * per_second),
    ]


def _memory() -> list[Figure]:
    """Measure the slope in services and in listed replicas."""
    return [
        traced_figure(
            'adopted configuration and parts, 1,000 services', _adopt
        ),
        traced_figure(
            'VM list of 1,000 replicas',
            lambda: [
                make_machine(shard_name(index // _REPLICAS), index % _REPLICAS)
                for index in range(1000)
            ],
        ),
    ]


def _adopt() -> object:
    text = make_text(1000)
    codec = StoredTextCodec()
    parts = make_parts(text)
    configuration = codec.assemble(make_root(text, _NUMBER), parts).unwrap()
    return codec, parts, configuration, slice_map(configuration)


def traced_figure(name: str, build: Callable[[], object]) -> Figure:
    """Measure how much memory stays in use, in kilobytes."""
    build()
    samples = [_traced_kilobytes(build) for _ in range(5)]
    return Figure(name, 'KB', tuple(samples))


def _traced_kilobytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / 1000 if kept else 0
