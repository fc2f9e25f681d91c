package cluster

import (
	"errors"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

type text string

func (s text) Append(b []byte) []byte { return append(b, s...) }

// TestPartForm: a part's words read as they were written, for whom and from whom they are; a full body goes into one datagram.
func TestPartForm(t *testing.T) {
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
