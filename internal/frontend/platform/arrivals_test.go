package platform

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestArrivalTimesFollowLastByte: the time of a request must count from when its last byte arrived, not from when it was handled after earlier
// ones.
func TestArrivalTimesFollowLastByte(t *testing.T) {
	for name, c := range map[string]struct {
		fed  [][2]int // bytes, time
		take []int
		want []float64
	}{
		"one by one":           {[][2]int{{10, 1}, {10, 2}}, []int{10, 10}, []float64{1, 2}},
		"two at once":          {[][2]int{{20, 1}}, []int{10, 10}, []float64{1, 1}},
		"last byte comes late": {[][2]int{{15, 1}, {5, 2}, {4, 3}}, []int{10, 10, 4}, []float64{1, 2, 3}},
		"over several pieces":  {[][2]int{{3, 1}, {3, 2}, {4, 3}}, []int{10}, []float64{3}},
	} {
		var arrivals arrivalTimes
		for _, f := range c.fed {
			arrivals.add(f[0], float64(f[1]))
		}
		var got []float64
		for _, n := range c.take {
			got = append(got, arrivals.take(n))
		}
		if diff := cmp.Diff(c.want, got); diff != "" || arrivals.marks != nil {
			t.Errorf("%s: arrival times (-want +got): %s; %v marks left, want none", name, diff, arrivals.marks)
		}
	}
}

// TestArrivalTimesAreBounded: a client that sends byte by byte must not cause an unbounded number of marks.
func TestArrivalTimesAreBounded(t *testing.T) {
	var arrivals arrivalTimes
	for i := range 1000 {
		arrivals.add(1, float64(i))
	}
	if at := arrivals.take(1000); len(arrivals.marks) != 0 || at != maxArrivals-1 {
		t.Errorf("%d marks remain, want none; the last byte arrived at %v, want %v", len(arrivals.marks), at, maxArrivals-1)
	}
}
