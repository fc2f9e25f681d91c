package consul

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"beechgrade/internal/testkit/fake/consulserver"
)

// FuzzParse checks that any response is read completely or not at all, in bounded memory.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`[]`, `null`, `[{"Node":{"Node":"a","Address":"1.2.3.4"},"Service":{"ID":"x","Port":5432,"Tags":null,"Meta":{"group":"1"}},"Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]}]`,
		`[{"Node":"a","ServiceID":"x","ServicePort":1}]`, `[{`, `[] x`, `{"a":1}`, `[1,2]`, "[{\"Checks\":[{\"Status\":\"warning\"}]}]\n"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, health bool) {
		list, err := Parse(bytes.NewReader(b), health)
		if err != nil && list != nil || len(list) > len(b) {
			t.Errorf("%d instances, %v", len(list), err)
		}
		m := DefaultMapping()
		for i := range list {
			if c, err := m.Observation(&list[i]); err == nil && (c.ID == "" || c.Address == "" || c.Weight <= 0) {
				t.Errorf("%+v", c)
			}
		}
		if err == nil && len(b) > 1 { // a list that is cut off is not read
			text := bytes.TrimSpace(b)
			if _, err := Parse(bytes.NewReader(text[:len(text)-1]), health); err == nil && text[len(text)-1] == ']' {
				t.Errorf("cut off, it was taken: %q", text)
			}
		}
	})
}

// BenchmarkParse measures a full response of 2,000 instances.
func BenchmarkParse(b *testing.B) {
	c := consulserver.NewCatalog()
	var all []consulserver.Instance
	for i := range 2000 {
		all = append(all, instance(i))
	}
	c.Change("db", all)
	a, err := consulserver.Start(c)
	if err != nil {
		b.Fatal(err)
	}
	defer a.Stop()
	src := New(Options{Agents: []string{a.Address}, MaxResponseBytes: 16 << 20}, nil, nil, nil, slog.New(slog.DiscardHandler))
	res, err := src.client.Get(src.url("db", Query{}))
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if list, err := Parse(bytes.NewReader(body), true); err != nil || len(list) != 2000 {
			b.Fatal(err)
		}
	}
}
