package decide

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SheddingPolicy is what the routers have agreed to shed of a group's requests: those whose rank is below
// the level of their class. Ranks orders the four kinds of requests of each class: a client's retry beyond
// its tenant's quota, a retry within it, a first attempt beyond it, a first attempt within it.
type SheddingPolicy struct {
	Levels         []float64     // by class; classes for the primary share one level, the others another
	Ranks          [][4]int      // by class, then kind
	OverQuota      [][2]float64  // by tenant: fraction of sessions beyond quota, for reads and the primary
	OverQuotaIndex []int         // by class: the index into OverQuota's pairs
	RankLifetime   time.Duration // how long a session keeps its rank
	MaxRetryAfter  time.Duration // the longest retry-after time given to a client
}

// Kinds of requests in SheddingPolicy.Ranks. The kind of a client's first attempt is that of a retry plus
// firstAttemptKinds.
const (
	overQuotaKind     = 0
	withinQuotaKind   = 1
	firstAttemptKinds = 2
)

// Salts of the pseudorandom numbers that are derived from a session's hash.
const (
	quotaSalt  = 1
	periodSalt = 2
	rankSalt   = 3 // plus the number of the session's period
)

// Rank returns a request's rank in the order of shedding. Beyond the kind of the request, it depends on the
// session and the time only, so that all routers with the same clock give a session the same rank for
// RankLifetime.
func (policy *SheddingPolicy) Rank(now Time, event *Request) float64 {
	if policy == nil || event.Class < 0 || event.Class >= len(policy.Ranks) {
		return math.Inf(1)
	}
	id := event.Session
	if id == "" {
		id = string(event.ID)
	}
	hash := xxhash.Sum64String(id)
	kind := withinQuotaKind
	if policy.overQuota(hash, event) {
		kind = overQuotaKind
	}
	if !event.ClientRetry {
		kind += firstAttemptKinds
	}
	period := uint64(0)
	if policy.RankLifetime > 0 {
		offset := time.Duration(hashFraction(hash, periodSalt) * float64(policy.RankLifetime))
		period = uint64(now+offset) / uint64(policy.RankLifetime)
	}
	return float64(policy.Ranks[event.Class][kind]) + hashFraction(hash, period+rankSalt)
}

// overQuota reports whether a session counts as beyond its tenant's quota.
func (policy *SheddingPolicy) overQuota(hash uint64, event *Request) bool {
	if event.Tenant < 0 || event.Tenant >= len(policy.OverQuota) {
		return false
	}
	return hashFraction(hash, quotaSalt) < policy.OverQuota[event.Tenant][policy.OverQuotaIndex[event.Class]]
}

// Rejects reports whether a request of the given class and rank is shed.
func (policy *SheddingPolicy) Rejects(class int, rank float64) bool {
	return policy != nil && class < len(policy.Levels) && rank < policy.Levels[class]
}

// RejectsArrival reports whether a request is shed on arrival.
func (policy *SheddingPolicy) RejectsArrival(now Time, event *Request) bool {
	return policy != nil && event.Class >= 0 && policy.Rejects(event.Class, policy.Rank(now, event))
}

// RejectsAttempt reports whether an admitted request must not be sent any more: its rank has fallen below
// the level, or its next attempt would be a duplicate while its class is being shed, as duplicates are
// shed first.
func (policy *SheddingPolicy) RejectsAttempt(class int, rank float64, duplicates bool) bool {
	return policy.Rejects(class, rank) || duplicates && policy.sheds(class)
}

// sheds reports whether any request of a class is shed.
func (policy *SheddingPolicy) sheds(class int) bool {
	return policy != nil && class < len(policy.Levels) && policy.Levels[class] > 0
}

// RetryAfter returns how long the client of a rejected request should wait, from half of MaxRetryAfter to
// all of it. It differs by session and request, so that clients do not return at the same time.
func (policy *SheddingPolicy) RetryAfter(now Time, event *Request) time.Duration {
	if policy == nil {
		return 0
	}
	hash := xxhash.Sum64String(event.Session + string(event.ID))
	return time.Duration((1 + hashFraction(hash, uint64(now))) / 2 * float64(policy.MaxRetryAfter))
}

// hashFraction maps a hash and a salt to a number in [0, 1), by the finalizer of MurmurHash3 reduced to
// the 53 bits of a float64's mantissa.
func hashFraction(hash, salt uint64) float64 {
	hash = (hash ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>32) * 0xc4ceb9fe1a85ec53
	return float64((hash^hash>>29)>>11) / (1 << 53)
}
