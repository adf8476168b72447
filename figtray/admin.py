"""Administrative listener: pages /live, /ready, /debug and /metrics."""

from figtray.events import log
from figtray import listener
from figtray import metrics as metrics_lib


class AdminListener(listener.Listener):
    """Serves the state of one process to the platform and to operators.

    Args:
        listen: `IP:port`; port 0 takes any free port.
        ready: returns the reason why the process should get no requests,
            or '' if it is ready.
        debug: returns the state of the process as plain data.
        metrics: the Metrics of the process, or None.

    Raises:
        ListenFailed: the address is in use or not of this host.
    """

    def __init__(self, listen, ready, debug=dict, metrics=None):
        super().__init__(listen, self._serve)
        self._ready = ready
        self._debug = debug
        self._metrics = metrics

    def _serve(self, environ, start_response):
        if environ['REQUEST_METHOD'] not in ('GET', 'HEAD'):
            return listener.json_response(
                start_response,
                405,
                {'detail': 'only GET is allowed'},
                [('Allow', 'GET, HEAD')],
            )
        path = environ['PATH_INFO']
        try:
            return self._answer(path, start_response)
        except Exception as exc:
            log.emit_exception(f'admin listener {path}', exc)
            return listener.json_response(
                start_response, 500, {'detail': 'internal error; see the log'}
            )

    def _answer(self, path, start_response):
        match path:
            case '/live':
                return listener.json_response(
                    start_response, 200, {'live': True}
                )
            case '/ready':
                detail = self._ready()
                return listener.json_response(
                    start_response,
                    503 if detail else 200,
                    {'ready': not detail, 'detail': detail},
                )
            case '/debug':
                return listener.json_response(
                    start_response, 200, self._debug()
                )
            case '/metrics':
                page = self._metrics.page() if self._metrics else ''
                return listener.response(
                    start_response,
                    200,
                    page.encode(),
                    metrics_lib.CONTENT_TYPE,
                )
        return listener.json_response(
            start_response, 404, {'detail': 'no such page'}
        )
