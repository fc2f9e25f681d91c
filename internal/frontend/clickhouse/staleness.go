package clickhouse

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// statusPath is the URL at which a server reports the delays of its replicated tables, in whole seconds.
const statusPath = "/replicas_status?verbose=1"

// maxReportBytes bounds a staleness report, which has a line for each table.
const maxReportBytes = 256 << 10

// delayPrefix precedes a table's delay in a report: "Absolute delay: 3. Relative delay: 0."
const delayPrefix = "Absolute delay: "

// parseLag returns the longest delay in a server's report, in ms, rounded up. ok is false if the report states no usable delay: no table
// is replicated, or a table is read-only because its server has lost its coordination service.
func parseLag(status int, report string) (ms float64, ok bool) {
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		return 0, false
	}
	for line := range strings.Lines(report) {
		if strings.Contains(strings.ToLower(line), "readonly") {
			return 0, false
		}
		_, after, found := strings.Cut(line, delayPrefix)
		if !found {
			continue
		}
		digits := after[:max(0, strings.IndexByte(after, '.'))]
		seconds, err := strconv.ParseUint(digits, 10, 40)
		if err != nil {
			return 0, false
		}
		ms = max(ms, float64(seconds+1)*1000)
		ok = true
	}
	return ms, ok
}

// maxStalenessMs returns the bound on the staleness of the data that a request may read, 0 for none.
func (r *request) maxStalenessMs() float64 {
	switch {
	case !r.readOnly:
		return 0
	case r.rule != nil:
		return r.rule.MaxStalenessMs
	}
	return r.client.frontend.options.MaxStalenessMs
}

// replicasStatus returns the answer to /replicas_status from the last reports of the servers. The status says whether any server is
// available.
func (f *Frontend) replicasStatus(verbose bool) (status int, text string) {
	status = http.StatusServiceUnavailable
	now := f.loop.Now()
	var lines strings.Builder
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if s.address == "" || s.drainedAt != 0 {
			fmt.Fprintf(&lines, "%s:\tdrains.\n", id)
			continue
		}
		status = http.StatusOK
		if s.reportedAt == 0 {
			fmt.Fprintf(&lines, "%s:\tserves.\n", id)
			continue
		}
		delayMs, ageMs := max(0, s.reportedAt-s.positionMs), now-s.reportedAt
		fmt.Fprintf(&lines, "%s:\tAbsolute delay: %.0f. Told %.1f s ago.\n", id, delayMs/1000, ageMs/1000)
	}
	switch {
	case status == http.StatusOK && !verbose:
		return status, textOK
	case lines.Len() == 0:
		return status, "no server is known\n"
	}
	return status, lines.String()
}
