package incident

import (
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// chainKey is what a request and its client's retry have in common.
type chainKey struct {
	class   int
	group   int64
	session uint64
}

// retryChain is a request of a client with the retries that followed it. At most one served answer counts.
type retryChain struct {
	key          chainKey
	class        *class
	group        *group
	firstAt      float64
	lastAt       float64 // end of its last request
	openRequests int     // requests without an answer
	resultBits   uint16
	final        recordpb.Final // of the last answer
	reason       record.Reason
	answerLost   bool // the answer to one of its requests is unknown
	done         bool // served or abandoned
	queued       bool // in Model.awaitingRetry
	requests     int
}

// chainOfRetry returns the chain that a client's retry belongs to: the oldest one that is not done and whose requests all have
// answers, or else the oldest with an open request; nil if there is none.
func (m *Model) chainOfRetry(key chainKey, at float64) *retryChain {
	var other *retryChain
	for _, c := range m.chains[key] {
		switch {
		case c.done || at-c.lastAt > retryWindowMs && c.openRequests == 0:
		case c.openRequests == 0:
			return c
		case other == nil:
			other = c
		}
	}
	return other
}

// addChain makes a chain available to chainOfRetry. Chains beyond the bound are only counted, and their retries are not recognized.
func (m *Model) addChain(c *retryChain) {
	if m.chainCount >= maxChains {
		m.untrackedChains++
		return
	}
	m.chainCount++
	m.chains[c.key] = append(m.chains[c.key], c)
}

// removeChain removes a chain, so that chainOfRetry no longer returns it.
func (m *Model) removeChain(c *retryChain) {
	list := m.chains[c.key]
	i := slices.Index(list, c)
	if i < 0 {
		return
	}
	m.chainCount--
	if len(list) == 1 {
		delete(m.chains, c.key)
		return
	}
	m.chains[c.key] = slices.Delete(list, i, i+1)
}

// recordServed counts the worth of a served answer, which is reduced where the answer missed the latency objective.
func (m *Model) recordServed(chain *retryChain, at float64) {
	if chain.done {
		return
	}
	chain.done = true
	class, took := chain.class, at-chain.firstAt
	got := class.Worth
	if took > class.AimMs {
		got = class.Worth * class.LateWorth
		class.Late++
	} else {
		class.InTime++
		class.WorthInTime += got
	}
	class.WorthGot += got
	if math.Abs(took-class.AimMs) <= borderMs {
		class.Border++
		class.WorthBorder += class.Worth * (1 - class.LateWorth)
	}
	m.cell(class, chain.firstAt).got += float32(got)
	class.window.Add(chain.firstAt, 0, got)
	m.service.Add(chain.firstAt, 0, got)
	if got < class.Worth {
		chain.final = recordpb.Final_FINAL_SERVED
		m.attributeLoss(chain, class.Worth-got, at)
	}
	m.removeChain(chain)
}

// awaitRetry queues a chain that was not served; expire abandons it when its client may no longer retry.
func (m *Model) awaitRetry(chain *retryChain) {
	if !chain.done && !chain.queued {
		chain.queued = true
		m.awaitingRetry.push(chain)
	}
}

// markUnknown counts a request whose answer is not in the records.
func (m *Model) markUnknown(run *poolerRun, request *openRequest, at float64) {
	request.class.Unknown++
	m.cell(request.class, request.receivedAt).unknown++
	m.unknowns++
	if len(m.unknown) < maxUnknown {
		m.unknown = append(m.unknown, Unknown{
			At:     request.receivedAt,
			Pooler: run.Pooler,
			Class:  request.class.Name,
			Group:  request.group.id,
			ID:     fmt.Sprintf("%016x", request.id),
		})
	}
	request.chain.openRequests--
	request.chain.resultBits |= request.resultBits
	request.chain.answerLost = true
	request.chain.lastAt = max(request.chain.lastAt, at)
	m.awaitRetry(request.chain)
}

// expire abandons chains whose retry window has ended, and counts requests long past their deadline as unknown.
func (m *Model) expire() {
	m.lastExpiryAt = m.to
	for chain := m.awaitingRetry.first(); chain != nil && (chain.done || m.to-chain.lastAt > retryWindowMs); chain = m.awaitingRetry.first() {
		m.awaitingRetry.pop()
		chain.queued = false
		if chain.done || chain.openRequests > 0 {
			continue
		}
		m.abandon(chain)
	}
	for _, run := range m.runs {
		for n, request := range run.open {
			if m.to-request.deadlineAt > unknownAfterMs {
				delete(run.open, n)
				m.markUnknown(run, request, m.to)
			}
		}
	}
	for _, s := range m.servers {
		s.extendToPresent(m)
	}
}

// abandon ends a chain that was never served: all its worth is lost.
func (m *Model) abandon(chain *retryChain) {
	if chain.done {
		return
	}
	chain.done = true
	m.removeChain(chain)
	m.attributeLoss(chain, chain.class.Worth, chain.lastAt)
}

// attributeLoss adds lost worth to its cause, and to the gap in the group's writes that it overlaps.
func (m *Model) attributeLoss(chain *retryChain, worth float64, end float64) {
	name := chain.group.cause(chain, end)
	c := m.causes[name]
	if c == nil {
		c = &Cause{Name: name, ByClass: map[string]float64{}}
		m.causes[name] = c
	}
	c.Requests++
	c.Worth += worth
	c.ByClass[chain.class.Name] += worth
	chain.group.addLoss(chain.firstAt, end, worth)
}

// queue is a first-in, first-out queue of chains.
type queue struct {
	list []*retryChain
	head int
}

func (q *queue) push(c *retryChain) { q.list = append(q.list, c) }

func (q *queue) first() *retryChain {
	if q.head == len(q.list) {
		return nil
	}
	return q.list[q.head]
}

// compactAfter is how many removed chains a queue keeps before it is compacted.
const compactAfter = 1024

// pop removes the first chain. The list is compacted when more than half of its elements are removed chains.
func (q *queue) pop() {
	q.list[q.head] = nil
	q.head++
	if q.head > compactAfter && q.head > len(q.list)/2 {
		q.list = q.list[:copy(q.list, q.list[q.head:])]
		q.head = 0
	}
}
