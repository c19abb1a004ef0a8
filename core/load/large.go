package load

const (
	// countedAccounts is the number of counters of largeAccounts. An account that makes up more than
	// 1/(countedAccounts+1) of the statements always has one.
	countedAccounts = 16
	// minNoted is the number of statements from which shares are estimated.
	minNoted = 32
	// maxNoted is the number of statements after which all counters are halved, so that shares follow
	// the callers. An entry host of a large fleet forwards one to two statements per second to a group.
	maxNoted = 512
)

// largeAccounts estimates which accounts make up a large part of the statements that a host forwards
// to a group, with the counters of Misra and Gries, "Finding Repeated Elements", Science of Computer
// Programming 2, 1982. An estimate is never above the true share. The zero value is ready for use.
type largeAccounts struct {
	counters [countedAccounts]accountCounter
	// noted is the number of statements counted.
	noted int
}

// accountCounter counts the statements of an account, less those that were offset against other
// accounts. It is free if count is zero.
type accountCounter struct {
	account string
	count   int
}

// note counts a statement and returns the estimated share of its account.
func (l *largeAccounts) note(account string) (share float64) {
	if l.noted++; l.noted > maxNoted {
		l.noted /= 2
		for i := range l.counters {
			l.counters[i].count /= 2
		}
	}
	var free *accountCounter
	for i := range l.counters {
		c := &l.counters[i]
		switch {
		case c.count == 0:
			free = c
		case c.account == account:
			c.count++
			if l.noted < minNoted {
				return 0
			}
			return float64(c.count) / float64(l.noted)
		}
	}
	if free != nil {
		*free = accountCounter{account, 1}
		return 0
	}
	for i := range l.counters {
		l.counters[i].count--
	}
	return 0
}
