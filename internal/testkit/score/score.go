// Package score measures service from the clients' side only: the worth that was answered in time over the worth that was asked
// for, and violations of the rules that clients can observe. It uses nothing that poolers recorded.
package score

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/serviceratio"
)

const (
	maxBreaches      = 200 // violations that are listed; more are counted only
	clockToleranceMs = 50  // precision of a client's clock on a busy machine
	maxOverdueMs     = 500 // an answer up to this long after its client gave up merely has no worth; a later one breaks the rule "in time"
)

// Weights of Score.Goal.
const (
	ratioWeight       = 0.45 // of the ratio of all classes over the whole run
	worstWindowWeight = 0.35 // of the worst ten seconds
	worstClassWeight  = 0.2  // of the worst class
)

// Score sums up the service that clients received.
type Score struct {
	Seed       uint64   `json:"seed"`
	Total      Class    `json:"total"`
	Classes    []Class  `json:"classes"`
	Tenants    []Class  `json:"tenants,omitempty"` // requests within their shares only
	Ratio      float64  `json:"ratio"`
	Worst      float64  `json:"worst_10s"`
	WorstAt    float64  `json:"worst_10s_at_ms"`
	WorstClass string   `json:"worst_class"`
	Goal       float64  `json:"goal"` // weighted sum of Ratio, Worst and the ratio of the worst class
	Breaches   []Breach `json:"breaches"`
	Broken     int      `json:"breaches_total"`
}

// Class counts the requests of a class, or of a tenant, by their results. Asked counts requests without their client's retries,
// Tries counts them with the retries.
type Class struct {
	Name        string  `json:"name"`
	Asked       uint64  `json:"asked"`
	Tries       uint64  `json:"tries"`
	Served      uint64  `json:"served"`
	Refused     uint64  `json:"refused"`
	Failed      uint64  `json:"failed"`
	Unanswered  uint64  `json:"no_answer"`
	Broken      uint64  `json:"broken"`
	Unmade      uint64  `json:"unmade"`
	InTime      uint64  `json:"in_time"`
	Late        uint64  `json:"late"`
	WorthAsked  float64 `json:"worth_asked"`
	WorthInTime float64 `json:"worth_in_time"`
	WorthGot    float64 `json:"worth_got"`
	Ratio       float64 `json:"ratio"`
}

// Breach is a violation of a rule, with the request in which it was observed.
type Breach struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at_ms"`
	ID   string  `json:"id"`
	Text string  `json:"text"`
}

// Scorer scores attempts as they end. It is a clients.Sink, and not safe for concurrent use.
type Scorer struct {
	score           Score
	index           map[string]int
	window          serviceratio.Window
	overShareWeight float64 // factor on the worth of requests beyond their tenant's share
}

// Tenants makes the scorer also count each tenant's requests within its share. The worth of requests beyond a share is multiplied
// by over.
func (scorer *Scorer) Tenants(tenants []clients.Tenant, over float64) {
	scorer.overShareWeight = over
	for _, t := range tenants {
		scorer.score.Tenants = append(scorer.score.Tenants, Class{Name: t.Name})
	}
}

// countedIn returns the counts that include a request: its class, and its tenant where the request is within the tenant's share.
func (scorer *Scorer) countedIn(t *clients.Attempt) []*Class {
	b := []*Class{&scorer.score.Classes[scorer.index[t.Class.Name]]}
	if n := t.Request.Tenant; n >= 0 && n < len(scorer.score.Tenants) && !t.Request.OverShare {
		b = append(b, &scorer.score.Tenants[n])
	}
	return b
}

// New returns a scorer of the given classes.
func New(seed uint64, classes []clients.Class) *Scorer {
	scorer := &Scorer{score: Score{Seed: seed}, index: map[string]int{}}
	for _, c := range classes {
		scorer.index[c.Name] = len(scorer.score.Classes)
		scorer.score.Classes = append(scorer.score.Classes, Class{Name: c.Name})
	}
	return scorer
}

// AttemptEnded implements clients.Sink.
func (scorer *Scorer) AttemptEnded(t *clients.Attempt) {
	worth := t.Request.Worth(t.Class, scorer.overShareWeight)
	if t.No == 0 {
		scorer.window.Add(t.First, worth, 0)
	}
	for _, c := range scorer.countedIn(t) {
		c.attemptEnded(t, worth)
	}
	switch t.Kind {
	case clients.Served:
		scorer.served(t, worth)
	case clients.Unanswered:
		scorer.breach("one final answer", t, "no answer came")
	}
	if t.Extra {
		scorer.breach("one final answer", t, "more came behind the answer")
	}
	over, limit := t.Ended-t.Sent-t.Request.Patience, float64(clockToleranceMs)
	if t.AnsweredAt > t.Ended {
		over, limit = t.AnsweredAt-t.Sent-t.Request.Patience, maxOverdueMs
	}
	if t.Late && !t.PoolerStalled && over > limit {
		scorer.breach("in time", t, fmt.Sprintf("the answer came %.0f ms after its client had given up", over))
	}
}

