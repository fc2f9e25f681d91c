package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// formArguments has, for each form that the parser accepts, the arguments that the test draws from.
var formArguments = map[string][]string{
	"seconds":      {"30", "44.5"},
	"poolers":      {"5", "7"},
	"groups":       {"3 2 4", "3 3 3"},
	"groups-of":    {"6 3"},
	"way":          {"0.1ms 2ms"},
	"handshake":    {"1ms 3ms"},
	"probe-cost":   {"3ms"},
	"probe-price":  {"0.02"},
	"clickhouse":   {"yes"},
	"consul":       {"3"},
	"forgets":      {"2s"},
	"idle":         {"4s"},
	"descriptors":  {"300"},
	"crowds":       {"2"},
	"connections":  {"90"},
	"rate":         {"77.5"},
	"sessions":     {"44"},
	"follows":      {"0.3"},
	"follow":       {"40ms"},
	"roams":        {"0.4"},
	"retries":      {"4"},
	"retry":        {"10ms 70ms"},
	"class":        {`"quadro-obra" (aim 700ms) (work 3ms 9ms)`, `"registrar-ponto" (keyed 3s) (late 0.25)`},
	"tenant":       {`"a" (share 0.5)`, `"b" (share 0.25) (usage 4)`},
	"allowance":    {"55"},
	"over":         {"0.5"},
	"peers":        {"", "(probe 300ms) (seeds 1)"},
	"fleet-limits": {`(lease 6s) (limit "l" (of tenant "a") (rate 100) (burst 10))`},
	"overload":     {"", "(shed yes) (probes (each 30ms)) (repeats)"},
	"agreed":       {"(voters 3) (tick 60ms)", "(voters 5)"},
	"credit":       {`(price "quadro-obra" (request 10)) (payment "a" 1 900)`},
	"pages":        {`(class "conferir-ponto") (rows 9)`, `(class "conferir-ponto") (tenant "a") (desc yes)`},
	"on-sockets":   {"(poolers 2) (rate 9)"},
	"verdicts":     {"", "(testers 3) (places no)"},
	"back-in":      {"5s"},
	"skew":         {"0.5"},
	"swing":        {"2s"},
	"pushed":       {"yes"},
	"sites":        {`"x" "y" "z"`},
	"cross":        {"5ms 6ms"},
	"regions":      {"2 1"},
	"far":          {"40ms 50ms"},
	"near":         {"yes"},
	"cross-price":  {"0.125"},
	"cores":        {"2"},
	"queue":        {"70"},
	"tail":         {"yes"},
	"ship":         {"1ms 9ms"},
	"apply":        {"7ms"},
	"detect":       {"100ms 300ms"},
	"elect":        {"110ms 300ms"},
	"switch":       {"120ms 300ms"},
	"list":         {"130ms 300ms"},
	"roles":        {"140ms 300ms"},
	"cold":         {"8s"},
	"cold-by":      {"0.25"},
	"falls":        {"1.5"},
	"falls-in":     {"900ms"},
	"pack":         {"yes"},
	"record-queue": {"128"},
	"at": {`1s (die primary 0)`, `1500ms (load 2) (for 3s)`, `1s (lag replica 1 6.5) (for 1s) (every 9s)`, `2s (list-late 1250.5ms) (for 1s)`, `2s (list-gone) (for 1s)`, `3s (agent 0 frozen)`,
		`3s (links 0 (1 2) cut (lose 0.25)) (for 2s)`, `3s (between (part 0 0.4) (part 0.4 1) (slow 20ms) (duplicate 0.1) (reorder 0.2)) (for 1s)`, `3s (links (owner "l") all cut) (for 1s)`,
		`4s (route "x" ("y" "z") cut) (for 1s)`, `4s (routes ("x" "z") "y" (slow 9ms)) (for 1s)`, `4s (power "y") (for 1s)`, `4s (crowd site "x" 0.5) (for 1s)`, `5s (limit "l" 50)`, `5s (limit "l" 60 0 2)`,
		`5s (pay "a" 2 700)`, `5s (pay "a" 3 800 1 2)`, `6s (kill-pooler 1) (for 1s)`, `6s (stall-pooler owner "l") (for 1s)`, `6s (restart-pooler 2)`, `6s (restart member 0 1)`, `7s (cut x everyone) (for 1s)`,
		`7s (cut prober member 1 0) (for 1s)`, `7s (thin (0 2) half-primaries 0.5) (for 1s)`, `7s (list-held all) (for 1s)`, `8s (hang primaries) (for 1s)`, `8s (disk replica 0 3) (for 1s)`,
		`8s (wrong-roles) (for 1s)`, `8s (deregister-all) (for 1s)`, `8s (reissue member 0 0)`, `8s (fail-check member 0 0) (for 1s)`, `9s (list-silent)`, `9s (lose everyone 0.5) (for 1s)`},
	"journal": {"before (disk 5ms 20ms)", "alongside", "off"},
	"chaos":   {"4 2s 9s", "9 2s 9s lossy slow parted apart unheard list-late lag", "5 1s 9s cut thin list-held restart"},
}

