"""Line numbers of the fields of a JSON5 text."""

import re

_TOKEN = re.compile(
    r"""
    (?P<skip>\s+|//[^\n\r]*|/\*.*?\*/)
    |(?P<string>"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+|/)
    """,
    re.VERBOSE | re.DOTALL,
)


def find_lines(text):
    """Find the line of each field of a valid JSON5 text.

    Args:
        text: the JSON5 text.

    Returns:
        Mapping of each path, such as `$.entries[0].slot`, to its line
        (the first line is 1), and a list of the paths that occur twice.
    """
    lines = {'$': 1}
    duplicates = []
    # One [path, index] for each open bracket; the index is None in an object.
    stack = []
    path = '$'
    key = None
    next_line = 1
    for match in _TOKEN.finditer(text):
        token = match.group()
        line = next_line
        next_line += token.count('\n')
        if match.lastgroup == 'skip':
            continue
        if stack and stack[-1][1] is not None and token not in ',]':
            path = f'{stack[-1][0]}[{stack[-1][1]}]'
            lines.setdefault(path, line)
        if token in '{[':
            stack.append([path, 0 if token == '[' else None])
        elif token in '}]':
            path = stack.pop()[0]
        elif token == ':':
            path = f'{stack[-1][0]}.{key}'
            if path in lines:
                duplicates.append(path)
            lines[path] = line
        elif token == ',':
            if stack and stack[-1][1] is not None:
                stack[-1][1] += 1
        else:
            key = token[1:-1] if match.lastgroup == 'string' else token
    return lines, duplicates
