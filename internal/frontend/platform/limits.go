package platform

import "beechgrade/internal/memory"

// Limits of messages and of one client, in bytes unless stated otherwise.
const (
	maxUnreserved     = freeBytes     // of a message for which no memory is reserved while it arrives
	maxSmallMessage   = 1 << 14       // a larger message is medium...
	maxMessage        = 1 << 18       // ...up to twice a value of 64 KiB in hex; a larger message is long...
	maxLongMessage    = 8<<20 + 1<<16 // ...and may have up to a value of 4 MiB in hex
	maxPipelinedBytes = 1 << 19       // that a client may send before they are handled; beyond that, commands are rejected
	maxPipelined      = 16            // unanswered commands of one client; further ones wait
	maxUnanswered     = 1 << 12       // unanswered commands of one client, including rejected ones...
	shortUnanswered   = 1 << 4        // ...where memory is short
	maxUnsent         = 1 << 16       // of answers that a client has not read; beyond that, its next command waits
	shortUnsent       = freeBytes     // of answers that a client has not read where memory is short; beyond that, it is disconnected
	maxIdleBuffer     = 1 << 16       // of the buffer for messages that all sessions share
)

// Limits of memory and descriptors of all clients together.
const (
	maxAdmittedAtOnce = 8  // sessions that waited for memory and are admitted in one callback
	maxWaiting        = 16 // messages of one size that may wait for memory longer than memoryWaitMs
	spareDescriptors  = 16 // left for clients, below which each new one has one that pipelines make room
	maxClosing        = 8  // connections being closed that do not count towards the limit of clients
	smallMessagePart  = 4  // messages that are arriving and are small may take one part in smallMessagePart of the account's limit...
	mediumMessagePart = 4  // ...medium ones one part in mediumMessagePart...
	collectedPart     = 4  // streamed answers that are collected may take one part in collectedPart, but always one, if the account admits it
	longMessagePart   = 4  // ...and long ones one part in longMessagePart, but always one message of each size, if the account admits it
)

// Limits of the time, in milliseconds, that a client may hold a connection without a request.
const (
	sweepMs   = 250
	startupMs = 3000 // until its startup message is complete
	messageMs = 3000 // until a message that has begun is complete, or between two parts of a long one
	// crowdedMessageMs is how long a client may be in the middle of a message while others find no descriptor.
	crowdedMessageMs = 50
	// idleReservationMs is how long a client may send nothing in the middle of a message while others wait for the memory reserved for it.
	idleReservationMs = 500
	memoryWaitMs      = 1000 // for memory for a message behind maxWaiting others, before it is rejected

	notReadingMs   = 5000  // until it continues to read its answers
	lingerMs       = 250   // after the last output, until it closes
	firstRequestMs = 250   // without a request, before its connection is closed during a drain
	minIdleMs      = 20    // idle, before its connection may be closed if many clients are active...
	crowdedIdleMs  = 2000  // ...if there are many clients
	maxIdleMs      = 60000 // ...and if there are few
	finalReadMs    = 250   // to read its last answers if its connection must end
	releasePauseMs = 5     // between two times that clients have to release memory
	recheckMs      = 20    // between checks of whether it has read its answers, and between samples of its unread input
)

// Budget holds the limits that the machine and the settings impose.
type Budget struct {
	SpareDescriptors  func() int  // descriptors left for clients, negative if there are too many clients
	EvictionThreshold func() int  // number of clients beyond which idle ones are disconnected
	ReleaseDescriptor func() bool // frees a descriptor used for something else, and reports whether there was one
	Account           *memory.Account
}
