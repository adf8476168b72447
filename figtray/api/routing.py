"""Routing table of the operators' API."""

import dataclasses

from figtray.api import problems
from figtray.configuration import resources


@dataclasses.dataclass(frozen=True)
class Route:
    """HTTP method and path pattern with the name of their handler.

    In `path`, the segment `<kind>` matches the kinds of resources; any other
    segment in angle brackets matches any text.
    """

    method: str
    path: str
    handler: str

    def match(self, path):
        """Return the parameters of a path, or None if it does not match."""
        pattern_segments = self.path.split('/')
        path_segments = path.split('/')
        if len(pattern_segments) != len(path_segments):
            return None
        params = {}
        for pattern_segment, segment in zip(pattern_segments, path_segments):
            if pattern_segment == '<kind>':
                try:
                    params['kind'] = resources.Kind(segment)
                except ValueError:
                    return None
            elif pattern_segment.startswith('<'):
                params[pattern_segment[1:-1]] = segment
            elif pattern_segment != segment:
                return None
        return params


def find_handler(routes, method, path):
    """Find the handler of a request.

    Args:
        routes: the Route objects.
        method: HTTP method.
        path: path of the request.

    Returns:
        (name of the handler, keyword arguments for it).

    Raises:
        ProblemError: no route has this path (404), or none of those that
            have it allows the method (405).
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
