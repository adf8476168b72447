"""Client and output that the commands share."""

import dataclasses
import functools
import pathlib
import typing

from figtray.api import client as client_lib
from figtray.cli import output as output_lib
from figtray import errors


class NotInForce(errors.FigtrayError):
    """A generation was not in force before the timeout."""

    msg_fmt = 'Generation {generation} is not in force after {timeout_ms} ms.'


class UsageError(errors.FigtrayError):
    """An option is missing or has an unusable value."""


@dataclasses.dataclass(frozen=True)
class Session:
    """Client and output of one command.

    Attributes:
        make_client: returns the Client.
        output: the OutputFormat.
    """

    make_client: typing.Callable
    output: output_lib.OutputFormat

    @functools.cached_property
    def client(self):
        """The Client; created on first use, as help pages need no server."""
        return self.make_client()

    def show(self, data, columns, rows):
        """Print data as a table or JSON."""
        output_lib.show(self.output, data, columns, rows)

    def wait_in_force(self, generation, timeout_ms):
        """Wait until a generation is in force, and show its status.

        Raises:
            NotInForce: it is not in force after `timeout_ms`.
        """
        document = self.client.wait_in_force(generation, timeout_ms)
        status = document['status']
        self.show(
            document,
            ('generation', *status),
            [(generation, *status.values())],
        )
        if not status['in_force']:
            raise NotInForce(generation=generation, timeout_ms=timeout_ms)

    def show_change(self, item, watch, timeout_ms):
        """Show the result of a change of one resource.

        Args:
            item: the resource, as the API returns it after the change.
            watch: whether to wait until the change is in force.
            timeout_ms: longest wait.

        Raises:
            NotInForce: the change is not in force after `timeout_ms`.
        """
        status = item['status']
        self.show(
            item,
            ('kind', 'name', 'version', *status),
            [(item['kind'], item['name'], item['version'], *status.values())],
        )
        if watch and not status['in_force']:
            self.wait_in_force(item['generation'], timeout_ms)


def make_client(server, credential_file):
    """Return a Client of the API.

    Args:
        server: `host:port` of the API.
        credential_file: path of the file with the bearer credential.

    Raises:
        UsageError: one is missing or unusable.
    """
    if not server:
        raise UsageError('--server or FIGTRAY_SERVER is missing')
    if not credential_file:
        raise UsageError(
            '--credential-file or FIGTRAY_CREDENTIAL_FILE is missing'
        )
    try:
        credential = pathlib.Path(credential_file).read_text().strip()
        # An HTTP header can't carry other characters.
        credential.encode('ascii')
        transport = client_lib.HttpTransport(server)
    except OSError as exc:
        raise UsageError(f'{credential_file}: {exc.strerror}') from exc
    except UnicodeError as exc:
        raise UsageError(f'{credential_file}: not ASCII text') from exc
    except ValueError as exc:
        raise UsageError(f'--server: {exc}') from exc
    return client_lib.Client(transport, credential)
