package cluster

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/encoding"
)

// Field numbers of a quota item.
const (
	fieldItemLimit       = 1
	fieldItemSequence    = 2
	fieldItemEpoch       = 3
	fieldItemOwnerTime   = 4
	fieldItemVote        = 5
	fieldItemSoonEven    = 6
	fieldItemLastTaken   = 7
	fieldItemUnitsInUse  = 8
	fieldItemRemaining   = 9
	fieldItemDemand      = 10
	fieldItemUnits       = 11
	fieldItemPool        = 12
	fieldItemAllAccounts = 13
	fieldItemShare       = 14
)

func appendQuota(b []byte, message *quota.Message) []byte {
	var part []byte
	for i := range message.Items {
		part = appendQuotaItem(part[:0], &message.Items[i])
		b = encoding.AppendBytesField(b, fieldQuotaItem, part)
	}
	return appendUint(b, fieldQuotaKind, uint64(message.Kind))
}

func appendDouble(b []byte, number protowire.Number, x float64) []byte {
	if x == 0 {
		return b
	}
	return appendFixed(b, number, math.Float64bits(x))
}

func appendQuotaItem(b []byte, item *quota.Item) []byte {
	b = appendFixed(b, fieldItemLimit, item.LimitHash)
	b = appendUint(b, fieldItemSequence, uint64(item.Sequence))
	b = appendUint(b, fieldItemEpoch, uint64(item.Epoch))
	b = appendDouble(b, fieldItemOwnerTime, item.OwnerTime)
	b = appendBool(b, fieldItemVote, item.Vote)
	b = appendBool(b, fieldItemSoonEven, item.SoonEven)
	b = appendUint(b, fieldItemLastTaken, uint64(item.LastTaken))
	b = appendUint(b, fieldItemUnitsInUse, uint64(item.UnitsInUse))
	b = appendDouble(b, fieldItemRemaining, item.RemainingMs)
	b = appendDouble(b, fieldItemDemand, item.Demand)
	b = appendUint(b, fieldItemUnits, uint64(item.Units))
	b = appendUint(b, fieldItemPool, uint64(item.Pool))
	b = appendBool(b, fieldItemAllAccounts, item.AllAccounted)
	return appendDouble(b, fieldItemShare, item.Share)
}

func (e *envelope) addQuotaItem(b []byte) error {
	if e.quota == nil {
		e.quota = &quota.Message{}
	}
	if len(e.quota.Items) >= quota.MaxItems {
		return fmt.Errorf("%w: over %d limits", ErrMalformed, quota.MaxItems)
	}
	item, err := decodeQuotaItem(b)
	e.quota.Items = append(e.quota.Items, item)
	return err
}

func decodeQuotaItem(b []byte) (item quota.Item, err error) {
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		count := int(min(field.Value, math.MaxInt32))
		double := math.Float64frombits(field.Value)
		switch field.Number {
		case fieldItemLimit:
			item.LimitHash = field.Value
		case fieldItemSequence:
			item.Sequence = uint32(field.Value)
		case fieldItemEpoch:
			item.Epoch = uint32(field.Value)
		case fieldItemOwnerTime:
			item.OwnerTime = double
		case fieldItemVote:
			item.Vote = field.Value == 1
		case fieldItemSoonEven:
			item.SoonEven = field.Value == 1
		case fieldItemLastTaken:
			item.LastTaken = uint32(field.Value)
		case fieldItemUnitsInUse:
			item.UnitsInUse = count
		case fieldItemRemaining:
			item.RemainingMs = double
		case fieldItemDemand:
			item.Demand = double
		case fieldItemUnits:
			item.Units = count
		case fieldItemPool:
			item.Pool = count
		case fieldItemAllAccounts:
			item.AllAccounted = field.Value == 1
		case fieldItemShare:
			item.Share = double
		}
		return nil
	})
	return item, err
}
