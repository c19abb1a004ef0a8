package admission

import (
	"math"
	"time"
)

const (
	// MinRetryAfter is the shortest time after which a refused caller is told to retry. It is about the time in which
	// the queue for a member's slots empties.
	MinRetryAfter = 50 * time.Millisecond
	// slotWidth is the width of a slot of a Calendar. Callers refused together without overload return within one.
	slotWidth = 25 * time.Millisecond
	// calendarSlots is the number of slots of a Calendar. They cover 8 s, more than two retries of a route with a
	// timeout of 10 s have in equal parts.
	calendarSlots = 320
	// calendarRanks is the number of ranks that a Calendar tells apart. Lower ones count as the last.
	calendarRanks = 4
	// MaxEarliest bounds for how long callers are kept away because no capacity is expected, since an outage may end
	// earlier than estimated.
	MaxEarliest = 2 * time.Second
	// overflowShare is the last part of a caller's time over which those callers are spread for whom no slot has room:
	// the later, the more likely the overload is over.
	overflowShare = 3
	// retries is how often a caller retries an operation.
	retries = 2
)

// Booking describes a refused operation whose caller is to be told when to retry.
type Booking struct {
	// Rank is the rank of the operation. Rank 0 is served first.
	Rank int
	// Attempts is how often the operation has been refused before, or zero if that is unknown.
	Attempts int
	// Earliest is the time before which no capacity is expected, such as the rest of an outage, or zero.
	Earliest time.Duration
	// Latest is the time after which the caller can't use a reply. See LatestRetry.
	Latest time.Duration
	// Backlog is how many waiting statements are ahead of the operation.
	Backlog int
	// Rate is how many statements per second are served, or zero if that is unknown.
	Rate float64
	// Random is in [0, 1). It spreads callers that are refused together.
	Random float64
}

// LatestRetry returns the latest time from now at which a refused operation may be retried so that the caller's later
// attempts are of use. remaining is the rest of the timeout, and attempts how often the operation has been refused
// before. Where that is unknown it is zero, and the time may be used for every refusal: the last attempt then still
// begins a latency target before the timeout.
func LatestRetry(remaining, latencyTarget time.Duration, attempts int) time.Duration {
	return max(0, remaining-latencyTarget) / time.Duration(max(1, retries-attempts))
}

// Calendar assigns retry times to refused callers, so that they return when there is capacity for them and no more of
// them at once than are served. The zero value is empty and ready for use. It is not safe for concurrent use.
type Calendar struct {
	// origin is the time at which slot 0 began, and first the number of the earliest slot that is kept.
	origin time.Time
	first  int64
	// slots counts the callers that are expected, by slot number modulo calendarSlots and by rank. It is nil until the
	// first booking.
	slots [][calendarRanks]uint16
	// rate is the last known rate. It is used while no rate can be measured, as during an outage.
	rate float64
}

// Calendars holds a Calendar for each class, since statements of different classes are served at different rates.
type Calendars [classCount]Calendar

// Book returns the time after which the caller is to retry. It is the first time at which the statements that wait and
// the callers of the same and of higher ranks that return by then will have been served.
func (c *Calendar) Book(now time.Time, b Booking) time.Duration {
	c.advance(now)
	if b.Rate > 0 {
		c.rate = b.Rate
	}
	b.Rank = min(max(b.Rank, 0), calendarRanks-1)
	b.Earliest = min(max(b.Earliest, 0), MaxEarliest)
	b.Latest = max(min(b.Latest, (calendarSlots-2)*slotWidth), MinRetryAfter+slotWidth)
	after, slot := c.firstWithRoom(now, b)
	if after > b.Latest {
		from := b.Latest - b.Latest/overflowShare
		if b.Earliest < b.Latest {
			from = max(from, b.Earliest)
		}
		after = from + time.Duration(b.Random*float64(b.Latest-from))
		slot = c.slotNumber(now.Add(after))
	}
	c.add(slot, b.Rank)
	return after
}

// firstWithRoom returns the first time that has room for the caller and its slot, or a time after b.Latest.
func (c *Calendar) firstWithRoom(now time.Time, b Booking) (after time.Duration, slot int64) {
	earliest := max(MinRetryAfter, b.Earliest)
	if c.rate == 0 {
		after = Spread(b.Earliest, b.Random)
		return after, c.slotNumber(now.Add(after))
	}
	jitter := time.Duration(b.Random * float64(slotWidth))
	capacity := c.rate * slotWidth.Seconds()
	// queued is how many statements are expected to wait at the end of a slot.
	queued := float64(b.Backlog)
	for slot = c.first; slot < c.first+calendarSlots-1; slot++ {
		begin := c.origin.Add(time.Duration(slot) * slotWidth).Sub(now)
		if begin > b.Latest {
			break
		}
		if begin+slotWidth > b.Earliest {
			queued = max(0, queued-capacity)
		}
		queued += c.expected(slot, b.Rank)
		if begin+slotWidth > earliest && queued+1 <= max(1, capacity) {
			return max(earliest, begin) + jitter, slot
		}
	}
	return math.MaxInt64, 0
}

// Spread returns a time between after, or MinRetryAfter if that is later, and half as much again. The longer the time,
// the less exact is its estimate.
func Spread(after time.Duration, random float64) time.Duration {
	after = max(after, MinRetryAfter)
	return after + time.Duration(random*float64(after)/2)
}

// expected returns how many callers of the rank and of higher ones are expected in the slot.
func (c *Calendar) expected(number int64, rank int) float64 {
	if len(c.slots) == 0 {
		return 0
	}
	n := 0
	for _, each := range c.slots[number%calendarSlots][:rank+1] {
		n += int(each)
	}
	return float64(n)
}

// add records a caller that is expected in the slot.
func (c *Calendar) add(slot int64, rank int) {
	if c.slots == nil {
		c.slots = make([][calendarRanks]uint16, calendarSlots)
	}
	n := &c.slots[slot%calendarSlots][rank]
	if *n < math.MaxUint16 {
		*n++
	}
}

// slotNumber returns the number of the slot that contains the given time.
func (c *Calendar) slotNumber(at time.Time) int64 {
	return max(c.first, int64(at.Sub(c.origin)/slotWidth))
}

// advance clears the slots that have passed.
func (c *Calendar) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	next := c.slotNumber(now)
	if c.slots != nil {
		for n := c.first; n < min(next, c.first+calendarSlots); n++ {
			c.slots[n%calendarSlots] = [calendarRanks]uint16{}
		}
	}
	c.first = next
}
