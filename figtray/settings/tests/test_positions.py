"""Tests of the line numbers of settings."""

import json

import hypothesis
from hypothesis import strategies

from figtray.settings import positions

VALUES = strategies.recursive(
    strategies.integers() | strategies.text() | strategies.booleans(),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.text('abcdef_', min_size=1, max_size=4), inner, max_size=4
    ),
    max_leaves=12,
)


def expected_lines(value, path='$', line=1):
    """Yield (path, line) of the values in the output of json.dumps()."""
    yield path, line
    if isinstance(value, dict):
        items = [(f'{path}.{name}', item) for name, item in value.items()]
    elif isinstance(value, list):
        items = [(f'{path}[{i}]', item) for i, item in enumerate(value)]
    else:
        return
    line += 1
    for inner, item in items:
        yield from expected_lines(item, inner, line)
        line += json.dumps(item, indent=1).count('\n') + 1


class TestFindLines:
    # Guards against wrong lines after quotes, brackets and comment marks in
    # strings.
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(VALUES)
    def test_lines_match_the_layout(self, value):
        lines, duplicates = positions.find_lines(json.dumps(value, indent=1))
        assert lines == dict(expected_lines(value))
        assert duplicates == []

    # Guards against comments that count as fields, and hidden duplicates.
    def test_comments_and_duplicates(self):
        text = "{ // {\n/* a: [\n */ a: 1,\n'b': {a: 2},\n a: 3}"
        lines, duplicates = positions.find_lines(text)
        assert lines == {'$': 1, '$.a': 5, '$.b': 4, '$.b.a': 4}
        assert duplicates == ['$.a']