// comparableFields returns the fields of a script without positions in the source, and with selectors of poolers replaced by the poolers.
func comparableFields(s *Script) map[string]any {
	c := s.Clone()
	out := map[string]any{}
	for _, n := range c.preservedForms() {
		out["form "+n.Head()] = textOf(n)
	}
	var socketForms []string
	for _, n := range c.socketForms {
		socketForms = append(socketForms, textOf(n))
	}
	out["on-sockets"] = socketForms
	c.source, c.socketForms, c.Overload, c.Credit, c.Pages, c.Limits, c.OutlierDetection, c.RaftLog = nil, nil, nil, nil, nil, nil, nil, nil // compared by the text of their forms
	c.Faults = slices.DeleteFunc(c.Faults, func(f Fault) bool {
		return f.OnPoolerLinks() && f.Owner == "" && (len(f.Ends[0]) == 0 || len(f.Ends[1]) == 0)
	})
	for i := range c.Faults {
		f := &c.Faults[i]
		f.Pos.Line, f.Pos.Col, f.Pos.File = 0, 0, ""
		f.Selector, f.From, f.To = poolerSelector{}, poolerSelector{}, poolerSelector{}
		if f.OnPoolerLinks() || !slices.Contains([]string{"crowd", "lag", "lose", "disk", "thin", "list-late", "load", "limit", "pay"}, f.Kind) {
			f.Value = 0 // drawn, but without effect for this kind
		}
	}
	out["all"] = *c
	return out
}

// checkRoundTrip writes a script, reads it again and compares the two.
func checkRoundTrip(t rapid.TB, s *Script) {
	text := s.Text()
	again, err := Parse("again", []byte(text))
	if err != nil {
		t.Fatalf("reading the written scenario again: %v\n%s", err, text)
	}
	if a, b := comparableFields(s), comparableFields(again); !reflect.DeepEqual(a, b) {
		t.Fatalf("the scenario\n%+v\nbecame\n%+v\nafter it was written as\n%s", a, b, text)
	}
}

// TestTextRoundTripsEveryForm checks that a scenario of any forms, and the faults drawn from it, are the same after being written and read again.
func TestTextRoundTripsEveryForm(t *testing.T) {
	s, _ := Parse("s", []byte(`(rehearsal "x")`))
	var all []string
	for w := range s.schema() {
		if len(formArguments[w]) == 0 {
			t.Errorf("no arguments of (%s ...) to draw from", w)
		}
		all = append(all, w)
	}
	slices.Sort(all)
	many := append(slices.Clone(all), slices.Repeat([]string{"at"}, 40)...)
	read := map[string]int{}
	deterministic.Check(t, func(t *rapid.T) {
		text := `(rehearsal "x \"y\" \\"`
		var accepted []string
		add := func(head, value string) {
			if try := strings.TrimRight(text, " ") + " (" + head + " " + value + ")"; head != "" {
				if _, err := Parse("s", []byte(try+")")); err == nil { // a form that conflicts with an earlier one is left out
					text, accepted = try, append(accepted, head)
				}
			}
		}
		for _, base := range []string{"seconds", "poolers", "peers", "tenant", "sites", "fleet-limits", "overload", "agreed", "credit", "consul", "regions"} {
			if rapid.Float64().Draw(t, base) < 0.7 {
				add(base, rapid.SampledFrom(formArguments[base]).Draw(t, base))
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "words") {
			w := rapid.SampledFrom(many).Draw(t, "word")
			add(w, rapid.SampledFrom(formArguments[w]).Draw(t, "value"))
		}
		s, err := Parse("s", []byte(text+")"))
		if err != nil {
			t.Fatalf("parsing the scenario of accepted forms, %s): %v", text, err)
		}
		checkRoundTrip(t, s)
		if d, err := s.Draw(uint64(rapid.IntRange(0, 99).Draw(t, "seed"))); err == nil { // drawn faults of links to servers are refused with Consul
			s = d
			checkRoundTrip(t, s)
		}
		for _, w := range accepted {
			read[w]++
		}
		for _, f := range s.Faults {
			read["(at "+f.Kind+")"]++
		}
	})
	for _, w := range all {
		if read[w] == 0 {
			t.Errorf("(%s ...) was never written", w)
		}
	}
	for w := range faultReaders {
		if read["(at "+w+")"] == 0 && w != "power" { // (power ...) is written as the faults that it expands to
			t.Errorf("(at %s) was never written", w)
		}
	}
}

// TestTextOfExamples checks that each example scenario is the same after being written and read again, with its drawn faults too.
func TestTextOfExamples(t *testing.T) {
	paths, _ := filepath.Glob("../../../example/rehearsals/*.sexp")
	if len(paths) < 20 {
		t.Fatalf("%d example scenarios found, want at least 20: %v", len(paths), paths)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatalf("reading the example: %v", err)
		}
		s, err := Parse(path, b)
		if err != nil {
			t.Fatalf("parsing the example: %v", err)
		}
		t.Run(fmt.Sprint(filepath.Base(path)), func(t *testing.T) {
			checkRoundTrip(t, s)
			for seed := range uint64(5) {
				d, err := s.Draw(seed)
				if err != nil {
					t.Fatalf("drawing the faults with seed %d: %v", seed, err)
				}
				checkRoundTrip(t, d)
			}
		})
	}
}
