package rehearse

import (
	"bufio"
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
	"beechgrade/internal/testkit/score"
)

// maxAttempts bounds the lines of the clients' log.
const maxAttempts = 1 << 22

// Match is a comparison of the poolers' records with the clients' log.
type Match struct {
	Attempts  int          `json:"tries"`
	Equal     int          `json:"equal"`      // attempts whose outcome is the same in both
	Unknown   int          `json:"unknown"`    // attempts whose outcome the records leave unknown
	InMissing int          `json:"dark"`       // attempts during a time for which the pooler's records are missing
	Untaken   int          `json:"untaken"`    // attempts that no pooler received and whose clients got no answer
	Differ    []Difference `json:"differ"`     // attempts with different outcomes, unexplained
	Totals    []Difference `json:"totals"`     // counts and worth of a class that differ
	Worth     []WorthLine  `json:"worth"`      // by class
	WorthDiff float64      `json:"worth_diff"` // largest difference, beyond Border and Unseen
}

// Difference is something that the records and the clients report differently.
type Difference struct {
	What    string `json:"what"`
	Records string `json:"records"`
	Clients string `json:"clients"`
}

// WorthLine is the worth of a class by the records and by the clients. Border is the worth of answers within 50 ms of their latency
// objective, which the two may count differently.
type WorthLine struct {
	Class   string  `json:"class"`
	Asked   float64 `json:"asked"`
	Records float64 `json:"records"`
	Clients float64 `json:"clients"`
	Border  float64 `json:"border"`
	Unseen  float64 `json:"unseen"` // worth of requests that the records cannot contain, or whose outcome they cannot know
}

// OK reports whether there are no differences.
func (m *Match) OK() bool { return len(m.Differ) == 0 && len(m.Totals) == 0 }

// finals collects from records how each request ended, by the hash of its client's id.
type finals struct {
	*incident.Model
	ids     map[string]map[uint64]uint64 // by run: request number to hash
	kind    map[uint64]clients.Kind
	missing []missingSpan
	last    map[string]float64

	pauses []Pause
}

// pausedDuring reports whether the pooler's process was paused during an attempt: the pooler measures its time from the end of the
// pause.
func (f *finals) pausedDuring(t *AttemptLine) bool {
	return slices.ContainsFunc(f.pauses, func(s Pause) bool { return s.Pooler == t.Pooler && t.Sent <= s.To && t.Ended >= s.From })
}

// missingSpan is a time in which a pooler's records are missing.
type missingSpan struct {
	pooler   string
	from, to float64
}

// Event implements records.Sink.
func (f *finals) Event(r *records.Run, e *record.Event) {
	f.Model.Event(r, e)
	key := fmt.Sprint(r.Index)
	f.last[r.Pooler] = e.At
	switch e.Kind {
	case recordpb.Kind_KIND_REQUEST:
		if f.ids[key] == nil {
			f.ids[key] = map[uint64]uint64{}
		}
		f.ids[key][e.Request] = e.ID
		f.kind[e.ID] = ""
	case recordpb.Kind_KIND_ANSWER:
		id, ok := f.ids[key][e.Request]
		if !ok {
			return
		}
		f.kind[id] = map[recordpb.Final]clients.Kind{
			recordpb.Final_FINAL_SERVED:  clients.Served,
			recordpb.Final_FINAL_REFUSED: clients.Refused,
			recordpb.Final_FINAL_FAILED:  clients.Failed,
			recordpb.Final_FINAL_GONE:    "gone",
		}[e.Final]
	case recordpb.Kind_KIND_LOST:
		f.missing = append(f.missing, missingSpan{r.Pooler, e.LostFrom, e.LostTo})
	}
}

// Fault implements records.Sink.
func (f *finals) Fault(x records.Fault) {
	f.Model.Fault(x)
	to := x.To
	if to == 0 {
		to = math.Inf(1)
	}
	f.missing = append(f.missing, missingSpan{x.Pooler, x.From, to})
}

// Compare compares the records in a rehearsal's folder with its clients' log and score.
func Compare(dir string) (*Match, *incident.View, *Result, error) {
	res, err := ReadResult(dir)
	if err != nil {
		return nil, nil, nil, err
	}
	set, err := records.Open(false, filepath.Join(dir, RecordsDir))
	if err != nil {
		return nil, nil, nil, err
	}
	f := &finals{
		Model:  incident.New(),
		ids:    map[string]map[uint64]uint64{},
		kind:   map[uint64]clients.Kind{},
		last:   map[string]float64{},
		pauses: res.Pauses,
	}
	if err := set.Read(f); err != nil {
		return nil, nil, nil, err
	}
	f.Finish()
	view := f.View()
	m := &Match{}
	unseen, err := f.matchAttempts(filepath.Join(dir, AttemptsFile), m)
	if err != nil {
		return nil, nil, nil, err
	}
	m.totals(view, res.Score, unseen)
	return m, view, res, nil
}

