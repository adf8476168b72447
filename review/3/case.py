"""A key is withdrawn, and its holder still reads and cancels jobs."""

import json
import pathlib
import time

import fleet

PUBLIC_PREFIX = '/bobo563/lo7/'
OTHER_KEY = 'jbvk9m68k7b2ex5wa5xw'
REVOKE_S = fleet.BOUNDS['revoke_ms'] / 1000
STEPS = [
    {
        'count': 3,
        'cpu': 1000,
        'mem_mb': 1000,
        'estimate_ms': 1000,
        'long_running': True,
    }
]


def play():
    case_dir = pathlib.Path(__file__).parent
    with fleet.Deployment(
        case_dir, lambda task: None, [(16, ())] * 3
    ) as played:
        record, runs, site = played.record, played.site.runs, played.site
        _write_config(site, 5, [fleet.KEY, OTHER_KEY])
        time.sleep(3)
        caller = played.nodes[0]
        # A job of the queue that is not public.
        job_id = played.submit(STEPS, caller)
        played.wait_for(
            lambda: runs.count_active(job_id) == 3,
            10,
            'the tasks do not start',
        )
        withdrawn = fleet.has_trouble()
        if withdrawn:
            _write_config(site, 9, [OTHER_KEY])
        time.sleep(REVOKE_S + 1)
        broken = []
        for method, prefix in (
            ('GET', fleet.PREFIX),
            ('DELETE', fleet.PREFIX),
            ('GET', PUBLIC_PREFIX),
            ('DELETE', PUBLIC_PREFIX),
        ):
            # Without the disruption, the holder may cancel its job.
            status, reply = played.request(
                method, job_id, caller, prefix=prefix
            )
            if withdrawn and status // 100 == 2:
                broken.append(
                    f'CONFIG: {method} {prefix}{job_id}, with a key that was '
                    f'withdrawn {REVOKE_S + 1:.0f} s before, is answered '
                    f'{status} {reply}'
                )
        time.sleep(3)
        record.write(f'{runs.count_active(job_id)} of its 3 tasks run')
        if withdrawn and runs.stopped:
            broken.append(
                f'the {len(runs.stopped)} tasks of the job were stopped'
            )
        for line in broken:
            record.write(f'BROKEN {line}')
        return broken


def _write_config(site, version, keys):
    """Write a configuration with a public queue beside the other one."""
    config = fleet.config_document(has_spare=False)
    config['version'] = version
    private = config['routes'][0]
    config['routes'].append(
        private
        | {'name': 'r-archive', 'prefix': PUBLIC_PREFIX, 'public': True}
    )
    config['tenants'][0]['api_keys'] = keys
    site.write('op/config', json.dumps(config).encode())
    site.record.write(f'configuration {version} has the keys {keys}')


fleet.main(play)
