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

// maxTraced bounds the events that are shown for one request.
const maxTraced = 1000

// tracer collects the events of the requests whose id has a given hash.
type tracer struct {
	hash        uint64
	requests    map[*records.Run]map[uint64]bool // by run, the numbers of the requests with this hash; attempts may end after the answer, so answered ones stay
	openSession map[*records.Run]uint64          // by run, the session of the request that has no answer yet, 0 if there is none
	steps       []traceStep
}

// traceStep is an event of the traced request.
type traceStep struct {
	At     float64 `json:"at_ms"`
	Pooler string  `json:"pooler"`
	What   string  `json:"what"`
	Server string  `json:"server,omitempty"`
	TookMs float64 `json:"took_ms,omitempty"`
	Text   string  `json:"text,omitempty"`
}

func (t *tracer) Begin(r *records.Run)       { t.requests[r] = map[uint64]bool{} }
func (t *tracer) End(r *records.Run, _ bool) { delete(t.requests, r) }
func (t *tracer) Fault(records.Fault)        {}

func (t *tracer) Event(r *records.Run, e *record.Event) {
	s := traceStep{At: e.At, Pooler: r.Pooler, Server: e.Server, TookMs: e.DurationMs}
	traced := t.requests[r][e.Request]
	switch {
	case e.Kind == recordpb.Kind_KIND_REQUEST && e.ID == t.hash:
		t.requests[r][e.Request] = true
		t.openSession[r] = e.Session
		s.What = "request"
		s.Text = fmt.Sprintf("class %d, group %d, %s left", e.Class, e.Group, incident.Span(e.RemainingMs))
		if int(e.Class) < len(r.Header.Classes) {
			s.Text = fmt.Sprintf("%s, group %d, %s left", r.Header.Classes[e.Class].Name, e.Group, incident.Span(e.RemainingMs))
		}
		if e.Repeat {
			s.Text += ", the client asks again"
		}
	case e.Kind == recordpb.Kind_KIND_ATTEMPT && traced:
		s.What = "attempt"
		s.Text = fmt.Sprintf("number %d: %s", e.Attempt, record.ResultName(uint32(e.Result)))
		if e.Position != 0 {
			s.Text += fmt.Sprintf(", %s behind", incident.Span(max(0, e.At-e.Position)))
		}
	case e.Kind == recordpb.Kind_KIND_ANSWER && traced:
		s.What = "answer" // attempts may still end after it
		t.openSession[r] = 0
		s.Text = e.Final.String()[len("FINAL_"):]
		if e.Reason != record.ReasonNone {
			s.Text += ": " + e.Reason.String()
		}
	case e.Kind == recordpb.Kind_KIND_HAND && e.Session != 0 && e.Session == t.openSession[r]:
		s.What = "connection" // of the pooling frontend, where a session has one transaction at a time
		s.Text = assignmentText(e)
	default:
		return
	}
	if len(t.steps) < maxTraced {
		t.steps = append(t.steps, s)
	}
}

// assignmentText describes how a transaction's wait for a server connection ended.
func assignmentText(e *record.Event) string {
	switch e.Assignment {
	case record.AssignmentRejected:
		return "none came free in time"
	case record.AssignmentRestarted:
		return "the transaction had only begun, and begins again elsewhere"
	}
	text := "pool " + e.Pool
	for _, x := range []struct {
		applies bool
		text    string
	}{{e.FromOtherClient, "another client had it before"}, {e.ServerChanged, "the session was at another server before"}, {e.SettingsRestored, "settings go ahead"}} {
		if x.applies {
			text += "; " + x.text
		}
	}
	return text
}

// trace writes the recorded events of one request.
func trace(_ context.Context, c *cli.Command) error {
	id := c.String("id")
	hash := xxhash.Sum64String(id)
	if n, err := strconv.ParseUint(id, 16, 64); err == nil && len(id) == 16 {
		hash = n
	}
	set, err := openRecords(c)
	if err != nil {
		return err
	}
	t := &tracer{hash: hash, requests: map[*records.Run]map[uint64]bool{}, openSession: map[*records.Run]uint64{}}
	if err := set.Read(t); err != nil {
		return err
	}
	if len(t.steps) == 0 && len(id) == 16 { // sixteen hexadecimal digits may also be an id
		if set, err = openRecords(c); err != nil {
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

// openRecords opens the records below the folders that the command names.
func openRecords(c *cli.Command) (*records.Set, error) {
	if !c.Args().Present() {
		return nil, errors.New("which records? name their folders")
	}
	return records.Open(false, c.Args().Slice()...)
}

// htmlReport writes an incident as one HTML file.
func htmlReport(_ context.Context, c *cli.Command) (err error) {
	v, err := loadView(c)
	if err != nil {
		return err
	}
	path := c.String("out")
	tmp, err := os.CreateTemp(filepath.Dir(path), ".report-*") // an incomplete report never replaces an existing one
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
