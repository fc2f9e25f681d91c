package reuse

import "testing"

type socket bool

func (idle socket) OpenAndIdle() bool { return bool(idle) }

// TestOnlyCleanConnectionsAreUsedAgain checks each reason alone, and that the socket is not asked where another one is known.
func TestOnlyCleanConnectionsAreUsedAgain(t *testing.T) {
	for _, tc := range []struct {
		outstanding, pending int
		idle                 socket
		want                 Reason
	}{
		{0, 0, true, Clean},
		{1, 0, true, Answers},
		{0, 1, true, Input},
		{0, 0, false, Socket},
		{2, 3, false, Answers},
		{0, 3, false, Input},
	} {
		if got := Check(tc.outstanding, tc.pending, tc.idle); got != tc.want {
			t.Errorf("%d answers, %d bytes, idle %v: reason is %v, want %v", tc.outstanding, tc.pending, tc.idle, got, tc.want)
		}
	}
}
