"""Model check of claims: messages lost, doubled, delayed, hosts paused and restarted.

Three hosts, one slot and one request, driven through the decisions alone.  A
host that is paused is one whose messages wait in the network.
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
from turmericflow.services._course import ATTEMPTS_PER_EPOCH
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
RECORDED = 1 << 40  # later than any runner


@dataclass(eq=False)
class Letter:
    """A message on its way."""

    source: str
    to: str
    life: int
    msg: wire.Message
    context: object = None


@dataclass
class Asking:
    """A router's claim or seal for one copy of the request."""

    host: str
    life: int
    try_no: int
    grant: str
    over: bool = False
    attached: tuple[str, int] | None = None


@dataclass
class Run:
    """A runner's request."""

    asking: Asking
    row: RequestRow
    failing: bool = False
    known: int = 0
    started: int = 0


@dataclass
class Seen:
    """What one caller has been shown."""

    texts: list[str] = field(default_factory=list)
    last_id: str = ""
    epoch: int = 0

    @property
    def generation(self):
        return self.last_id.split(".")[0]


class ClaimsMachine(RuleBasedStateMachine):
    """Hosts, a network and a platform around the decisions."""

    @initialize(idempotent=st.booleans())
    def start(self, idempotent):
        self.idempotent = idempotent
        self.profile = Profile("work", "redactor", idempotent=idempotent)
        self.tables, self.network, self.held = {}, [], []
        self.lives = dict.fromkeys(CENTRES, 1)
        self.map = (1, [SlotEntry("a", "b", 2, 2, 2)], self._named())
        for host in CENTRES:
            self._boot(host)
        self.askings: list[Asking] = []
        self.runs: list[Run] = []
        self.callers = [Seen(), Seen()]
        self.dispatched: list[int] = []
        self.told_not_run: set[int] = set()
        self.grants: dict[int, Asking] = {}
        self.made = 0
        self.split = False  # whether two owners may have granted, or memory was lost

    def _named(self):
        return {host: (self.lives[host], CENTRES[host]) for host in ("a", "b")}

    def _boot(self, host):
        tables = Tables(host, CENTRES[host])
        tables.peers.incarnation = self.lives[host]
        for other, centre in CENTRES.items():
            if other != host:
                row = Peer(other, centre, None, None, incarnation=self.lives[other])
                tables.peers.rows[other] = row
        self.tables[host] = tables
        slots.apply_map(tables, *self.map, NOW)

    def _send(self, source, to, msg, context=None):
        msg = copy.deepcopy(msg)
        self.network.append(Letter(source, to, self.lives[to], msg, context))

    def _entry(self, host):
        return self.tables[host].slots.entries[0]

    # Callers and routers

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def ask(self, host, try_no):
        self.made += 1
        asking = Asking(host, self.lives[host], try_no, f"g{self.made}")
        self.askings.append(asking)
        self._send_claim(asking)

    @rule(pick=PICK)
    def ask_again(self, pick):
        waiting = [each for each in self.askings if self._waits(each)]
        if waiting:
            self._send_claim(waiting[pick % len(waiting)])

    def _waits(self, asking):
        return not asking.over and asking.life == self.lives[asking.host]

    def _send_claim(self, asking):
        lost, gone = -1, False
        if asking.attached is not None:
            runner, lost = asking.attached
            gone = not any(
                run.asking.host == runner and run.row.runner_epoch == lost
                for run in self._live_runs()
            ) and not any(
                each is not asking and each.host == runner and self._waits(each)
                for each in self.askings
            )
        entry = self._entry(asking.host)
        msg = wire.Claim(
            0,
            *(KEY.customer, KEY.key, asking.try_no, "f", "work", self.idempotent),
            entry.epoch,
            asking.grant,
            asking.host,
            lost,
            b"{}",
            gone,
        )
        self._send(asking.host, entry.owner, msg, asking)

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def refuse(self, host, try_no):
        asking = Asking(host, self.lives[host], try_no, "")
        entry = self._entry(host)
        failure = to_wire_failure(REFUSED)
        key = (KEY.customer, KEY.key, try_no, "f", "work", self.idempotent)
        self._send(host, entry.owner, wire.Seal(0, *key, entry.epoch, failure), asking)

    def _live_runs(self):
        return [
            run
            for run in self.runs
            if run.asking.life == self.lives[run.asking.host] and not run.row.ended
        ]

    @rule(pick=PICK)
    def dispatch(self, pick):
        runs = [run for run in self._live_runs() if not run.failing and not run.known]
        if runs:
            run = runs[pick % len(runs)]
            run.known = 1
            self._start_attempt(run)
            self.dispatched.append(run.asking.try_no)

    def _start_attempt(self, run):
        run.started += 1
        row = run.row
        number = row.runner_epoch * ATTEMPTS_PER_EPOCH + run.started
        row.attempts.append(AttemptStart(number, len(row.tokens), "e"))

    @rule(pick=PICK)
    def lose_engine(self, pick):
        """Let a run go on as another attempt, which its journal is told of."""
        runs = [run for run in self._live_runs() if run.known and not run.row.complete]
        if runs:
            run = runs[pick % len(runs)]
            self._start_attempt(run)
            self._send_journal(run)

    @rule(pick=PICK)
    def fail(self, pick):
        runs = [run for run in self._live_runs() if not run.known]
        if runs:
            run = runs[pick % len(runs)]
            run.failing = True
            entry = self._entry(run.asking.host)
            failure = to_wire_failure(REFUSED)
            msg = wire.End(0, KEY.customer, KEY.key, run.row.runner_epoch, failure)
            self._send(run.asking.host, entry.owner, msg, run)

    @rule(pick=PICK, complete=st.booleans())
    def output(self, pick, complete):
        runs = [run for run in self._live_runs() if run.known]
        if not runs:
            return
        run = runs[pick % len(runs)]
        row = run.row
        if not row.complete:
            self.made += 1
            row.tokens.append(f"{row.runner_epoch}.{self.made}")
            row.complete = complete
        self._send_journal(run)

    def _send_journal(self, run):
        row, host = run.row, run.asking.host
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
    def give_up_appends(self, pick):
        """Let a run hold what it has under way to be lost, and send it again."""
        runs = [run for run in self._live_runs() if run.row.sent_tokens]
        if runs:
            run = runs[pick % len(runs)]
            sending.rewind(run.row)
            self._send_journal(run)

    @rule(number=st.integers(0, 1), pick=PICK)
    def show(self, number, pick):
        runs = [
            run for run in self.runs if run.asking.life == self.lives[run.asking.host]
        ]
        if runs:
            self._show(self.callers[number], runs[pick % len(runs)].row)

    def _show(self, caller, row):
        """Give a caller what is committed, if its last id is of this answer."""
        count = len(caller.texts)
        later = row.runner_epoch > caller.epoch
        if row.generation == caller.generation and later and not self.split:
            known = count <= row.committed
            assert known, "a later runner misses tokens that were shown"
            same = event_id(row, count - 1) == caller.last_id
            assert same, "a later runner names tokens otherwise than they were shown"
        if count > len(row.tokens):
            return
        if count and event_id(row, count - 1) != caller.last_id:
            return
        assert row.tokens[:count] == caller.texts, "a caller's answer is stitched"
        caller.texts += row.tokens[count : row.committed]
        if caller.texts:
            caller.last_id = event_id(row, len(caller.texts) - 1)
            caller.epoch = max(caller.epoch, row.runner_epoch)

    # Hosts and the platform

    @rule(host=HOSTS, other=HOSTS, dead=st.booleans())
    def judge(self, host, other, dead):
        if host != other:
            row = self.tables[host].peers.rows[other]
            row.state = PeerState.DEAD if dead else PeerState.ALIVE
            row.incarnation = self.lives[other]

    @rule(host=HOSTS)
    def take_over(self, host):
        self.split |= bool(slots.take_over(self.tables[host], NOW))

    @rule(host=HOSTS)
    def learn(self, host):
        slots.apply_map(self.tables[host], *self.map, NOW)

    @rule(host=HOSTS)
    def write(self, host):
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
    def give_up_backup(self, host):
        for request_id, pending in list(self.tables[host].claims.pending.items()):
            claims.complete_pending(
                self.tables[host], request_id, pending.row.seq, None
            )

    @rule(host=HOSTS)
    def restart(self, host):
        self.split = True
        self.lives[host] += 1
        self._boot(host)

    # Several steps at once, which make rare histories likely

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def ask_whole(self, host, try_no):
        self.ask(host, try_no)
        self.deliver_all()

    @rule(host=HOSTS, try_no=st.integers(1, 2))
    def refuse_whole(self, host, try_no):
        self.refuse(host, try_no)
        self.deliver_all()

    @rule(pick=PICK)
    def run_on(self, pick):
        self.dispatch(pick)
        self.output(pick, False)
        self.deliver_all()
        self.show(pick % 2, pick)

    @rule(host=HOSTS)
    def ask_and_run(self, host):
        self.ask_whole(host, 1)
        self.dispatch(0)

    @rule()
    def run_all(self):
        """Let every runner go on, also those replaced; show the newest one's."""
        for number in range(len(self.runs)):
            self.dispatch(number)
            self.output(number, False)
            self.deliver_all()
        self.show(0, len(self.runs) - 1)

    @rule()
    def go_on_as_lost(self):
        """Let every waiting copy claim again, and learn of a runner first."""
        for _ in range(3):
            for asking in [each for each in self.askings if self._waits(each)]:
                self._send_claim(asking)
            self.deliver_all()

    @rule()
    def doubt_owner(self):
        entry = max((self._entry(host) for host in CENTRES), key=lambda e: e.epoch)
        if entry.backup:
            self.judge(entry.backup, entry.owner, True)
            self.take_over(entry.backup)

    @rule()
    def doubt_backup(self):
        for host in CENTRES:
            entry = self._entry(host)
            if entry.owner == host and entry.backup:
                self.judge(host, entry.backup, True)

    @rule(paused=PAUSED)
    def repair(self, paused):
        hosts = [host for host in CENTRES if host != paused]
        for host in hosts * 2:
            self.learn(host)
            self.write(host)
        for host in hosts:
            self.learn(host)
            self.transfer(host)
        self.deliver_all(paused)

    @rule()
    def replace_owner(self):
        """Let the backup take over from an owner that learns nothing of it."""
        owner = self.map[1][0].owner
        self.doubt_owner()
        self.repair(owner)

    @rule()
    def lose_both(self):
        entry = self.map[1][0]
        for host in (entry.owner, entry.backup):
            if host:
                self.restart_known(host)
        self.repair("")

    @rule(host=HOSTS)
    def replace_runner(self, host):
        self.ask_whole(host, 1)
        self.go_on_as_lost()

    @rule(host=HOSTS)
    def ask_unconfirmed(self, host):
        """Let a grant's copy for the backup be late, and the owner give it up."""
        self.deliver_all()
        self.ask(host, 1)
        self._arrive(self.network.pop())
        self.held += [each for each in self.network if isinstance(each.msg, wire.Store)]
        self.network.clear()
        for owner in CENTRES:
            self.give_up_backup(owner)

    @rule(first=HOSTS, second=HOSTS)
    def store_late(self, first, second):
        """Let an abandoned grant's copy reach the backup after another grant."""
        self.ask_unconfirmed(first)
        self.ask_whole(second, 1)
        self.network += self.held
        self.held = []
        self.deliver_all()

    @rule(host=HOSTS)
    def grant_alone(self, host):
        self.doubt_backup()
        self.ask_whole(host, 1)
        self.dispatch(0)

    @rule(host=HOSTS)
    def transfer_late(self, host):
        """Let a slot's records reach the backup after an attempt's journal."""
        self.ask_and_run(host)
        self.transfer(host)
        late, self.network = self.network, []
        self.lose_engine(0)
        self.deliver_all()
        self.network += late
        self.run_all()

    @rule(host=HOSTS)
    def regrant_whole(self, host):
        self.replace_runner(host)
        self.run_all()

    @rule(pick=PICK)
    def lose_part(self, pick):
        """Let one of two parts that are under way be lost, and show the rest."""
        self.output(pick, False)
        self.output(pick, False)
        self.network = (
            self.network[: -1 - pick % 2] + self.network[len(self.network) - pick % 2 :]
        )
        self.deliver_all()
        self.show(0, pick)

    @rule(host=HOSTS)
    def regrant_alone(self, host):
        """Let an owner replace a runner while it holds its backup to be lost."""
        self.doubt_backup()
        self.regrant_whole(host)

    @rule(host=HOSTS)
    def restart_known(self, host):
        self.restart(host)
        for other in CENTRES:
            self.judge(other, host, False)

    # The network

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def drop(self, pick):
        self.network.pop(pick % len(self.network))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver(self, pick):
        self._arrive(self.network.pop(pick % len(self.network)))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver_twice(self, pick):
        letter = self.network[pick % len(self.network)]
        self._arrive(copy.copy(letter))

    @rule(paused=PAUSED)
    def deliver_all(self, paused=""):
        """Deliver in order all that neither comes from a paused host nor goes there."""
        for _ in range(30):
            due = [
                letter
                for letter in self.network
                if paused not in (letter.source, letter.to)
            ]
            if not due:
                return
            self.network.remove(due[0])
            self._arrive(due[0])

    def _arrive(self, letter):
        if letter.life != self.lives[letter.to]:
            return
        tables = self.tables[letter.to]
        msg = copy.deepcopy(letter.msg)
        match msg:
            case wire.Claim():
                self._decided(letter, claims.claim(tables, msg, NOW))
            case wire.Seal():
                self._decided(letter, claims.seal(tables, msg, REFUSED, NOW))
            case wire.End():
                failure = to_failure(msg.failure)
                self._decided(letter, claims.end(tables, msg, failure, NOW))
            case wire.Store():
                self._reply(letter, backup.store(tables, msg, NOW))
            case wire.Transfer():
                self._reply(letter, backup.transfer(tables, msg, NOW))
            case wire.Append():
                self._reply(letter, journal.append(tables, msg.entries[0], NOW))
            case wire.Upload():
                self._reply(letter, journal.upload(tables, msg, NOW))
            case wire.Stored():
                self._stored(letter, tables, msg)
            case _:
                self._answered(letter, msg)

    def _reply(self, letter, msg):
        self._send(letter.to, letter.source, msg, letter.context)

    def _decided(self, letter, decision):
        if isinstance(decision, claims.Replicate):
            context = (letter, decision.store.record.seq)
            self._send(letter.to, decision.backup, decision.store, context)
        elif not isinstance(decision, claims.Wait):
            self._reply(letter, decision)

    def _stored(self, letter, tables, msg):
        if msg.entry is not None:
            slots.apply_peer_entries(tables, [msg.entry], NOW)
        if isinstance(letter.context, int):
            if msg.accepted and self._entry(letter.to).epoch == letter.context:
                tables.slots.synced_epochs[0] = letter.context
            return
        first, seq = letter.context
        answer = claims.complete_pending(tables, KEY, seq, msg)
        if answer is not None:
            self._reply(first, answer)

    def _answered(self, letter, msg):
        context = letter.context
        match msg:
            case wire.Moved(entry=entry):
                if entry is not None:
                    slots.apply_peer_entries(self.tables[letter.to], [entry], NOW)
            case wire.Sealed(failure=failure):
                self._told(context.try_no, failure)
            case wire.Ended(failure=failure):
                context.row.ended = True
                if failure is not None:
                    self._told(context.asking.try_no, failure)
            case wire.Refused(failure=failure):
                if not context.over:
                    context.over = True
                    self._told(context.try_no, failure)
            case wire.Attached():
                context.attached = (msg.runner, msg.runner_epoch)
            case wire.Recorded():
                if not context.over:
                    context.over = True
                    self._recorded(context, msg)
            case wire.Granted():
                if not context.over:
                    context.over = True
                    self._granted(context, msg)
            case journal.AppendOutcome():
                self._appended(context, msg)
            case wire.Uploaded():
                self._uploaded(letter, context, msg)

    def _told(self, try_no, failure):
        if failure.verdict == Verdict.NOT_RUN:
            self.told_not_run.add(try_no)

    def _row(self, asking, generation, epoch, attempts, tokens):
        row = RequestRow(KEY, self.profile, generation, epoch, b"{}", "p", 9, NOW)
        row.attempts, row.tokens = to_attempts(attempts), list(tokens)
        row.committed = row.sent_tokens = len(tokens)
        row.sent_attempt = row.attempt
        row.try_no, row.fingerprint, row.slot = asking.try_no, "f", 0
        return row

    def _recorded(self, asking, msg):
        row = self._row(asking, msg.generation, RECORDED, msg.attempts, msg.tokens)
        row.ended = True
        self.runs.append(Run(asking, row))

    def _granted(self, asking, msg):
        epoch = msg.runner_epoch
        assert self.grants.setdefault(epoch, asking) is asking, "two in one epoch"
        row = self._row(asking, msg.generation, epoch, msg.attempts, msg.tokens)
        row.journal_host = msg.journal_host
        row.journal_epoch = self._entry(asking.host).epoch
        self.runs.append(Run(asking, row))

    def _appended(self, context, outcome):
        run, sent = context
        match outcome:
            case journal.AppendOutcome.ACCEPTED:
                sending.commit(self.tables[run.asking.host], sent)
            case journal.AppendOutcome.REPLACED:
                run.row.ended = True
            case journal.AppendOutcome.UNKNOWN:
                sending.on_journal_unknown(sent)

    def _uploaded(self, letter, context, msg):
        run, sent, left, holder, epoch = context
        if msg.replaced:
            run.row.ended = True
        if msg.accepted:
            left.discard(letter.source)
            if not left:
                tables = self.tables[run.asking.host]
                sending.finish_upload(tables, sent, holder, epoch)

    def check_invariants(self, *args, **kwargs):
        super().check_invariants(*args, **kwargs)
        if not hasattr(self, "dispatched"):
            return
        if not self.idempotent:
            assert len(self.dispatched) <= 1, "work that is not idempotent ran twice"
        false = self.told_not_run & set(self.dispatched)
        assert not false, f"NOT_RUN was told of tries that ran: {false}"


