package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/store"
)

// journalCommand reads and clears the journal of a daemon that is not running.
func journalCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "journal", Usage: "tell from a stopped daemon's journal what may have run",
		Commands: []*cli.Command{
			{Name: "pending", Usage: "list the attempts that may have run, by server and time", ArgsUsage: "DIR", Flags: []cli.Flag{asJSON()}, Action: pending},
			{Name: "clear", Usage: "forget them, once they have been reconciled", ArgsUsage: "DIR", Action: clearPending},
		},
	}
}

func openJournal(c *cli.Command) (*store.Store, *store.Recovery, error) {
	if c.Args().Len() != 1 {
		return nil, nil, errors.New("journal: exactly one DIR is required")
	}
	return store.Open(store.Options{FS: store.Dir(c.Args().First())})
}

// pendingAttempt is the JSON form of an attempt that may have run.
type pendingAttempt struct {
	ID      string  `json:"id"`
	Server  string  `json:"server"`
	AtMs    float64 `json:"at_ms"`
	Number  int     `json:"attempt"`
	Outcome string  `json:"ended"`
}

func pending(_ context.Context, c *cli.Command) error {
	s, rec, err := openJournal(c)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	lines := []pendingAttempt{}
	for _, a := range journal.Pending(s) {
		lines = append(lines, pendingAttempt{a.ID, a.Server, a.StartedAt, a.Number, a.OutcomeText()})
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, lines)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "server\ttime\tid\tattempt\tended")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", l.Server, time.UnixMicro(int64(l.AtMs*1000)).UTC().Format("2006-01-02 15:04:05.000"), l.ID, l.Number, l.Outcome)
	}
	fmt.Fprintf(w, "%d may have run\n", len(lines))
	if rec.DroppedBytes > 0 {
		fmt.Fprintf(w, "the journal's end was not whole: %d bytes were left out (%s)\n", rec.DroppedBytes, rec.Reason)
	}
	return w.Flush()
}

func clearPending(_ context.Context, c *cli.Command) error {
	s, _, err := openJournal(c)
	if err != nil {
		return err
	}
	n := len(journal.Pending(s))
	done := make(chan error, 1)
	journal.Clear(s, func(err error) { done <- err })
	if err := errors.Join(<-done, s.Close()); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%d forgotten\n", n)
	return nil
}
