"""Another writer leaves one odd entry among those of the replicas.

Later all fronts are killed, as at the end of a day.
"""

import asyncio
import collections
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import lab as labs

#: What was sent, answered and run.
RECORD_PATH = pathlib.Path(__file__).with_name('record.txt')
#: With TROUBLE=0, the same is done without the disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

TIME_LIMIT_MS = 4036
TARGET_MS = 605
REQUESTS_PER_SECOND = 20
CALM_SECONDS = 8
RECOVER_SECONDS = 12
AFTER_SECONDS = 10
MIN_SERVED_SHARE = 0.25
#: `value_bytes` of the settings.
MAX_VALUE_BYTES = 1_048_576
NUMBER_COUNT = 450_000
BEFORE = 'before the final fault'
RECOVERY = 'recovery'
AFTER = 'after the recovery'


class Case:
    def __init__(self, lab, fronts):
        self.lab = lab
        self.fronts = fronts
        self.phase = BEFORE
        self.is_over = False
        self.counts = collections.defaultdict(collections.Counter)

    async def drive(self):
        tasks = set()
        number = 0
        while not self.is_over:
            number += 1
            task = asyncio.create_task(self.call(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)

    async def call(self, number):
        phase = self.phase
        front = self.fronts[number % len(self.fronts)]
        answer = await labs.send(
            front, f'/ficha/{number}', f'r-{number}', TIME_LIMIT_MS
        )
        self.counts[phase][answer.status] += 1

    async def kill_fronts(self):
        self.lab.record.add('all fronts are killed')
        for front in self.fronts:
            await front.kill()
        await asyncio.sleep(1)
        for front in self.fronts:
            await front.start()
        self.lab.record.add('all fronts are started')

    def served_share(self, phase):
        counts = self.counts[phase]
        return counts[200] / max(1, sum(counts.values()))


async def main(lab):
    replicas = await lab.add_replicas('bodega', 6, slots=6, work_s=0.16)
    card = labs.route(
        'ficha-rollo',
        '/ficha/',
        service='bodega',
        timeout_ms=TIME_LIMIT_MS,
        target_latency_ms=TARGET_MS,
        priority=2,
    )
    lab.store.put('config', 'main', labs.config(7, [card], ['bodega']))
    fronts = [
        lab.add_front('front-centro-1'),
        lab.add_front('front-fatima-1', zone='natal'),
    ]
    fronts[1].settings['seeds'] = [fronts[0].addresses['control']]
    for front in fronts:
        await front.start()
    for front in fronts:
        await front.wait_ready()
    await asyncio.sleep(2)
    case = Case(lab, fronts)
    drive = asyncio.create_task(case.drive())
    await asyncio.sleep(CALM_SECONDS / 2)
    numbers = [0] * NUMBER_COUNT if HAS_TROUBLE else [0]
    odd = lab.store.put(
        'servers', 'odd', {'service': 'bodega', 'slots': numbers}
    )
    size = len(json.dumps(odd, separators=(',', ':')))
    lab.record.add('an odd entry is written, bytes:', size)
    if size > MAX_VALUE_BYTES:
        raise ValueError('the entry is larger than the store allows')
    await asyncio.sleep(CALM_SECONDS / 2)
    case.phase = RECOVERY
    await case.kill_fronts()
    await asyncio.sleep(RECOVER_SECONDS)
    case.phase = AFTER
    for front in fronts:
        lab.record.add(
            front.name,
            'ready',
            await front.is_ready(),
            'exit code',
            front.process.returncode,
        )
        if front.process.returncode is not None:
            # Not the fault of this case, which is that none becomes ready.
            raise RuntimeError(f'{front.name} has ended')
    await asyncio.sleep(AFTER_SECONDS)
    case.is_over = True
    await drive
    for phase, counts in case.counts.items():
        lab.record.add(phase, dict(counts))
    before = case.served_share(BEFORE)
    after = case.served_share(AFTER)
    lab.record.add(
        f'served before {before:.2f}, after the recovery {after:.2f}'
    )
    if before < MIN_SERVED_SHARE:
        return labs.FAILED
    return labs.BROKEN if after < MIN_SERVED_SHARE else labs.HELD


labs.run_case(main, RECORD_PATH)
