package rehearse

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"beechgrade/internal/testkit/checker"
)

// invariantSettings is the setting that makes each daemon check the invariants of its own state.
const invariantSettings = "(invariants)\n"

var (
	invariantBrokenLine = regexp.MustCompile(`msg="invariant broken".*? name="(.*?[^\\])" state=(.*)`)
	invariantCountsLine = regexp.MustCompile(`msg=(?:"invariant checks at shutdown"|invariants) .*?made=(\d+) broken=(\d+)`) // "invariants" in older logs
)

// invariants adds the results of the invariant checks in the daemons' logs to a verdict.
func (r *Run) invariants(v *checker.Verdict) error {
	for _, p := range r.poolers {
		if err := p.invariants(v, r.clk.Now()); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func (p *pooler) invariants(v *checker.Verdict, at float64) error {
	f, err := os.Open(p.file("log.txt"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if m := invariantBrokenLine.FindStringSubmatch(lines.Text()); m != nil {
			v.Broken[checker.Invariant]++
			v.Breaches = append(v.Breaches, checker.Breach{
				Rule:   checker.Invariant,
				At:     at,
				Server: -1,
				Text:   p.name + ": " + m[1] + ": " + m[2],
			})
		}
		if m := invariantCountsLine.FindStringSubmatch(lines.Text()); m != nil {
			n, _ := strconv.ParseUint(m[1], 10, 64) // the expression admits only digits
			v.Checked[checker.Invariant] += n
		}
	}
	return lines.Err()
}
