"""One entry: its slices, their tasks, and a graceful stop."""

import concurrent.futures
import threading
import uuid

import msgspec

from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.dispatch import dispatcher as dispatcher_lib
from figtray.dispatch import health as health_lib
from figtray.dispatch import selection
from figtray.dispatch import silence
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import background
from figtray.entry import forwarding
from figtray.entry import handlers as handlers_lib
from figtray.entry import intake as intake_lib
from figtray.entry import succession
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.idempotency import handover
from figtray.idempotency import records as records_lib
from figtray.idempotency import registration
from figtray.limits import allotments as allotments_lib
from figtray.limits import transfers
from figtray.peers import heartbeat
from figtray.peers import link as link_lib
from figtray.peers import messages
from figtray.peers import server as server_lib
from figtray.peers import serving
from figtray.queues import queueset
from figtray.shares import view as view_lib
from figtray import verdict as verdict_lib

HOUSEKEEPING_MS = 250
JOIN_MS = 2_000
STORE_RETRY_MS = 500
HANDOVER_TIMEOUT_MS = 1_000
# Time after which the entry asks the store although peers may answer yet.
PEERS_FIRST_MS = 1_500


class Node:
    """All state of an entry process and the tasks that work on it."""

    def __init__(self, cfg, store, host_list, client, clock, metrics):
        """Set up; no socket is opened before start().

        Args:
            cfg: EntrySettings.
            store: a Store.
            host_list: a HostList.
            client: a WorkerClient.
            clock: a Clock.
            metrics: Metrics.
        """
        self.cfg = cfg
        self.clock = clock
        self.metrics = metrics
        self.run_id = uuid.uuid4().hex
        self._store = store
        self._host_list = host_list
        self._client = client
        self._stop = threading.Event()
        self._tasks = background.BackgroundTasks(clock, self._stop)
        self._serving = False
        self._superseded = threading.Event()
        addresses = cfg.addresses
        self.slots = tuple(addresses)
        peers = {s: a for s, a in addresses.items() if s != cfg.slot}
        self.replica = replica_lib.Replica(cfg.deployment)
        self.right = serving.ServingRight(self.slots, cfg.slot, clock)
        self.register = heartbeat.PeerRegister(clock)
        self.allotments = allotments_lib.Allotments(
            cfg.slot, self.run_id, clock, self._on_epoch
        )
        self.view = view_lib.ShareView(clock, cfg.slot)
        self.queues = queueset.QueueSet(clock, cfg.max_queued_bytes)
        self.table = tasks_lib.TaskTable(
            cfg.slot, cfg.max_tasks, cfg.result_retention_ms, clock
        )
        self.keys = records_lib.KeyRecords(
            cfg.idempotency_retention_ms, cfg.max_tasks, clock
        )
        record = registration.Registration(
            store, cfg.deployment, cfg.slot, self.run_id
        )
        self.handovers = handover.Handovers(self.register)
        self.health = health_lib.WorkerHealth(clock, cfg)
        self.selector = selection.HostSelector(
            cfg.slot, cfg, self.health, clock
        )
        self._links = {
            channel: {
                slot: link_lib.Link(
                    slot, address, cfg.slot, self.run_id, channel
                )
                for slot, address in peers.items()
            }
            for channel in ('control', 'data', 'outcome')
        }
        self._attempt_executor = concurrent.futures.ThreadPoolExecutor(
            cfg.attempt_threads, thread_name_prefix='attempt'
        )
        self.transfers = transfers.TransferTask(
            self.allotments,
            self._links['data'],
            self.register,
            clock,
            lambda: self.dispatcher.notify(),
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            cfg,
            clock,
            self.replica,
            self.right,
            self.queues,
            self.view,
            self.allotments,
            self.transfers,
            self.selector,
            client,
            self.health,
            self._attempt_executor,
            metrics,
        )
        self.silence = silence.SilenceWatch(
            client, self.dispatcher.running, clock
        )
        self.forwarder = forwarding.Forwarder(
            self._links['data'], self.register, clock
        )
        self.intake = intake_lib.Intake(
            cfg.slot,
            self.slots,
            self.replica,
            self.right,
            self.table,
            self.keys,
            self.dispatcher,
            self.forwarder,
        )
        self.succession = succession.Succession(
            cfg.slot,
            self.run_id,
            record,
            self.keys,
            self.table,
            self._links['data'],
            clock,
        )
        self._synchroniser = heartbeat.Synchroniser(
            self.slots, self.replica, self.right, clock
        )
        self._heartbeats = [
            heartbeat.HeartbeatTask(
                link,
                self.replica,
                self.right,
                self._synchroniser,
                self.register,
                self._describe,
                clock,
                self,
            )
            for link in self._links['control'].values()
        ]
        self._outcomes = {
            slot: forwarding.OutcomeTask(link, clock)
            for slot, link in self._links['outcome'].items()
        }
        self._server = server_lib.PeerServer(
            cfg.slot,
            self.run_id,
            addresses[cfg.slot],
            handlers_lib.Handlers(self).handle,
            lambda exc: log.emit_exception('peer call', exc),
        )
        for listener in (
            self.allotments.on_configuration,
            self.selector.on_configuration,
            self._on_configuration,
        ):
            self.replica.subscribe(listener)

    # -- life of the process ------------------------------------------------

    def start(self):
        """Open the peer listener and start all tasks.

        Raises:
            OSError: the address can't be bound.
        """
        self._server.start()
        self._tasks.spawn('dispatch', self.dispatcher.run, self._stop)
        self._tasks.spawn('transfer', self.transfers.run, self._stop)
        self._tasks.spawn('housekeeping', self._keep_house)
        self._tasks.spawn('host-list', self._poll_host_list)
        self._tasks.spawn('store', self._synchronise_with_store)
        self._tasks.spawn('registration', self._register_run)
        self._tasks.spawn('silence', self.silence.run, self._stop)
        for task in self._heartbeats:
            self._tasks.spawn(
                'heartbeat', task.run, self._stop, self.cfg.heartbeat_ms
            )
        for task in self._outcomes.values():
            self._tasks.spawn('outcome', task.run, self._stop)

    def stop_when(self, stop):
        """Set the event `stop` if a newer process runs in this slot."""

        def wait():
            self._superseded.wait()
            stop.set()

        self._tasks.spawn('superseded', wait)

    def drain(self):
        """Stop gracefully: end or refuse all work, hand over the rest.

        Requests that can't be finished in time are refused as not run,
        which is true for what is still queued.
        """
        started_ms = self.clock.now_ms()
        self.intake.draining = True
        log.emit(
            catalogue.DRAIN_STARTED,
            queued=self.queues.count(),
            running=len(self.dispatcher.running),
        )
        end_ms = started_ms + self.cfg.drain_ms
        while self._has_work() and self.clock.now_ms() < end_ms:
            self.clock.wait(self._stop, 50)
        self.dispatcher.refuse_all(verdict_lib.RefusalReason.DRAINING)
        handed_over = self._hand_over()
        log.emit(
            catalogue.DRAIN_FINISHED,
            handed_over=handed_over,
            unfinished=self.table.open_count(),
            duration_ms=self.clock.now_ms() - started_ms,
        )

    def close(self):
        """Stop all tasks and close all sockets."""
        self._stop.set()
        self.dispatcher.notify()
        self.wake_heartbeats()
        for task in self._outcomes.values():
            task.close()
        self._server.close()
        self._attempt_executor.shutdown(wait=False, cancel_futures=True)
        self._tasks.join(JOIN_MS)
        for links in self._links.values():
            for link in links.values():
                link.close()
        self._client.close()

    def _has_work(self):
        return bool(
            self.table.open_count()
            or sum(task.pending for task in self._outcomes.values())
        )

    def _hand_over(self):
        """Give keys and allotments to peers.

        Returns:
            How many key records were handed over.
        """
        keys = self.succession.end()
        allotments = self.allotments.surrender()
        for link in self._links['data'].values():
            try:
                link.call(keys, HANDOVER_TIMEOUT_MS, 2)
                if allotments is not None:
                    # A lost reply may mean that the peer has them: they
                    # are never offered to a second one.
                    offered, allotments = allotments, None
                    link.call(offered, HANDOVER_TIMEOUT_MS, 2)
            except errors.PeerUnavailable:
                continue
        return len(keys.records)

    # -- tasks --------------------------------------------------------------

    def _keep_house(self):
        while not self.clock.wait(self._stop, HOUSEKEEPING_MS):
            try:
                self._update_capacity()
                self.dispatcher.doubtful.check()
                self.forwarder.check()
                self._note_serving()
                if self.view.is_report_due():
                    self.wake_heartbeats()
            except Exception as exc:
                log.emit_exception('housekeeping', exc)

    def _update_capacity(self):
        shares = {
            team: view_lib.TeamShare(spec.weight, spec.limit)
            for team, spec in self.replica.snapshot.specs(
                resources.Kind.TEAM
            ).items()
        }
        for pool in self.selector.pools():
            self.view.configure(pool, self.selector.capacity(pool), shares)

    def _note_serving(self):
        holds = self.right.holds()
        if holds == self._serving:
            return
        self._serving = holds
        now_ms = self.clock.now_ms()
        confirmed = [
            slot
            for slot, at_ms in self.right.last_confirmed().items()
            if at_ms is not None and now_ms - at_ms < serving.FRESHNESS_MS
        ]
        log.emit(
            (
                catalogue.SERVING_RIGHT_REGAINED
                if holds
                else catalogue.SERVING_RIGHT_LOST
            ),
            confirmed=len(confirmed),
            needed=len(self.slots) // 2,
            generation=self.replica.snapshot.generation,
        )

    def _poll_host_list(self):
        while not self._stop.is_set():
            try:
                self.selector.on_host_list(self._host_list.list_hosts())
            except errors.HostListUnavailable:
                # The last list stays in use; workers refuse by themselves.
                pass
            self.clock.wait(self._stop, self.cfg.host_list.poll_ms)

    def _synchronise_with_store(self):
        """Read the store until this entry is synchronised."""
        archive = archive_lib.Archive(self._store, self.cfg.deployment)
        if len(self.slots) > 1:
            self.clock.wait(self._stop, PEERS_FIRST_MS)
        while not self._stop.is_set() and not self.right.synchronised:
            try:
                snapshot, _ = archive.read_snapshot()
                outcome = self.replica.adopt(snapshot)
                if outcome is replica_lib.Outcome.DIVERGED:
                    log.emit(
                        catalogue.STORE_DIVERGED,
                        store_generation=snapshot.generation,
                        generation=self.replica.snapshot.generation,
                    )
                else:
                    self._synchroniser.store_read()
            except errors.StoreUnavailable:
                pass
            self.clock.wait(self._stop, STORE_RETRY_MS)

    def _register_run(self):
        while not self._stop.is_set():
            try:
                self.succession.begin()
                return
            except (errors.StoreUnavailable, errors.WriteUncertain):
                self.clock.wait(self._stop, STORE_RETRY_MS)

    # -- configuration ------------------------------------------------------

    def _on_configuration(self, old, new):
        log.emit(
            catalogue.CHANGE_APPLIED,
            generation=new.generation,
            change_id='',
            items=len(new.specs(resources.Kind.HOST)),
        )
        self.dispatcher.on_configuration(old, new)

    def _on_epoch(self, epoch):
        self.right.set_epoch(epoch)
        self.wake_heartbeats()

    # -- listener of the heartbeats -----------------------------------------

    def fenced(self, epoch):
        """Drop all allotments, because a recount fenced them."""
        if self.allotments.reset(epoch):
            log.emit(
                catalogue.FENCED,
                slot=self.cfg.slot,
                epoch=epoch,
                incarnation=self.allotments.incarnation,
            )

    def superseded(self):
        """Stop: a newer process runs in this slot."""
        self.intake.draining = True
        self._superseded.set()

    def diverged(self, slot, mark):
        """Note a peer with another history."""
        log.emit(
            catalogue.PEER_DIVERGED,
            peer=slot,
            peer_generation=mark.generation,
            generation=self.replica.snapshot.generation,
        )

    def peer_lost(self, slot, exc):
        """Note that a peer does not answer."""
        log.emit(catalogue.PEER_UNAVAILABLE, peer=slot, detail=str(exc))

    def peer_back(self, slot):
        """Note that a peer answers again."""
        log.emit(catalogue.PEER_BACK, peer=slot)

    # -- calls of the handlers and of the callers' API ----------------------

    def wake_heartbeats(self):
        """Send a heartbeat to every peer at once."""
        for task in self._heartbeats:
            task.wake()

    def give_allotment(self, req):
        """Answer a TransferRequest."""
        waiting = [w for w in self.queues.waiting() if w.team == req.team]
        pools = self.replica.snapshot.specs(resources.Kind.POOL)
        portion = sum(self.view.portion(pool, req.team) for pool in pools)
        return self.allotments.give(
            req, portion, sum(w.urgent + w.normal for w in waiting)
        )

    def pool_of(self, queue):
        """Return the pool of a queue, or '' if there is no such queue."""
        spec = self.replica.snapshot.spec(resources.Kind.QUEUE, queue)
        return spec.pool if spec else ''

    def report_outcome(self, slot, outcome, deadline_ms):
        """Report the outcome of a forwarded request to its sender."""
        self._outcomes[slot].put(outcome, deadline_ms)

    def cancel(self, task_id, team):
        """Cancel a task of this slot.

        Returns:
            True if the task is known and belongs to the team.
        """
        task = self.table.get(task_id)
        if task is None or task.req.team != team:
            return False
        if task.owner is not None:
            owner, owner_task_id = task.owner
            return self.cancel_at(owner, owner_task_id, team)
        self.dispatcher.cancel(task)
        return True

    def cancel_at(self, slot, task_id, team):
        """Cancel a task of another slot.

        Raises:
            PeerUnavailable: the slot did not answer.
        """
        link = self._links['data'][slot]
        return link.call(
            messages.Cancel(task_id, team), forwarding.FORWARD_TIMEOUT_MS
        ).done

    def fetch_outcome(self, slot, task_id, team):
        """Ask another slot for the outcome of a task.

        Returns:
            A messages.OutcomeReply.

        Raises:
            PeerUnavailable: the slot did not answer.
        """
        return self._links['data'][slot].call(
            messages.FetchOutcome(task_id, team),
            forwarding.FORWARD_TIMEOUT_MS,
        )

    def status(self, brief=False):
        """Return the messages.StatusReply of this entry.

        Args:
            brief: leave out what only the controller's duties need.
        """
        reply = messages.StatusReply(
            slot=self.cfg.slot,
            incarnation=self.allotments.incarnation,
            epoch=self.allotments.epoch,
            mark=self.replica.snapshot.mark,
            synchronised=self.right.synchronised,
            serving=self.right.holds(),
        )
        if brief:
            return reply
        return msgspec.structs.replace(
            reply,
            demand=self.view.peek(),
            run_ms=self.view.run_times(),
            arrived=self.view.arrivals(),
            allotments=self.allotments.report(),
        )

    def debug(self):
        """Return the state of this entry as plain data."""
        snapshot = self.replica.snapshot
        now_ms = self.clock.now_ms()
        return {
            'slot': self.cfg.slot,
            'run_id': self.run_id,
            'generation': snapshot.generation,
            'checksum': snapshot.mark.checksum,
            'synchronised': self.right.synchronised,
            'serving': self.right.holds(),
            'serving_left_ms': self.right.expires_ms() - now_ms,
            'peers_confirmed_ms_ago': {
                slot: None if at_ms is None else now_ms - at_ms
                for slot, at_ms in self.right.last_confirmed().items()
            },
            'epoch': self.allotments.epoch,
            'allotments': {
                item.team: {'held': item.held, 'in_use': item.in_use}
                for item in self.allotments.report()
            },
            'queued': self.queues.count(),
            'running': len(self.dispatcher.running),
            'doubtful': len(self.dispatcher.doubtful),
            'open_tasks': self.table.open_count(),
            'keys_complete': self.keys.complete,
            'hosts': self.selector.describe(),
        }

    def _describe(self):
        return messages.Heartbeat(
            mark=self.replica.snapshot.mark,
            synchronised=self.right.synchronised,
            epoch=self.allotments.epoch,
            demand=self.view.report(),
            idle=transfers.idle_for_peers(
                self.allotments.report(),
                [heard for heard, _ in self.register.peers().values()],
            ),
        )
