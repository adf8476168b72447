"""An idle worker is back under its id and gets orders for its former life."""

import pathlib
import time

import fleet

SHORT_RUN_S, LONG_RUN_S = 0.1, 4.0
# One worker of fourteen crashes at a time: a share of 0.07.
WORKERS = 14
ROUNDS = 10
# A supervisor starts the process again at once.
DOWN_S = 0.2


def run_s(task):
    """The first task of a job is short."""
    return SHORT_RUN_S if task.endswith('.0') else LONG_RUN_S


def play():
    case_dir = pathlib.Path(__file__).parent
    with fleet.Deployment(case_dir, run_s, [(16, ())] * WORKERS) as played:
        runs, record = played.site.runs, played.record
        caller = played.nodes[0]
        for worker in reversed(played.site.fleet[-ROUNDS:]):
            if fleet.has_trouble():
                worker.crash()
                time.sleep(DOWN_S)
                worker.start()
            job_id = played.submit(
                [
                    {
                        'count': 3,
                        'cpu': 1000,
                        'mem_mb': 500,
                        'estimate_ms': 4000,
                        'affinity': worker.rack,
                    }
                ],
                caller,
            )
            state, until_s = '', time.monotonic() + 9
            while state != 'completed' and time.monotonic() < until_s:
                time.sleep(0.3)
                _, state = played.state(job_id, caller)
        broken = [
            f'{task} run {run} started on {worker_id} at {now_s:.3f} while '
            + ', '.join(
                f'run {other} went on on {where[0]}' for other, where in others
            )
            for now_s, task, run, worker_id, others in runs.overlaps
        ]
        broken += runs.starts_after_done()
        for line in broken:
            record.write(f'BROKEN {line}')
        return broken


fleet.main(play)
