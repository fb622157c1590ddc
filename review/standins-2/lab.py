"""Stand-ins for the store, replicas and callers, and the front processes.

Everything listens on 127.0.0.1. Replicas and the store behave as the users'
pages say; a case sets their faults. Only the standard library is used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).parents[2]
HOST = 'search.example'
HELD, BROKEN, FAILED = 0, 1, 2
#: Below the ports that Linux gives to outgoing connections.
FRONT_PORTS = (10_000, 30_000)


class Record:
    """Write what was sent, answered and run to the `record.txt` of a case."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def add(self, *words):
        self._file.write(f'{self.now():9.3f} {" ".join(map(str, words))}\n')
        self._file.flush()


def free_port():
    """Return a free port that no outgoing connection gets by itself."""
    while True:
        port = random.randrange(*FRONT_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def parse_head(raw):
    line, *rest = raw.decode('latin-1').split('\r\n')
    headers = []
    for header in rest:
        if header:
            name, _, text = header.partition(':')
            headers.append((name.strip().lower(), text.strip()))
    return line, headers


def first(headers, name, default=''):
    return next((text for key, text in headers if key == name), default)


async def read_body(reader, headers):
    if first(headers, 'transfer-encoding').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(first(headers, 'content-length', '0')))


class Store:
    """The platform's store: objects, watches, conditional writes, an era."""

    def __init__(self):
        self.revision = 100
        self.era = None
        self.objects = {}
        self.events = []
        self.is_down = False
        #: Called for each write: (method, kind, name) -> None or 'lost'.
        self.on_write = lambda method, kind, name: None
        self.calls = 0
        self._changed = asyncio.Event()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, **parts):
        self.revision += 1
        known = self.objects.get(kind, {}).get(name)
        stored = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'created_rev': known['meta']['created_rev']
                if known
                else self.revision,
                'finalizers': [],
                'pending_delete': False,
            },
            'spec': spec,
            'status': known['status'] if known else None,
            **parts,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)
        return stored

    def remove(self, kind, name):
        self.revision += 1
        stored = self.objects[kind].pop(name)
        self._add_event(kind, stored, True)
        return stored

    def _add_event(self, kind, stored, is_removed):
        event = {
            'tombstone': is_removed,
            'object': json.loads(json.dumps(stored)),
        }
        self.events.append((self.revision, kind, event))
        self.wake()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError
        ):
            while True:
                line, headers = parse_head(await reader.readuntil(b'\r\n\r\n'))
                body = await read_body(reader, headers)
                self.calls += 1
                method, target, _ = line.split(' ')
                if self.is_down:
                    status, answer = 503, {}
                else:
                    reply = await self._answer(method, target, body)
                    if reply is None:
                        writer.transport.abort()
                        return
                    status, answer = reply
                    if self.is_down:
                        status, answer = 503, {}
                encoded = json.dumps(answer).encode()
                era = '' if self.era is None else f'Store-Era: {self.era}\r\n'
                writer.write(
                    f'HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n'
                    f'{era}Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, _, kind, *rest = map(urllib.parse.unquote, url.path.split('/'))
        objects = self.objects.setdefault(kind, {})
        if method == 'GET' and not rest:
            if 'watch' in query:
                return await self._watch(kind, query)
            names = sorted(n for n in objects if n > query.get('after', ''))
            items = [objects[name] for name in names[:500]]
            return 200, {
                'items': items,
                'has_more': len(names) > 500,
                'at_rev': self.revision,
            }
        if method == 'GET':
            found = objects.get(rest[0])
            return (200, found) if found else (404, {})
        fields = json.loads(body) if body else {}
        name = rest[0] if rest else fields['meta']['name']
        fate = self.on_write(method, kind, name)
        reply = self._write(method, kind, name, rest, fields, query)
        return None if fate == 'lost' else reply

    def _write(self, method, kind, name, rest, fields, query):
        known = self.objects[kind].get(name)
        if method == 'POST':
            if known:
                return 409, known
            return 200, self.put(kind, name, fields.get('spec'))
        if not known:
            return 404, {}
        rev = (fields.get('meta') or {}).get('rev') or query.get('rev')
        if rev and int(rev) != known['meta']['rev']:
            return 409, known
        if method == 'DELETE':
            return 200, self.remove(kind, name)
        if rest[1:] == ['status']:
            stored = self.put(
                kind, name, known['spec'], status=fields['status']
            )
            return 200, stored
        if known['spec'] == fields.get('spec'):
            return 200, known
        return 200, self.put(kind, name, fields.get('spec'))

    async def _watch(self, kind, query):
        revision = int(query['watch'])
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            if revision > self.revision:
                return 410, {}
            events = [
                event
                for event_revision, event_kind, event in self.events
                if event_revision > revision and event_kind == kind
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()


class Replica:
    """One server: slots, a queue, stamps, and the id of its process."""

    stamps = itertools.count(1)

    def __init__(
        self,
        service,
        index,
        *,
        slots=4,
        queue=24,
        work_s=0.01,
        zone='recife',
        body=None,
    ):
        self.service = service
        self.id = f'i-{service}-{index}'
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.body = body if body is not None else os.urandom(16) * 4
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.warmup_left_ms = 0
        self.address = ''
        #: (monotonic time, id, method, path, body) of each request that ran.
        self.runs = []
        self.arrivals = []
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self.writers = set()
        self._server = None
        #: Called with each head before it runs; returns a coroutine or None.
        self.on_request = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def entry(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': self.warmup_left_ms,
            'sequence': self.sequence,
        }

    def register(self, store):
        store.put('servers', self.id, self.entry(), born=self.born)

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                raw = await reader.readuntil(b'\r\n\r\n')
                line, headers = parse_head(raw)
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        running = self.slots - self._slots._value
        return f'{running},{self._waiting},{self.slots}'

    def write(self, writer, status, request_id, extra='', body=b''):
        writer.write(
            f'HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n'
            f'Server-Load: {self.load()}\r\nKeep-Alive: timeout=10\r\n'
            f'{extra}Content-Length: {len(body)}\r\n\r\n'.encode('latin-1')
            + body
        )

    async def answer(self, line, headers, body, reader, writer):
        method, path, _ = line.split(' ', 2)
        request_id = first(headers, 'request-id')
        if path == '/health':
            self.write(writer, '200 OK', '', f'Instance-Id: {self.id}\r\n')
            return True
        self.arrivals.append((time.monotonic(), request_id))
        if first(headers, 'expect-instance', self.id) != self.id:
            self.write(
                writer, '421 No', request_id, f'Instance-Id: {self.id}\r\n'
            )
            return True
        if self._slots.locked() and self._waiting >= self.queue:
            self.write(writer, '503 Full', request_id, 'Not-Executed: 1\r\n')
            return True
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs.append((time.monotonic(), request_id, method, path, body))
            if self.on_request is not None:
                outcome = await self.on_request(
                    self, line, headers, body, reader, writer
                )
                if outcome is not None:
                    return outcome
            await asyncio.sleep(self.work_s)
        finally:
            self._slots.release()
        self.write(
            writer,
            '200 OK',
            request_id,
            f'Server-Stamp: {self.new_stamp(request_id)}\r\n',
            self.body,
        )
        return True

    def new_stamp(self, request_id):
        return f'{next(self.stamps):08x}.{request_id.encode("latin-1").hex()}'


class FrontProcess:
    """A front, started with the command of the deploy file."""

    def __init__(self, lab, name, **changes):
        self.lab = lab
        self.name = name
        ports = {
            key: free_port() for key in ('frontend', 'readiness', 'control')
        }
        self.addresses = {
            key: f'127.0.0.1:{port}' for key, port in ports.items()
        }
        self.port = ports['frontend']
        self.readiness_port = ports['readiness']
        self.process = None
        self.settings = {
            'node': name,
            'role': 'front',
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': '127.0.0.1',
            'zone': 'recife',
            'region': 'nordeste',
            'zones': {'recife': 'nordeste', 'natal': 'nordeste'},
            'listen': self.addresses,
            'seeds': [],
            'bootstrap': False,
            'limits': {'memory_mb': 300, 'max_fds': 4100},
            'heartbeat_ms': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'scatter',
                'places',
                'platform',
            ],
            'bounds': dict(lab.bounds),
            'platform': {'address': lab.store.address, 'form': 'objects'},
            **changes,
        }

    def write_settings(self):
        self.path = self.lab.directory / f'{self.name}.yaml'
        # JSON is YAML.
        self.path.write_text(json.dumps(self.settings))

    async def start(self):
        self.write_settings()
        deps = ROOT / 'target' / 'deps'
        self.log = open(self.lab.directory / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'dragonflyramp.tools.front',
            '--metrics_port=0',
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'PYTHONPATH': str(deps),
                'PYTHONDONTWRITEBYTECODE': '1',
                'DRAGONFLYRAMP_BOOT': str(self.path),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.readiness_port
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, timeout=40):
        async with asyncio.timeout(timeout):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f'{self.name} exited')
                await asyncio.sleep(0.1)

    def rss_mb(self):
        with contextlib.suppress(OSError):
            status = pathlib.Path(
                f'/proc/{self.process.pid}/status'
            ).read_text()
            for line in status.splitlines():
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
        return 0

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Lab:
    """A store, replicas and fronts for one case."""

    bounds = {
        'seed_lag_s': 3,
        'reuse_after_s': 2,
        'contact_ms': 4000,
        'ack_ms': 5000,
        'catch_up_s': 4,
        'drain_ms': 3000,
        'grace_s': 6,
        'loss_slack_ms': 200,
        'config_apply_ms': 3000,
        'downgrade_slack_ms': 250,
        'max_stretch_ms': 12000,
        'retry_budget_ratio': 0.2,
        'budget_window_s': 10,
        'retry_budget_slack': 54,
        'warmup_overshoot': 1.5,
        'warmup_slack': 5,
        'evacuation_ms': 5000,
        'recover_s': 12,
    }

    def __init__(self, record_path):
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.replicas = []
        self.fronts = []

    async def add_replicas(self, service, count, **options):
        added = []
        for index in range(count):
            replica = Replica(
                service, index, zone=('recife', 'natal')[index % 2], **options
            )
            await replica.start()
            replica.register(self.store)
            self.replicas.append(replica)
            added.append(replica)
        return added

    def add_front(self, name, **changes):
        front = FrontProcess(self, name, **changes)
        self.fronts.append(front)
        return front

    async def close(self):
        for front in self.fronts:
            await front.kill()
        for replica in self.replicas:
            replica.stop()
        self._temporary.cleanup()


