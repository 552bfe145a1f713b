"""Model check of claims under lost, duplicated and late messages and host failures.

Three hosts, one slot and one request are driven through the decision functions
alone.  Messages from and to a paused host wait in the network.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from turmericflow import wire
from turmericflow.profile import Profile
from turmericflow.services._answer import event_id
from turmericflow.services._execution import ATTEMPTS_PER_EPOCH
from turmericflow.systems import (
    backup,
    claims,
    journal,
    placement,
    records,
    sending,
    slots,
    to_attempts,
    to_failure,
    to_wire_failure,
)
from turmericflow.tables import (
    AttemptStart,
    Peer,
    PeerState,
    RequestId,
    RequestRow,
    SlotEntry,
    Tables,
)
from turmericflow.verdict import ErrorCode, Failure, Verdict

CENTRES = {"a": "north", "b": "south", "c": "west"}
HOSTS = st.sampled_from(sorted(CENTRES))
KEY = RequestId("norte", "k")
REFUSED = Failure(ErrorCode.OVERLOADED, Verdict.NOT_RUN, "too much work", 1.0)
PAUSED = st.sampled_from(["", *sorted(CENTRES)])
PICK = st.integers(0, 7)
NOW = 0.0
RECORDED_EPOCH = 1 << 40  # above every runner epoch


@dataclass(eq=False)
class Envelope:
    """A message in flight to one incarnation of its receiver."""

    sender: str
    receiver: str
    incarnation: int
    msg: wire.Message
    context: object = None


@dataclass
class RequestCopy:
    """A copy of the request at a router, which claims or seals it."""

    host: str
    incarnation: int
    try_no: int
    claim_id: str
    done: bool = False
    attached: tuple[str, int] | None = None


@dataclass
class Run:
    """The request at one of its runners."""

    request_copy: RequestCopy
    row: RequestRow
    failing: bool = False
    dispatched: int = 0
    attempts_started: int = 0


@dataclass
class Caller:
    """Output that one caller has received."""

    texts: list[str] = field(default_factory=list)
    last_id: str = ""
    epoch: int = 0

    @property
    def generation(self):
        return self.last_id.split(".")[0]


class ClaimsMachine(RuleBasedStateMachine):
    """Hosts, a network and a platform that call the decision functions."""

    @initialize(idempotent=st.booleans())
    def start(self, idempotent):
        self.idempotent = idempotent
        self.profile = Profile("work", "redactor", idempotent=idempotent)
        self.tables, self.network, self.delayed_stores = {}, [], []
        self.incarnations = dict.fromkeys(CENTRES, 1)
        self.map = (1, [SlotEntry("a", "b", 2, 2, 2)], self._map_hosts())
        for host in CENTRES:
            self._boot(host)
        self.request_copies: list[RequestCopy] = []
        self.runs: list[Run] = []
        self.callers = [Caller(), Caller()]
        self.dispatched: list[int] = []
        self.reported_not_run: set[int] = set()
        self.grants: dict[int, RequestCopy] = {}
        self.last_number = 0
        self.may_diverge = False  # two owners may have granted, or records were lost

    def _map_hosts(self):
        return {host: (self.incarnations[host], CENTRES[host]) for host in ("a", "b")}

    def _boot(self, host):
        tables = Tables(host, CENTRES[host])
        tables.peers.incarnation = self.incarnations[host]
        for other, centre in CENTRES.items():
            if other != host:
                row = Peer(
                    other, centre, None, None, incarnation=self.incarnations[other]
                )
                tables.peers.rows[other] = row
        self.tables[host] = tables
        slots.apply_map(tables, *self.map, NOW)

    def _send(self, source, to, msg, context=None):
        msg = copy.deepcopy(msg)
        self.network.append(Envelope(source, to, self.incarnations[to], msg, context))

    def _entry(self, host):
        return self.tables[host].slots.entries[0]

    # Callers and routers

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def submit(self, host, try_no):
        self.last_number += 1
        request_copy = RequestCopy(
            host, self.incarnations[host], try_no, f"g{self.last_number}"
        )
        self.request_copies.append(request_copy)
        self._send_claim(request_copy)

    @rule(pick=PICK)
    def claim_again(self, pick):
        waiting = [each for each in self.request_copies if self._is_waiting(each)]
        if waiting:
            self._send_claim(waiting[pick % len(waiting)])

    def _is_waiting(self, request_copy):
        return (
            not request_copy.done
            and request_copy.incarnation == self.incarnations[request_copy.host]
        )

    def _send_claim(self, request_copy):
        lost, gone = -1, False
        if request_copy.attached is not None:
            runner, lost = request_copy.attached
            gone = not any(
                run.request_copy.host == runner and run.row.runner_epoch == lost
                for run in self._live_runs()
            ) and not any(
                each is not request_copy
                and each.host == runner
                and self._is_waiting(each)
                for each in self.request_copies
            )
        entry = self._entry(request_copy.host)
        msg = wire.Claim(
            0,
            *(KEY.customer, KEY.key, request_copy.try_no, "f", "work", self.idempotent),
            entry.epoch,
            request_copy.claim_id,
            request_copy.host,
            lost,
            b"{}",
            gone,
        )
        self._send(request_copy.host, entry.owner, msg, request_copy)

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def send_seal(self, host, try_no):
        request_copy = RequestCopy(host, self.incarnations[host], try_no, "")
        entry = self._entry(host)
        failure = to_wire_failure(REFUSED)
        key = (KEY.customer, KEY.key, try_no, "f", "work", self.idempotent)
        self._send(
            host, entry.owner, wire.Seal(0, *key, entry.epoch, failure), request_copy
        )

    def _live_runs(self):
        return [
            run
            for run in self.runs
            if run.request_copy.incarnation == self.incarnations[run.request_copy.host]
            and not run.row.ended
        ]

    @rule(pick=PICK)
    def dispatch(self, pick):
        runs = [
            run for run in self._live_runs() if not run.failing and not run.dispatched
        ]
        if runs:
            run = runs[pick % len(runs)]
            run.dispatched = 1
            self._start_attempt(run)
            self.dispatched.append(run.request_copy.try_no)

    def _start_attempt(self, run):
        run.attempts_started += 1
        row = run.row
        number = row.runner_epoch * ATTEMPTS_PER_EPOCH + run.attempts_started
        row.attempts.append(AttemptStart(number, len(row.tokens), "e"))

    @rule(pick=PICK)
    def lose_engine(self, pick):
        """Start another attempt of a run and append it to the journal."""
        runs = [
            run for run in self._live_runs() if run.dispatched and not run.row.complete
        ]
        if runs:
            run = runs[pick % len(runs)]
            self._start_attempt(run)
            self._send_journal(run)

    @rule(pick=PICK)
    def fail(self, pick):
        runs = [run for run in self._live_runs() if not run.dispatched]
        if runs:
            run = runs[pick % len(runs)]
            run.failing = True
            entry = self._entry(run.request_copy.host)
            failure = to_wire_failure(REFUSED)
            msg = wire.End(0, KEY.customer, KEY.key, run.row.runner_epoch, failure)
            self._send(run.request_copy.host, entry.owner, msg, run)

    @rule(pick=PICK, complete=st.booleans())
    def generate(self, pick, complete):
        runs = [run for run in self._live_runs() if run.dispatched]
        if not runs:
            return
        run = runs[pick % len(runs)]
        row = run.row
        if not row.complete:
            self.last_number += 1
            row.tokens.append(f"{row.runner_epoch}.{self.last_number}")
            row.complete = complete
        self._send_journal(run)

    def _send_journal(self, run):
        row, host = run.row, run.request_copy.host
        tables, entry = self.tables[host], self._entry(host)
        holder = sending.journal_holder(tables, row)
        if holder:
            part = sending.next_append(row)
            if part is not None:
                self._send(host, holder, wire.Append(0, [part.entry]), (run, part.sent))
            return
        holder = slots.journal_holder(tables, entry, host)
        sent = sending.start_upload(row)
        record = records.to_upload_record(row, host, holder)
        left = {holder, entry.owner}
        for to in sorted(left):
            context = (run, sent, left, holder, entry.epoch)
            self._send(host, to, wire.Upload(0, entry.epoch, record), context)

    @rule(pick=PICK)
    def time_out_appends(self, pick):
        """Let a run treat its appends in flight as lost, and send them again."""
        runs = [run for run in self._live_runs() if run.row.sent_tokens]
        if runs:
            run = runs[pick % len(runs)]
            sending.rewind(run.row)
            self._send_journal(run)

    @rule(number=st.integers(0, 1), pick=PICK)
    def show(self, number, pick):
        runs = [
            run
            for run in self.runs
            if run.request_copy.incarnation == self.incarnations[run.request_copy.host]
        ]
        if runs:
            self._show(self.callers[number], runs[pick % len(runs)].row)

    def _show(self, caller, row):
        """Send a caller the committed tokens if its last event id is of this row."""
        count = len(caller.texts)
        later = row.runner_epoch > caller.epoch
        if row.generation == caller.generation and later and not self.may_diverge:
            known = count <= row.committed
            assert known, "a later runner misses tokens that a caller has"
            same = event_id(row, count - 1) == caller.last_id
            assert same, "a later runner gives other event ids to a caller's tokens"
        if count > len(row.tokens):
            return
        if count and event_id(row, count - 1) != caller.last_id:
            return
        assert (
            row.tokens[:count] == caller.texts
        ), "a caller's answer mixes tokens of two generations"
        caller.texts += row.tokens[count : row.committed]
        if caller.texts:
            caller.last_id = event_id(row, len(caller.texts) - 1)
            caller.epoch = max(caller.epoch, row.runner_epoch)

    # Hosts and the platform

    @rule(host=HOSTS, other=HOSTS, dead=st.booleans())
    def set_peer_state(self, host, other, dead):
        if host != other:
            row = self.tables[host].peers.rows[other]
            row.state = PeerState.DEAD if dead else PeerState.ALIVE
            row.incarnation = self.incarnations[other]

    @rule(host=HOSTS)
    def take_over(self, host):
        self.may_diverge |= bool(slots.take_over(self.tables[host], NOW))

    @rule(host=HOSTS)
    def read_map(self, host):
        slots.apply_map(self.tables[host], *self.map, NOW)

    @rule(host=HOSTS)
    def write_map(self, host):
        tables = self.tables[host]
        changes = placement.own_changes(tables) or placement.orphan_changes(tables)
        version, before, named = self.map
        if not changes or version != tables.slots.version:
            return
        entries = placement.merge(before, changes)
        hosts = placement.named_hosts(tables, entries, before, named)
        self.map = (version + 1, entries, hosts)
        slots.apply_map(tables, *self.map, NOW)

    @rule(host=HOSTS)
    def transfer(self, host):
        tables = self.tables[host]
        entry = self._entry(host)
        if slots.serves(tables, 0) and entry.backup:
            for msg in backup.build_transfers(tables, 0, NOW):
                self._send(host, entry.backup, msg, entry.epoch)

    @rule(host=HOSTS)
    def time_out_backup(self, host):
        for request_id, pending in list(self.tables[host].claims.pending.items()):
            claims.complete_pending(
                self.tables[host], request_id, pending.row.seq, None
            )

    @rule(host=HOSTS)
    def restart(self, host):
        self.may_diverge = True
        self.incarnations[host] += 1
        self._boot(host)

    # Rules of several steps, which make rare histories likely

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def submit_and_deliver(self, host, try_no):
        self.submit(host, try_no)
        self.deliver_all()

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def seal_and_deliver(self, host, try_no):
        self.send_seal(host, try_no)
        self.deliver_all()

    @rule(pick=PICK)
    def run_and_show(self, pick):
        self.dispatch(pick)
        self.generate(pick, False)
        self.deliver_all()
        self.show(pick % 2, pick)

    @rule(host=HOSTS)
    def submit_and_dispatch(self, host):
        self.submit_and_deliver(host, 1)
        self.dispatch(0)

    @rule()
    def run_all(self):
        """Let every runner generate, also replaced ones; show the newest run."""
        for number in range(len(self.runs)):
            self.dispatch(number)
            self.generate(number, False)
            self.deliver_all()
        self.show(0, len(self.runs) - 1)

    @rule()
    def claim_from_lost_runners(self):
        """Let waiting copies claim again, so that they report their runner as lost."""
        for _ in range(3):
            for request_copy in [
                each for each in self.request_copies if self._is_waiting(each)
            ]:
                self._send_claim(request_copy)
            self.deliver_all()

    @rule()
    def fail_over_to_backup(self):
        entry = max((self._entry(host) for host in CENTRES), key=lambda e: e.epoch)
        if entry.backup:
            self.set_peer_state(entry.backup, entry.owner, True)
            self.take_over(entry.backup)

    @rule()
    def mark_backup_dead(self):
        for host in CENTRES:
            entry = self._entry(host)
            if entry.owner == host and entry.backup:
                self.set_peer_state(host, entry.backup, True)

    @rule(paused=PAUSED)
    def repair(self, paused):
        hosts = [host for host in CENTRES if host != paused]
        for host in hosts * 2:
            self.read_map(host)
            self.write_map(host)
        for host in hosts:
            self.read_map(host)
            self.transfer(host)
        self.deliver_all(paused)

    @rule()
    def replace_owner(self):
        """Let the backup take over from an owner that is paused and so not informed."""
        owner = self.map[1][0].owner
        self.fail_over_to_backup()
        self.repair(owner)

    @rule()
    def restart_owner_and_backup(self):
        entry = self.map[1][0]
        for host in (entry.owner, entry.backup):
            if host:
                self.restart_noticed(host)
        self.repair("")

    @rule(host=HOSTS)
    def replace_runner(self, host):
        self.submit_and_deliver(host, 1)
        self.claim_from_lost_runners()

    @rule(host=HOSTS)
    def submit_without_backup_reply(self, host):
        """Delay a grant's store to the backup until the owner stops waiting for it."""
        self.deliver_all()
        self.submit(host, 1)
        self._receive(self.network.pop())
        self.delayed_stores += [
            each for each in self.network if isinstance(each.msg, wire.Store)
        ]
        self.network.clear()
        for owner in CENTRES:
            self.time_out_backup(owner)

    @rule(first=HOSTS, second=HOSTS)
    def deliver_store_late(self, first, second):
        """Let an abandoned grant's store reach the backup after another grant."""
        self.submit_without_backup_reply(first)
        self.submit_and_deliver(second, 1)
        self.network += self.delayed_stores
        self.delayed_stores = []
        self.deliver_all()

    @rule(host=HOSTS)
    def grant_without_backup(self, host):
        self.mark_backup_dead()
        self.submit_and_deliver(host, 1)
        self.dispatch(0)

    @rule(host=HOSTS)
    def deliver_transfer_late(self, host):
        """Let a transfer reach the backup after a newer attempt was journaled there."""
        self.submit_and_dispatch(host)
        self.transfer(host)
        late, self.network = self.network, []
        self.lose_engine(0)
        self.deliver_all()
        self.network += late
        self.run_all()

    @rule(host=HOSTS)
    def replace_runner_and_run(self, host):
        self.replace_runner(host)
        self.run_all()

    @rule(pick=PICK)
    def lose_append(self, pick):
        """Lose one of two appends in flight, and show the rest."""
        self.generate(pick, False)
        self.generate(pick, False)
        self.network = (
            self.network[: -1 - pick % 2] + self.network[len(self.network) - pick % 2 :]
        )
        self.deliver_all()
        self.show(0, pick)

    @rule(host=HOSTS)
    def replace_runner_without_backup(self, host):
        """Let an owner replace a runner while it considers its backup dead."""
        self.mark_backup_dead()
        self.replace_runner_and_run(host)

    @rule(host=HOSTS)
    def restart_noticed(self, host):
        self.restart(host)
        for other in CENTRES:
            self.set_peer_state(other, host, False)

    # The network

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def drop_message(self, pick):
        self.network.pop(pick % len(self.network))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver_message(self, pick):
        self._receive(self.network.pop(pick % len(self.network)))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver_twice(self, pick):
        envelope = self.network[pick % len(self.network)]
        self._receive(copy.copy(envelope))

    @rule(paused=PAUSED)
    def deliver_all(self, paused=""):
        """Deliver in order all messages that are not from or to the paused host."""
        for _ in range(30):
            due = [
                envelope
                for envelope in self.network
                if paused not in (envelope.sender, envelope.receiver)
            ]
            if not due:
                return
            self.network.remove(due[0])
            self._receive(due[0])

    def _receive(self, envelope):
        if envelope.incarnation != self.incarnations[envelope.receiver]:
            return
        tables = self.tables[envelope.receiver]
        msg = copy.deepcopy(envelope.msg)
        match msg:
            case wire.Claim():
                self._on_decision(envelope, claims.claim(tables, msg, NOW))
            case wire.Seal():
                self._on_decision(envelope, claims.seal(tables, msg, REFUSED, NOW))
            case wire.End():
                failure = to_failure(msg.failure)
                self._on_decision(envelope, claims.end(tables, msg, failure, NOW))
            case wire.Store():
                self._reply(envelope, backup.store(tables, msg, NOW))
            case wire.Transfer():
                self._reply(envelope, backup.transfer(tables, msg, NOW))
            case wire.Append():
                self._reply(envelope, journal.append(tables, msg.entries[0], NOW))
            case wire.Upload():
                self._reply(envelope, journal.upload(tables, msg, NOW))
            case wire.Stored():
                self._on_stored(envelope, tables, msg)
            case _:
                self._on_reply(envelope, msg)

    def _reply(self, envelope, msg):
        self._send(envelope.receiver, envelope.sender, msg, envelope.context)

    def _on_decision(self, envelope, decision):
        if isinstance(decision, claims.Replicate):
            context = (envelope, decision.store.record.seq)
            self._send(envelope.receiver, decision.backup, decision.store, context)
        elif not isinstance(decision, claims.Wait):
            self._reply(envelope, decision)

    def _on_stored(self, envelope, tables, msg):
        if msg.entry is not None:
            slots.apply_peer_entries(tables, [msg.entry], NOW)
        if isinstance(envelope.context, int):
            if (
                msg.accepted
                and self._entry(envelope.receiver).epoch == envelope.context
            ):
                tables.slots.synced_epochs[0] = envelope.context
            return
        first, seq = envelope.context
        answer = claims.complete_pending(tables, KEY, seq, msg)
        if answer is not None:
            self._reply(first, answer)

    def _on_reply(self, envelope, msg):
        context = envelope.context
        match msg:
            case wire.Moved(entry=entry):
                if entry is not None:
                    slots.apply_peer_entries(
                        self.tables[envelope.receiver], [entry], NOW
                    )
            case wire.Sealed(failure=failure):
                self._record_verdict(context.try_no, failure)
            case wire.Ended(failure=failure):
                context.row.ended = True
                if failure is not None:
                    self._record_verdict(context.request_copy.try_no, failure)
            case wire.Refused(failure=failure):
                if not context.done:
                    context.done = True
                    self._record_verdict(context.try_no, failure)
            case wire.Attached():
                context.attached = (msg.runner, msg.runner_epoch)
            case wire.Recorded():
                if not context.done:
                    context.done = True
                    self._on_recorded(context, msg)
            case wire.Granted():
                if not context.done:
                    context.done = True
                    self._on_granted(context, msg)
            case journal.AppendOutcome():
                self._on_appended(context, msg)
            case wire.Uploaded():
                self._on_uploaded(envelope, context, msg)

    def _record_verdict(self, try_no, failure):
        if failure.verdict == Verdict.NOT_RUN:
            self.reported_not_run.add(try_no)

    def _make_row(self, request_copy, generation, epoch, attempts, tokens):
        row = RequestRow(KEY, self.profile, generation, epoch, b"{}", "p", 9, NOW)
        row.attempts, row.tokens = to_attempts(attempts), list(tokens)
        row.committed = row.sent_tokens = len(tokens)
        row.sent_attempt = row.attempt
        row.try_no, row.fingerprint, row.slot = request_copy.try_no, "f", 0
        return row

    def _on_recorded(self, request_copy, msg):
        row = self._make_row(
            request_copy, msg.generation, RECORDED_EPOCH, msg.attempts, msg.tokens
        )
        row.ended = True
        self.runs.append(Run(request_copy, row))

    def _on_granted(self, request_copy, msg):
        epoch = msg.runner_epoch
        assert (
            self.grants.setdefault(epoch, request_copy) is request_copy
        ), "two runners were granted one runner epoch"
        row = self._make_row(
            request_copy, msg.generation, epoch, msg.attempts, msg.tokens
        )
        row.journal_host = msg.journal_host
        row.journal_epoch = self._entry(request_copy.host).epoch
        self.runs.append(Run(request_copy, row))

    def _on_appended(self, context, outcome):
        run, sent = context
        match outcome:
            case journal.AppendOutcome.ACCEPTED:
                sending.commit(self.tables[run.request_copy.host], sent)
            case journal.AppendOutcome.REPLACED:
                run.row.ended = True
            case journal.AppendOutcome.UNKNOWN:
                sending.on_journal_unknown(sent)

    def _on_uploaded(self, envelope, context, msg):
        run, sent, left, holder, epoch = context
        if msg.replaced:
            run.row.ended = True
        if msg.accepted:
            left.discard(envelope.sender)
            if not left:
                tables = self.tables[run.request_copy.host]
                sending.finish_upload(tables, sent, holder, epoch)

    def check_invariants(self, *args, **kwargs):
        super().check_invariants(*args, **kwargs)
        if not hasattr(self, "dispatched"):
            return
        if not self.idempotent:
            assert len(self.dispatched) <= 1, "work that is not idempotent ran twice"
        wrong = self.reported_not_run & set(self.dispatched)
        assert not wrong, f"NOT_RUN was reported for tries that ran: {wrong}"


