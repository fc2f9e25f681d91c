package cluster

import (
	"errors"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

type text string

func (s text) Append(b []byte) []byte { return append(b, s...) }

// TestModuleMessageRoundTrip: a module's message decodes as it was encoded, with its sender and receiver; a body of MaxBodyBytes fits a
// datagram; without the module it is rejected.
func TestModuleMessageRoundTrip(t *testing.T) {
	w := text(make([]byte, module.MaxBodyBytes))
	b := testKey.seal(nil, &envelope{Message: view.Message{Kind: module.KindCredit, From: 7, Target: 9}, body: moduleBody{message: w}})
	if len(b) > MaxDatagramBytes {
		t.Errorf("%d bytes", len(b))
	}
	message, err := testKey.open(b)
	if err != nil || message.Kind != module.KindCredit || message.From != 7 || message.Target != 9 || string(message.body.raw) != string(w) {
		t.Fatalf("%+v, %v", message, err)
	}
	node := &Node{}
	if err := node.decodeModuleMessage(message); !errors.Is(err, ErrMalformed) {
		t.Errorf("read for no part: %v", err)
	}
}
