package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/dustin/go-humanize"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/storebench"
)

// storeCommand inspects a store that no process has open.
func storeCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "look into a durable store that no pooler has open; nothing in it is changed",
		Commands: []*cli.Command{
			{Name: "check", Usage: "tell whether it opens, and what recovery would make of it", ArgsUsage: "DIR", Flags: []cli.Flag{asJSON()}, Action: checkStore},
			{Name: "stats", Usage: "its files and how much is live", ArgsUsage: "DIR", Flags: []cli.Flag{asJSON()}, Action: storeStats},
			{Name: "dump", Usage: "its keys and values", ArgsUsage: "DIR", Flags: []cli.Flag{
				&cli.StringFlag{Name: "from", Usage: "the first `KEY`"}, &cli.StringFlag{Name: "to", Usage: "the `KEY` before which it ends"}}, Action: dumpStore},
			{Name: "measure", Usage: "hold it beside bbolt: commits, opening, and what each makes of damaged files", Flags: []cli.Flag{
				&cli.FloatFlag{Name: "seconds", Value: 3, Usage: "of each part, `NUMBER`"},
				&cli.IntFlag{Name: "step", Value: 97, Usage: "damage each `NUMBER`th byte; 0 for none"},
				&cli.StringFlag{Name: "sizes", Usage: "also fill each with so many bytes and open it again, such as `1KB,1MB,1GB`; each once with as many keys as there are records, and once with a thousand"},
				&cli.StringFlag{Name: "out", Value: "store-measured", Usage: "an empty `DIR` to work in"}, asJSON()}, Action: measureStore},
			// store measure runs this in a process of its own, as opening a damaged store may end the process.
			{Name: "opened", Hidden: true, ArgsUsage: "NAME DIR", Action: func(_ context.Context, c *cli.Command) error {
				fmt.Fprintln(c.Root().Writer, storebench.ReportContents(c.Args().Get(0), c.Args().Get(1)))
				return nil
			}},
			// store measure runs this in a process of its own, as it measures the peak memory of the process.
			{Name: "reopened", Hidden: true, ArgsUsage: "NAME DIR", Action: func(_ context.Context, c *cli.Command) error {
				b, err := storebench.MeasureOpen(c.Args().Get(0), c.Args().Get(1))
				fmt.Fprintln(c.Root().Writer, string(b))
				return err
			}},
			{Name: "repair", Usage: "write what can be read into a new folder, and tell what was left out", ArgsUsage: "DIR NEW", Action: repairStore},
		},
	}
}

// openReadOnly opens a store without changing anything in it.
func openReadOnly(c *cli.Command) (*store.Store, *store.Recovery, error) {
	if c.Args().Len() != 1 {
		return nil, nil, errors.New("store: exactly one DIR is required")
	}
	return store.Open(store.Options{FS: store.ReadOnly{FS: store.Dir(c.Args().First())}})
}

func checkStore(_ context.Context, c *cli.Command) error {
	s, rec, err := openReadOnly(c)
	if errors.Is(err, store.ErrCorrupt) {
		return failed{err}
	}
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, rec)
	}
	fmt.Fprintf(c.Root().Writer, "it opens: %d records, %d segments behind the snapshot\n", rec.Records, rec.SegmentsRead)
	if rec.DroppedBytes > 0 {
		fmt.Fprintf(c.Root().Writer, "its end was not whole: %d bytes would be cut (%s)\n", rec.DroppedBytes, rec.Reason)
	}
	return nil
}

func storeStats(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("store: exactly one DIR is required")
	}
	files, err := store.Inspect(store.Dir(c.Args().First()))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, files)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "file\tbytes\tframes\tentries\tnumbers\tends\tat byte")
	for _, f := range files {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d to %d\t%s\t%d\n", f.Name, f.Bytes, f.Frames, f.Entries, f.FirstSequence, f.LastSequence, f.State, f.ReadUpTo)
	}
	return w.Flush()
}

func dumpStore(_ context.Context, c *cli.Command) error {
	s, _, err := openReadOnly(c)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	s.Range(c.String("from"), c.String("to"), func(k string, v []byte) bool {
		_, err = fmt.Fprintf(c.Root().Writer, "%q %q\n", k, v)
		return err == nil
	})
	return err
}

