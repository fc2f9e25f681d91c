package budgetlease

import (
	"encoding/binary"

	"beechgrade/internal/cluster/overload"
)

// A message is a byte for its kind, its sequence number, then groups and amounts in 64ths of a retry, as varints.
const (
	kindTransfer        = 16
	kindTransferRequest = 17
	unitsPerRetry       = 64
	maxItemUnits        = 1 << 20 // 64ths of a retry
)

// IsBudgetMessage reports whether an encoded message is one of this package.
func IsBudgetMessage(b []byte) bool {
	return len(b) > 0 && (b[0] == kindTransfer || b[0] == kindTransferRequest)
}

func appendItems(b []byte, kind byte, sequence uint32, items []Item) []byte {
	b = binary.AppendUvarint(append(b, kind), uint64(sequence))
	b = append(b, byte(len(items)))
	for _, item := range items {
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(item.Group)), uint64(min(maxItemUnits, item.Amount*unitsPerRetry)))
	}
	return b
}

// Append implements module.Message.
func (t *Transfer) Append(b []byte) []byte { return appendItems(b, kindTransfer, t.Sequence, t.Items) }

// Append implements module.Message.
func (r *TransferRequest) Append(b []byte) []byte {
	return appendItems(b, kindTransferRequest, r.Sequence, r.Items)
}

// Decode decodes a message: *Transfer or *TransferRequest.
func Decode(b []byte) (any, error) {
	if !IsBudgetMessage(b) {
		return nil, overload.ErrMalformed
	}
	kind, malformed := b[0], false
	b = b[1:]
	uvarint := func(limit uint64) uint64 {
		x, n := binary.Uvarint(b)
		if malformed = malformed || n <= 0 || x > limit; malformed {
			return 0
		}
		b = b[n:]
		return x
	}
	sequence := uint32(uvarint(1<<32 - 1))
	n := int(uvarint(GroupsPerBlock))
	var items []Item
	for range n {
		items = append(items, Item{int(uvarint(1<<31 - 1)), float64(uvarint(maxItemUnits)) / unitsPerRetry})
	}
	switch {
	case malformed || len(b) > 0:
		return nil, overload.ErrMalformed
	case kind == kindTransfer:
		return &Transfer{sequence, items}, nil
	}
	return &TransferRequest{sequence, items}, nil
}
