"""Granting of tokens by the owner of a data centre's shard 0."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.limits import _account
from samphiregate.core.limits import _ledger
from samphiregate.core.limits import _ledger_client
from samphiregate.core.limits import _messages
from samphiregate.core.limits import _sharing
from samphiregate.core import model

SHARE_PERIOD_MS = 200
BALANCE_PERIOD_MS = 1_000
RESEND_PERIOD_MS = 1_000
DEMAND_PERIOD_MS = 1_000
LEDGER_READ_PERIOD_MS = 30_000
SHORTAGE_READ_PERIOD_MS = 2_000
ROTATION_PERIOD_MS = 4_000
COMMITMENT_TTL_MS = 5_000
EVEN_SHARE_PERIOD_MS = 10_000
MAX_DEMAND_RECIPIENTS = 3


class TokenGranter:
    """Grants a data centre's tokens under one epoch of shard 0.

    Parameters
    ----------
    vm_id : str
        This entry VM.
    data_centre : str
        Its data centre.
    epoch : int
        Epoch of shard 0 under which it grants.
    gained_ms : int
        When this VM acquired the shard.
    membership : Membership
        Membership state of this VM.
    ownership : Ownership
        Shard ownership tables of this VM.
    call_ids : iterator of int
        Source of ids of calls to the store.
    random_state : random.Random
        Source of randomness.
    lapse_ms : int
        Time after which work of a VM that is gone is known to have ended.
    write_period_ms : int
        Minimum time between two writes of the ledger.

    Attributes
    ----------
    audited_ : bool
        Whether all tokens of the ledger that no holder has can be granted;
        see Notes. True from the claim on if no earlier epoch had claimed
        the data centre's tokens.

    Notes
    -----
    Until every VM of the data centre has reported or is gone, and
    `lapse_ms` have passed, only tokens that were returned or credited to
    this epoch are granted. After that, all tokens of the ledger that no
    holder has are granted.
    """

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        epoch,
        gained_ms,
        membership,
        ownership,
        call_ids,
        random_state,
        lapse_ms,
        write_period_ms,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.epoch = epoch
        self.gained_ms = gained_ms
        self.membership = membership
        self.ownership = ownership
        self.lapse_ms = lapse_ms
        self.ledger = _ledger_client.LedgerClient(
            data_centre=data_centre,
            epoch=epoch,
            call_ids=call_ids,
            random_state=random_state,
            write_period_ms=write_period_ms,
        )
        self.accounts_by_vm_ = {}
        self.audited_ = False
        self.revision_ = 0
        self.limit_by_team_ = {}
        self._closed_balance_by_team = {}
        self._commitments_by_team = {}
        self._shortage_by_team = {}
        self._dirty_teams = set()
        self._gone_ms_by_vm = {}
        self._last_inputs = None
        self._balanced_key = None
        self._unbalanced_teams = set()
        self._next_balance_ms = 0
        self._next_share_ms = 0
        self._next_resend_ms = 0
        self._next_demand_ms = 0

    # Tokens of the data centre.

    def pool(self, team):
        """Returns the tokens that can be granted; negative if overdrawn."""
        if not self.ledger.may_grant:
            return 0
        records = self._records(team)
        tokens = self.ledger.tokens(team) - self.ledger.reserved(team)
        if self.audited_:
            return tokens - sum(record.allocated for record in records)
        credited = tokens - self.ledger.tokens_at_claim_by_team_.get(team, 0)
        if not self.ledger.claimed_:
            credited = 0
        moved = sum(
            record.returned - record.granted - record.overdraft
            for record in records
        )
        return credited + moved + self._closed_balance_by_team.get(team, 0)

    def _records(self, team):
        return [
            account.teams_by_name[team]
            for account in self.accounts_by_vm_.values()
            if team in account.teams_by_name
        ]

    def teams(self):
        """Returns all teams that have a limit, tokens or an account."""
        teams = self.ledger.teams() | set(self.limit_by_team_)
        for account in self.accounts_by_vm_.values():
            teams.update(account.teams_by_name)
        return teams

    # Messages.

    def on_report(self, report, sender, now_ms, actions):
        """Handles a `TokenReport`."""
        if report.epoch != self.epoch:
            return
        account = self.accounts_by_vm_.get(sender)
        if account is not None and report.account < account.number:
            return
        if account is None or report.account > account.number:
            if not report.complete:
                self._reject(report, sender, actions)
                return
            self._close(sender)
            account = _account.HolderAccount(number=report.account)
            self.accounts_by_vm_[sender] = account
        if report.sequence <= account.sequence:
            return
        account.sequence = report.sequence
        account.reported_ms = now_ms
        for line in report.lines:
            self._apply_line(account, line, now_ms)
        if report.complete:
            self._send(sender, account, account.teams_by_name, actions)
        if any(line.wanted for line in report.lines):
            self._next_share_ms = now_ms

    def _apply_line(self, account, line, now_ms):
        record = account.team(line.team)
        record.base = line.base
        record.returned = line.returned
        record.in_use = line.in_use
        record.wanted = line.wanted
        record.reported_granted = line.granted
        record.reported_ceiling = line.ceiling
        if line.handed_over != record.handed_over:
            record.handed_over_ms = now_ms
        record.handed_over = line.handed_over
        self._dirty_teams.add(line.team)

    def _reject(self, report, sender, actions):
        message = _messages.TokenGrant(
            epoch=self.epoch, account=report.account, registered=False
        )
        actions.append(base.SendToPeer(sender, message))

    def _close(self, vm_id):
        """Closes an account.

        Before the audit, its returned less its granted tokens still count
        in the pool.
        """
        account = self.accounts_by_vm_.pop(vm_id, None)
        if account is None:
            return
        for team, record in account.teams_by_name.items():
            closed_balance = self._closed_balance_by_team.get(team, 0)
            moved = record.returned - record.granted
            self._closed_balance_by_team[team] = closed_balance + moved

    def on_demand(self, message, now_ms):
        """Handles a `TokenDemand` of another data centre.

        Tokens are set aside for it for `COMMITMENT_TTL_MS`, or until a write
        of the ledger transfers them.
        """
        for line in message.lines:
            count = self._transferable(line, message.data_centre, now_ms)
            if count > 0:
                commitments = self._commitments_by_team.setdefault(
                    line.team, {}
                )
                commitments[message.data_centre] = (
                    count,
                    now_ms + COMMITMENT_TTL_MS,
                )

    def _transferable(self, line, data_centre, now_ms):
        """Returns the tokens to transfer to the requesting data centre.

        These are the tokens above this data centre's fair share, up to those
        wanted. If it has more tokens than demand, only half of the tokens
        above the share are offered, but at least one.
        """
        tokens = self.ledger.tokens(line.team)
        demand = sum(record.demand for record in self._records(line.team))
        demands = {self.data_centre: demand, data_centre: line.demand}
        split = _sharing.fair_split(
            tokens + line.allotment, demands, now_ms // ROTATION_PERIOD_MS
        )
        spare = tokens - split[self.data_centre]
        if tokens > demand:
            spare = max(spare // 2, min(1, spare))
        return min(spare, line.wanted)

    # Periodic work.

    def tick(self, now_ms, actions):
        """Shares tokens, requests more and starts due ledger calls."""
        self._audit(now_ms)
        self._mark_teams_if_changed()
        if self.ledger.may_grant and now_ms >= self._next_share_ms:
            self._next_share_ms = now_ms + SHARE_PERIOD_MS
            self._dirty_teams.update(self._shortage_by_team)
            self._dirty_teams.update(self._commitments_by_team)
            for team in sorted(self._dirty_teams):
                self._share(team, now_ms)
            self._dirty_teams.clear()
        self._send_grants(now_ms, actions)
        self._refresh_ledger(now_ms)
        self.ledger.start_due_call(
            self._ledger_changes(now_ms),
            self.revision_,
            self.limit_by_team_,
            now_ms,
            actions,
        )
        if now_ms >= self._next_demand_ms:
            self._next_demand_ms = now_ms + DEMAND_PERIOD_MS
            self._send_demands(actions)

    def _mark_teams_if_changed(self):
        """Marks all teams dirty after a change that affects them all."""
        inputs = (
            self.audited_,
            self.revision_,
            self.ledger.version_,
            self.ledger.settled,
            self.membership.present_ids(self.data_centre),
            self._centres(),
        )
        if inputs != self._last_inputs:
            self._last_inputs = inputs
            self._dirty_teams.update(self.teams())
            self._next_share_ms = 0

    def on_store(self, event, now_ms, actions):
        """Handles a `StoreAnswered`."""
        changes = self.ledger.on_answer(event, now_ms)
        if changes is None:
            return
        centres = set()
        for transfers in changes.transfers_by_team.values():
            centres.update(transfers)
        for centre in sorted(centres):
            for team, transfers in changes.transfers_by_team.items():
                if centre in transfers:
                    self._commitments_by_team.get(team, {}).pop(centre, None)
            self._send_to_granter(
                centre,
                _messages.ApportionmentMoved(self.ledger.version_),
                actions,
            )

    def _audit(self, now_ms):
        """Closes accounts of VMs that are gone and updates `audited_`.

        Also allows the return of handed-over tokens.
        """
        reported_ms = self._reported_ms(now_ms)
        for vm_id in tuple(self.accounts_by_vm_):
            if self._is_closable(vm_id, reported_ms, now_ms):
                self._close(vm_id)
                self._last_inputs = None
        self._release_handed_over(reported_ms)
        if self.audited_ or not self.ledger.claimed_:
            return
        complete = reported_ms >= self.gained_ms + self.lapse_ms
        self.audited_ = complete or self.ledger.is_first_claim_

    def _reported_ms(self, now_ms):
        """Returns the oldest of the VMs' latest report times.

        VMs that are gone are left out; -1 if another one has no account.
        """
        reported_ms = now_ms
        vm_ids = {
            peer.vm_id
            for peer in self.membership.peers_by_id_.values()
            if peer.data_centre == self.data_centre
            and not self._is_gone(peer.vm_id, now_ms)
        }
        for vm_id in vm_ids | {self.vm_id}:
            account = self.accounts_by_vm_.get(vm_id)
            if account is None:
                return -1
            reported_ms = min(reported_ms, account.reported_ms)
        return reported_ms

    def _is_gone(self, vm_id, now_ms):
        """Returns whether a VM ended and owns no shard any more.

        Workers of a shard accept its last owner until another VM has taken
        the shard over, so a VM listed in the ownership table is not gone.
        """
        if self.ownership.has_owned_since(vm_id, now_ms - self.lapse_ms):
            return False
        return self.membership.is_confirmed_dead(vm_id, self.lapse_ms, now_ms)

    def _is_closable(self, vm_id, reported_ms, now_ms):
        """Returns whether a VM is gone and its work reported or ended."""
        if not self._is_gone(vm_id, now_ms):
            self._gone_ms_by_vm.pop(vm_id, None)
            return False
        gone_ms = self._gone_ms_by_vm.setdefault(vm_id, now_ms)
        return reported_ms > gone_ms

    def _release_handed_over(self, reported_ms):
        for account in self.accounts_by_vm_.values():
            for team, record in account.teams_by_name.items():
                due = record.handed_over > record.released
                if due and reported_ms > record.handed_over_ms:
                    account.release(team)

    # Sharing within the data centre.

    def _share(self, team, now_ms):
        holders = {
            vm_id: account
            for vm_id, account in self.accounts_by_vm_.items()
            if self.membership.state_of(vm_id) is fleet.PeerState.ALIVE
            or vm_id == self.vm_id
        }
        if not holders:
            return
        reduction = max(0, self._reduction(team) - self.ledger.reserved(team))
        pool = self.pool(team)
        records = {v: a.team(team) for v, a in holders.items()}
        demands = {v: record.demand for v, record in records.items()}
        allocated = sum(record.allocated for record in records.values())
        committed = self._committed(team, now_ms)
        total = max(0, pool + allocated - reduction - committed)
        targets = _sharing.fair_split(
            total, demands, now_ms // ROTATION_PERIOD_MS
        )
        self._set_ceilings(team, holders, total if reduction else None)
        if not reduction:
            even_share = (total - sum(targets.values())) // len(holders)
            targets = {v: count + even_share for v, count in targets.items()}
        pool = self._grant(
            team, holders, targets, pool - reduction - committed
        )
        shortage = sum(
            max(0, min(demands[v], targets[v]) - record.held)
            for v, record in records.items()
        )
        self._recall(team, holders, targets, shortage - pool)
        missing = sum(demands.values()) - total
        if missing > 0 and not reduction:
            self._shortage_by_team[team] = missing
        else:
            self._shortage_by_team.pop(team, None)

    def _grant(self, team, holders, targets, pool):
        """Grants up to the targets; returns the rest of the pool."""
        if pool < 0:
            return pool
        for vm_id, account in holders.items():
            record = account.team(team)
            lacking = targets[vm_id] - record.held
            covered = min(lacking, record.overdraft)
            count = covered + min(lacking - covered, pool)
            if count > 0:
                account.grant(team, count)
                pool -= count - covered
        return pool

    def _recall(self, team, holders, targets, needed):
        """Recalls tokens above the targets until enough are pending."""
        needed -= sum(a.team(team).pending_recall for a in holders.values())
        surplus = {
            vm_id: account.team(team).held
            - account.team(team).pending_recall
            - min(targets[vm_id], account.team(team).demand)
            for vm_id, account in holders.items()
        }
        for vm_id in sorted(surplus, key=surplus.get, reverse=True):
            count = min(needed, surplus[vm_id])
            if count <= 0:
                return
            holders[vm_id].recall(team, count)
            needed -= count

    def _set_ceilings(self, team, holders, total):
        """Sets ceilings on holders if more than `total` is in use."""
        in_use = {v: a.team(team).in_use for v, a in holders.items()}
        ceilings = in_use
        if total is not None:
            ceilings = _sharing.fair_split(total, in_use)
        for vm_id, account in holders.items():
            above = in_use[vm_id] > ceilings[vm_id]
            ceiling = ceilings[vm_id] if above else _messages.NO_CEILING
            account.set_ceiling(team, ceiling)

    def _send_grants(self, now_ms, actions):
        resend = now_ms >= self._next_resend_ms
        if resend:
            self._next_resend_ms = now_ms + RESEND_PERIOD_MS
        for vm_id, account in self.accounts_by_vm_.items():
            teams = set(account.changed_teams)
            account.changed_teams.clear()
            if resend:
                teams.update(
                    team
                    for team, record in account.teams_by_name.items()
                    if record.needs_resend
                )
            if teams or account.sequence != account.acknowledged:
                self._send(vm_id, account, teams, actions)

    def _send(self, vm_id, account, teams, actions):
        account.acknowledged = account.sequence
        message = _messages.TokenGrant(
            epoch=self.epoch,
            account=account.number,
            sequence=account.sequence,
            lines=account.grant_lines(teams),
        )
        actions.append(base.SendToPeer(vm_id, message))

    # Sharing between data centres.

    def _reduction(self, team):
        """Returns the tokens to retire under a lowered limit."""
        ledger = self.ledger.ledger_
        if ledger is None or not self.ledger.claimed_:
            return 0
        if self.revision_ < ledger.revision:
            return 0
        tokens = self.ledger.tokens(team)
        total = ledger.total(team)
        limit = self.limit_by_team_.get(team, 0)
        if total <= limit or not tokens:
            return 0
        return max(1, tokens - tokens * limit // total)

    def _ledger_changes(self, now_ms):
        """Returns ledger changes; they debit only tokens of the pool."""
        if not self.ledger.may_write(now_ms):
            return _ledger.LedgerChanges()
        acquired, retired, transfers = {}, {}, {}
        for team in self._teams_to_balance(now_ms):
            if self.ledger.claimed_:
                pool = max(0, self.pool(team))
                reduction = min(pool, self._reduction(team))
                if reduction:
                    retired[team] = reduction
                    continue
                team_transfers = self._transfers(team, pool, now_ms)
                if team_transfers:
                    transfers[team] = team_transfers
                    continue
            wanted = self._acquirable(team, now_ms)
            if wanted > 0:
                acquired[team] = wanted
        return _ledger.LedgerChanges(
            acquired_by_team=acquired,
            retired_by_team=retired,
            transfers_by_team=transfers,
        )

    def _teams_to_balance(self, now_ms):
        """Returns the teams whose tokens in the ledger may have to change."""
        ledger = self.ledger.ledger_
        if ledger is None:
            return ()
        key = (self.revision_, self.ledger.version_, self._centres())
        if key != self._balanced_key:
            self._balanced_key = key
            self._unbalanced_teams = {
                team
                for team in self.teams() | set(ledger.tokens_by_team)
                if ledger.total(team) != self.limit_by_team_.get(team, 0)
            }
            self._next_balance_ms = now_ms
        moving = set(self._commitments_by_team) | set(self._shortage_by_team)
        if now_ms < self._next_balance_ms:
            return sorted(moving)
        self._next_balance_ms = now_ms + BALANCE_PERIOD_MS
        return sorted(self._unbalanced_teams | moving)

    def _transfers(self, team, pool, now_ms):
        team_transfers = {}
        commitments = self._commitments_by_team.get(team, {})
        for centre, (count, expiry_ms) in commitments.items():
            amount = min(count, pool)
            if amount > 0 and now_ms < expiry_ms:
                team_transfers[centre] = amount
                pool -= amount
        return team_transfers

    def _committed(self, team, now_ms):
        commitments = self._commitments_by_team.get(team)
        if commitments is None:
            return 0
        for centre, (_, expiry_ms) in tuple(commitments.items()):
            if now_ms >= expiry_ms:
                del commitments[centre]
        if not commitments:
            del self._commitments_by_team[team]
        return sum(count for count, _ in commitments.values())

    def _acquirable(self, team, now_ms):
        """Returns the number of unassigned tokens to acquire.

        For `EVEN_SHARE_PERIOD_MS` after a takeover it is limited to an
        even share, unless all data centres are in the ledger, so that
        data centres that are new to the ledger can get theirs.
        """
        ledger = self.ledger.ledger_
        if ledger is None or self.revision_ < ledger.revision:
            return 0
        limit = self.limit_by_team_.get(team, 0)
        unassigned = limit - ledger.total(team)
        centres = self._centres()
        even_share = limit // len(centres)
        needed = even_share - ledger.tokens(team, self.data_centre)
        is_new = now_ms - self.gained_ms < EVEN_SHARE_PERIOD_MS
        if not is_new or set(centres) <= set(ledger.epoch_by_centre):
            needed = max(needed, self._shortage_by_team.get(team, 0))
        return min(unassigned, needed)

    def _centres(self):
        centres = {
            peer.data_centre for peer in self.membership.peers_by_id_.values()
        }
        return tuple(sorted(centres | {self.data_centre}))

    def _refresh_ledger(self, now_ms):
        if self.ledger.read_ms_ is None:
            return
        age_ms = now_ms - self.ledger.read_ms_
        period_ms = LEDGER_READ_PERIOD_MS
        if self._shortage_by_team:
            period_ms = SHORTAGE_READ_PERIOD_MS
        if age_ms >= period_ms:
            self.ledger.request_read()

    def _send_demands(self, actions):
        ledger = self.ledger.ledger_
        if ledger is None or not self.ledger.claimed_:
            return
        lines_by_centre = {}
        for team, shortage in sorted(self._shortage_by_team.items()):
            if not shortage or ledger.total(team) == 0:
                continue
            line = self._demand_line(team, shortage)
            for centre in self._centres_with_most_tokens(ledger, team):
                lines_by_centre.setdefault(centre, []).append(line)
        for centre, lines in lines_by_centre.items():
            message = _messages.TokenDemand(
                data_centre=self.data_centre, lines=tuple(lines)
            )
            self._send_to_granter(centre, message, actions)

    def _demand_line(self, team, shortage):
        return _messages.DemandLine(
            team=team,
            wanted=shortage,
            demand=sum(record.demand for record in self._records(team)),
            allotment=self.ledger.tokens(team),
        )

    def _centres_with_most_tokens(self, ledger, team):
        tokens = ledger.tokens_by_team.get(team, {})
        others = [
            centre
            for centre, count in tokens.items()
            if count > 0 and centre != self.data_centre
        ]
        others.sort(key=tokens.get, reverse=True)
        return others[:MAX_DEMAND_RECIPIENTS]

    def _send_to_granter(self, data_centre, message, actions):
        shard = model.ShardId(data_centre, 0)
        entry = self.ownership.entry_of(shard)
        if entry is not None and entry.owner:
            actions.append(base.SendToPeer(entry.owner, message))
