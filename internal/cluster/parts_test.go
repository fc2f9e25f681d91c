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
	b := testKey.seal(nil, &envelope{Message: view.Message{Kind: module.KindCredit, From: 7, Target: 9}, body: body{words: w}})
	if len(b) > MostDatagram {
		t.Errorf("%d bytes", len(b))
	}
	e, err := testKey.open(b)
	if err != nil || e.Kind != module.KindCredit || e.From != 7 || e.Target != 9 || string(e.body.raw) != string(w) {
		t.Fatalf("%+v, %v", e, err)
	}
	p := &Peers{}
	if err := p.readPart(e); !errors.Is(err, ErrForm) {
		t.Errorf("read for no part: %v", err)
	}
}