def _bound(name, args):
    return rule()(lambda self: getattr(self, name)(*args))


def narrowed(steps):
    """Return the machine with just these rules, for histories made of them.

    A step is a rule's name, or its name with the arguments that it is bound to.
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
            body[f"step_{number}"] = _bound(step[0], step[1:])
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


def _applied_at_once(real):
    return lambda tables, row, reply, unconfirmed: claims._apply(tables, row, reply)


def _regrants_orders(real):
    def broken(tables, row, msg, now):
        row.idempotent = True
        return real(tables, row, msg, now)

    return broken


def _any_runner(real):
    def broken(tables, entry, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            entry.runner_epoch = row.runner_epoch
        return real(tables, entry, now)

    return broken


def _any_order(real):
    def broken(tables, msg, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            row.seq = 0
        return real(tables, msg, now)

    return broken


def _one_runner_only(real):
    def broken(tables, msg, failure, now):
        for row in tables.claims.rows.values():
            row.regranted = False
        return real(tables, msg, failure, now)

    return broken


def _always_accepted(real):
    return lambda tables, msg, now: wire.Stored(msg.rid, True)


def _always(value):
    return lambda real: lambda *args: value


def _tokens_alone(real):
    def broken(row, record):
        if row.generation != record.generation or not row.generation:
            return False
        return row.ended or len(row.tokens) > len(record.tokens)

    return broken


def _gap_closed(real):
    def broken(tables, entry, now):
        row = tables.claims.rows.get(KEY)
        if row is not None:
            entry.start = min(entry.start, len(row.tokens))
        return real(tables, entry, now)

    return broken


def _all_that_was_sent(real):
    def broken(tables, sent):
        counts = real(tables, sent)
        if counts:
            sent.row.committed = sent.row.sent_tokens
        return counts

    return broken


@dataclass(frozen=True)
class Break:
    """A rule to break: the decision, its replacement, and a history's steps."""

    module: object
    name: str
    replace: Callable
    steps: tuple[str, ...]


