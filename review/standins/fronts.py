"""Start the project's fronts with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
_LOOPBACK_NETWORK = '127'


def pick_host() -> str:
    """Return a loopback address on which the metrics port is free."""
    while True:
        numbers = os.urandom(3)
        host = '.'.join(
            [_LOOPBACK_NETWORK, *(str(1 + number % 250) for number in numbers)]
        )
        with socket.socket() as sock:
            try:
                sock.bind((host, 9464))
            except OSError:
                continue
        return host


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Machine:
    """One machine: its settings file and the process of its front."""

    def __init__(self, name: str, zone: str, store_address: str) -> None:
        """Choose the addresses."""
        self.name = name
        self.zone = zone
        self.host = pick_host()
        ports = _free_ports(self.host, 3)
        self.frontend, self.readiness, self.control = (
            f'{self.host}:{port}' for port in ports
        )
        self.store_address = store_address
        self.seeds: list[str] = []
        #: Monotonic time of the last start.
        self.started_at_seconds = 0.0
        self.process: asyncio.subprocess.Process | None = None
        self._folder = tempfile.mkdtemp(prefix='review-')

    def settings(self) -> dict[str, Any]:
        """Return the settings, with the bounds of the small sites."""
        return {
            'node': self.name,
            'role': 'front',
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'nordeste',
            'listen': {
                'frontend': self.frontend,
                'readiness': self.readiness,
                'control': self.control,
            },
            'seeds': self.seeds,
            'bootstrap': True,
            'heartbeat_ms': 1200,
            'bounds': {
                'contact_ms': 4000,
                'drain_ms': 3000,
                'grace_s': 6,
                'config_apply_ms': 3000,
                'retry_budget_ratio': 0.2,
                'budget_window_s': 10,
                'retry_budget_slack': 54,
                'warmup_overshoot': 1.5,
                'warmup_slack': 5,
            },
            'platform': {'address': self.store_address, 'form': 'objects'},
        }

    async def start(self) -> None:
        """Start the process as the deploy file states."""
        path = pathlib.Path(self._folder, 'local.yaml')
        # JSON is valid YAML.
        path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        log = pathlib.Path(self._folder, 'log.txt').open('ab')
        self.started_at_seconds = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            *deploy['roles']['front']['run'].split(),
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'DRAGONFLYRAMP_BOOT': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def log_tail(self, count: int = 20) -> str:
        """Return the last lines of the log."""
        lines = pathlib.Path(self._folder, 'log.txt').read_text().splitlines()
        return '\n'.join(lines[-count:])

    async def is_ready(self) -> bool:
        """Return whether the front reports ready."""
        from standins.http import Message, call

        answer = await call(
            self.readiness,
            b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n',
            1,
        )
        return isinstance(answer, Message) and answer.status == 200

    async def wait_ready(self, timeout_seconds: float = 20) -> bool:
        """Wait until the front is ready."""
        ends_at_seconds = time.monotonic() + timeout_seconds
        while time.monotonic() < ends_at_seconds:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """End the process, and remove its folder."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)
