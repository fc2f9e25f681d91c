package budgetlease

import (
	"encoding/binary"

	"beechgrade/internal/cluster/overload"
)

// The form of a message: a byte for what it is, its number, then groups and amounts in 64ths, as varints.
const (
	kindTransfer        = 16
	kindTransferRequest = 17
	unitsPerRetry       = 64
	maxItemUnits        = 1 << 20 // 64ths
)

// IsBudgetMessage reports whether an encoded message is one of this package.
func IsBudgetMessage(b []byte) bool {
	return len(b) > 0 && (b[0] == kindTransfer || b[0] == kindTransferRequest)
}

func appendItems(b []byte, verb byte, seq uint32, items []Item) []byte {
	b = binary.AppendUvarint(append(b, verb), uint64(seq))
	b = append(b, byte(len(items)))
	for _, x := range items {
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(x.Group)), uint64(min(maxItemUnits, x.Amount*unitsPerRetry)))
	}
	return b
}

// Append implements module.Message.
func (g *Transfer) Append(b []byte) []byte { return appendItems(b, kindTransfer, g.Sequence, g.Items) }

// Append implements module.Message.
func (w *TransferRequest) Append(b []byte) []byte {
	return appendItems(b, kindTransferRequest, w.Sequence, w.Items)
}

// Decode decodes a message: *Transfer or *TransferRequest.
func Decode(b []byte) (any, error) {
	if !IsBudgetMessage(b) {
		return nil, overload.ErrMalformed
	}
	verb, bad := b[0], false
	b = b[1:]
	uint := func(most uint64) uint64 {
		x, n := binary.Uvarint(b)
		if bad = bad || n <= 0 || x > most; bad {
			return 0
		}
		b = b[n:]
		return x
	}
	seq := uint32(uint(1<<32 - 1))
	n := int(uint(GroupsPerBlock))
	var items []Item
	for range n {
		items = append(items, Item{int(uint(1<<31 - 1)), float64(uint(maxItemUnits)) / unitsPerRetry})
	}
	switch {
	case bad || len(b) > 0:
		return nil, overload.ErrMalformed
	case verb == kindTransfer:
		return &Transfer{seq, items}, nil
	}
	return &TransferRequest{seq, items}, nil
}
