package sessiontoken

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/decide"
)

const (
	fieldTime        protowire.Number = 1
	encodedTimeBytes                  = 1 + 8 // tag and value
)

var errMalformed = errors.New("not an encoded commit time")

// encode encodes a time as a protobuf message:
//
//	message Commit { sfixed64 at_ns = 1; }
func encode(at decide.Time) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(nil, fieldTime, protowire.Fixed64Type), uint64(at))
}

func decode(b []byte) (decide.Time, error) {
	number, fieldType, tagBytes := protowire.ConsumeTag(b)
	if tagBytes < 0 || number != fieldTime || fieldType != protowire.Fixed64Type {
		return 0, errMalformed
	}
	value, valueBytes := protowire.ConsumeFixed64(b[tagBytes:])
	if valueBytes < 0 {
		return 0, errMalformed
	}
	return decide.Time(value), nil
}
