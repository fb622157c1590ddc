"""Draw days of spoiled, doubled and lost replies for the users' bench.

Run `python -m benchmarks.reply_days FOLDER FIRST COUNT`: day N is written to
`FOLDER/rN.toml`, the same on each machine. `docs/EXPERIMENTS.md` describes the
days and how to play them.
"""

import argparse
import json
import pathlib
import random
import tomllib
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

#: Placeholders of the bench, which fit each site: the services that routes name
#: by themselves, the shards, the shards after a reshard, and failure domains.
_PLAIN = ('@s2', '@s3')
_SHARDS = '@s0'
_NEXT_SHARDS = '@s1'
_ALL_SHARDS = (_SHARDS, _NEXT_SHARDS)
_DOMAINS = ('@z0', '@z1', '@z2')
#: None leaves the choice of the service to the seed of the run.
_SERVICES = (*_PLAIN, '@s2', _SHARDS, None)

#: Faults that start no later end before the day does, with its closing.
_LAST_START_SECONDS = 25.0
_FIRST_START_SECONDS = 0.5
#: Share of the other entries that start while replies are being spoiled.
_SPOILED_START_SHARE = 0.6

#: The classes of this day send long requests that may run only once. Those of
#: the sites have no body, and no replica rejects them early.
_LONG_REQUESTS_DAY = (
    pathlib.Path(__file__).parents[1] / 'deploy/days/replies-doubled.toml'
)
_LONG_REQUESTS_SHARE = 0.5


def _keyed(key: str) -> Any:
    """Declare a field that may be absent, with its key in a day file."""
    return attrs.field(default=None, metadata={'key': key})


@attrs.frozen(kw_only=True)
class Entry:
    """Disturbance or planned work; absent fields take the bench's defaults."""

    kind: str
    at_seconds: float | None = _keyed('at')
    way: str | None = _keyed('how')
    service: str | None = None
    failure_domain: str | None = _keyed('zone')
    machines: str | None = _keyed('on')
    share: float | None = None
    count: int | None = None
    #: A share, a factor, a number or a time; its meaning depends on the kind.
    strength: float | None = _keyed('x')
    for_seconds: float | None = _keyed('for_s')
    gap_seconds: float | None = _keyed('gap_s')
    down_seconds: float | None = _keyed('down_s')

    def encode(self) -> dict[str, Any]:
        """Return the keys and values of a day file."""
        return {
            field.metadata.get('key', field.name): getattr(self, field.name)
            for field in attrs.fields(Entry)
            if getattr(self, field.name) is not None
        }


@attrs.frozen(kw_only=True)
class Day:
    """Entries of a day of the bench."""

    number: int
    plan: tuple[Entry, ...]
    faults: tuple[Entry, ...]
    closing: Entry | None
    has_long_requests: bool


@attrs.frozen
class Trouble:
    """Kind of entry, with the values that each field is drawn from."""

    kind: str
    #: Names of fields of `Entry`.
    options: Mapping[str, Sequence[Any]]

    def draw(self, rng: random.Random, at_seconds: float | None) -> Entry:
        """Return an entry that starts at a given time of the day."""
        drawn = {
            name: rng.choice(choices) for name, choices in self.options.items()
        }
        if drawn.get('service') in _ALL_SHARDS:
            # The placeholder names no single shard, only all of them.
            drawn['way'] = f'{drawn.get("way", "")} across'.strip()
        return Entry(kind=self.kind, at_seconds=at_seconds, **drawn)


def _trouble(kind: str, **options: Sequence[Any]) -> Trouble:
    return Trouble(kind, options)


