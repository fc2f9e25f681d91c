package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
	"beechgrade/internal/testkit/report"
)

// maxTraced bounds what is shown of one request.
const maxTraced = 1000

// tracer picks one request's events out of all.
type tracer struct {
	hash  uint64
	open  map[*records.Run]map[uint64]bool // requests of that hash that have no answer yet, by run
	whose map[*records.Run]uint64          // the session of the request that is open
	steps []step
}

// step is an event of the request that is traced.
type step struct {
	At     float64 `json:"at_ms"`
	Pooler string  `json:"pooler"`
	What   string  `json:"what"`
	Server string  `json:"server,omitempty"`
	TookMs float64 `json:"took_ms,omitempty"`
	Text   string  `json:"text,omitempty"`
}

func (t *tracer) Begin(r *records.Run)       { t.open[r] = map[uint64]bool{} }
func (t *tracer) End(r *records.Run, _ bool) { delete(t.open, r) }
func (t *tracer) Fault(records.Fault)        {}

func (t *tracer) Event(r *records.Run, e *record.Event) {
	s := step{At: e.At, Pooler: r.Pooler, Server: e.Server, TookMs: e.DurationMs}
	mine := t.open[r][e.Request]
	switch {
	case e.Kind == recordpb.Kind_KIND_REQUEST && e.ID == t.hash:
		t.open[r][e.Request] = true
		t.whose[r] = e.Session
		s.What = "request"
		s.Text = fmt.Sprintf("class %d, group %d, %s left", e.Class, e.Group, incident.Span(e.RemainingMs))
		if int(e.Class) < len(r.Header.Classes) {
			s.Text = fmt.Sprintf("%s, group %d, %s left", r.Header.Classes[e.Class].Name, e.Group, incident.Span(e.RemainingMs))
		}
		if e.Repeat {
			s.Text += ", the client asks again"
		}
	case e.Kind == recordpb.Kind_KIND_ATTEMPT && mine:
		s.What = "attempt"
		s.Text = fmt.Sprintf("number %d: %s", e.Attempt, record.ResultName(uint32(e.Result)))
		if e.Position != 0 {
			s.Text += fmt.Sprintf(", %s behind", incident.Span(max(0, e.At-e.Position)))
		}
	case e.Kind == recordpb.Kind_KIND_ANSWER && mine:
		s.What = "answer" // attempts may still end behind it
		t.whose[r] = 0
		s.Text = e.Final.String()[len("FINAL_"):]
		if e.Reason != record.ReasonNone {
			s.Text += ": " + e.Reason.String()
		}
	case e.Kind == recordpb.Kind_KIND_HAND && e.Session != 0 && e.Session == t.whose[r]:
		s.What = "connection" // of pooling: the session has one transaction at a time
		s.Text = handText(e)
	default:
		return
	}
	if len(t.steps) < maxTraced {
		t.steps = append(t.steps, s)
	}
}

// handText says how a transaction's wait for a server connection ended.
func handText(e *record.Event) string {
	switch e.Assignment {
	case record.AssignmentRejected:
		return "none came free in time"
	case record.AssignmentRestarted:
		return "the transaction had only begun, and begins again elsewhere"
	}
	text := "pool " + e.Pool
	for _, x := range []struct {
		is  bool
		say string
	}{{e.FromOtherClient, "another client had it before"}, {e.ServerChanged, "the session was at another server before"}, {e.SettingsRestored, "settings go ahead"}} {
		if x.is {
			text += "; " + x.say
		}
	}
	return text
}

func trace(_ context.Context, c *cli.Command) error {
	id := c.String("id")
	hash := xxhash.Sum64String(id)
	if n, err := strconv.ParseUint(id, 16, 64); err == nil && len(id) == 16 {
		hash = n
	}
	set, err := open(c)
	if err != nil {
		return err
	}
	t := &tracer{hash: hash, open: map[*records.Run]map[uint64]bool{}, whose: map[*records.Run]uint64{}}
	if err := set.Read(t); err != nil {
		return err
	}
	if len(t.steps) == 0 && len(id) == 16 { // sixteen hexadecimal digits may be an id as well as a hash
		if set, err = open(c); err != nil {
			return err
		}
		t.hash = xxhash.Sum64String(id)
		if err := set.Read(t); err != nil {
			return err
		}
	}
	if len(t.steps) == 0 {
		return failed{fmt.Errorf("no request %q in these records", id)}
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, t.steps)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	for _, s := range t.steps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f ms\t%s\n", report.Clock(s.At), report.Safe(s.Pooler), s.What, report.Safe(s.Server), s.TookMs, report.Safe(s.Text))
	}
	return w.Flush()
}

func open(c *cli.Command) (*records.Set, error) {
	if !c.Args().Present() {
		return nil, errors.New("which records? name their folders")
	}
	return records.Open(false, c.Args().Slice()...)
}

func htmlReport(_ context.Context, c *cli.Command) (err error) {
	v, err := loadView(c)
	if err != nil {
		return err
	}
	path := c.String("out")
	tmp, err := os.CreateTemp(filepath.Dir(path), ".report-*") // a report that is half written replaces none
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(tmp.Name())
		}
	}()
	if err = errors.Join(report.HTML(tmp, v, filepath.Base(c.Args().First())), tmp.Chmod(0o644), tmp.Close()); err != nil {
		return err
	}
	if err = os.Rename(tmp.Name(), path); err != nil {
		return err
	}
	_, err = io.WriteString(c.Root().Writer, path+"\n")
	return err
}
