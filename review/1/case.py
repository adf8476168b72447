"""A leader is killed while a worker has over 500 ends to report."""

import pathlib
import time

import fleet

TASKS = 2000
RUN_S = 6.0
# For so long a killed node is dark (node_kill, for_s).
DARK_S = 3.5


def play():
    case_dir = pathlib.Path(__file__).parent
    with fleet.Deployment(
        case_dir, lambda task: RUN_S, [(64, ()), (64, ())]
    ) as played:
        runs, record = played.site.runs, played.record
        leader = played.leader()
        caller = next(n for n in played.nodes if n is not leader)
        record.write(f'{leader.name} leads')
        began_s = time.monotonic()
        job_id = played.submit(
            [{'count': TASKS, 'cpu': 60, 'mem_mb': 100, 'estimate_ms': 6000}],
            caller,
        )
        played.wait_for(
            lambda: len(runs.starts) == TASKS
            or time.monotonic() > began_s + RUN_S - 0.3,
            RUN_S,
            'the tasks do not start',
        )
        record.write(
            f'{len(runs.starts)} tasks have started after '
            f'{time.monotonic() - began_s:.1f} s'
        )
        time.sleep(max(0, began_s + RUN_S - 0.2 - time.monotonic()))
        if fleet.has_trouble():
            leader.kill()
            time.sleep(DARK_S)
            leader.start()
        until_s = time.monotonic() + 50
        state = ''
        while time.monotonic() < until_s and state != 'completed':
            _, state = played.state(job_id, caller)
            time.sleep(0.5)
        record.write(f'the job is shown as {state}')
        # Ends are noted a little later.
        time.sleep(3)
        broken = runs.starts_after_done()
        if state != 'completed':
            broken.append(f'the job is shown as {state}')
        for line in broken:
            record.write(f'BROKEN {line}')
        record.write(
            f'{sum(map(len, runs.starts.values()))} starts of '
            f'{len(runs.starts)} tasks'
        )
        return broken


fleet.main(play)