_FAULTS = (
    # Replies that are lost after the request has run.
    _trouble(
        'answer_lost',
        way=('', 'reset', 'reset all'),
        service=_SERVICES,
        share=(0.5, 0.8),
        strength=(0.1, 0.3),
        for_seconds=(6,),
    ),
    # Callers that leave, retry at once, come in bursts or move to other fronts.
    _trouble('give_up', way=('', 'once'), share=(0.3,), for_seconds=(8,)),
    _trouble(
        'retry_abuse', share=(0.3, 0.6), strength=(2, 3), for_seconds=(5, 8)
    ),
    _trouble('burst', strength=(1.5, 2.5), for_seconds=(5,)),
    _trouble('shift', share=(0.4,), for_seconds=(6,)),
    # Replicas that are slow, crash, fail or are replaced.
    _trouble(
        'srv_slow',
        service=_SERVICES,
        share=(0.15, 0.4),
        strength=(5, 12),
        for_seconds=(8,),
    ),
    _trouble(
        'srv_crash',
        way=('', 'dark', 'gone'),
        service=_SERVICES,
        share=(0.15, 0.3),
        for_seconds=(3,),
    ),
    _trouble(
        'srv_grey',
        way=('errors', 'shed', 'busy', 'hang', 'reset', 'mute'),
        service=_SERVICES,
        share=(0.5,),
        strength=(0.2, 0.4),
        for_seconds=(6,),
    ),
    _trouble(
        'replace_with_reuse',
        way=('', 'drain', 'dark'),
        service=_SERVICES,
        share=(0.15, 0.3),
    ),
    # Fronts that stop, stand still, are slow or are cut off.
    _trouble('node_kill', way=('', 'power'), share=(0.3,), for_seconds=(3,)),
    _trouble(
        'node_kill',
        machines=('core',),
        way=('leader race drain', 'meet drain', 'power leader'),
        count=(1,),
        for_seconds=(3,),
    ),
    _trouble('node_freeze', share=(0.3,), for_seconds=(1, 3)),
    _trouble('herd_kill', way=('', 'power'), share=(0.6,), for_seconds=(2,)),
    _trouble('node_slow', share=(0.3,), strength=(4,), for_seconds=(5,)),
    _trouble('reset_conns', share=(0.5,), strength=(0.5, 1)),
    _trouble(
        'clock_step', way=('back', 'ahead'), share=(0.4,), for_seconds=(6,)
    ),
    _trouble(
        'node_cut',
        way=('', 'all', 'meet', 'servers', 'servers reset'),
        share=(0.3,),
        for_seconds=(5,),
    ),
    _trouble(
        'core_cut',
        way=('', 'leader', 'leader race', 'all'),
        count=(1,),
        for_seconds=(4, 6),
    ),
    # Failure domains that are lost, cut off or come back cold.
    _trouble('zone_cut', failure_domain=_DOMAINS, for_seconds=(5,)),
    _trouble('zone_loss', failure_domain=_DOMAINS, for_seconds=(4,)),
    _trouble(
        'cold_return',
        way=('', 'dark'),
        failure_domain=_DOMAINS,
        for_seconds=(4,),
    ),
    # The store: down, slow, without its history, or with lost answers.
    _trouble(
        'platform_down',
        way=(
            'nodes silent revoke meet',
            'nodes busy revoke meet',
            'nodes reset',
        ),
        share=(0.35,),
        for_seconds=(8,),
    ),
    _trouble(
        'platform_down',
        way=('silent', 'silent lapse', 'busy', 'reset'),
        for_seconds=(4,),
    ),
    _trouble('platform_slow', strength=(50,), for_seconds=(5,)),
    _trouble(
        'platform_lost', way=('', 'late'), strength=(0.35,), for_seconds=(5,)
    ),
    _trouble(
        'platform_compact',
        way=('', 'stale', 'drain'),
        strength=(4,),
        for_seconds=(5, 12),
    ),
    _trouble('after_ack_kill', way=('', 'kill', 'timed'), for_seconds=(3,)),
)
_PLANS = (
    # Changes of the configuration and of the shards.
    _trouble('config_change', way=('route', 'weights', 'timeout', 'idle')),
    _trouble('config_storm', for_seconds=(5,), gap_seconds=(0.3, 0.5)),
    _trouble('big_config', count=(300,)),
    _trouble('reshard', strength=(3.4,)),
    # Replicas that are released, added, leave or get nothing for some time.
    _trouble(
        'release',
        service=_SERVICES,
        share=(0.5,),
        strength=(1,),
        gap_seconds=(1,),
    ),
    _trouble('scale_in', service=_SERVICES, share=(0.15, 0.3)),
    _trouble('scale_out', share=(0.3,), gap_seconds=(2,)),
    _trouble(
        'evacuate', way=('', 'warm'), failure_domain=_DOMAINS, for_seconds=(6,)
    ),
    # Fronts that are restarted, reloaded or added.
    _trouble(
        'roll_term',
        way=('', 'busy'),
        share=(0.4, 1),
        strength=(1,),
        gap_seconds=(1, 2),
    ),
    _trouble('hup', share=(0.6,), gap_seconds=(2,)),
    _trouble('add_nodes', share=(0.75,)),
)
_CLOSINGS = (
    _trouble('kill_all', down_seconds=(0.7, 1.2)),
    _trouble(
        'power_off_all', way=('', 'all', 'taken'), down_seconds=(0.7, 1.1)
    ),
)


