package memory

// Parts of the memory limit of a process.
const (
	residentPercent = 84 // of the limit that the process aims to stay within...
	leastPercent    = 90 // ...and of up to leastLimit, which a message of the greatest length needs
	leastLimit      = 40 << 20
	nativeBytes     = 1 << 20 // outside the Go runtime's memory: stacks of threads, the C library
	runtimeBytes    = 4 << 20 // of the runtime itself: stacks, spans, caches of processors
	baseBytes       = 2 << 20 // of the heap without clients
	accountPercent  = 60      // of the rest of the heap; the collector has what remains for what is garbage
)

// The garbage at which a collection starts, in percent of what is alive: less where the limit is small, as it is exceeded within fewer allocations.
const (
	garbagePercent      = 100
	smallGarbagePercent = 40
	smallLimit          = 64 << 20 // bytes
)

// Plan is how the memory of a process is divided.
type Plan struct {
	Runtime int // the limit of the Go runtime, in bytes
	Account int // the limit of the account, in bytes
	Garbage int // how much garbage starts a collection, in percent of what is alive
}

// Divide divides the memory limit of a process whose program has so many resident pages, both in bytes.
func Divide(limit, programPages int) Plan {
	percent := residentPercent
	if limit <= leastLimit {
		percent = leastPercent
	}
	runtimeLimit := limit/100*percent - programPages - nativeBytes
	heap := runtimeLimit - runtimeBytes - baseBytes
	plan := Plan{Runtime: max(runtimeBytes+baseBytes, runtimeLimit), Account: max(0, heap/100*accountPercent), Garbage: garbagePercent}
	if limit <= smallLimit {
		plan.Garbage = smallGarbagePercent
	}
	return plan
}

// Least returns the memory limit below which a process with so many resident program pages cannot serve, in bytes.
func Least(programPages int) int {
	needed := minAccountBytes*100/accountPercent + baseBytes + runtimeBytes + nativeBytes + programPages
	return needed / leastPercent * 100
}

// minAccountBytes is the least that a process needs to serve a few clients.
const minAccountBytes = 256 << 10

// Levels of the resident memory, in percent of the limit, at which each level of overload is required.
var residentPercentOfLevel = [Levels]int{0, 78, 82, 86, 89}

// RequiredLevel returns the level that resident memory requires, where both are in bytes.
func RequiredLevel(resident, limit int) (level Level) {
	for next := HoldReading; next < Levels && resident >= limit/100*residentPercentOfLevel[next]; next++ {
		level = next
	}
	return level
}
