// Package verdicts decides what poolers make of each other's evidence about servers. Events in, actions out: no I/O, no clock, no goroutines.
package verdicts
