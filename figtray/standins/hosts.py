"""Stand-in for the platform's host list."""

import dataclasses
import json
import sys
import threading

import typer

from figtray import clock as clock_lib
from figtray.hostlist import base
from figtray.standins import service


@dataclasses.dataclass(frozen=True)
class _Version:
    """State of one host from a time on; no status = removed."""

    set_ms: int
    ttl_ms: int | None = None
    status: base.HostStatus | None = None


def _parse(item):
    """Return the HostStatus and life of a posted host."""
    ttl_ms = item.get('ttl_ms')
    status = base.HostStatus(
        host=str(item['host']),
        presence=base.HostPresence(item.get('presence', 'live')),
        boot_id=str(item.get('boot_id', '')),
        running=int(item.get('running', 0)),
        age_ms=0,
    )
    return status, None if ttl_ms is None else int(ttl_ms)


class HostsService:
    """Host list with a lag.

    An entry that was posted with `ttl_ms` disappears when it is not posted
    again in this time; its age counts from the post. Other entries stay,
    and their age is the lag of the list.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._versions = {}
        self._lag_ms = 0
        self._down = False
        self._calls = 0

    def handle(self, handler, body):
        """Answer one request."""
        path = handler.path.partition('?')[0]
        routes = {
            ('GET', '/hosts'): self._list,
            ('POST', '/hosts'): self._set,
            ('POST', '/faults'): self._faults,
            ('GET', '/stats'): self._stats,
        }
        call = routes.get((handler.command, path))
        if call is None:
            handler.reply_json(404, {'error': f'no such path: {path}'})
            return
        if self._down and path == '/hosts' and handler.command == 'GET':
            handler.drop()
            return
        try:
            with self._lock:
                reply = call(json.loads(body or b'{}'))
        except (ValueError, TypeError, LookupError, AttributeError) as exc:
            handler.reply_json(400, {'error': repr(exc)})
            return
        handler.reply_json(200, reply)

    def _list(self, _):
        self._calls += 1
        now_ms = self._clock.now_ms()
        view_ms = now_ms - self._lag_ms
        return {
            'hosts': [
                item
                for versions in self._versions.values()
                for item in self._view(versions, view_ms, now_ms)
            ]
        }

    @staticmethod
    def _view(versions, view_ms, now_ms):
        """Yield the entry of one host as of a past time, if it had one."""
        older = [item for item in versions if item.set_ms <= view_ms]
        version = (older or versions)[-1 if older else 0]
        status, ttl_ms = version.status, version.ttl_ms
        if status is None:
            return
        if ttl_ms is not None and view_ms - version.set_ms >= ttl_ms:
            return
        since_ms = view_ms if ttl_ms is None else version.set_ms
        yield {
            'host': status.host,
            'presence': status.presence.value,
            'boot_id': status.boot_id,
            'running': status.running,
            'age_ms': now_ms - since_ms,
        }

    def _set(self, request):
        parsed = [_parse(item) for item in request.get('hosts', ())]
        now_ms = self._clock.now_ms()
        for status, ttl_ms in parsed:
            self._add(status.host, _Version(now_ms, ttl_ms, status))
        for host in request.get('remove', ()):
            if host in self._versions:
                self._add(host, _Version(now_ms))
        return {'hosts': len(self._versions)}

    def _add(self, host, version):
        versions = self._versions.setdefault(host, [])
        view_ms = version.set_ms - self._lag_ms
        # The newest version that the present lag can show stays.
        while len(versions) > 1 and versions[1].set_ms <= view_ms:
            versions.pop(0)
        versions.append(version)

    def _faults(self, request):
        lag_ms = int(request.get('lag_ms', self._lag_ms))
        if lag_ms < 0:
            raise ValueError('lag_ms is negative')
        self._lag_ms = lag_ms
        self._down = bool(request.get('down', self._down))
        return {'lag_ms': self._lag_ms, 'down': self._down}

    def _stats(self, _):
        return {'calls': self._calls, 'hosts': len(self._versions)}


def start(listen, clock=None):
    """Start a server.

    Args:
        listen: address, `host:port`; port 0 takes a free one.
        clock: clock.Clock of lag and ages.

    Returns:
        The running service.Server; its `service` is the HostsService.

    Raises:
        OSError: the address can't be used.
    """
    hosts = HostsService(clock or clock_lib.SystemClock())
    server = service.Server(listen, hosts)
    server.start()
    return server


def run(
    listen: str = typer.Option('127.0.0.1:9400', help='Address, host:port.'),
    version: bool = typer.Option(
        False,
        '--version',
        callback=service.show_version,
        is_eager=True,
        help='Show the version and exit.',
    ),
):
    """Serve a host list from memory."""
    server = service.start_or_exit(start, listen)
    typer.echo(f'listening on {server.address}')
    service.wait_for_signal()
    server.stop()


def main():
    """Run the program."""
    service.run_program(run)


if __name__ == '__main__':
    sys.exit(main())
