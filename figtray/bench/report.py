"""Report over result files: text, and one HTML file with plots."""

import argparse
import base64
import html
import io
import json
import pathlib
import sys

from figtray import errors
from figtray.load import histogram
from figtray.load import results as results_lib

# The measures of docs/design.md, 1.2: field of a row, title, target, and
# whether the target is the greatest or the least allowed value.
MEASURES = (
    ('worst_deviation', 'Share: worst deviation', 0.05, 'at most'),
    ('outage_work', 'Outage work', 0.95, 'at least'),
    ('moves', 'Moves against the fewest', 1.2, 'at most'),
    ('wave', 'Roll-out time against the bound', 1.2, 'at most'),
    ('urgent_p99_ms', 'Urgent start p99, ms', 3700, 'at most'),
)
LOAD_HISTOGRAMS = (
    ('answered_ms', 'answered, from the intended send time'),
    ('send_delay_ms', 'send delay'),
    ('unsent_ms', 'waiting of unsent requests'),
)
_STYLE = (
    'body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}'
    'td,th{border:1px solid #999;padding:2px 8px;text-align:right}'
    'td:first-child,th:first-child{text-align:left}'
)


def read(path):
    """Read one result file.

    Args:
        path: JSON file of figtray-load or of an experiment.

    Returns:
        The data, with the fields `kind` and `name`.

    Raises:
        SettingsError: the file can't be read or holds no results.
    """
    path = pathlib.Path(path)
    try:
        data = json.loads(path.read_text())
    except OSError as exc:
        raise errors.SettingsError(path, exc.strerror) from exc
    except ValueError as exc:
        raise errors.SettingsError(path, f'not JSON: {exc}') from exc
    kind = data.get('kind') if isinstance(data, dict) else None
    fields = {'load': {'teams', 'checks'}, 'bench': {'bench', 'rows'}}
    if kind not in fields or not fields[kind] <= data.keys():
        raise errors.SettingsError(
            path, f'holds no results; expected kind {" or ".join(fields)}'
        )
    return data | {'name': path.stem}


def measures(results):
    """Yield (title, row name, value, target, relation, is met) of all rows."""
    for data in results:
        if data['kind'] != 'bench':
            continue
        for row in data['rows']:
            for field, title, target, relation in MEASURES:
                value = row.get(field)
                # An urgent p99 of 0 is that of a scenario without any.
                if value is None or (field == 'urgent_p99_ms' and not value):
                    continue
                is_met = (
                    value <= target
                    if relation == 'at most'
                    else value >= target
                )
                name = f'{row.get("scenario", "")}, {row.get("policy", "")}'
                yield title, name.strip(', '), value, target, relation, is_met


def to_text(results):
    """Return the report as text."""
    lines = []
    for title, name, value, target, relation, is_met in measures(results):
        state = 'met' if is_met else 'MISSED'
        lines.append(
            f'{title}: {name}: {value:.4g}, {relation} {target:g}: {state}'
        )
    for data in results:
        if data['kind'] == 'load':
            lines += ['', f'load {data["name"]}:', results_lib.to_text(data)]
    return '\n'.join(lines)


def to_html(results):
    """Return the report as one HTML document with embedded plots."""
    parts = [
        '<!DOCTYPE html><html><head><meta charset="utf-8">'
        f'<title>figtray report</title><style>{_STYLE}</style></head><body>'
        '<h1>figtray report</h1>'
    ]
    rows = list(measures(results))
    for title in dict.fromkeys(row[0] for row in rows):
        of_title = [row for row in rows if row[0] == title]
        parts.append(f'<h2>{html.escape(title)}</h2>')
        parts.append(_image(_plot_measure(of_title)))
        parts.append(_measure_table(of_title))
    for data in results:
        parts.append(f'<h2>{html.escape(data["name"])}</h2>')
        if data['kind'] == 'bench':
            parts.append(_row_table(data['rows']))
            continue
        for field, title in LOAD_HISTOGRAMS:
            times = {
                team: histogram.Histogram.from_data(found[field])
                for team, found in data['teams'].items()
                if found[field]['count']
            }
            if times:
                parts.append(f'<h3>{html.escape(title)}</h3>')
                parts.append(_image(_plot_histograms(times)))
        parts.append(f'<pre>{html.escape(results_lib.to_text(data))}</pre>')
    parts.append('</body></html>\n')
    return '\n'.join(parts)


def _measure_table(rows):
    cells = [
        (
            name,
            f'{value:.4g}',
            f'{relation} {target:g}',
            'yes' if met else 'no',
        )
        for _title, name, value, target, relation, met in rows
    ]
    return _table(('run', 'value', 'target', 'met'), cells)


def _row_table(rows):
    names = list(dict.fromkeys(name for row in rows for name in row))
    return _table(
        names,
        [
            [
                (
                    f'{row[n]:.4g}'
                    if isinstance(row.get(n), float)
                    else str(row.get(n, ''))
                )
                for n in names
            ]
            for row in rows
        ],
    )


def _table(names, rows):
    head = ''.join(f'<th>{html.escape(str(name))}</th>' for name in names)
    body = ''.join(
        '<tr>'
        + ''.join(f'<td>{html.escape(cell)}</td>' for cell in row)
        + '</tr>'
        for row in rows
    )
    return f'<table><tr>{head}</tr>{body}</table>'


def _image(figure):
    data = io.BytesIO()
    figure.savefig(data, format='png', dpi=90, bbox_inches='tight')
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<img src="data:image/png;base64,{encoded}" alt="plot">'


def _make_figure(height):
    # Only the report needs matplotlib, which takes a second to import and
    # is not among the run-time requirements.
    from matplotlib import figure

    made = figure.Figure(figsize=(9, height))
    return made, made.subplots()


def _plot_measure(rows):
    figure, axes = _make_figure(0.8 + 0.3 * len(rows))
    names = [row[1] for row in rows]
    colours = ['tab:blue' if row[5] else 'tab:red' for row in rows]
    axes.barh(range(len(rows)), [row[2] for row in rows], color=colours)
    axes.set_yticks(range(len(rows)), names, fontsize=8)
    axes.invert_yaxis()
    axes.axvline(rows[0][3], color='black', linestyle='--')
    return figure


def _plot_histograms(times):
    figure, axes = _make_figure(4)
    for team, found in sorted(times.items()):
        bounds, counts = zip(*found.buckets())
        axes.step(bounds, counts, where='pre', label=team)
    axes.set_xscale('log')
    axes.set_xlabel('ms')
    axes.set_ylabel('requests')
    axes.legend(fontsize=7)
    return figure


def main(args=None):
    """Write the report of some result files.

    Returns:
        Exit status: 0, or 2 if a file holds no results.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('results', nargs='+', help='JSON result files')
    parser.add_argument('--html', default='', help='write an HTML file')
    options = parser.parse_args(args)
    try:
        results = [read(path) for path in options.results]
    except errors.SettingsError as exc:
        print(f'figtray-bench report: {exc}', file=sys.stderr)
        return 2
    print(to_text(results))
    if options.html:
        pathlib.Path(options.html).write_text(to_html(results))
    return 0


if __name__ == '__main__':
    sys.exit(main())
