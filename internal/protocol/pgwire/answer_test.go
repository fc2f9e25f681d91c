package pgwire

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswerReaderAcceptsOnlyValidAnswers: unknown message types, messages out of order and wrong lengths must not be accepted as an
// answer. An invalid message must be rejected by its first bytes, as the rest may never arrive.
func TestAnswerReaderAcceptsOnlyValidAnswers(t *testing.T) {
	row, done := string(AppendRow(nil, "content", []byte("v"))), string(AppendComplete(nil, "SELECT 1"))
	desc, data := row[:len(row)-12], row[len(row)-12:]
	ready := string(AppendReady(nil))
	role := string(AppendParameter(nil, "role", "primary"))
	fail := string(AppendError(nil, "ERROR", "XX000", "no", ""))
	notice := "N" + fail[1:]
	for name, c := range map[string]struct {
		in, want string // want: served, ready, error with its code, incomplete or malformed
		startup  bool   // the answer is to a startup message
		unsplit  bool   // not also fed byte by byte, which would take long
	}{
		"served":                 {in: notice + role + desc + role + data + notice + done + role + ready, want: "served"},
		"an error":               {in: fail + role + ready, want: "error XX000"},
		"an error after the row": {in: row + fail + ready, want: "error XX000"},
		"row larger than the protocol states": {in: string(AppendRow(nil, "content", make([]byte, 400<<10))) + done + ready,
			want: "served", unsplit: true},
		"no value":                        {in: desc + "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff" + done + ready, want: "served"},
		"incomplete":                      {in: row + done, want: "incomplete"},
		"startup response":                {in: string(AppendStartupResponse(nil)), want: "ready", startup: true},
		"startup response with a key":     {in: "R\x00\x00\x00\x08\x00\x00\x00\x00K\x00\x00\x00\x0c12345678" + ready, want: "ready", startup: true},
		"password requested":              {in: "R\x00\x00\x00\x08\x00\x00\x00\x03", want: "malformed", startup: true},
		"connection rejected":             {in: fail, want: "incomplete", startup: true},
		"unknown message type":            {in: "\xbf", want: "malformed"},
		"no row":                          {in: desc + done + ready, want: "malformed"},
		"two rows":                        {in: row + data, want: "malformed"},
		"no description":                  {in: data, want: "malformed"},
		"only CommandComplete":            {in: done, want: "malformed"},
		"only ReadyForQuery":              {in: ready, want: "malformed"},
		"an error after CommandComplete":  {in: row + done + fail, want: "malformed"},
		"two columns":                     {in: desc + strings.Replace(data, "\x00\x01\x00", "\x00\x02\x00", 1), want: "malformed"},
		"another type instead of DataRow": {in: desc + "q\x00\x00\x00\x0b", want: "malformed"},
		"DataRow of 3 GB":                 {in: desc + "D\xc0\x00\x00\x0a", want: "malformed"},
		"value of 3 GB":                   {in: desc + "D\x00\x00\x00\x0b\x00\x01\xc0\x00\x00\x00", want: "malformed"},
		"row shorter than value":          {in: desc + "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x09", want: "malformed"},
		"row too short":                   {in: desc + "D\x00\x00\x00\x05\x00", want: "malformed"},
		"NULL with bytes after it":        {in: desc + "D\x00\x00\x00\x0b\x00\x01\xff\xff\xff\xff", want: "malformed"},
		"negative length":                 {in: "T\xff\xff\xff\xf0", want: "malformed"},
		"description of no column":        {in: "T\x00\x00\x00\x06\x00\x00", want: "malformed"},
		"text without end":                {in: row + "C\x00\x00\x00\x06SE", want: "malformed"},
		"error without code":              {in: "E\x00\x00\x00\x09Mno\x00\x00", want: "malformed"},
		"error without end":               {in: "E\x00\x00\x00\x0bCXX000\x00", want: "malformed"},
		"in a transaction":                {in: row + done + "Z\x00\x00\x00\x05T", want: "malformed"},
		"notices without end":             {in: strings.Repeat("N\x00\x00\x1f\x00M"+strings.Repeat("x", 0x1f00-6)+"\x00\x00", 17), want: "malformed"},
		"parameter with a third string":   {in: "S\x00\x00\x00\x09a\x00b\x00c", want: "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, len(c.in)} {
				if c.unsplit {
					piece = len(c.in)
				}
				r, a, got := NewReader(MaxMessage), ExpectAnswer(), "incomplete"
				if c.startup {
					a = ExpectStartupResponse()
				}
				for in := c.in; in != "" && got == "incomplete"; in = in[piece:] {
					r.Feed([]byte(in[:piece]))
					for !a.Done() {
						_, ok, err := a.Next(&r)
						if errors.Is(err, ErrMalformed) {
							got = "malformed"
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
					t.Errorf("in pieces of %d: result of the answer (-want +got):\n%s", piece, diff)
				}
			}
		})
	}
}
