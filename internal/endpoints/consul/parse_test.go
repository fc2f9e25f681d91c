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
			t.Errorf("%d instances from %d bytes, error %v; want none with an error, and fewer than there are bytes", len(list), len(b), err)
		}
		mapping := DefaultMapping()
		for i := range list {
			if observation, err := mapping.Observation(&list[i]); err == nil && (observation.ID == "" || observation.Address == "" || observation.Weight <= 0) {
				t.Errorf("observation lacks an id, an address or a weight: %+v", observation)
			}
		}
		if err == nil && len(b) > 1 { // a truncated list is an error
			text := bytes.TrimSpace(b)
			if _, err := Parse(bytes.NewReader(text[:len(text)-1]), health); err == nil && text[len(text)-1] == ']' {
				t.Errorf("a truncated list was accepted: %q", text)
			}
		}
	})
}

// BenchmarkParse measures the parsing of a response with 2,000 instances.
func BenchmarkParse(b *testing.B) {
	catalog := consulserver.NewCatalog()
	var all []consulserver.Instance
	for i := range 2000 {
		all = append(all, instance(i))
	}
	catalog.Change("db", all)
	agent, err := consulserver.Start(catalog)
	if err != nil {
		b.Fatalf("start a Consul agent: %v", err)
	}
	defer agent.Stop()
	source := New(Options{Agents: []string{agent.Address}, MaxResponseBytes: 16 << 20}, nil, nil, nil, slog.New(slog.DiscardHandler))
	res, err := source.client.Get(source.url("db", Query{}))
	if err != nil {
		b.Fatalf("query the Consul agent: %v", err)
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		b.Fatalf("read the response: %v", err)
	}
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if list, err := Parse(bytes.NewReader(body), true); err != nil || len(list) != 2000 {
			b.Fatalf("parse the response: %d instances, error %v; want 2000", len(list), err)
		}
	}
}
