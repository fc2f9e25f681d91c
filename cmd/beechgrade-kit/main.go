// Command beechgrade-kit holds the operators' tools that accompany the daemon: it shows what poolers recorded, rehearses failures on
// loopback, and measures poolers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/report"
	"beechgrade/internal/testkit/scenario"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade-kit:", err)
	}
	os.Exit(exitCode(err))
}

// failed wraps a negative result of a command that itself worked. The exit code distinguishes it from other errors.
type failed struct{ error }

func (f failed) Unwrap() error { return f.error }

// exitCode is 0 for success, 1 for a negative result, and 2 for wrong usage or input.
func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.As(err, new(failed)):
		return 1
	}
	return 2
}

// command is the tree of all commands.
func command() *cli.Command {
	asJSON := func() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write JSON for machines"} }
	return &cli.Command{
		Name:           "beechgrade-kit",
		Usage:          "look at what poolers recorded, rehearse failures, and try changes at any size",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			incidentCommand(asJSON),
			sizesCommand(asJSON),
			poolingCommand(),
			clickhouseCommand(asJSON),
			journalCommand(asJSON),
			storeCommand(asJSON),
			membersCommand(asJSON),
			peersCommand(asJSON),
			zonesCommand(asJSON),
			labCommand(asJSON),
			loadCommand(asJSON),
			rehearseCommand(asJSON),
		},
	}
}

// incidentCommand reconstructs an incident from records.
func incidentCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  "incident",
		Usage: "tell from records what happened",
		Commands: []*cli.Command{
			{Name: "summary", Usage: "a summary as text", ArgsUsage: "DIR...", Flags: []cli.Flag{asJSON()}, Action: summary},
			{Name: "report", Usage: "one HTML file", ArgsUsage: "DIR...",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "out", Aliases: []string{"o"}, Value: "incident.html", Usage: "the `FILE` to write"}},
				Action: htmlReport},
			{Name: "view", Usage: "a console to look around in", ArgsUsage: "DIR...",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "follow", Usage: "go on with records that are still being written"}},
				Action: view},
			{Name: "trace", Usage: "all that is recorded of one request", ArgsUsage: "DIR...",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "id", Required: true, Usage: "the client's `ID`, or its hash of 16 hexadecimal digits"}, asJSON()},
				Action: trace},
		},
	}
}

// poolingCommand measures the pooling frontend.
func poolingCommand() *cli.Command {
	return &cli.Command{
		Name: "pooling", Usage: "measure the pooling front beside the stand-ins reached directly",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "clients", Value: 1000, Usage: "`NUMBER` connected at once"},
			&cli.IntFlag{Name: "connections", Value: 50, Usage: "`NUMBER` of server connections"},
			&cli.FloatFlag{Name: "seconds", Value: 5, Usage: "for each part"},
			&cli.StringFlag{Name: "out", Value: "pooling", Usage: "the `DIR` for logs"},
			&cli.StringFlag{Name: "daemon", Usage: "the daemon's program `FILE`; else the one beside this program"},
		},
		Action: measurePooling,
	}
}

// rehearseCommand runs rehearsals, checks scripts, and compares records with what clients saw.
func rehearseCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "rehearse", Usage: "run the daemon against stand-in servers and faults, as a script has them", ArgsUsage: "SCRIPT",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what is drawn follows from this `NUMBER`"},
			&cli.StringFlag{Name: "out", Value: "rehearsal", Usage: "the `DIR` for records, logs and results"},
			&cli.StringFlag{Name: "daemon", Usage: "the daemon's program `FILE`; else the one beside this program"},
			&cli.StringFlag{Name: "settings", Usage: "more of the operators' settings for the poolers, a `FILE`; $POOLER stands for a pooler's name"},
			&cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log what the stand-ins do"},
			asJSON(),
		},
		Action: runRehearsal,
		Commands: []*cli.Command{
			{Name: "check", Usage: "read scripts and tell what is wrong with them", ArgsUsage: "SCRIPT...", Action: checkScripts},
			{Name: "compare", Usage: "hold a rehearsal's records against what its clients saw", ArgsUsage: "DIR", Flags: []cli.Flag{asJSON()}, Action: compare},
		},
	}
}

