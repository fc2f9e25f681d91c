package lessor

import "beechgrade/internal/cluster/credit/ledger"

// maxOpsOfKind bounds the expirations, the write-offs and the payments of one batch, so that requests find place in it.
const maxOpsOfKind = ledger.MaxOps / 4

// proposeBatch proposes what has gathered, when it is time, and returns all actions.
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

// propose encodes operations as entries of at most MaxEntryBytes, or of one operation.
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

// appendExpirations appends the expiry of accounts of which nothing can be spent any more. Each is proposed again after ProposalTimeout,
// as the entry may be lost.
func (l *Lessor) appendExpirations(ops []ledger.Op) []ledger.Op {
	done := 0
	for ; done < len(l.activeAccounts) && len(ops) < maxOpsOfKind; done++ {
		account := l.activeAccounts[done]
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
	l.activeAccounts = l.activeAccounts[done:]
	return ops
}

// appendWriteOffs appends the write-off of accounts that nobody has reported on for StrandedRetention.
func (l *Lessor) appendWriteOffs(ops []ledger.Op) []ledger.Op {
	done := 0
	for ; done < len(l.expiredAccounts) && len(ops) < maxOpsOfKind; done++ {
		account := l.expiredAccounts[done]
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
	l.expiredAccounts = l.expiredAccounts[done:]
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
