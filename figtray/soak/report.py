"""Reports of soak runs as a summary, a JSON document and a timeline."""

import collections

import msgspec

MAX_VIOLATIONS_SHOWN = 5


def summarize(result):
    """Return a summary of a run as text."""
    jobs = ', '.join(
        f'{count} {state}' for state, count in sorted(result.jobs.items())
    )
    lines = [
        f'seed {result.seed}: {len(result.violations)} broken; jobs: {jobs}; '
        f'{len(result.starts_ms)} starts, {len(result.hits)} faults'
    ]
    for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
        lines.append(
            f'  {violation.at_ms} ms: {violation.promise}: {violation.detail}'
        )
    return '\n'.join(lines)


def encode(result):
    """Encode a Result as JSON."""
    return msgspec.json.format(msgspec.json.encode(result))


def draw_timeline(result, path):
    """Plot starts per second, violations and the duration of each fault.

    Args:
        result: Result to plot.
        path: PNG file to write.
    """
    # Imported here as it takes a second to load and is rarely used.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (starts_axes, faults_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 8), height_ratios=(1, 2)
    )
    starts_by_second = collections.Counter(
        at_ms // 1000 for at_ms in result.starts_ms
    )
    starts_axes.bar(
        list(starts_by_second),
        list(starts_by_second.values()),
        width=1,
        align='edge',
    )
    starts_axes.set_ylabel('starts a second')
    for violation in result.violations:
        starts_axes.axvline(violation.at_ms / 1000, color='red')
    for row, injected in enumerate(result.hits):
        duration_s = max(0.05, (injected.ended_ms - injected.began_ms) / 1000)
        faults_axes.barh(row, duration_s, left=injected.began_ms / 1000)
    faults_axes.set_yticks(
        range(len(result.hits)),
        [
            f'{injected.fault.kind.name.lower()}: {injected.target}'
            for injected in result.hits
        ],
        fontsize=6,
    )
    faults_axes.set_xlabel('seconds')
    figure.suptitle(f'seed {result.seed}')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