def main() -> None:
    """Write the days of a range of numbers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('first', type=int)
    parser.add_argument('count', type=int)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for number in range(arguments.first, arguments.first + arguments.count):
        day = draw_day(number, random.Random(number))
        path = arguments.folder / f'r{number}.toml'
        path.write_text(format_day(day))


def draw_day(number: int, rng: random.Random) -> Day:
    """Draw the entries of a day."""
    plan = rng.sample(_PLANS, rng.randint(1, 4))
    has_reshard = any(trouble.kind == 'reshard' for trouble in plan)
    spoiled = [
        _draw_spoiled_replies(rng, has_next_shards=has_reshard)
        for _ in range(rng.randint(3, 5))
    ]
    faults = rng.sample(_FAULTS, rng.randint(3, 6))
    closing = rng.choice((None, *_CLOSINGS))
    return Day(
        number=number,
        plan=_draw_entries(plan, spoiled, rng),
        faults=(*spoiled, *_draw_entries(faults, spoiled, rng)),
        closing=closing.draw(rng, at_seconds=None) if closing else None,
        has_long_requests=_happens(_LONG_REQUESTS_SHARE, rng),
    )


def format_day(day: Day) -> str:
    """Return the text of a day file, in the form of `deploy/days/`."""
    lines = [
        '# Drawn by benchmarks.reply_days.',
        f'name = "r{day.number}"',
        'slot = "trouble"',
        f'seed = {day.number}',
        'one = 0.6',
        'zero = 0.1',
        'goal = { floor = 0.2 }',
    ]
    if day.closing:
        lines.append(f'closing = {_format(day.closing.encode())}')
    lines.extend(
        _format_list(name, [entry.encode() for entry in entries])
        for name, entries in (('plan', day.plan), ('faults', day.faults))
    )
    if day.has_long_requests:
        model = tomllib.loads(_LONG_REQUESTS_DAY.read_text())
        lines.append(_format_list('classes', model['classes']))
    text = '\n'.join(lines)
    return f'{text}\n'


def _draw_spoiled_replies(
    rng: random.Random, *, has_next_shards: bool
) -> Entry:
    next_shards = (_NEXT_SHARDS,) if has_next_shards else ()
    spoiled_replies = _trouble(
        'garble',
        way=(_draw_way(rng),),
        service=(*_SERVICES, *_PLAIN, *next_shards),
        share=(0.5, 0.9),
        strength=(0.03, 0.1, 0.3),
        for_seconds=(5, 10, 14),
    )
    return spoiled_replies.draw(rng, _draw_start_seconds(rng))


def _draw_way(rng: random.Random) -> str:
    """Draw what happens to replies; no word means cut short or not HTTP."""
    has_extra = _happens(0.6, rng)
    words = (
        ('unframed', _happens(0.4, rng)),
        ('extra', has_extra),
        ('late', has_extra and _happens(0.75, rng)),
        ('early', _happens(0.25, rng)),
        ('all', _happens(0.25, rng)),
    )
    return ' '.join(word for word, is_drawn in words if is_drawn)


def _happens(probability: float, rng: random.Random) -> bool:
    return rng.random() < probability


def _draw_entries(
    troubles: Sequence[Trouble], spoiled: Sequence[Entry], rng: random.Random
) -> tuple[Entry, ...]:
    entries = []
    for trouble in troubles:
        at_seconds = _draw_start_seconds(rng)
        if _happens(_SPOILED_START_SHARE, rng):
            span = rng.choice(spoiled)
            at_seconds = _draw_start_within(span, rng)
        entries.append(trouble.draw(rng, at_seconds))
    return tuple(entries)


def _draw_start_seconds(rng: random.Random) -> float:
    return round(rng.uniform(_FIRST_START_SECONDS, _LAST_START_SECONDS), 2)


def _draw_start_within(span: Entry, rng: random.Random) -> float:
    start_seconds = span.at_seconds or 0
    offset_seconds = rng.uniform(0, span.for_seconds or 0)
    return round(min(start_seconds + offset_seconds, _LAST_START_SECONDS), 2)


def _format_list(name: str, tables: Sequence[dict[str, Any]]) -> str:
    rows = ''.join(f'  {_format(table)},\n' for table in tables)
    return f'{name} = [\n{rows}]'


def _format(field: Any) -> str:
    if isinstance(field, dict):
        pairs = ', '.join(
            f'{key} = {_format(inner)}' for key, inner in field.items()
        )
        return f'{{ {pairs} }}'
    # Strings, numbers and lists of them are written alike in JSON and TOML.
    return json.dumps(field)


if __name__ == '__main__':
    main()
