package lease

import "math"

const (
	rateWindowMs   = 1000
	negligibleRate = 1e-3 // in units per second; a lower rate counts as no demand
)

// rateMeter measures an amount per second, with an exponentially decaying window of rateWindowMs.
type rateMeter struct{ amount, updatedAt float64 }

func (r *rateMeter) add(now, amount float64) {
	r.amount = r.amount*math.Exp(-max(0, now-r.updatedAt)/rateWindowMs) + amount
	r.updatedAt = max(r.updatedAt, now)
}

func (r *rateMeter) perSecond(now float64) float64 {
	return r.amount * math.Exp(-max(0, now-r.updatedAt)/rateWindowMs) * 1000 / rateWindowMs
}