def route(name, prefix, **fields):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': 800,
        'target_latency_ms': 145,
        'priority': 1,
        'max_attempts': 2,
        **fields,
    }


def config(version, routes, services, **fields):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 35,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': 3.0,
                'warmup_per_s': 0.0,
            }
            if isinstance(name, str)
            else name
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        **fields,
    }


class Answer:
    """Status, headers and body; status 0 if the connection ended."""

    def __init__(self, status, headers=(), body=b''):
        self.status = status
        self.headers = list(headers)
        self.body = body

    def get(self, name, default=''):
        return first(self.headers, name.lower(), default)


async def read_answer(reader, method='GET'):
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
        line, headers = parse_head(raw)
        status = int(line.split(' ')[1])
        body = b''
        if method != 'HEAD' and status not in (204, 304):
            body = await read_body(reader, headers)
        return Answer(status, headers, body)
    except (
        asyncio.IncompleteReadError,
        ConnectionError,
        OSError,
        ValueError,
        IndexError,
        asyncio.LimitOverrunError,
    ):
        return Answer(0)


def encode(path, request_id, deadline_ms, method='GET', body=b'', extra=''):
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'{extra}{length}\r\n'
    ).encode('latin-1') + body


async def send(front, path, request_id, deadline_ms=3000, **options):
    """Send one request on a new connection, and read its answer."""
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', front.port)
    except OSError:
        return Answer(0)
    try:
        writer.write(encode(path, request_id, deadline_ms, **options))
        async with asyncio.timeout(deadline_ms / 1000 + 5):
            return await read_answer(reader, options.get('method', 'GET'))
    except (OSError, TimeoutError):
        return Answer(0)
    finally:
        writer.close()


def run_case(main, record_path):
    """Run `main(lab)`; exit with what it returns, and 2 if it cannot run."""

    async def guarded():
        lab = Lab(record_path)
        try:
            await lab.store.start()
            async with asyncio.timeout(110):
                code = await main(lab)
        except Exception as error:
            lab.record.add('the case could not run:', repr(error))
            for front in lab.fronts:
                log = lab.directory / f'{front.name}.log'
                if log.exists():
                    lab.record.add(front.name, log.read_text()[-2000:])
            code = FAILED
        finally:
            await lab.close()
        lab.record.add('exit code', code)
        return code

    code = asyncio.run(guarded())
    # Writers of connections that the end of the loop has closed.
    sys.unraisablehook = lambda unraisable: None
    sys.exit(code)
