package rehearse

import (
	"bufio"
	"errors"
	"os"
	"path/filepath"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/score"
)

// AttemptLine is a line of AttemptsFile.
type AttemptLine struct {
	ID     string       `json:"id"`
	Class  string       `json:"class"`
	Number int          `json:"no"`
	Pooler string       `json:"pooler,omitempty"`
	First  float64      `json:"first_ms"`
	Sent   float64      `json:"sent_ms"`
	Ended  float64      `json:"ended_ms"`
	Kind   clients.Kind `json:"kind"`
	Late   bool         `json:"late,omitempty"`
	Tenant string       `json:"tenant,omitempty"`
}

// attemptLog passes the attempts of the clients to the score and writes them to AttemptsFile.
type attemptLog struct {
	*score.Scorer
	file *os.File
	out  *bufio.Writer
	run  *Run
	err  error
}

// openAttemptLog creates AttemptsFile, and returns the score of the rehearsal and the log that feeds it.
func (r *Run) openAttemptLog(classes []clients.Class) (*score.Scorer, *attemptLog, error) {
	f, err := os.Create(filepath.Join(r.opt.Out, AttemptsFile))
	if err != nil {
		return nil, nil, err
	}
	scorer := score.New(r.opt.Seed, classes)
	scorer.Tenants(r.script.Clients.Tenants, r.script.Clients.OverShareWorth)
	return scorer, &attemptLog{Scorer: scorer, file: f, out: bufio.NewWriter(f), run: r}, nil
}

// AttemptEnded implements clients.Sink.
func (l *attemptLog) AttemptEnded(t *clients.Attempt) {
	l.run.traffic.attemptEnded(t)
	l.run.shared.attemptEnded(t)
	if t.PoolerStalled = l.run.traffic.wasPaused(t); t.PoolerStalled && t.Kind == clients.Unanswered {
		t.Kind = clients.Broken
	}
	l.Scorer.AttemptEnded(t)
	line := AttemptLine{
		ID:     t.ID,
		Class:  t.Class.Name,
		Number: t.No,
		First:  t.First,
		Sent:   t.Sent,
		Ended:  t.Ended,
		Kind:   t.Kind,
		Late:   t.Late,
		Tenant: t.Tenant,
	}
	if t.Pooler >= 0 {
		line.Pooler = l.run.poolers[t.Pooler].name
	}
	b, err := jsoniter.Marshal(&line)
	if err == nil {
		_, err = l.out.Write(append(b, '\n'))
	}
	if l.err == nil {
		l.err = err
	}
}

// BeforeSend implements clients.Watcher.
func (l *attemptLog) BeforeSend(t *clients.Attempt, untilMs, afterMs float64) {
	l.run.traffic.BeforeSend(t, untilMs, afterMs)
}

func (l *attemptLog) close() error { return errors.Join(l.err, l.out.Flush(), l.file.Close()) }
