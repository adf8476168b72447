"""Queues and teams of accepted jobs, also after their removal."""

from figtray.jobs import records
from figtray.scheduling import job_lifecycle
from figtray.scheduling import known_policies


class JobPolicies(job_lifecycle.JobLifecycle):
    """Keeps the queues and teams that accepted jobs need.

    A removed queue or team counts as in the last configuration that had it,
    whichever node leads.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # The newest queues.Config; `_cfg` also has removed queues and teams.
        self._newest_cfg = None
        # Names of its queues by host and prefix.
        self._queues_by_address = {}
        self._known_policies = known_policies.KnownPolicies()
        # The records.LastPolicies that was read, or queued for the last write.
        self._stored_policies = records.LastPolicies()

    def begin_policies(self, last):
        """Apply the records.LastPolicies of the last leader."""
        with self.lock:
            self._stored_policies = last
            self._known_policies.learn_record(last)
            self._apply_policies()

    def set_loaded(self):
        super().set_loaded()
        # Jobs of earlier releases carry no policies.
        self.update_policies()

    def add_job(self, job_id, spec, created, stored=None):
        with self.lock:
            has_ended = stored is not None and stored.state.ended
            if not has_ended and self._known_policies.learn_job(spec):
                self._apply_policies()
            super().add_job(job_id, spec, created, stored)
            if not has_ended and not self._known_policies.is_stored(
                spec, self._stored_policies
            ):
                self.update_policies()

    def update_policies(self):
        """Queue a write of the policies that no job carries, if they changed.

        Before the jobs of earlier terms are loaded, those that are needed
        are not all known.
        """
        with self.lock:
            if not self.loaded.is_set():
                return
            last = self._known_policies.to_store(self._open_specs())
            if last != self._stored_policies:
                self._stored_policies = last
                self._writer.enqueue(
                    records.POLICIES_KEY, self._encode_policies, urgent=True
                )

    def _encode_policies(self):
        with self.lock:
            return records.encode(self._stored_policies)

    def _use_config(self, cfg):
        """Use a queues.Config, and what is known of removed queues."""
        self._newest_cfg = cfg
        self._queues_by_address = {
            (queue.host, queue.prefix): name
            for name, queue in cfg.queues.items()
        }
        self._known_policies.learn_config(cfg)
        if self.loaded.is_set():
            specs = list(self._open_specs())
            self._known_policies.forget_others(
                cfg.queues.keys() | {spec.queue for spec in specs},
                cfg.teams.keys() | {spec.team for spec in specs},
            )
        self._apply_policies()
        self.update_policies()

    def _present_queue(self, spec):
        if self._newest_cfg and spec.queue in self._newest_cfg.queues:
            return spec.queue
        return self._queues_by_address.get(
            (spec.host, spec.prefix), spec.queue
        )

    def _open_specs(self):
        """Yield the model.Jobs that have not ended."""
        for job in self._jobs.values():
            if not job.ended:
                yield job.spec

    def _apply_policies(self):
        """Let all jobs have their queues as they are known now.

        A new leader fails a job whose tasks have failed more often than
        allowed by now, so a leader that goes on does so, too.
        """
        if self._newest_cfg is None:
            return
        self._cfg = self._known_policies.extend(self._newest_cfg)
        for job in list(self._jobs.values()):
            former = job.queue
            job.queue = self._cfg.queues.get(job.spec.queue, former)
            if job.queue is not None and (
                former is None or job.queue.attempts < former.attempts
            ):
                self._fail_exhausted(job)