// ReadResult reads the result of a rehearsal.
func ReadResult(dir string) (*Result, error) {
	path := filepath.Join(dir, ResultFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	res := &Result{}
	if err := jsoniter.Unmarshal(b, res); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if res.Score == nil {
		return nil, fmt.Errorf("%s: no score in it", path)
	}
	return res, nil
}

// className returns the name by which clients know a class: the ClickHouse frontend has two classes of each name, one for reads
// and one for writes, of which its clients use one.
func className(recorded string) string {
	name, isClickHouse := strings.CutPrefix(recorded, "clickhouse-")
	if !isClickHouse {
		return recorded
	}
	return strings.TrimSuffix(strings.TrimSuffix(name, "-reads"), "-writes")
}

// unseenClass counts what the records of a class cannot contain.
type unseenClass struct {
	served, refused, failed uint64
	asks                    uint64 // requests that the records may contain only in part
}

// matchAttempts compares the clients' log with the records, attempt by attempt.
func (f *finals) matchAttempts(path string, m *Match) (map[string]*unseenClass, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	unseen := map[string]*unseenClass{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if m.Attempts++; m.Attempts > maxAttempts {
			return nil, fmt.Errorf("%s: more than %d tries", path, maxAttempts)
		}
		var t AttemptLine
		if err := jsoniter.Unmarshal(lines.Bytes(), &t); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, m.Attempts, err)
		}
		u := unseen[t.Class]
		if u == nil {
			u = &unseenClass{}
			unseen[t.Class] = u
		}
		f.matchAttempt(&t, u, m)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return unseen, nil
}

// matchAttempt compares one attempt.
func (f *finals) matchAttempt(t *AttemptLine, u *unseenClass, m *Match) {
	kind, known := f.kind[xxhash.Sum64String(t.ID)]
	addUnseen := func(n *int) {
		*n++
		u.asks++
		switch t.Kind {
		case clients.Served:
			u.served++
		case clients.Refused:
			u.refused++
		case clients.Failed:
			u.failed++
		}
	}
	unanswered := t.Kind == clients.Broken || t.Kind == clients.Unanswered || t.Kind == clients.NotConnected
	switch {
	case known && kind == t.Kind, known && kind == "gone" && unanswered:
		if m.Equal++; f.pausedDuring(t) {
			u.asks++
		}
	case !known && unanswered && !f.inMissingSpan(t):
		m.Untaken++
		u.asks++
	case known && kind == "":
		addUnseen(&m.Unknown)
	case f.inMissingSpan(t):
		addUnseen(&m.InMissing)
	default:
		if !known {
			kind = "not there"
		}
		m.Differ = append(m.Differ, Difference{
			What:    fmt.Sprintf("%s try %d, id %s, %s, sent at %.0f", t.Class, t.Number, t.ID, t.Pooler, t.Sent),
			Records: string(kind),
			Clients: string(t.Kind),
		})
	}
}

// inMissingSpan reports whether the pooler's records are missing during an attempt.
func (f *finals) inMissingSpan(t *AttemptLine) bool {
	return slices.ContainsFunc(f.missing, func(d missingSpan) bool {
		return d.pooler == t.Pooler && t.Sent <= d.to && t.Ended >= d.from
	})
}

// totals compares the classes' counts and worth, which must be equal except for what the records cannot contain.
func (m *Match) totals(v *incident.View, s *score.Score, unseen map[string]*unseenClass) {
	for _, c := range s.Classes {
		x, unseenRetries := incident.ClassView{Name: c.Name}, 0.0
		for i := range v.Classes {
			if o := &v.Classes[i]; className(o.Name) == c.Name {
				if o.Name != c.Name && o.Asked > 0 { // the ClickHouse interface does not show that a query is a retry
					unseenRetries = float64(c.Tries - c.Asked)
				}
				x.Served, x.Refused, x.Failed = x.Served+o.Served, x.Refused+o.Refused, x.Failed+o.Failed
				x.WorthAsked, x.WorthGot, x.WorthBorder = x.WorthAsked+o.WorthAsked, x.WorthGot+o.WorthGot, x.WorthBorder+o.WorthBorder
			}
		}
		u := cmp.Or(unseen[c.Name], &unseenClass{})
		compareCount := func(what string, records, clients, missing uint64) {
			if records+missing != clients {
				m.Totals = append(m.Totals, Difference{c.Name + ": " + what, fmt.Sprint(records), fmt.Sprintf("%d, of which %d can't be known", clients, missing)})
			}
		}
		compareCount("served", x.Served, c.Served, u.served)
		compareCount("refused", x.Refused, c.Refused, u.refused)
		compareCount("failed", x.Failed, c.Failed, u.failed)
		worth := 0.0
		if c.Asked > 0 {
			worth = c.WorthAsked / float64(c.Asked)
		}
		w := WorthLine{
			Class:   c.Name,
			Asked:   c.WorthAsked,
			Records: x.WorthGot,
			Clients: c.WorthGot,
			Border:  x.WorthBorder,
			Unseen:  worth * (float64(u.asks) + unseenRetries),
		}
		m.Worth = append(m.Worth, w)
		excess := math.Abs(w.Records-w.Clients) - w.Border - w.Unseen
		m.WorthDiff = max(m.WorthDiff, excess)
		if excess > 1e-6 {
			m.Totals = append(m.Totals, Difference{c.Name + ": worth got", fmt.Sprintf("%.3f", w.Records), fmt.Sprintf("%.3f; %.3f lie at the border of an aim", w.Clients, w.Border)})
		}
		if excess := math.Abs(x.WorthAsked-c.WorthAsked) - w.Unseen; excess > 1e-6 {
			m.Totals = append(m.Totals, Difference{c.Name + ": worth asked", fmt.Sprintf("%.3f", x.WorthAsked), fmt.Sprintf("%.3f", c.WorthAsked)})
		}
	}
}
