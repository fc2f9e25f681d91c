package clickhouse

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// statusPath is where a server tells how far its tables lag behind, each in whole seconds.
const statusPath = "/replicas_status?verbose=1"

const maxReportBytes = 256 << 10 // bytes of such a word: a line for each table

// parseLag reads the longest delay that a server tells of its tables, in ms, rounded up; false where it tells none, as one whose
// tables are not replicated, or that can only be read since it lost its keeper.
func parseLag(status int, text string) (ms float64, ok bool) {
	if status != 200 && status != 503 {
		return 0, false
	}
	for l := range strings.Lines(text) {
		if strings.Contains(strings.ToLower(l), "readonly") {
			return 0, false
		}
		_, rest, found := strings.Cut(l, "Absolute delay: ")
		if !found {
			continue
		}
		n, err := strconv.ParseUint(rest[:max(0, strings.IndexByte(rest, '.'))], 10, 40)
		if err != nil {
			return 0, false
		}
		ms, ok = max(ms, float64(n+1)*1000), true
	}
	return ms, ok
}

// maxStalenessMs is how old the data may be that a query sees, 0 for any age.
func (r *request) maxStalenessMs() float64 {
	switch {
	case !r.readOnly:
		return 0
	case r.rule != nil:
		return r.rule.MaxStalenessMs
	}
	return r.client.frontend.options.MaxStalenessMs
}

// replicasStatus answers /replicas_status by what is known of the servers: whether one of them may be asked now.
func (f *Frontend) replicasStatus(verbose bool) (status int, text string) {
	status, now := 503, f.loop.Now()
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if s.address == "" || s.drainedAt != 0 {
			fmt.Fprintf(&b, "%s:\tdrains.\n", id)
			continue
		}
		status = 200
		if s.reportedAt == 0 {
			fmt.Fprintf(&b, "%s:\tserves.\n", id)
		} else {
			fmt.Fprintf(&b, "%s:\tAbsolute delay: %.0f. Told %.1f s ago.\n", id, max(0, s.reportedAt-s.positionMs)/1000, (now-s.reportedAt)/1000)
		}
	}
	switch {
	case status == 200 && !verbose:
		return status, "Ok.\n"
	case b.Len() == 0:
		return status, "no server is known\n"
	}
	return status, b.String()
}
