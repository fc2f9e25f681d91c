package lessor

import "beechgrade/internal/cluster/credit/ledger"

// maxOpsOfKind limits the expirations, the write-offs and the payments in one batch, so that there is room for requests.
const maxOpsOfKind = ledger.MaxOps / 4

// proposeBatch proposes the pending operations if a batch is due, and returns all actions.
func (l *Lessor) proposeBatch() []Action {
	waiting := len(l.inFlight) > 0 && l.now < l.proposedAt+l.settings.ProposalTimeout
	if !l.isLeader || l.now < l.proposedAt+l.settings.BatchInterval || waiting {
		return l.actions
	}
	ops := l.appendExpirations(nil)
	ops = l.appendWriteOffs(ops)
	ops = l.appendPayments(ops)
	ops = l.appendGrants(ops)
	if len(ops) > 0 {
		l.propose(ops)
	}
	return l.actions
}

// propose encodes operations into entries and proposes them. An entry has at most MaxEntryBytes unless it is a single operation.
func (l *Lessor) propose(ops []ledger.Op) {
	l.inFlight = nil
	l.proposedAt = l.now
	var entry []byte
	for i := range ops {
		op := ledger.Encode(ops[i : i+1])
		if entry != nil && len(entry)+len(op) > l.settings.MaxEntryBytes {
			l.proposeEntry(entry)
			entry = nil
		}
		entry = append(entry, op...)
	}
	l.proposeEntry(entry)
}

func (l *Lessor) proposeEntry(entry []byte) {
	l.inFlight = append(l.inFlight, entry)
	l.actions = append(l.actions, Action{Kind: Propose, Entry: entry})
}

// appendExpirations appends the expiry of accounts that their holders have stopped using. Each is proposed again after ProposalTimeout,
// because the entry may be lost.
func (l *Lessor) appendExpirations(ops []ledger.Op) []ledger.Op {
	processed := 0
	for ; processed < len(l.activeAccounts) && len(ops) < maxOpsOfKind; processed++ {
		account := l.activeAccounts[processed]
		if !l.isCurrent(account) {
			continue
		}
		if l.now < account.appliedAt+l.settings.ExpiryDelay {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Expire, Key: account.key, Sequence: account.sequence})
		account.appliedAt = l.now - l.settings.ExpiryDelay + l.settings.ProposalTimeout
		l.activeAccounts = append(l.activeAccounts, account)
	}
	l.activeAccounts = l.activeAccounts[processed:]
	return ops
}

// appendWriteOffs appends the write-off of accounts that have been expired for StrandedRetention without a final report.
func (l *Lessor) appendWriteOffs(ops []ledger.Op) []ledger.Op {
	processed := 0
	for ; processed < len(l.expiredAccounts) && len(ops) < maxOpsOfKind; processed++ {
		account := l.expiredAccounts[processed]
		if _, known := l.ledger.Account(account.key); !known {
			continue
		}
		if l.now < account.appliedAt+l.settings.StrandedRetention {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.WriteOff, Key: account.key})
		account.appliedAt = l.now - l.settings.StrandedRetention + l.settings.ProposalTimeout
		l.expiredAccounts = append(l.expiredAccounts, account)
	}
	l.expiredAccounts = l.expiredAccounts[processed:]
	return ops
}

func (l *Lessor) appendPayments(ops []ledger.Op) []ledger.Op {
	for _, payment := range l.payments[:min(len(l.payments), maxOpsOfKind)] {
		ops = append(ops, ledger.Op{
			Kind: ledger.Payment, Key: ledger.Key{Tenant: payment.Tenant}, Number: payment.Number, Amount: payment.Amount,
		})
	}
	return ops
}