def _bind(name, args):
    return rule()(lambda self: getattr(self, name)(*args))


def narrow_machine(steps):
    """Return the machine with only the rules that are named by ``steps``.

    A step is a rule's name, or a rule's name with its arguments bound.
    """
    found = {
        name: each.hypothesis_stateful_rule.function
        for name, each in vars(ClaimsMachine).items()
        if hasattr(each, "hypothesis_stateful_rule")
    }
    free = {step for step in steps if isinstance(step, str)}
    assert free <= set(found)
    body = {name: each for name, each in found.items() if name not in free}
    for number, step in enumerate(steps):
        if not isinstance(step, str):
            body[f"step_{number}"] = _bind(step[0], step[1:])
    return type("Narrow", (ClaimsMachine,), body)


def run_model(machine, examples, steps):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
            print_blob=False,
        ),
    )


def _applies_at_once(real):
    return lambda tables, row, reply, unconfirmed: claims._apply(tables, row, reply)


def _regrants_non_idempotent(real):
    def broken(tables, row, msg, now):
        row.idempotent = True
        return real(tables, row, msg, now)

    return broken


def _ignores_runner_epoch(real):
    def broken(tables, entry, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            entry.runner_epoch = row.runner_epoch
        return real(tables, entry, now)

    return broken


def _ignores_sequence(real):
    def broken(tables, msg, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            row.seq = 0
        return real(tables, msg, now)

    return broken


def _forgets_regrants(real):
    def broken(tables, msg, failure, now):
        for row in tables.claims.rows.values():
            row.regranted = False
        return real(tables, msg, failure, now)

    return broken


def _accepts_all(real):
    return lambda tables, msg, now: wire.Stored(msg.rid, True)


def _always(value):
    return lambda real: lambda *args: value


def _compares_tokens_only(real):
    def broken(row, record):
        if row.generation != record.generation or not row.generation:
            return False
        return row.ended or len(row.tokens) > len(record.tokens)

    return broken


def _accepts_gap(real):
    def broken(tables, entry, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            entry.start = min(entry.start, len(row.tokens))
        return real(tables, entry, now)

    return broken


def _commits_unacknowledged(real):
    def broken(tables, sent):
        counts = real(tables, sent)
        if counts:
            sent.row.committed = sent.row.sent_tokens
        return counts

    return broken


@dataclass(frozen=True)
class Defect:
    """A defect: the function to replace, its replacement, and steps that reveal it."""

    module: object
    name: str
    replace: Callable
    steps: tuple[str, ...]


DEFECTS = {
    "grants without backup": Defect(
        claims,
        "_commit_change",
        _applies_at_once,
        ("submit_and_dispatch", "replace_owner"),
    ),
    "backup does not fence": Defect(
        backup,
        "store",
        _accepts_all,
        ("submit_and_dispatch", "replace_owner"),
    ),
    "late store overwrites": Defect(
        backup,
        "store",
        _ignores_sequence,
        ("deliver_store_late", "fail_over_to_backup", "claim_from_lost_runners"),
    ),
    "replaced runner appends": Defect(
        journal,
        "append",
        _ignores_runner_epoch,
        ("replace_runner", "run_all"),
    ),
    "runner epochs repeat": Defect(
        claims,
        "_first_runner_epoch",
        _always(1),
        (
            "submit_and_deliver",
            "mark_backup_dead",
            "fail_over_to_backup",
            "replace_runner",
        ),
    ),
    "work that is not idempotent is regranted": Defect(
        claims, "_regrant", _regrants_non_idempotent, ("replace_runner", "dispatch")
    ),
    "no retention": Defect(
        slots,
        "retention_left_s",
        _always(0.0),
        ("submit_and_deliver", "dispatch", "restart_owner_and_backup"),
    ),
    "seal is confirmed after a takeover": Defect(
        claims,
        "_may_be_granted_elsewhere",
        _always(False),
        (("grant_without_backup", "a"), "replace_owner", "seal_and_deliver"),
    ),
    "restarted host serves": Defect(
        slots,
        "same_incarnation",
        _always(True),
        ("submit_and_deliver", "dispatch", "restart_noticed"),
    ),
    "sealed try runs": Defect(
        claims,
        "_may_retry",
        lambda real: lambda row, try_no: row.ended,
        ("seal_and_deliver", "submit_and_deliver", "dispatch"),
    ),
    "late transfer drops attempts": Defect(
        backup,
        "_is_ahead",
        _compares_tokens_only,
        (("deliver_transfer_late", "a"), ("replace_runner_and_run", "c")),
    ),
    "append with a gap is accepted": Defect(
        journal,
        "append",
        _accepts_gap,
        (
            ("submit_and_dispatch", "a"),
            ("lose_append", 1),
            ("replace_runner_and_run", "c"),
        ),
    ),
    "all that was sent is committed": Defect(
        sending,
        "commit",
        _commits_unacknowledged,
        (
            ("submit_and_dispatch", "a"),
            ("lose_append", 0),
            ("replace_runner_and_run", "c"),
        ),
    ),
    "lost journal is continued": Defect(
        claims,
        "_journal_reachable",
        _always(True),
        (
            ("submit_and_dispatch", "a"),
            "run_all",
            ("replace_runner_without_backup", "c"),
        ),
    ),
    "NOT_RUN of a later runner is kept": Defect(
        claims,
        "end",
        _forgets_regrants,
        ("submit_and_dispatch", "replace_runner", "fail", ("deliver_all",)),
    ),
}


def test_rules_hold():
    run_model(ClaimsMachine, 250, 20)


@pytest.mark.parametrize("name", DEFECTS)
def test_rules_hold_in_histories_that_reveal_defects(name):
    run_model(narrow_machine(DEFECTS[name].steps), 40, 12)


@pytest.mark.parametrize("name", DEFECTS)
def test_defect_is_found(monkeypatch, name):
    defect = DEFECTS[name]
    real = getattr(defect.module, defect.name)
    monkeypatch.setattr(defect.module, defect.name, defect.replace(real))
    with pytest.raises(AssertionError):
        run_model(narrow_machine(defect.steps), 400, 12)
