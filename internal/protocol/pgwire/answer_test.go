package pgwire

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswerReaderAcceptsOnlyValidAnswers: noise, messages out of order and wrong lengths must not be accepted as an answer. What cannot
// become valid must be rejected by its first bytes, as the rest may never arrive.
func TestAnswerReaderAcceptsOnlyValidAnswers(t *testing.T) {
	row, done := string(AppendRow(nil, "content", []byte("v"))), string(AppendComplete(nil, "SELECT 1"))
	desc, data := row[:len(row)-12], row[len(row)-12:]
	ready := string(AppendReady(nil))
	role := string(AppendParameter(nil, "role", "primary"))
	fail := string(AppendError(nil, "ERROR", "XX000", "no", ""))
	notice := "N" + fail[1:]
	for name, c := range map[string]struct {
		in, want string // want: served, error, waits or bad
		welcome  bool
		whole    bool // byte by byte it would take long
	}{
		"served":                 {in: notice + role + desc + role + data + notice + done + role + ready, want: "served"},
		"an error":               {in: fail + role + ready, want: "error XX000"},
		"an error after the row": {in: row + fail + ready, want: "error XX000"},
		"more than the protocol says": {in: string(AppendRow(nil, "content", make([]byte, 400<<10))) + done + ready,
			want: "served", whole: true},
		"no value":                {in: desc + "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff" + done + ready, want: "served"},
		"not whole":               {in: row + done, want: "waits"},
		"welcome":                 {in: string(AppendStartupResponse(nil)), want: "ready", welcome: true},
		"welcome with its key":    {in: "R\x00\x00\x00\x08\x00\x00\x00\x00K\x00\x00\x00\x0c12345678" + ready, want: "ready", welcome: true},
		"a password is wanted":    {in: "R\x00\x00\x00\x08\x00\x00\x00\x03", want: "bad", welcome: true},
		"turned away":             {in: fail, want: "waits", welcome: true},
		"noise":                   {in: "\xbf", want: "bad"},
		"no row":                  {in: desc + done + ready, want: "bad"},
		"two rows":                {in: row + data, want: "bad"},
		"no description":          {in: data, want: "bad"},
		"only a completion":       {in: done, want: "bad"},
		"only ready":              {in: ready, want: "bad"},
		"an error after its end":  {in: row + done + fail, want: "bad"},
		"two columns":             {in: desc + strings.Replace(data, "\x00\x01\x00", "\x00\x02\x00", 1), want: "bad"},
		"a row's type is wrong":   {in: desc + "q\x00\x00\x00\x0b", want: "bad"},
		"3 GB":                    {in: desc + "D\xc0\x00\x00\x0a", want: "bad"},
		"3 GB inside":             {in: desc + "D\x00\x00\x00\x0b\x00\x01\xc0\x00\x00\x00", want: "bad"},
		"row shorter than value":  {in: desc + "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x09", want: "bad"},
		"row too short":           {in: desc + "D\x00\x00\x00\x05\x00", want: "bad"},
		"no value, but bytes":     {in: desc + "D\x00\x00\x00\x0b\x00\x01\xff\xff\xff\xff", want: "bad"},
		"negative length":         {in: "T\xff\xff\xff\xf0", want: "bad"},
		"description of nothing":  {in: "T\x00\x00\x00\x06\x00\x00", want: "bad"},
		"text without end":        {in: row + "C\x00\x00\x00\x06SE", want: "bad"},
		"error without code":      {in: "E\x00\x00\x00\x09Mno\x00\x00", want: "bad"},
		"error without end":       {in: "E\x00\x00\x00\x0bCXX000\x00", want: "bad"},
		"in a transaction":        {in: row + done + "Z\x00\x00\x00\x05T", want: "bad"},
		"notices without end":     {in: strings.Repeat("N\x00\x00\x1f\x00M"+strings.Repeat("x", 0x1f00-6)+"\x00\x00", 17), want: "bad"},
		"parameter with too much": {in: "S\x00\x00\x00\x09a\x00b\x00c", want: "bad"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, len(c.in)} {
				if c.whole {
					piece = len(c.in)
				}
				r, a, got := NewReader(MaxMessage), ExpectAnswer(), "waits"
				if c.welcome {
					a = ExpectStartupResponse()
				}
				for in := c.in; in != "" && got == "waits"; in = in[piece:] {
					r.Feed([]byte(in[:piece]))
					for !a.Done() {
						_, ok, err := a.Next(&r)
						if errors.Is(err, ErrMalformed) {
							got = "bad"
						}
						if !ok {
							break
						}
					}
					switch {
					case a.Done() && a.Served:
						got = "served"
					case a.Done() && a.Code != "":
						got = "error " + a.Code
					case a.Done():
						got = "ready"
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("in pieces of %d: %s", piece, diff)
				}
			}
		})
	}
}
