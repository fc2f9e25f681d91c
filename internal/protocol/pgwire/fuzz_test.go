package pgwire

import "testing"

// FuzzClient: no bytes from a client may crash the parsing of startup and other messages, and a Parse or Bind built from what was
// parsed must equal the original message.
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
					t.Fatalf("Parse %q changes when it is parsed and built again", m.Raw)
				}
			case 'B':
				if portal, name, rest, err := BindMessage(m.Body); err == nil && string(AppendBind(nil, portal, name, rest)) != string(m.Raw) {
					t.Fatalf("Bind %q changes when it is parsed and built again", m.Raw)
				}
			}
		}
	})
}

// FuzzAnswerInParts: an answer whose row is returned in parts must have the same bytes and the same validity as one that is returned
// whole, whatever the size of the pieces in which it arrives.
func FuzzAnswerInParts(f *testing.F) {
	good := AppendReady(AppendParameter(AppendComplete(AppendRow(nil, "content", make([]byte, 300)), "SELECT 1"), "role", "replica"))
	f.Add(good, uint8(7))
	f.Add(good[:100], uint8(1))
	f.Add(append(AppendRow(nil, "content", make([]byte, 200)), "E\x00\x00\x00\x0bCXX000\x00\x00Z\x00\x00\x00\x05I"...), uint8(50))
	f.Add(AppendReady(AppendRow(nil, "content", nil)), uint8(3))
	read := func(b []byte, piece int, threshold int) (raw string, served, invalid bool) {
		r, a := NewReader(MaxMessage), ExpectAnswer()
		r.Stream(threshold)
		for {
			n := min(piece, len(b))
			r.Feed(b[:n])
			b = b[n:]
			for !a.Done() {
				m, ok, err := a.Next(&r)
				if err != nil {
					return raw, false, true
				}
				if !ok {
					break
				}
				raw += string(m.Raw)
			}
			if len(b) == 0 || a.Done() {
				return raw, a.Served, false
			}
		}
	}
	f.Fuzz(func(t *testing.T, b []byte, piece uint8) {
		raw, served, invalid := read(b, len(b)+1, 0)
		raw2, served2, invalid2 := read(b, int(piece)+1, 64)
		if served != served2 || invalid != invalid2 || served && raw != raw2 || len(raw2) < len(raw) && !invalid {
			t.Fatalf("read whole: served %v, invalid %v, %q; in parts, want the same: %v, %v, %q", served, invalid, raw, served2, invalid2, raw2)
		}
	})
}
