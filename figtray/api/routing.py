"""Routing table of the operators' API."""

import dataclasses

from figtray.api import problems
from figtray.configuration import resources


@dataclasses.dataclass(frozen=True)
class Route:
    """A method and path with the name of its handler.

    A segment `<kind>` matches the kinds of resources; another segment in
    angle brackets matches any text.
    """

    method: str
    path: str
    handler: str

    def match(self, path):
        """Return the parameters of a path, or None if it is another."""
        wanted = self.path.split('/')
        given = path.split('/')
        if len(wanted) != len(given):
            return None
        params = {}
        for pattern, text in zip(wanted, given):
            if pattern == '<kind>':
                try:
                    params['kind'] = resources.Kind(text)
                except ValueError:
                    return None
            elif pattern.startswith('<'):
                params[pattern[1:-1]] = text
            elif pattern != text:
                return None
        return params


def find(routes, method, path):
    """Find the handler of a request.

    Args:
        routes: the Route objects.
        method: HTTP method.
        path: path of the request.

    Returns:
        (name of the handler, parameters).

    Raises:
        ProblemError: 404 or 405.
    """
    matches = [
        (route, params)
        for route in routes
        if (params := route.match(path)) is not None
    ]
    for route, params in matches:
        if route.method == method:
            return route.handler, params
    if not matches:
        raise problems.ProblemError(
            404, 'not-found', 'There is nothing at this path.'
        )
    allow = ', '.join(sorted({route.method for route, _ in matches}))
    raise problems.ProblemError(
        405,
        'method-not-allowed',
        f'This path allows {allow}.',
        headers=(('Allow', allow),),
    )
