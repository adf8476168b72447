"""Legal jobs that can never be done end the process of each leader."""

import json
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment  # noqa: E402

MEMORY_MB = 300
# The platform restarts a process that was killed after a short delay.
RESTART_S = 0.5
JOBS = 12
# More than any worker has, so none of their tasks can start.
NEEDED_CPU = 9000
FINISH_S = 14
OBSERVED_S = 45


class Platform:
    """Kills processes over the memory of their machine; restarts them."""

    def __init__(self, site):
        self.site = site
        self.kills = []
        self.peaks_mb = {}
        for name in site.nodes:
            threading.Thread(
                target=self.run, args=(name,), daemon=True
            ).start()

    def run(self, name):
        while True:
            time.sleep(0.05)
            process = self.site.nodes[name]['process']
            used_mb = memory_mb(process.pid)
            self.peaks_mb[name] = max(used_mb, self.peaks_mb.get(name, 0))
            if used_mb <= MEMORY_MB:
                continue
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.kills.append(name)
            self.site.note('platform', event='over its memory, killed',
                           node=name, used_mb=round(used_mb))
            time.sleep(RESTART_S)
            self.site.start_node(name)


def memory_mb(pid):
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0


def case(site, trouble):
    platform = Platform(site)
    # 10 steps of 10,000 tasks; a hundredth of that without the trouble.
    steps = [{'count': 10_000 if trouble else 1, 'cpu': NEEDED_CPU}] * 10
    body = json.dumps({'spec': '', 'steps': steps})
    site.note('client', event=f'{JOBS} jobs of {len(body)} bytes each')
    large = [deployment.job_id() for _ in range(JOBS)]
    for job in large:
        for _ in range(10):
            if site.call('POST', job, json.loads(body))[0] == 200:
                break
            time.sleep(0.3)
        else:
            raise deployment.CannotRun('a large job was not accepted')
    # Ordinary jobs of an ordinary client.
    small = {}
    until = time.time() + OBSERVED_S
    while time.time() < until:
        job = deployment.job_id()
        status, _ = site.call('POST', job, {
            'spec': json.dumps({'ms': 200}),
            'steps': [{'count': 1, 'cpu': 500, 'mem_mb': 50,
                       'estimate_ms': 200}],
        })
        if status == 200:
            small[job] = time.time()
        time.sleep(1)
    time.sleep(FINISH_S)
    left = [job for job in small if site.state(job) != 'completed']
    site.note('platform', peaks_mb=platform.peaks_mb, kills=platform.kills)
    breaks = []
    if left:
        breaks.append(
            f'{len(left)} of {len(small)} ordinary jobs are not done '
            f'{FINISH_S} s after the last one was accepted; the workers are '
            'idle'
        )
    if platform.kills:
        counts = {n: platform.kills.count(n) for n in set(platform.kills)}
        breaks.append(f'processes that ended over {MEMORY_MB} MB: {counts}')
    return breaks


deployment.run_case(HERE, case, workers=6)
