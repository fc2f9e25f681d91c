package pgwire

import "testing"

// FuzzClient guards against bytes of a client that crash the reading of its startup or of its messages, or that come out
// as names which do not go back into the same message.
func FuzzClient(f *testing.F) {
	start := AppendStartup(nil, "u", "d")
	f.Add(start)
	f.Add(AppendCancel(nil, 1, 2))
	f.Add(append(start, AppendParse(nil, "s", "SELECT 1", []byte{0, 1, 0, 0, 0, 25})...))
	f.Add(append(start, AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0})...))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte{0, 0, 0, 9, 0, 3, 0, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(1 << 16)
		r.Feed(b)
		if _, ok, err := r.StartupMessage(); !ok || err != nil {
			return
		}
		for {
			m, ok, err := r.Next()
			if !ok || err != nil {
				return
			}
			switch m.Type {
			case 'P':
				if name, sql, types, err := ParseMessage(m.Body); err == nil && string(AppendParse(nil, name, sql, types)) != string(m.Raw) {
					t.Fatalf("Parse %q does not read back", m.Raw)
				}
			case 'B':
				if portal, name, rest, err := BindMessage(m.Body); err == nil && string(AppendBind(nil, portal, name, rest)) != string(m.Raw) {
					t.Fatalf("Bind %q does not read back", m.Raw)
				}
			}
		}
	})
}
