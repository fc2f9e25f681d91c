package simulator

import (
	"bytes"
	"time"

	"beechgrade/internal/decide"
)

// decodeResult decodes the result of an attempt or a health check. An unknown one is decoded as Failed, the weakest assumption: the attempt
// may have run.
func decodeResult(value []byte) decide.Result {
	switch string(value) {
	case "done":
		return decide.OK
	case "busy":
		return decide.Overloaded
	case "etimedout":
		return decide.TimedOut
	case "econnrefused":
		return decide.Unreachable
	case "econnreset":
		return decide.Reset
	case "ecanceled":
		return decide.Cancelled
	case "skipped":
		return decide.NotSent
	case "enoent":
		return decide.Misdirected
	}
	return decide.Failed
}

// Fields of a load report.
const (
	loadPosition = "x0"        // seconds after the time of position 0
	loadPrimary  = "x1"        // 1 for a primary
	loadInFlight = "busy_reqs" // requests
)

const msPerSecond = 1000

// decodeLoad decodes a load report. It converts positions to times on the clock; zero is the time of position 0.
func decodeLoad(text []byte, zero time.Duration, line *line) (report decide.Report) {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		key, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			continue
		}
		switch string(key) {
		case loadPosition:
			// Rounded down to whole milliseconds: a printed number may have been rounded up.
			ms := int64(line.parseFloat(value) * msPerSecond)
			report.Position = zero + time.Duration(ms)*time.Millisecond
			report.HasPosition = true
		case loadPrimary:
			report.Role = decide.RoleReplica
			if line.parseFloat(value) == 1 {
				report.Role = decide.RolePrimary
			}
		case loadInFlight:
			report.InFlight = line.parseFloat(value)
			report.HasInFlight = true
		}
	}
	return report
}
