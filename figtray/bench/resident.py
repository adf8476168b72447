"""Prints the memory of one program's process at a number of hosts."""

import importlib
import re
import time
import typing

import typer

# The modules of each program, without those that open connections.
MODULES = {
    'interpreter': (),
    'entry': (
        'figtray.entry.app',
        'figtray.entry.node',
        'figtray.listener',
        'figtray.admin',
        'figtray.program',
        'figtray.bench.sizes',
    ),
    'api': (
        'figtray.api.app',
        'figtray.peers.group',
        'figtray.listener',
        'figtray.admin',
        'figtray.metrics',
        'figtray.program',
        'figtray.bench.sizes',
    ),
    'controller': (
        'figtray.capacity.duty',
        'figtray.controller.loop',
        'figtray.controller.election',
        'figtray.controller.propagation',
        'figtray.controller.recount_duty',
        'figtray.peers.group',
        'figtray.admin',
        'figtray.metrics',
        'figtray.program',
        'figtray.bench.sizes',
    ),
}


def read_status(text):
    """Return the memory in a /proc/PID/status.

    Args:
        text: the content of the file.

    Returns:
        (resident KiB now, highest resident KiB so far).
    """
    return tuple(
        int(re.search(rf'^{name}:\s+(\d+) kB$', text, re.MULTILINE)[1])
        for name in ('VmRSS', 'VmHWM')
    )


def construct(role, hosts):
    """Build the objects that a program holds, without sockets.

    Args:
        role: one of MODULES.
        hosts: number of hosts of the configuration.

    Returns:
        The objects.
    """
    if role == 'interpreter' or not hosts:
        return ()
    sizes = importlib.import_module('figtray.bench.sizes')
    if role == 'entry':
        return (sizes.make_node(hosts),)
    snapshot = sizes.make_snapshot(hosts, history=512)
    if role == 'api':
        return (snapshot,)
    planner = importlib.import_module('figtray.capacity.planner')
    situation = sizes.make_situation(hosts)
    return snapshot, situation, planner.plan(situation)


def main(
    role: typing.Annotated[str, typer.Argument(metavar='|'.join(MODULES))],
    hosts: int = 0,
):
    """Import a program's modules, build its objects, print its memory."""
    if role not in MODULES:
        raise typer.BadParameter(f'{role} is none of {", ".join(MODULES)}')
    for name in MODULES[role]:
        importlib.import_module(name)
    kept = construct(role, hosts)
    with open('/proc/self/status') as file:
        resident, highest = read_status(file.read())
    print(
        f'{role}, {hosts} hosts: VmRSS {resident} KiB, VmHWM {highest} KiB, '
        f'{len(kept)} objects, start {time.process_time():.2f} s'
    )


if __name__ == '__main__':
    typer.run(main)
