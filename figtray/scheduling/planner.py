"""Choice of what starts now, and where."""

import enum

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import book
from figtray.scheduling import orders
from figtray.scheduling import placement
from figtray.scheduling import progression
from figtray.scheduling import state

SUSPENDED_MS = 50
# Estimates are rough: a job counts as late only if it is so by this part of
# its estimated work.
OPTIMISM = 0.8
# A job is of little use after its objective, and of none after this multiple.
LATE_FACTOR = 3


class Lateness(enum.IntEnum):
    """How late a job will be; less late ones start first."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


class Planner(progression.Progression):
    """Choice of what starts now, and where."""

    def plan(self):
        """Start what can start now.

        Returns:
            Local time in milliseconds at which to plan again, at the latest.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            next_ms = now_ms + 1000
            if (
                self._cfg is None
                or not self._term.valid()
                or not self._fresh()
            ):
                return now_ms + SUSPENDED_MS
            for job_id in list(self._timed):
                due_ms = self._open_due(self._jobs[job_id], now_ms)
                if due_ms is not None:
                    next_ms = min(next_ms, due_ms)
            pools = self._pools(now_ms)
            adopting = self._adopting(now_ms)
            for step in self._ordered(now_ms):
                if adopting and step.job.created < self._term.epoch:
                    next_ms = min(next_ms, now_ms + 100)
                    step.held = state.Held.TAKEOVER
                    continue
                places = pools.get(step.job.queue.pool)
                if places:
                    step.held = self._fill_step(step, places, now_ms)
                else:
                    step.held = state.Held.NO_WORKERS
            return min(
                [next_ms]
                + [
                    place.avoid_until_ms
                    for place in self._places.values()
                    if place.avoid_until_ms > now_ms
                ]
            )

    def _pools(self, now_ms):
        pools = {}
        for place in self._places.values():
            worker = place.worker
            if (
                place.reached
                and place.on_roster
                and place.listed
                and not place.over
                and not worker.draining
                and worker.zone not in self._evacuated
            ):
                pools.setdefault(worker.pool, []).append(place)
        return pools

    def _ordered(self, now_ms):
        """Return the open steps, the most urgent first."""
        return sorted(
            (
                step
                for step in self._open_steps.values()
                if step.waiting and step.job.queue is not None
            ),
            key=lambda step: self._urgency(step, now_ms),
        )

    def _urgency(self, step, now_ms):
        job = step.job
        return (
            job.queue.priority,
            not step.spec.lasting,
            job.excess and not step.spec.lasting,
            self._lateness(step, now_ms),
            job.due_ms,
            job.created,
        )

    def _lateness(self, step, now_ms):
        """Tell how late a job will be if a step starts now.

        What can still be on time goes first: after a backlog, the jobs that
        are due next would make all others late as well.
        """
        job = step.job
        if step.spec.lasting:
            return Lateness.ON_TIME
        left_ms = step.chain_ms * self._work.factor(job.spec.queue)
        ends_ms = now_ms + OPTIMISM * left_ms
        if ends_ms <= job.due_ms:
            return Lateness.ON_TIME
        objective_ms = job.due_ms - job.arrived_ms
        if ends_ms <= job.arrived_ms + LATE_FACTOR * objective_ms:
            return Lateness.LATE
        return Lateness.HOPELESS

    def _fill_step(self, step, places, now_ms):
        """Start tasks of a step.

        Returns:
            The Held of the tasks that are left, or None.
        """
        job = step.job
        team = self._cfg.teams.get(job.spec.team)
        if step.spec.gang:
            return self._fill_gang(step, places, team, now_ms)
        while step.waiting:
            if not self._quota.allows(team, step.spec.needs):
                return state.Held.TEAM_LIMIT
            place = self._choose(step, places, now_ms)
            if place is None:
                return state.Held.NO_ROOM
            task = step.waiting.popleft()
            self._start(task, place, self._next_run(task), now_ms)
        return None

    def _fill_gang(self, step, places, team, now_ms):
        """Start all members of a gang together, on one rack if possible.

        Returns:
            The Held of the gang, or None if it starts.
        """
        if len(step.waiting) < step.spec.count:
            return state.Held.GANG_INCOMPLETE
        if not self._quota.allows(
            team, step.spec.needs.times(step.spec.count)
        ):
            return state.Held.TEAM_LIMIT
        by_rack = {}
        for place in places:
            by_rack.setdefault(place.worker.rack, []).append(place)
        choices = sorted(
            by_rack.values(),
            key=lambda group: (
                group[0].worker.rack != step.spec.data_rack,
                -sum(place.room().cpu_milli for place in group),
            ),
        )
        for group in [*choices, places]:
            seats = self._seats(step, group, now_ms)
            if seats is None:
                continue
            number = max(self._next_run(task) for task in step.tasks)
            checkpoint = max(task.checkpoint for task in step.tasks)
            step.waiting.clear()
            for task, place in zip(step.tasks, seats):
                task.checkpoint = checkpoint
                self._start(task, place, number, now_ms)
            return None
        return state.Held.NO_ROOM

    def _seats(self, step, places, now_ms):
        """Return a worker for each member of a gang, or None."""
        seats, taken = [], {}
        needs = state.occupied(step.spec)
        for _ in step.tasks:
            seat = None
            for place in places:
                count = taken.get(place.worker.incarnation, 0)
                if (
                    placement.fits(step, place, now_ms)
                    and place.room().covers(needs.times(count + 1))
                    and (
                        not step.spec.max_per_worker
                        or count < step.spec.max_per_worker
                    )
                ):
                    seat = place
                    break
            if seat is None:
                return None
            taken[seat.worker.incarnation] = (
                taken.get(seat.worker.incarnation, 0) + 1
            )
            seats.append(seat)
        return seats

    def wanted_advice(self):
        """Return a step and its StepAdvice to ask for, or (None, None)."""
        with self.lock:
            for step in self._open_steps.values():
                if step.advice is not None and step.advice.wanted:
                    if step.waiting:
                        step.advice.asking = True
                        return step, step.advice
            return None, None

    def learn_advice(self, step, advice, answer, asked, asked_ms):
        """Take over advice on a step.

        Args:
            step: the StepState.
            advice: its StepAdvice.
            answer: the Advice, or None if there is no answer.
            asked: ids of the workers that it is about.
            asked_ms: local time before it was asked for.
        """
        with self.lock:
            advice.asking = False
            advice.wanted = ()
            if answer is not None:
                advice.learn(answer, asked, asked_ms)
                log.emit(
                    catalogue.ADVICE_LEARNED,
                    step=step.name,
                    asked=len(asked),
                    approved=len(answer.tickets),
                )
        self.changed.set()

    def _choose(self, step, places, now_ms):
        if step.job.queue.advice is None:
            return placement.choose(step, places, now_ms)
        if step.advice is None:
            step.advice = orders.StepAdvice()
        return step.advice.choose(step, places, now_ms)

    def _next_run(self, task):
        return max(task.last_run, self._term.epoch * book.RUNS_PER_TERM) + 1

    def _start(self, task, place, number, now_ms):
        step = task.step
        ticket = ''
        if step.advice is not None:
            ticket = step.advice.ticket(place.worker.worker_id)
        run = state.Run(task, place, number, now_ms, ticket)
        self._attach(run)
        place.orders.put(orders.Start(run))
        place.wake.set()