// attemptEnded counts an attempt by its result.
func (c *Class) attemptEnded(t *clients.Attempt, worth float64) {
	c.Tries++
	if t.No == 0 {
		c.Asked++
		c.WorthAsked += worth
	}
	switch t.Kind {
	case clients.Served:
		c.Served++
	case clients.Refused:
		c.Refused++
	case clients.Failed:
		c.Failed++
	case clients.Unanswered:
		c.Unanswered++
	case clients.Broken:
		c.Broken++
	default:
		c.Unmade++
	}
}

// served counts a served answer. A stale value, or one that was not made for the request, breaks a rule and has no worth.
func (scorer *Scorer) served(t *clients.Attempt, worth float64) {
	if t.Stale {
		scorer.breach("no stale read", t, "the value is older than its class allows")
		return // a stale answer has no worth
	}
	if t.Foreign {
		scorer.breach("no invented value", t, "the value was not made for this request")
		return
	}
	got, late := worth, t.Ended-t.First > t.Class.Aim
	if late {
		got *= t.Class.LateWorth
	}
	for _, c := range scorer.countedIn(t) {
		if late {
			c.Late++
		} else {
			c.InTime++
			c.WorthInTime += got
		}
		c.WorthGot += got
	}
	scorer.window.Add(t.First, 0, got)
}

// breach counts a violation that a client observed.
func (scorer *Scorer) breach(rule string, t *clients.Attempt, text string) {
	scorer.score.Broken++
	if len(scorer.score.Breaches) < maxBreaches {
		scorer.score.Breaches = append(scorer.score.Breaches, Breach{Rule: rule, At: t.Ended, ID: t.ID, Text: t.Class.Name + ": " + text})
	}
}

// Add counts a violation that was observed elsewhere than by a client. These are listed without a bound.
func (scorer *Scorer) Add(b Breach) {
	scorer.score.Broken++
	scorer.score.Breaches = append(scorer.score.Breaches, b)
}

// Score returns the score so far. The scorer may take further attempts afterwards.
func (scorer *Scorer) Score() *Score {
	s := scorer.score
	s.Classes, s.Tenants, s.Breaches = slices.Clone(scorer.score.Classes), slices.Clone(scorer.score.Tenants), slices.Clone(scorer.score.Breaches)
	for i := range s.Tenants {
		if c := &s.Tenants[i]; c.WorthAsked > 0 {
			c.Ratio = c.WorthGot / c.WorthAsked
		}
	}
	s.Total = Class{Name: "all"}
	worstClassRatio := 1.0
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Ratio = 1
		if c.WorthAsked > 0 {
			c.Ratio = c.WorthGot / c.WorthAsked
		}
		if c.Ratio < worstClassRatio || s.WorstClass == "" {
			worstClassRatio, s.WorstClass = c.Ratio, c.Name
		}
		t := &s.Total
		t.Asked, t.Tries, t.Served, t.Refused, t.Failed = t.Asked+c.Asked, t.Tries+c.Tries, t.Served+c.Served, t.Refused+c.Refused, t.Failed+c.Failed
		t.Unanswered, t.Broken, t.Unmade, t.InTime, t.Late = t.Unanswered+c.Unanswered, t.Broken+c.Broken, t.Unmade+c.Unmade, t.InTime+c.InTime, t.Late+c.Late
		t.WorthAsked, t.WorthInTime, t.WorthGot = t.WorthAsked+c.WorthAsked, t.WorthInTime+c.WorthInTime, t.WorthGot+c.WorthGot
	}
	s.Total.Ratio = 1
	if s.Total.WorthAsked > 0 {
		s.Total.Ratio = s.Total.WorthGot / s.Total.WorthAsked
	}
	s.Ratio = s.Total.Ratio
	s.Worst, s.WorstAt = scorer.window.Worst()
	s.Goal = ratioWeight*s.Ratio + worstWindowWeight*s.Worst + worstClassWeight*worstClassRatio
	slices.SortStableFunc(s.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return &s
}
