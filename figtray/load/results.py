"""Results of a run: outcomes, times and checks, per team and class."""

import re
import threading

from figtray.load import histogram

_TOKEN = re.compile(rb'tk[0-9a-f]+-[0-9]+-[0-9a-f]{16}-')
MAX_EXAMPLES = 20


class TeamResults:
    """Counts and histograms of one team and class."""

    def __init__(self):
        self.planned = 0
        self.outcomes = {}
        self.refusals = {}
        self.verdicts = {}
        # All from the intended send time.
        self.answered_ms = histogram.Histogram()
        self.other_ms = histogram.Histogram()
        self.unsent_ms = histogram.Histogram()
        # From the intended to the actual send time.
        self.send_delay_ms = histogram.Histogram()

    def to_data(self):
        """Return the results as plain data for JSON."""
        return {
            'planned': self.planned,
            'outcomes': dict(sorted(self.outcomes.items())),
            'refusals': dict(sorted(self.refusals.items())),
            'verdicts': dict(sorted(self.verdicts.items())),
            'answered_ms': self.answered_ms.to_data(),
            'other_ms': self.other_ms.to_data(),
            'unsent_ms': self.unsent_ms.to_data(),
            'send_delay_ms': self.send_delay_ms.to_data(),
        }


class Results:
    """Results of all teams; thread safe.

    The checks hold what must not happen: an answer with the token of
    another request (foreign), an answer without the token of its own
    (no_echo), two answers to one copy of a request (duplicate), and two
    different answers to the two copies of a keyed request (unequal).
    """

    CHECKS = ('foreign', 'no_echo', 'duplicate', 'unequal')

    def __init__(self):
        self._lock = threading.Lock()
        self._teams = {}
        self._answers = {}
        self._checks = dict.fromkeys(self.CHECKS, 0)
        self._examples = []
        self.passed_over = 0

    def planned(self, team, urgent):
        """Count a submission that is due in this run."""
        with self._lock:
            self._of(team, urgent).planned += 1

    def attempted(self, team, urgent, delay_ms):
        """Count a submission that is sent now, with its delay in ms."""
        with self._lock:
            self._of(team, urgent).send_delay_ms.add(delay_ms)

    def count_passed_over(self, count):
        """Count entries that accepted no connection."""
        with self._lock:
            self.passed_over += count

    def unsent(self, team, urgent, outcome, waited_ms):
        """Count a submission that was never sent, with its waiting time."""
        with self._lock:
            results = self._of(team, urgent)
            _count(results.outcomes, outcome)
            _count(results.verdicts, 'not_sent')
            results.unsent_ms.add(waited_ms)

    def broken(self, team, urgent, total_ms):
        """Count a submission without a complete response."""
        with self._lock:
            results = self._of(team, urgent)
            _count(results.outcomes, 'broken')
            _count(results.verdicts, 'unknown')
            results.other_ms.add(total_ms)

    def received(self, team, urgent, planned, answer, total_ms):
        """Count a response and check that it belongs to its request.

        Args:
            team: name of the team.
            urgent: class of the request.
            planned: the Planned submission.
            answer: the last caller.Answer to it.
            total_ms: time since the intended send time.
        """
        with self._lock:
            results = self._of(team, urgent)
            problem = answer.problem
            if problem is not None:
                name = str(problem.get('type', '')).rpartition(':')[2]
                _count(results.outcomes, 'refused')
                _count(results.refusals, f'{answer.status} {name}')
                _count(results.verdicts, str(problem.get('verdict')))
                results.other_ms.add(total_ms)
                return
            if answer.status == 202:
                _count(results.outcomes, 'pending')
                _count(results.verdicts, 'unknown')
                results.other_ms.add(total_ms)
                return
            _count(results.verdicts, 'answered')
            if answer.status >= 400:
                _count(results.outcomes, 'failed')
                _count(results.refusals, f'{answer.status} task')
                results.other_ms.add(total_ms)
            else:
                _count(results.outcomes, 'answered')
                results.answered_ms.add(total_ms)
            self._check(planned, answer)

    def to_data(self):
        """Return the results as plain data for JSON."""
        with self._lock:
            return {
                'teams': {
                    f'{team} {"urgent" if urgent else "normal"}': (
                        results.to_data()
                    )
                    for (team, urgent), results in sorted(self._teams.items())
                },
                'checks': dict(self._checks),
                'examples': list(self._examples),
                'entries_passed_over': self.passed_over,
            }

    def _of(self, team, urgent):
        return self._teams.setdefault((team, urgent), TeamResults())

    def _check(self, planned, answer):
        tokens = set(_TOKEN.findall(answer.body))
        own = planned.token.encode()
        if tokens - {own}:
            self._fault('foreign', planned, answer)
        elif not tokens and answer.status < 400:
            self._fault('no_echo', planned, answer)
        before = self._answers.setdefault(planned.token, [])
        if any(other == planned.is_repeat for other, _digest in before):
            self._fault('duplicate', planned, answer)
        elif any(digest != hash(answer.body) for _other, digest in before):
            self._fault('unequal', planned, answer)
        before.append((planned.is_repeat, hash(answer.body)))

    def _fault(self, check, planned, answer):
        self._checks[check] += 1
        if len(self._examples) < MAX_EXAMPLES:
            self._examples.append(
                {
                    'check': check,
                    'token': planned.token,
                    'task_id': answer.headers.get('task-id', ''),
                    'status': answer.status,
                }
            )


def _count(counts, name):
    counts[name] = counts.get(name, 0) + 1


def to_text(data):
    """Return the results of to_data() as lines of text."""
    lines = []
    for team, results in data['teams'].items():
        answered = results['answered_ms']
        delay = results['send_delay_ms']
        unsent = results['unsent_ms']
        lines.append(
            f'{team}: planned {results["planned"]}, '
            + ', '.join(f'{k} {v}' for k, v in results['outcomes'].items())
        )
        lines.append(
            f'  answered p50 {answered["p50"]:.0f} ms, '
            f'p99 {answered["p99"]:.0f} ms, max {answered["max"]:.0f} ms '
            f'from the intended send time'
        )
        lines.append(
            f'  send delay p99 {delay["p99"]:.0f} ms, '
            f'max {delay["max"]:.0f} ms; unsent {unsent["count"]}, '
            f'waited up to {unsent["max"]:.0f} ms'
        )
        for name, count in results['refusals'].items():
            lines.append(f'  refused {name}: {count}')
        lines.append(
            '  verdicts: '
            + ', '.join(f'{k} {v}' for k, v in results['verdicts'].items())
        )
    lines.append(
        'checks: ' + ', '.join(f'{k} {v}' for k, v in data['checks'].items())
    )
    lines.append(f'entries passed over: {data["entries_passed_over"]}')
    return '\n'.join(lines)
