package cluster

import (
	"errors"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

type textMessage string

func (message textMessage) Append(b []byte) []byte { return append(b, message...) }

// TestModuleMessageRoundTrip: a module's message is decoded as it was encoded, with its sender and receiver. A body of MaxBodyBytes fits
// one datagram. A node without the module rejects the message.
func TestModuleMessageRoundTrip(t *testing.T) {
	body := textMessage(make([]byte, module.MaxBodyBytes))
	b := testKey.seal(nil, &envelope{Message: view.Message{Kind: module.KindCredit, From: 7, Target: 9}, body: moduleBody{message: body}})
	if len(b) > MaxDatagramBytes {
		t.Errorf("the datagram has %d bytes, want at most %d", len(b), MaxDatagramBytes)
	}
	message, err := testKey.open(b)
	if err != nil || message.Kind != module.KindCredit || message.From != 7 || message.Target != 9 || string(message.body.raw) != string(body) {
		t.Fatalf("message decoded as %+v, error %v; want kind %d from 7 to 9 with the whole body", message, err, module.KindCredit)
	}
	node := &Node{}
	if err := node.decodeModuleMessage(message); !errors.Is(err, ErrMalformed) {
		t.Errorf("message decoded by a node without the module: got error %v, want %v", err, ErrMalformed)
	}
}
