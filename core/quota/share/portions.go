package share

import (
	"strconv"

	"github.com/pkg/errors"
)

const (
	// MinPortions is the default. Hosts of the previous version grant as much, and rely on others to grant no more.
	MinPortions Portions = 0.6
	// MaxPortions is what a granter assumes of hosts that have not reported, whatever it grants itself. A twentieth is left
	// for the callers of hosts that a new granter serves before it knows all holdings.
	MaxPortions Portions = 0.95
	// PerHost bounds the rate and the capacity of a single host's portion. The portion of a host that is lost without a
	// report is unavailable to callers until it must have expired.
	PerHost = 0.3
	// OtherRate is the fraction of the rate that reserves leave to other portions.
	OtherRate = 0.1
	// Cap bounds the sum of all portions' capacities, whatever the setting. The granter's pool keeps the rest of the burst
	// for callers of hosts that hold nothing: tokens stored elsewhere are of no use to them while the granter answers.
	Cap = 0.6
	// OtherCap is the fraction of the capacity that reserves leave to other portions.
	OtherCap = 0.15
	// ReserveCap bounds the sum of the reserves' capacities. Most of the capacity is for reserves: their stored tokens serve
	// callers until the reserves become active.
	ReserveCap = Cap - OtherCap
	// Requested is the sum of what the reserve holders of an account request. It stands for all that the granter grants as
	// reserves, so that hosts need not know the granter's setting.
	Requested = 0.5
)

// Portions is the fraction of an account's quota that bounds the sum of all portions' rates.
// The zero value means MinPortions.
type Portions float64

// Parse parses a fraction. The error gives the reason why it is refused.
func Parse(text string) (Portions, error) {
	p, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a number between %g and %g", text, float64(MinPortions), float64(MaxPortions))
	}
	if !(p >= float64(MinPortions)) { // also refuses NaN
		return 0, errors.Errorf("%s is less than %g, of which reserves leave %g to other portions", text, float64(MinPortions), OtherRate)
	}
	if p > float64(MaxPortions) {
		return 0, errors.Errorf("%s is more than %g, which is what other hosts assume that portions hold at most", text, float64(MaxPortions))
	}
	return Portions(p), nil
}

// Fraction returns the fraction, between MinPortions and MaxPortions.
func (p Portions) Fraction() float64 { return float64(max(MinPortions, min(p, MaxPortions))) }

// ReserveRate returns the fraction that bounds the sum of the reserves' rates.
func (p Portions) ReserveRate() float64 { return p.Fraction() - OtherRate }
