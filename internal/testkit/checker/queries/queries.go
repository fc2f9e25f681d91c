// Package queries compares what clients of the ClickHouse interface observed with what the servers observed. It knows nothing of a
// pooler's own state.
package queries

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Rule is the text of a rule. The texts are part of the kit's output.
type Rule string

// The rules.
const (
	OneAnswer         Rule = "exactly one final answer, or a broken one that can be told from a whole"
	NotTwice          Rule = "no write sent again that may have run"
	RejectedUntouched Rule = "nothing refused as harmless that came to a server"
	DrainsKept        Rule = "nothing new to a server after the grace of its drain"
	NotStale          Rule = "no read staler than its class allows"
	NoInvented        Rule = "no answer that no server made for the query"
	OneServer         Rule = "no session at two servers"
)

// ClientQuery is a query as its client saw it. Times are in milliseconds, on the same clock as the servers'.
type ClientQuery struct {
	ID              string
	Writes          bool
	Session         string
	MaxStalenessS   float64 // maximum age of its data in seconds, 0 for any
	BodyHash        uint64  // hash of the request's body
	Echo            bool    // the answer consists of the server's name, the query's ID and the hash of the body
	Answers         int     // complete answers
	ExtraBytes      int     // bytes beyond the answer
	ConnectionBroke bool    // its connection ended before the end of an answer
	Status          int
	Code            string // code of ClickHouse's exception
	FromPooler      bool   // the pooler itself answered
	Body            string
	BodySent        bool // the request's body was sent completely
}

// Run is a query as a server saw it.
type Run struct {
	Server  string
	ID      string
	Session string
	At      float64
	LagS    float64
	Sum     uint64 // hash of the body that the server received
	Whole   bool   // the body arrived completely
}

// Drain has the times when a pooler was notified of the start and end of a server's draining (To is 0 for no end).
type Drain struct {
	Server   string
	From, To float64
}

// Config has the limits of the rules.
type Config struct {
	GraceMs float64
	SlackMs float64 // by which clocks may differ
	RoundS  float64 // by which servers round their lag
}

// Breach is one breach of a rule, with the runs that prove it.
type Breach struct {
	Rule  Rule   `json:"rule"`
	ID    string `json:"id"`
	Text  string `json:"text"`
	Proof []Run  `json:"proof,omitempty"`
}

// Verdict has the breaches and the number of checks of each rule.
type Verdict struct {
	Breaches []Breach     `json:"breaches"`
	Checked  map[Rule]int `json:"checked"` // number of checks of each rule
}

// Check compares the clients' queries with the servers' runs.
func Check(cfg Config, queries []ClientQuery, runs []Run, drains []Drain) *Verdict {
	v := &Verdict{Checked: map[Rule]int{}}
	byID := map[string][]Run{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
		v.checkDrain(cfg, r, drains)
	}
	for i := range queries {
		v.checkQuery(cfg, &queries[i], byID[queries[i].ID])
	}
	v.checkSessions(queries, byID)
	return v
}

func (v *Verdict) breach(rule Rule, id string, proof []Run, format string, args ...any) {
	v.Breaches = append(v.Breaches, Breach{rule, id, fmt.Sprintf(format, args...), slices.Clone(proof)})
}

func (v *Verdict) checkDrain(cfg Config, r Run, drains []Drain) {
	for _, d := range drains {
		if d.Server != r.Server {
			continue
		}
		v.Checked[DrainsKept]++
		if late := r.At - d.From - cfg.GraceMs - cfg.SlackMs; late > 0 && (d.To == 0 || r.At < d.To) {
			v.breach(DrainsKept, r.ID, []Run{r}, "it came %.0f ms after the grace of %s's drain", late, r.Server)
		}
	}
}

func (v *Verdict) checkQuery(cfg Config, query *ClientQuery, runs []Run) {
	v.Checked[OneAnswer]++
	switch answers := query.Answers; {
	case query.ConnectionBroke && answers > 0, answers > 1, query.ExtraBytes > 0:
		v.breach(OneAnswer, query.ID, runs, "%d answers, broken off: %v, %d bytes behind them", answers, query.ConnectionBroke, query.ExtraBytes)
	case !query.ConnectionBroke && answers == 0:
		v.breach(OneAnswer, query.ID, runs, "no answer, and its connection stands")
	}
	if query.Writes {
		if v.Checked[NotTwice]++; len(runs) > 1 {
			v.breach(NotTwice, query.ID, runs, "it came to servers %d times", len(runs))
		}
	}
	if query.Answers == 1 && query.Status == 503 && query.FromPooler && query.Writes {
		if v.Checked[RejectedUntouched]++; len(runs) > 0 {
			v.breach(RejectedUntouched, query.ID, runs, "refused with %s, and it came to a server", query.Code)
		}
	}
	if query.Answers == 1 && query.Status == 200 && query.Echo {
		v.checkServed(query, runs)
	}
	if query.MaxStalenessS > 0 {
		for _, r := range runs {
			if v.Checked[NotStale]++; r.LagS > query.MaxStalenessS+cfg.RoundS {
				v.breach(NotStale, query.ID, []Run{r}, "%s was %.1f s behind, with a bound of %.1f s", r.Server, r.LagS, query.MaxStalenessS)
			}
		}
	}
}

// checkServed checks that one of the runs produced the answer.
func (v *Verdict) checkServed(query *ClientQuery, runs []Run) {
	v.Checked[NoInvented]++
	fields := strings.Fields(query.Body)
	if len(fields) == 3 && fields[1] == query.ID {
		sum, err := strconv.ParseUint(fields[2], 10, 64)
		for _, r := range runs {
			if err == nil && r.Server == fields[0] && r.Sum == sum && r.Whole && (!query.BodySent || query.BodyHash == sum) {
				return
			}
		}
	}
	v.breach(NoInvented, query.ID, runs, "no server answered %.80q to it", query.Body)
}

// checkSessions checks that each session stays at one server. After a loss, clients use a new session name.
func (v *Verdict) checkSessions(queries []ClientQuery, byID map[string][]Run) {
	serverOf := map[string]Run{}
	for i := range queries {
		query := &queries[i]
		if query.Session == "" {
			continue
		}
		for _, r := range byID[query.ID] {
			v.Checked[OneServer]++
			if was, ok := serverOf[query.Session]; ok && was.Server != r.Server {
				v.breach(OneServer, query.ID, []Run{was, r}, "session %s was at %s, and is at %s", query.Session, was.Server, r.Server)
			} else if query.Answers == 1 && query.Status == 200 {
				serverOf[query.Session] = r
			}
		}
	}
}
