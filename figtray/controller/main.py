"""figtray-controller: capacity and allotments of the whole deployment."""

import concurrent.futures
import random
import uuid

from figtray import admin
from figtray.capacity import demand as demand_lib
from figtray.capacity import duty as duty_lib
from figtray.capacity import observer as observer_lib
from figtray import clock as clock_lib
from figtray.configuration import writer as writer_lib
from figtray.controller import election as election_lib
from figtray.controller import loop as loop_lib
from figtray.controller import propagation
from figtray.controller import recount_duty
from figtray.events import catalogue
from figtray.events import log
from figtray.hostlist import http as hostlist_http
from figtray import metrics as metrics_lib
from figtray.peers import group as group_lib
from figtray import program
from figtray.settings import types
from figtray.store import etcd
from figtray.workers import http as workers_http

CALL_TIMEOUT_MS = 1_000
# One connection to each worker; the entries use the others.
CONNECTIONS_PER_WORKER = 1
WORKER_THREADS = 32


def main():
    """Run the program."""
    program.run('figtray-controller', types.ControllerSettings, _run)


def _run(cfg, stop):
    clock = clock_lib.SystemClock()
    metrics = metrics_lib.Metrics('figtray-controller', cfg.name, cfg.metrics)
    store = metrics_lib.StoreMeter(
        etcd.EtcdStore(cfg.store.endpoints, cfg.store.timeout_ms, clock),
        metrics,
    )
    group = group_lib.PeerGroup(
        cfg.addresses, cfg.name, uuid.uuid4().hex, CALL_TIMEOUT_MS
    )
    writer = writer_lib.Writer(store, cfg.deployment, group, clock)
    client = workers_http.HttpWorkerClient(clock, CONNECTIONS_PER_WORKER)
    host_list = hostlist_http.HttpHostList(
        cfg.host_list.address, cfg.host_list.timeout_ms, clock
    )
    executor = concurrent.futures.ThreadPoolExecutor(
        WORKER_THREADS, thread_name_prefix='worker-report'
    )
    recount_executor = concurrent.futures.ThreadPoolExecutor(
        1, thread_name_prefix='recount'
    )
    election = election_lib.Election(
        store, cfg.deployment, cfg.name, clock, cfg.lease_ttl_ms
    )
    loads = demand_lib.LoadReader()
    duties = [
        propagation.PropagationDuty(store, cfg.deployment, writer, group),
        recount_duty.RecountDuty(
            store,
            cfg.deployment,
            writer,
            group,
            client,
            clock,
            lambda ms: not clock.wait(stop, ms),
            recount_executor,
            executor,
        ),
        duty_lib.CapacityDuty(
            writer,
            observer_lib.Observer(host_list, client, group, clock, executor),
            lambda: loads.read(group.status()),
            clock,
        ),
    ]
    loop = loop_lib.ControlLoop(
        election,
        duties,
        clock,
        random.Random(),
        _on_error,
        lambda role: _on_role(cfg.name, role),
    )
    admin_listener = admin.AdminListener(
        cfg.admin_listen,
        lambda: '',
        lambda: {'name': cfg.name, 'active': loop.role is not None},
        metrics,
    )
    admin_listener.start()
    loop.run(stop)
    admin_listener.close()
    executor.shutdown(wait=False, cancel_futures=True)
    recount_executor.shutdown(wait=False, cancel_futures=True)
    group.close()
    client.close()
    store.close()


def _on_error(group):
    for exc in group.exceptions:
        log.emit_exception(group.message, exc)


def _on_role(name, role):
    if role is None:
        log.emit(catalogue.CONTROLLER_LOST, controller=name, detail='')
    else:
        log.emit(catalogue.CONTROLLER_ELECTED, controller=name, epoch=0)


if __name__ == '__main__':
    main()
