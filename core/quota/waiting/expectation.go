package waiting

import (
	"math"
	"time"
)

// unknownRetryAfter is the time after which to retry while nothing is known about the next token: the granter is asked
// again after a pause of this length.
const unknownRetryAfter = 25 * time.Millisecond

// Expectation says when an account's next tokens are expected. The zero value means that this is not known.
type Expectation struct {
	// Holder is the reserve holder that expects the token, or empty if it is the granter.
	Holder string
	// at is when the first token is expected, and interval the time between the following ones.
	at       time.Time
	interval time.Duration
	// told is the number of refused operations that were told a time. spread has the times of those for which no token is
	// expected in time.
	told   int
	spread Spread
	// booked holds the tokens of the host's own portion that refused operations were told to come back for.
	booked Schedule
}

// Supply is what the host's own portion yields: Rate tokens per second, the first one after Next. The zero value means
// that it yields none.
type Supply struct {
	Next time.Duration
	Rate float64
}

// Expect records when a holder or the granter expects the next token, unless an earlier one is already expected.
func (e *Expectation) Expect(after, interval time.Duration, holder string, now time.Time) {
	if at := now.Add(after); e.at.Before(now) || at.Before(e.at) {
		e.at, e.interval, e.Holder, e.told = at, interval, holder, 0
	}
}

// Clear records that no token is expected.
func (e *Expectation) Clear() { *e = Expectation{spread: e.spread, booked: e.booked} }

// Due reports whether the time at which the next token was expected has come.
func (e *Expectation) Due(now time.Time) bool { return !e.at.IsZero() && !now.Before(e.at) }

// After returns the time until the token after the given number of earlier ones is expected, or false if that is not
// known.
func (e *Expectation) After(earlier int, own Supply, now time.Time) (time.Duration, bool) {
	return earliest(e.promised(earlier, now), own.after(earlier))
}

// AfterTold is like After for an operation behind the given number of waiting ones and all refused ones that were told a
// time.
func (e *Expectation) AfterTold(ahead int, own Supply, now time.Time) (time.Duration, bool) {
	return earliest(e.promised(ahead+e.told, now), max(own.after(ahead), e.booked.Wait(now)))
}

// Refuse returns the time after which a refused operation is to be retried, behind the given number of waiting operations
// and all that were told a time before.
func (e *Expectation) Refuse(ahead int, own Supply, now time.Time) time.Duration {
	promised, yielded := e.promised(ahead+e.told, now), max(own.after(ahead), e.booked.Wait(now))
	switch after, known := earliest(promised, yielded); {
	case !known:
		return unknownRetryAfter
	case yielded <= promised:
		after, _ = e.booked.Book(1, yielded, own.Rate, now)
		return after
	case after > MaxRetryAfter:
		return e.spread.Next()
	default:
		e.told++
		return max(after, MinRetryAfter)
	}
}

// never stands for a time that is not known.
const never = time.Duration(math.MaxInt64)

// promised returns the time until the holder or the granter expects the token after the given number of earlier ones.
func (e *Expectation) promised(earlier int, now time.Time) time.Duration {
	if !e.at.After(now) {
		return never
	}
	return e.at.Sub(now) + time.Duration(earlier)*e.interval
}

// after returns the time until the portion yields the token after the given number of earlier ones.
func (s Supply) after(earlier int) time.Duration {
	if s.Rate <= 0 {
		return never
	}
	return s.Next + time.Duration(float64(earlier)/s.Rate*float64(time.Second))
}

func earliest(a, b time.Duration) (time.Duration, bool) { return min(a, b), min(a, b) < never }
