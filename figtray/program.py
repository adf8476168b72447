"""Runner of a program: options, settings, signals and exit status."""

import enum
import os
import signal
import socket
import threading
import typing

import typer

import figtray
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray import release
from figtray.settings import loader


class ExitStatus(enum.IntEnum):
    """Exit statuses of all programs."""

    STOPPED = 0
    FAILED = 1
    INVALID = 2
    CANNOT_LISTEN = 3


def run(program, settings_type, main, args=None):
    """Run a program and exit; never returns.

    Args:
        program: name of the program.
        settings_type: struct type of its settings.
        main: called with (settings, stop) in the main thread; it returns
            when the threading.Event `stop` is set and all work is done.
        args: list of arguments; by default those of the command line.

    Raises:
        SystemExit: with an ExitStatus.
    """
    app = typer.Typer(
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )

    # typer builds the command line's options from the annotations.
    @app.command(help=f'Run {program} until SIGTERM or SIGINT.')
    def command(
        settings: typing.Annotated[
            str, typer.Option(metavar='FILE', help='Settings file.')
        ] = '',
        check_config: typing.Annotated[
            bool,
            typer.Option(
                '--check-config', help='Check the settings file and exit.'
            ),
        ] = False,
        version: typing.Annotated[
            bool, typer.Option('--version', help='Show the version and exit.')
        ] = False,
    ):
        if version:
            typer.echo(
                f'{program} {figtray.__version__} {release.sources_digest()}'
            )
            raise typer.Exit(ExitStatus.STOPPED)
        if not settings:
            typer.echo(f'{program}: --settings FILE is missing', err=True)
            raise typer.Exit(ExitStatus.INVALID)
        raise typer.Exit(
            _execute(program, settings_type, main, settings, check_config)
        )

    app(args, prog_name=program)


def _execute(program, settings_type, main, path, check_only):
    try:
        settings = loader.load(path, settings_type)
        if check_only:
            typer.echo(f'{path}: the settings are valid')
            return ExitStatus.STOPPED
        _set_up_log(program, path, settings)
    except errors.SettingsError as exc:
        typer.echo(f'{program}: {exc}', err=True)
        return ExitStatus.INVALID
    return serve(program, main, settings)


def serve(program, main, settings, reload=None):
    """Run a program whose settings and log are set up.

    Args:
        program: name of the program.
        main: see run().
        settings: its settings; their `zone` is logged.
        reload: called without arguments after each SIGHUP; None leaves the
            default action of the signal in place.

    Returns:
        An ExitStatus.
    """
    log.emit(
        catalogue.PROCESS_STARTED,
        version=figtray.__version__,
        sources=release.sources_digest(),
        pid=os.getpid(),
        zone=settings.zone,
    )
    threading.excepthook = _log_thread_exception
    status = _run_main(program, main, settings, _stop_on_signal(reload))
    log.emit(catalogue.PROCESS_STOPPED, status=int(status))
    return status


def _run_main(program, main, settings, stop):
    try:
        main(settings, stop)
    except errors.SettingsError as exc:
        log.emit(catalogue.SETTINGS_INVALID, detail=str(exc))
        typer.echo(f'{program}: {exc}', err=True)
        return ExitStatus.INVALID
    except errors.ListenFailed as exc:
        log.emit(
            catalogue.LISTEN_FAILED,
            address=exc.fields.get('address'),
            detail=str(exc.fields.get('detail')),
        )
        typer.echo(f'{program}: {exc}', err=True)
        return ExitStatus.CANNOT_LISTEN
    except Exception as exc:
        log.emit_exception(program, exc)
        typer.echo(f'{program}: {type(exc).__name__}: {exc}', err=True)
        return ExitStatus.FAILED
    return ExitStatus.STOPPED


def _set_up_log(program, path, settings):
    try:
        log.setup(
            settings.log.level,
            settings.log.destination,
            program,
            settings.listen,
        )
    except OSError as exc:
        raise errors.SettingsError(
            path,
            f'log.destination: {settings.log.destination!r} is not allowed; '
            f'{exc.strerror}',
        ) from exc


def _stop_on_signal(reload=None):
    """Handle signals in a thread.

    Args:
        reload: called after each SIGHUP; None leaves SIGHUP alone.

    Returns:
        A threading.Event that SIGTERM and SIGINT set; repeats are ignored.
    """
    stop = threading.Event()
    # A Python handler runs in the main thread only, and not while that waits
    # in stop.wait() and another thread gets the signal, as after SIGCONT. The
    # number of the signal is written to the socket at once.
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    numbers = [signal.SIGTERM, signal.SIGINT]
    if reload:
        numbers.append(signal.SIGHUP)
    for number in numbers:
        signal.signal(number, lambda signum, _: None)

    def handle_signals():
        # The thread also keeps the writer open.
        while writer and (data := reader.recv(1)):
            signum = data[0]
            if signum == signal.SIGHUP:
                reload()
                continue
            if stop.is_set():
                continue
            stop.set()
            log.emit(
                catalogue.PROCESS_STOPPING, signal=signal.Signals(signum).name
            )

    threading.Thread(
        target=handle_signals, name='signals', daemon=True
    ).start()
    return stop


def _log_thread_exception(args):
    if args.exc_value is not None and args.exc_type is not SystemExit:
        name = args.thread.name if args.thread else 'unknown'
        log.emit_exception(f'thread {name}', args.exc_value)
