"""Random exchange between one holder and its account.

Messages can be lost, repeated and reordered.
"""

from samphiregate.core.limits import _account
from samphiregate.core.limits import _holding

TEAM = "team"
STEP_COUNT = 200
LIMIT = 20


def run_exchange(random_state):
    """Runs one random exchange; returns the total of granted tokens.

    Raises
    ------
    AssertionError
        If the holder has more tokens than the account records, or the
        account records more than the limit.
    """
    account = _account.HolderAccount(number=1)
    holding = _holding.Holding()
    to_holder, to_account = [], []
    sequence = last_sequence = 0
    for _ in range(STEP_COUNT):
        record = account.team(TEAM)
        choice = random_state.randrange(6)
        if choice == 0 and record.allocated < LIMIT:
            account.grant(
                TEAM, random_state.randint(1, LIMIT - record.allocated)
            )
            to_holder.extend(account.grant_lines([TEAM]))
        elif choice == 1:
            account.recall(TEAM, random_state.randint(0, 3))
            to_holder.extend(account.grant_lines([TEAM]))
        elif choice == 2 and holding.idle > 0:
            holding.in_use += 1
        elif choice == 3 and holding.in_use:
            holding.in_use -= 1
            holding.return_due_tokens()
        elif choice == 4 and to_holder:
            line = random_state.choice(to_holder)
            if random_state.random() < 0.5:
                to_holder.remove(line)
            holding.apply_grant(line)
        else:
            sequence += 1
            to_account.append((sequence, holding.line(TEAM, 0)))
        if to_account and random_state.random() < 0.5:
            number, line = random_state.choice(to_account)
            if number > last_sequence:
                last_sequence = number
                record.returned = line.returned
                record.in_use = line.in_use
        assert holding.held <= record.held, (holding, record)
        assert record.held <= LIMIT, record
    return account.team(TEAM).granted
