package platform

// arrivalTimes records when bytes arrived: the deadline of a request counts from its last byte, and the request may wait for earlier
// requests before it is handled.
type arrivalTimes struct {
	marks []arrival
	taken int // bytes taken since marks was last empty
}

// arrival is the time by which the bytes up to a count had arrived.
type arrival struct {
	upTo int
	at   float64
}

const maxArrivals = 64 // further marks are not kept: their bytes count as arrived with those of the last mark

// add records that n more bytes arrived at the given time.
func (times *arrivalTimes) add(n int, at float64) {
	if len(times.marks) == 0 {
		times.marks = append(times.marks, arrival{n, at})
		times.taken = 0
		return
	}
	last := &times.marks[len(times.marks)-1]
	if last.at == at || len(times.marks) >= maxArrivals {
		last.upTo += n
		return
	}
	times.marks = append(times.marks, arrival{last.upTo + n, at})
}

// take removes the next n bytes and returns when the last of them arrived.
func (times *arrivalTimes) take(n int) float64 {
	times.taken += n
	i := 0
	for i < len(times.marks)-1 && times.marks[i].upTo < times.taken {
		i++
	}
	at := times.marks[i].at
	if times.marks[i].upTo <= times.taken {
		i++
	}
	times.marks = times.marks[i:]
	if len(times.marks) == 0 {
		times.marks = nil
	}
	return at
}
