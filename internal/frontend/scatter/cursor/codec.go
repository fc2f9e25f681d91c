package cursor

import (
	"encoding/binary"
	"slices"
)

// maxPosition is the upper bound of times and positions, in Unix ms.
const maxPosition = 1 << 52

// append appends the encoded contents of a cursor. Positions are encoded relative to the lowest one, and equal places only once.
func (c *Cursor) append(dst []byte) ([]byte, error) {
	dst = binary.AppendUvarint(dst, uint64(max(0, c.IssuedMs)))
	for _, digest := range c.Binding.digests() {
		dst = append(dst, digest[:]...)
	}
	dst = binary.AppendUvarint(dst, uint64(len(c.Places)))
	dst = c.appendPositions(dst)
	return c.appendPlaces(dst)
}

// appendPositions appends the lowest position, and for each shard 0 if it has none, or else the difference to the lowest position plus 1.
func (c *Cursor) appendPositions(dst []byte) []byte {
	lowest := int64(0)
	for _, position := range c.MinPositions {
		if position > 0 && (lowest == 0 || position < lowest) {
			lowest = position
		}
	}
	dst = binary.AppendUvarint(dst, uint64(lowest))
	for _, position := range c.MinPositions {
		if position > 0 {
			position = position - lowest + 1
		}
		dst = binary.AppendUvarint(dst, uint64(position))
	}
	return dst
}

// appendPlaces appends the distinct places, the index of the place that most shards have, and the shard and the index for all others.
func (c *Cursor) appendPlaces(dst []byte) ([]byte, error) {
	var distinct []*Place
	var counts []int // number of shards, by index in distinct
	indexes := make([]int, len(c.Places))
	for i := range c.Places {
		k := slices.IndexFunc(distinct, func(place *Place) bool { return place.Compare(&c.Places[i]) == 0 })
		if k < 0 {
			k = len(distinct)
			distinct = append(distinct, &c.Places[i])
			counts = append(counts, 0)
		}
		indexes[i] = k
		counts[k]++
	}
	commonest := 0
	for k := range counts {
		if counts[k] > counts[commonest] {
			commonest = k
		}
	}
	dst = binary.AppendUvarint(dst, uint64(len(distinct)))
	for _, place := range distinct {
		if len(place.Key) > MaxKeyBytes {
			return nil, ErrKeyTooLong
		}
		dst = binary.AppendUvarint(dst, uint64(len(place.Key)))
		dst = binary.AppendUvarint(dst, uint64(place.OwnOffset))
		dst = binary.AppendUvarint(dst, uint64(place.Shard))
		dst = append(dst, place.Key...)
	}
	dst = binary.AppendUvarint(dst, uint64(commonest))
	for i, k := range indexes {
		if k != commonest {
			dst = binary.AppendUvarint(dst, uint64(i))
			dst = binary.AppendUvarint(dst, uint64(k))
		}
	}
	return dst, nil
}

// read decodes what append wrote. The contents are authenticated, so that invalid contents can only come from another version of the
// program.
func (c *Cursor) read(plain []byte) error {
	r := reader{rest: plain}
	c.IssuedMs = float64(r.number(maxPosition))
	for _, digest := range c.Binding.digests() {
		if len(r.rest) < len(digest) {
			return ErrForged
		}
		r.rest = r.rest[copy(digest[:], r.rest):]
	}
	c.Places = make([]Place, r.number(MaxShards))
	c.readPositions(&r)
	if !c.readPlaces(&r) || r.invalid {
		return ErrForged
	}
	return nil
}

func (c *Cursor) readPositions(r *reader) {
	c.MinPositions = make([]int64, len(c.Places))
	lowest := r.number(maxPosition)
	for i := range c.MinPositions {
		if n := r.number(maxPosition); n > 0 {
			c.MinPositions[i] = int64(lowest + n - 1)
		}
	}
}

// readPlaces decodes the places of the shards, and reports whether they are present and complete.
func (c *Cursor) readPlaces(r *reader) bool {
	distinct := make([]Place, r.number(len(c.Places)))
	for i := range distinct {
		place := &distinct[i]
		length := r.number(MaxKeyBytes)
		place.OwnOffset = r.number(length)
		place.Shard = r.number(max(0, len(c.Places)-1))
		if length > len(r.rest) {
			return false
		}
		if length > 0 {
			place.Key = r.rest[:length:length]
			r.rest = r.rest[length:]
		}
	}
	if len(c.Places) == 0 || len(distinct) == 0 {
		return false
	}
	commonest := r.number(len(distinct) - 1)
	for i := range c.Places {
		c.Places[i] = distinct[commonest]
	}
	for len(r.rest) > 0 {
		shard := r.number(len(c.Places) - 1)
		c.Places[shard] = distinct[r.number(len(distinct)-1)]
	}
	return true
}

// reader decodes the contents of a cursor.
type reader struct {
	rest    []byte
	invalid bool
}

// number reads a number of at most limit. After an invalid number, the rest is discarded and all further numbers are invalid.
func (r *reader) number(limit int) int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > uint64(limit) {
		r.invalid = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}