func repairStore(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("store repair: the store's DIR and a NEW folder are required")
	}
	kept, lost, err := store.Repair(store.Dir(c.Args().Get(0)), store.Dir(c.Args().Get(1)))
	for _, l := range lost {
		fmt.Fprintf(c.Root().Writer, "left out: %s, bytes %d to %d: %s\n", l.Name, l.From, l.To, l.Reason)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%d records are in %s; what was left out may have been newer\n", kept, c.Args().Get(1))
	return nil
}

// maxFillBytes bounds the bytes that each measured store is filled with; they are written several times.
const maxFillBytes = 16e9

// parseSizes parses a comma-separated list of sizes such as 1KB, 1MB or 1GB. 1KB is 1000 bytes, 1KiB is 1024; a number alone counts bytes.
func parseSizes(text string) (out []int64, err error) {
	for _, x := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		n, err := humanize.ParseBytes(x)
		if err != nil || n < 1 || n > maxFillBytes {
			return nil, fmt.Errorf("--sizes: %q is not a size from 1 byte to 16GB, written like 1000, 1KB, 1MB or 1GB", x)
		}
		out = append(out, int64(n))
	}
	return out, nil
}

func measureStore(ctx context.Context, c *cli.Command) error {
	if s, step := c.Float("seconds"), c.Int("step"); !(s > 0 && s <= 600) || step < 0 {
		return errors.New("store measure: --seconds must be above 0 and at most 600, and --step at least 0")
	}
	sizes, err := parseSizes(c.String("sizes"))
	if err != nil {
		return err
	}
	kit, err := os.Executable()
	if err != nil {
		return err
	}
	rows, err := storebench.Measure(ctx, c.String("out"), c.Float("seconds"))
	if err != nil {
		return err
	}
	var damage []storebench.Damage
	if step := c.Int("step"); step > 0 {
		damage, err = storebench.MeasureDamage(ctx, kit, c.String("out"), step, func(done, all int) { fmt.Fprintf(os.Stderr, "\r%d of %d bytes ", done, all) })
		fmt.Fprint(os.Stderr, "\r\033[K")
		if err != nil {
			return err
		}
	}
	scaled, err := storebench.Scale(ctx, kit, c.String("out"), sizes, false)
	if err != nil {
		return err
	}
	rewritten, err := storebench.Scale(ctx, kit, c.String("out"), sizes, true)
	if err != nil {
		return err
	}
	scaled = append(scaled, rewritten...)
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, map[string]any{"commits": rows, "damage": damage, "scaled": scaled})
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tcommits/s\tp50 ms\tp99 ms\t64 at once/s\tp99 ms\trecords\tMB\topens in ms")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.0f\t%.3f\t%.3f\t%.0f\t%.3f\t%d\t%.1f\t%.1f\n", r.Name, r.Alone, r.AloneP50, r.AloneP99, r.Together, r.TogetherP99, r.Records, float64(r.Bytes)/1e6, r.OpenMs)
	}
	if len(damage) > 0 {
		fmt.Fprintln(w, "\ndamaged\ttried\tall there\ta prefix\trefused\tsomething else\tprocess died\tfirst of these")
	}
	for _, d := range damage {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", d.Name, d.Tried, d.Same, d.Prefix, d.Refused, d.Wrong, d.Died, d.First)
	}
	if len(scaled) > 0 {
		fmt.Fprintln(w, "\nfilled\tMB\tkeys\tbytes written for each\tMB on disk\tMB/s\topens in ms\tpeak MB")
	}
	for _, r := range scaled {
		keys := r.Records
		if r.Rewrite {
			keys = min(keys, 1000)
		}
		fmt.Fprintf(w, "%s\t%.3f\t%d\t%.2f\t%.3f\t%.1f\t%.1f\t%.1f\n", r.Name, float64(r.Payload)/1e6, keys, r.Written, float64(r.Bytes)/1e6, float64(r.Payload)/1000/r.FillMs, r.OpenMs, r.PeakMB)
	}
	return w.Flush()
}