BREAKS = {
    "grants without backup": Break(
        claims,
        "_commit_change",
        _applied_at_once,
        ("ask_and_run", "replace_owner"),
    ),
    "backup does not fence": Break(
        backup,
        "store",
        _always_accepted,
        ("ask_and_run", "replace_owner"),
    ),
    "late store overwrites": Break(
        backup,
        "store",
        _any_order,
        ("store_late", "doubt_owner", "go_on_as_lost"),
    ),
    "replaced runner appends": Break(
        journal,
        "append",
        _any_runner,
        ("replace_runner", "run_all"),
    ),
    "runner epochs repeat": Break(
        claims,
        "_first_runner_epoch",
        _always(1),
        ("ask_whole", "doubt_backup", "doubt_owner", "replace_runner"),
    ),
    "orders are regranted": Break(
        claims, "_regrant", _regrants_orders, ("replace_runner", "dispatch")
    ),
    "no retention": Break(
        slots, "retention_left_s", _always(0.0), ("ask_whole", "dispatch", "lose_both")
    ),
    "seals after take-over alone": Break(
        claims,
        "_may_be_granted_elsewhere",
        _always(False),
        (("grant_alone", "a"), "replace_owner", "refuse_whole"),
    ),
    "restarted host serves": Break(
        slots,
        "same_incarnation",
        _always(True),
        ("ask_whole", "dispatch", "restart_known"),
    ),
    "sealed try runs": Break(
        claims,
        "_may_retry",
        lambda real: lambda row, try_no: row.ended,
        ("refuse_whole", "ask_whole", "dispatch"),
    ),
    "late transfer drops attempts": Break(
        backup,
        "_has_longer_journal",
        _tokens_alone,
        (("transfer_late", "a"), ("regrant_whole", "c")),
    ),
    "gap is closed": Break(
        journal,
        "append",
        _gap_closed,
        (("ask_and_run", "a"), ("lose_part", 1), ("regrant_whole", "c")),
    ),
    "all that was sent is committed": Break(
        sending,
        "commit",
        _all_that_was_sent,
        (("ask_and_run", "a"), ("lose_part", 0), ("regrant_whole", "c")),
    ),
    "lost journal is carried on": Break(
        claims,
        "_journal_reachable",
        _always(True),
        (("ask_and_run", "a"), "run_all", ("regrant_alone", "c")),
    ),
    "failure of a later runner is believed": Break(
        claims,
        "end",
        _one_runner_only,
        ("ask_and_run", "replace_runner", "fail", ("deliver_all",)),
    ),
}


def test_rules_hold():
    run_model(ClaimsMachine, 250, 20)


@pytest.mark.parametrize("name", BREAKS)
def test_rules_hold_in_histories_that_break_others(name):
    run_model(narrowed(BREAKS[name].steps), 40, 12)


@pytest.mark.parametrize("name", BREAKS)
def test_broken_rule_is_found(monkeypatch, name):
    broken = BREAKS[name]
    real = getattr(broken.module, broken.name)
    monkeypatch.setattr(broken.module, broken.name, broken.replace(real))
    with pytest.raises(AssertionError):
        run_model(narrowed(broken.steps), 400, 12)
