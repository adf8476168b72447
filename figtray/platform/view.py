"""Operators' documents and workers' entries, read from the store."""

import threading

from figtray import decoding
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.platform import documents
from figtray.store import prefix_watcher


class OperatorView:
    """Local copy of the configuration, the zones out of service and the waves.

    Args:
        store: the Store.
        clock: the Clock.
        max_staleness_ms: staleness up to which the view is fresh.
    """

    def __init__(self, store, clock, max_staleness_ms):
        self._lock = threading.Lock()
        self._max_staleness_ms = max_staleness_ms
        self._config = None
        self._evacuated_zones = set()
        self._waves = {}
        self._subscribers = []
        self._unreadable = unreadable.UnreadableLog(clock)
        self.watcher = prefix_watcher.PrefixWatcher(
            store,
            documents.OPERATOR_PREFIX,
            clock,
            self._reset,
            self._change,
        )

    def run(self, stop):
        """Watch the store until a threading.Event is set."""
        self.watcher.run(stop)

    def config(self):
        """Return the queues.Config; None until one has been read."""
        return self._config

    def evacuated_zones(self):
        """Return the names of the zones that are out of service."""
        with self._lock:
            return frozenset(self._evacuated_zones)

    def waves(self):
        """Return the fleet Waves by their keys in the store."""
        with self._lock:
            return dict(self._waves)

    def staleness_ms(self):
        """Return the time since the view was last confirmed; None if never."""
        return self.watcher.staleness_ms()

    def is_fresh(self):
        """Return whether the staleness is at most max_staleness_ms."""
        staleness_ms = self.staleness_ms()
        return (
            staleness_ms is not None and staleness_ms <= self._max_staleness_ms
        )

    def subscribe(self, callback):
        """Register a function that is called after each change."""
        with self._lock:
            self._subscribers.append(callback)

    def unsubscribe(self, callback):
        """Remove a function that subscribe() registered."""
        with self._lock:
            self._subscribers.remove(callback)

    def _reset(self, items):
        """Apply a full read; the last configuration stays if it is gone."""
        present = {item.key for item in items}
        with self._lock:
            for zone in list(self._evacuated_zones):
                if documents.EVACUATE_PREFIX + zone not in present:
                    self._evacuated_zones.remove(zone)
            for key in list(self._waves):
                if key not in present:
                    del self._waves[key]
        for item in items:
            self._apply(item)
        self._notify()

    def _change(self, item):
        self._apply(item)
        self._notify()

    def _notify(self):
        with self._lock:
            subscribers = list(self._subscribers)
        for callback in subscribers:
            callback()

    def _apply(self, item):
        try:
            if item.key == documents.CONFIG_KEY and not item.deleted:
                self._apply_config(item)
            elif item.key.startswith(documents.EVACUATE_PREFIX):
                self._apply_evacuation(item)
            elif item.key.startswith(documents.WAVE_PREFIX):
                self._apply_wave(item)
        except Exception as exc:
            # An odd document costs itself only, whatever its error is.
            self._unreadable.note(item.key, exc)

    def _apply_config(self, item):
        cfg = documents.decode_config(item.value)
        # A lagging read may return an older version.
        if self._config is not None and cfg.version < self._config.version:
            return
        self._config = cfg
        log.emit(
            catalogue.CONFIG_APPLIED,
            version=cfg.version,
            revision=item.mod_revision,
            queues=len(cfg.queues),
            pools=len(cfg.pools),
            teams=len(cfg.teams),
        )

    def _apply_evacuation(self, item):
        zone = item.key.removeprefix(documents.EVACUATE_PREFIX)
        with self._lock:
            if item.deleted:
                self._evacuated_zones.discard(zone)
            else:
                self._evacuated_zones.add(zone)

    def _apply_wave(self, item):
        wave = None
        if not item.deleted:
            wave = documents.decode_wave(item.value)
            # Two documents of one wave would undo each other.
            name = item.key.removeprefix(documents.WAVE_PREFIX)
            if name.lstrip('0') != str(wave.number).lstrip('0'):
                raise decoding.unreadable(
                    item.key, f'it describes wave {wave.number}'
                )
        with self._lock:
            if wave is None:
                self._waves.pop(item.key, None)
            else:
                self._waves[item.key] = wave


class WorkerList:
    """Reads the workers' entries from the platform's store.

    Args:
        store: the Store.
        view: the OperatorView, whose configuration names the pools.
        clock: the Clock.
    """

    def __init__(self, store, view, clock):
        self._store = store
        self._view = view
        self._unreadable = unreadable.UnreadableLog(clock)
        # Value and Worker of each key in the last list, and its pools.
        self._last = {}
        self._last_pools = None

    def read(self):
        """Return the fleet Workers; unreadable entries are logged and skipped.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        cfg = self._view.config()
        pools = cfg.pools if cfg else {}
        items = self._store.range(documents.WORKER_PREFIX).items
        if pools != self._last_pools:
            self._last, self._last_pools = {}, pools
        self._last = dict(self._decode(items, pools))
        return [worker for _, worker in self._last.values()]

    def _decode(self, items, pools):
        """Yield the key of each item with its value and its Worker.

        Most entries are as they were in the last list.
        """
        for item in items:
            known = self._last.get(item.key)
            if known is not None and known[0] == item.value:
                yield item.key, known
                continue
            try:
                yield (
                    item.key,
                    (
                        item.value,
                        documents.decode_worker(item.key, item.value, pools),
                    ),
                )
            except errors.UnreadableMessage as exc:
                self._unreadable.note(item.key, exc)
            # Whatever an entry does to its decoder, the others hold.
            except Exception as exc:
                error = decoding.unreadable(item.key, f'unexpected {exc!r}')
                self._unreadable.note(item.key, error)
