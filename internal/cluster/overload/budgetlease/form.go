package budgetlease

import (
	"encoding/binary"

	"beechgrade/internal/cluster/overload"
)

// The form of a message: a byte for what it is, its number, then groups and amounts in 64ths, as varints.
const (
	verbGive = 16
	verbWant = 17
	grain    = 64
	mostItem = 1 << 20 // 64ths
)

// Mine tells whether a message is of this package.
func Mine(b []byte) bool { return len(b) > 0 && (b[0] == verbGive || b[0] == verbWant) }

func appendItems(b []byte, verb byte, seq uint32, items []Item) []byte {
	b = binary.AppendUvarint(append(b, verb), uint64(seq))
	b = append(b, byte(len(items)))
	for _, x := range items {
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(x.Group)), uint64(min(mostItem, x.Amount*grain)))
	}
	return b
}

// Append is part.Words'.
func (g *Give) Append(b []byte) []byte { return appendItems(b, verbGive, g.Seq, g.Items) }

// Append is part.Words'.
func (w *Want) Append(b []byte) []byte { return appendItems(b, verbWant, w.Seq, w.Items) }

// Read reads a message.
func Read(b []byte) (any, error) {
	if !Mine(b) {
		return nil, overload.ErrForm
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
	n := int(uint(Block))
	var items []Item
	for range n {
		items = append(items, Item{int(uint(1<<31 - 1)), float64(uint(mostItem)) / grain})
	}
	switch {
	case bad || len(b) > 0:
		return nil, overload.ErrForm
	case verb == verbGive:
		return &Give{seq, items}, nil
	}
	return &Want{seq, items}, nil
}
