"""A worker goes down and up, and the job that lasts there is given up."""

import pathlib
import time

import fleet

LABEL = 'b'
UP_S = 5.0
# srv_crash, for_s: 4.5 s at most.
DOWN_S = 1.5
CRASHES = 8


def play():
    case_dir = pathlib.Path(__file__).parent
    # One worker of seven crashes: a share of 0.143.
    workers = [(16, (LABEL,))] * 3 + [(16, ())] * 4
    with fleet.Deployment(case_dir, lambda task: None, workers) as played:
        record, runs = played.record, played.site.runs
        flapping, *sound = played.site.fleet[:3]
        caller = played.nodes[0]
        # One task on each of the three workers that have the label.
        job_id = played.submit(
            [
                {
                    'count': 3,
                    'cpu': 1000,
                    'mem_mb': 1000,
                    'estimate_ms': 1000,
                    'long_running': True,
                    'requires': LABEL,
                    'max_per_server': 1,
                    'may_miss': 1,
                }
            ],
            caller,
        )
        played.wait_for(
            lambda: runs.count_active(job_id) == 3,
            10,
            'the tasks do not start',
        )
        broken = []
        for _ in range(CRASHES):
            time.sleep(UP_S)
            if fleet.has_trouble():
                flapping.crash()
                time.sleep(DOWN_S)
                flapping.start()
            _, state = played.state(job_id, caller)
            if state not in ('queued', 'running'):
                record.write(f'the job is shown as {state}')
                break
        sound_ids = {worker.worker_id for worker in sound}
        stopped = [item for item in runs.stopped if item[3] in sound_ids]
        # One of them may be ended by an order, the other may not then.
        if len(stopped) > 1:
            broken.append(
                'AVAIL: while at work on sound workers, '
                + ' and '.join(
                    f'{task} on {worker_id} at {now_s:.3f}'
                    for now_s, task, _, worker_id in stopped
                )
                + ' were stopped; 1 of the step may be away'
            )
        time.sleep(12)
        record.write(f'{runs.count_active(job_id)} of its 3 tasks run')
        for line in broken:
            record.write(f'BROKEN {line}')
        return broken


fleet.main(play)
