package standin

import (
	"strconv"
	"time"

	"pearlatch/io/postgres"
)

func selectKey(s *session, key string) result {
	if v, ok := s.get(key); ok {
		return oneRow(v)
	}
	return result{tag: "SELECT"}
}

func selectItem(s *session, args []string) (result, *sqlError) {
	s.member.countRead()
	return selectKey(s, itemsTable+args[0]), nil
}

func (m *Member) countRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inRecovery {
		m.reads.AsReplica++
	} else {
		m.reads.AsPrimary++
	}
}

func upsertItem(s *session, args []string) (result, *sqlError) {
	return result{tag: "INSERT 0 1"}, s.put(itemsTable+args[0], args[1])
}

func appendItem(s *session, args []string) (result, *sqlError) {
	key := itemsTable + args[1]
	if err := s.lockRow(key); err != nil {
		return result{}, err
	}
	old, _ := s.get(key)
	res := oneRow(old + args[0])
	res.tag = "UPDATE 1"
	return res, s.put(key, old+args[0])
}

func insertPrint(s *session, args []string) (result, *sqlError) {
	key := printsTable + args[0]
	if err := s.lockRow(key); err != nil {
		return result{}, err
	}
	old, _ := s.get(key)
	n, _ := strconv.Atoi(old)
	return result{tag: "INSERT 0 1"}, s.put(key, strconv.Itoa(n+1))
}

func countPrints(s *session, args []string) (result, *sqlError) {
	v, ok := s.get(printsTable + args[0])
	if !ok {
		v = "0"
	}
	return oneRow(v), nil
}

func series(_ *session, args []string) (result, *sqlError) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return result{}, newError(postgres.CodeSyntaxError, "generate_series: %v", err)
	}
	return result{tag: "SELECT", rows: func(yield func([]string) bool) {
		for i := 1; i <= n; i++ {
			if !yield([]string{strconv.Itoa(i)}) {
				return
			}
		}
	}}, nil
}

// sleepStep is how often a sleeping statement looks for a cancel request.
const sleepStep = 5 * time.Millisecond

func sleep(s *session, args []string) (result, *sqlError) {
	seconds, _ := strconv.ParseFloat(args[0], 64)
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	for time.Now().Before(until) {
		if s.cancel.Swap(false) {
			return result{}, newError(postgres.CodeQueryCanceled, "canceling statement due to user request")
		}
		time.Sleep(sleepStep)
	}
	return oneRow(""), nil
}

func backendPID(s *session, _ []string) (result, *sqlError) {
	return oneRow(strconv.Itoa(int(s.pid))), nil
}

func begin(s *session, args []string) (result, *sqlError) {
	s.tx.open = true
	s.tx.readOnly = args[0] != ""
	return result{tag: "BEGIN"}, nil
}

func commit(s *session, _ []string) (result, *sqlError) {
	if s.tx.failed {
		return rollback(s, nil)
	}
	err := s.commitWrites()
	s.endTransaction()
	return result{tag: "COMMIT"}, err
}

func rollback(s *session, _ []string) (result, *sqlError) {
	s.dropWrites()
	s.endTransaction()
	return result{tag: "ROLLBACK"}, nil
}

func (s *session) endTransaction() {
	s.tx = transaction{}
}

func discard(s *session, _ []string) (result, *sqlError) {
	s.prepared = map[string]string{}
	return result{tag: "DISCARD ALL"}, nil
}

func insertRequest(s *session, args []string) (result, *sqlError) {
	key := requestsTable + args[0]
	if err := s.lockRow(key); err != nil {
		return result{}, err
	}
	if _, ok := s.get(key); ok {
		return result{}, newError(postgres.CodeUniqueViolation, "duplicate key value violates unique constraint: %s", args[0])
	}
	return result{tag: "INSERT 0 1"}, s.put(key, "")
}

func updateRequest(s *session, args []string) (result, *sqlError) {
	return result{tag: "UPDATE 1"}, s.put(requestsTable+args[1], args[0])
}

func selectRequest(s *session, args []string) (result, *sqlError) {
	return selectKey(s, requestsTable+args[0]), nil
}