// loadView reads all records below the folders that the command names.
func loadView(c *cli.Command) (*incident.View, error) {
	set, err := openRecords(c)
	if err != nil {
		return nil, err
	}
	m := incident.New()
	if err := set.Read(m); err != nil {
		return nil, err
	}
	m.Finish()
	return m.View(), nil
}

// summary writes the summary of an incident.
func summary(_ context.Context, c *cli.Command) error {
	v, err := loadView(c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, v)
	}
	return report.Text(c.Root().Writer, v)
}

// writeJSON writes indented JSON.
func writeJSON(w io.Writer, v any) error {
	enc := jsoniter.ConfigCompatibleWithStandardLibrary.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// checkScripts parses scripts and writes a summary line for each.
func checkScripts(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.New("rehearse check: at least one SCRIPT is required")
	}
	for _, path := range c.Args().Slice() {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "%s: %q, %.0f s, %d poolers, groups of %v, %.0f requests a second, %d faults\n", path, s.Name,
			s.Clients.Seconds, s.Poolers, s.Fleet.Groups, s.Clients.Rate, len(s.Faults))
	}
	return nil
}

// runRehearsal runs a rehearsal and reports its result.
func runRehearsal(ctx context.Context, c *cli.Command) error {
	s, err := oneScript(c)
	if err != nil {
		return err
	}
	daemon, err := daemonOf(c)
	if err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	if c.Bool("verbose") {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	out, shownPart := c.String("out"), -1
	operatorSettings := ""
	if path := c.String("settings"); path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		operatorSettings = string(b)
	}
	_, err = rehearse.Execute(ctx, s, rehearse.Options{Seed: c.Uint64("seed"), Out: out, Operators: operatorSettings, Daemon: daemon, Log: log, Progress: func(done, all int) {
		if part := 20 * done / max(1, all); part != shownPart && !c.Bool("json") {
			shownPart = part
			fmt.Fprintf(os.Stderr, "\r%s: %3d%%", s.Name, 5*part)
		}
	}})
	if shownPart >= 0 {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if err != nil {
		return err
	}
	return reportRehearsal(c, out)
}

// daemonOf is the path of the daemon's program: by the flag, or beside this program.
func daemonOf(c *cli.Command) (string, error) {
	if d := c.String("daemon"); d != "" {
		return d, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "beechgrade"), nil
}

// measurePooling measures the pooling frontend.
func measurePooling(ctx context.Context, c *cli.Command) error {
	daemon, err := daemonOf(c)
	if err != nil {
		return err
	}
	if c.Int("clients") < 1 || c.Int("connections") < 1 || c.Float("seconds") <= 0 || c.Float("seconds") > 600 {
		return errors.New("pooling: --clients, --connections and --seconds must be above 0, and --seconds at most 600")
	}
	res, err := rehearse.MeasurePooling(ctx, rehearse.PoolingOptions{Daemon: daemon, Out: c.String("out"), Clients: c.Int("clients"), Conns: c.Int("connections"),
		Seconds: c.Float("seconds"), Log: slog.New(slog.DiscardHandler), Stage: func(name string) { fmt.Fprintln(os.Stderr, name, "...") }})
	if err != nil {
		return err
	}
	if err := writeJSON(c.Root().Writer, res); err != nil {
		return err
	}
	if res.Mismatches > 0 {
		return failed{fmt.Errorf("%d statements ran under other settings", res.Mismatches)}
	}
	return nil
}

// compare reports the result of an earlier rehearsal.
func compare(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("rehearse compare: exactly one DIR of a rehearsal is required")
	}
	return reportRehearsal(c, c.Args().First())
}

// reportRehearsal writes the result of a rehearsal. It fails if a rule was broken, or if the records differ from what the clients saw.
func reportRehearsal(c *cli.Command, dir string) error {
	m, v, res, err := rehearse.Compare(dir)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if c.Bool("json") {
		if err := writeJSON(w, map[string]any{"score": res.Score, "match": m, "facts": res.Facts}); err != nil {
			return err
		}
	} else if err := report.Rehearsal(w, res, m, v, dir); err != nil {
		return err
	}
	switch {
	case res.Score.Broken > 0:
		return failed{fmt.Errorf("%d times a rule was broken", res.Score.Broken)}
	case !m.OK():
		return failed{errors.New("the records and the clients do not agree")}
	}
	return nil
}
