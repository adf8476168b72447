"""What operators have written into the platform's store, kept current."""

import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.platform import documents
from figtray.store import prefix_watcher


class OperatorView:
    """Configuration, zones out of service and waves, as operators want them.

    Args:
        store: the Store.
        clock: the Clock.
        max_staleness_ms: age of the last proof up to which the view is fresh.
    """

    def __init__(self, store, clock, max_staleness_ms):
        self._lock = threading.Lock()
        self._max_staleness_ms = max_staleness_ms
        self._config = None
        self._evacuated = {}
        self._waves = {}
        self._subscribers = []
        self.watcher = prefix_watcher.PrefixWatcher(
            store,
            documents.OPERATOR_PREFIX,
            clock,
            self._reset,
            self._change,
        )

    def run(self, stop):
        """Follow the store until a threading.Event is set."""
        self.watcher.run(stop)

    def config(self):
        """Return the queues.Config, or None before there is one."""
        return self._config

    def evacuated_zones(self):
        """Return the names of the zones that are out of service."""
        with self._lock:
            return frozenset(self._evacuated)

    def waves(self):
        """Return the Waves by number."""
        with self._lock:
            return dict(self._waves)

    def staleness_ms(self):
        """Return the age of the last proof; None if there was none."""
        return self.watcher.staleness_ms()

    def is_fresh(self):
        """Tell whether all but the latest changes are certainly known."""
        age_ms = self.staleness_ms()
        return age_ms is not None and age_ms <= self._max_staleness_ms

    def subscribe(self, callback):
        """Have a callable called after each change."""
        with self._lock:
            self._subscribers.append(callback)

    def unsubscribe(self, callback):
        """Undo subscribe()."""
        with self._lock:
            self._subscribers.remove(callback)

    def _reset(self, items):
        present = {item.key for item in items}
        with self._lock:
            for zone in list(self._evacuated):
                if documents.EVACUATE_PREFIX + zone not in present:
                    del self._evacuated[zone]
            for key in list(self._waves):
                if key not in present:
                    del self._waves[key]
        for item in items:
            self._take(item)
        self._notify()

    def _change(self, item):
        self._take(item)
        self._notify()

    def _notify(self):
        with self._lock:
            subscribers = list(self._subscribers)
        for callback in subscribers:
            callback()

    def _take(self, item):
        try:
            if item.key == documents.CONFIG_KEY and not item.deleted:
                self._take_config(item)
            elif item.key.startswith(documents.EVACUATE_PREFIX):
                self._take_evacuation(item)
            elif item.key.startswith(documents.WAVE_PREFIX):
                self._take_wave(item)
        except errors.UnreadableMessage as exc:
            log.emit(
                catalogue.RECORD_UNREADABLE, record=item.key, detail=str(exc)
            )

    def _take_config(self, item):
        cfg = documents.decode_config(item.value)
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

    def _take_evacuation(self, item):
        zone = item.key.removeprefix(documents.EVACUATE_PREFIX)
        with self._lock:
            if item.deleted:
                self._evacuated.pop(zone, None)
            else:
                self._evacuated[zone] = item.mod_revision

    def _take_wave(self, item):
        with self._lock:
            if item.deleted:
                self._waves.pop(item.key, None)
                return
        wave = documents.decode_wave(item.value)
        with self._lock:
            self._waves[item.key] = wave


class WorkerList:
    """Reads the entries of the workers from the platform's store.

    Args:
        store: the Store.
        view: the OperatorView, which names the pools.
    """

    def __init__(self, store, view):
        self._store = store
        self._view = view
        self._unreadable = {}

    def read(self):
        """Return the fleet Workers; entries that can't be read are left out.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        cfg = self._view.config()
        pools = cfg.pools if cfg else {}
        items = self._store.range(documents.WORKER_PREFIX).items
        return list(self._decode(items, pools))

    def _decode(self, items, pools):
        for item in items:
            try:
                yield documents.decode_worker(item.key, item.value, pools)
            except errors.UnreadableMessage as exc:
                # Once for each content, not for each reading.
                if self._unreadable.get(item.key) != str(exc):
                    self._unreadable[item.key] = str(exc)
                    log.emit(
                        catalogue.RECORD_UNREADABLE,
                        record=item.key,
                        detail=str(exc),
                    )
