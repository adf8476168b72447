"""Calls to the stand-ins' fault controls, for tests."""

import http.client
import json

from figtray import connections

LIMIT_S = 30


def post(address, path, fields):
    """Send a JSON object.

    Returns:
        (status, parsed JSON of the response).
    """
    return _call(address, 'POST', path, json.dumps(fields))


def get(address, path):
    """Read JSON.

    Returns:
        (status, parsed JSON of the response).
    """
    return _call(address, 'GET', path, None)


def _call(address, method, path, body):
    host, port = connections.parse_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=LIMIT_S)
    try:
        conn.request(method, path, body)
        resp = conn.getresponse()
        return resp.status, json.loads(resp.read())
    finally:
        conn.close()
