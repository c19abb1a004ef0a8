package standin

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"pearlatch/io/postgres"
	"pearlatch/io/upstream"
)

// The statements of the owner's control connection. Those without arguments
// are compared with the text that pearlatch sends.
var controlShapes = []shape{
	exact(upstream.StatusSQL, []string{"in_recovery", "fence", "streaming", "timeline", "log_term", "received", "replayed"}, status),
	exact(upstream.PromoteSQL, []string{"pg_promote"}, promoteMember),
	exact(upstream.ReloadSQL, []string{"pg_reload_conf"}, reloadMember),
	exact(upstream.TermSQL, []string{"coalesce"}, storedFence),
	exact(upstream.TryOwnerLockSQL, []string{"pg_try_advisory_lock"}, tryOwnerLock),
	exact(upstream.EndOwnerSQL, []string{"pg_terminate_backend"}, endOwner),
	exact(upstream.EndOthersSQL, []string{"pg_terminate_backend"}, endOthers),
	{match(`SELECT application_name FROM pg_stat_activity WHERE application_name LIKE ` + arg + ` AND application_name <> ` + arg), []string{"application_name"}, false, listStrangers},
	{match(`SELECT pg_terminate_backend\(pid\) FROM pg_stat_activity WHERE application_name = ` + arg), []string{"pg_terminate_backend"}, false, endApp},
	{match(`SELECT pg_advisory_lock\((\d+)\)`), []string{"pg_advisory_lock"}, false, advisoryLock},
	{match(`SELECT pg_advisory_unlock\((\d+)\)`), []string{"pg_advisory_unlock"}, false, advisoryUnlock},
	{match(`ALTER SYSTEM SET ([\w.]+) = ` + arg), nil, false, alterSystem},
	{match(`INSERT INTO pearlatch\.terms \(term, host\) VALUES \((\d+), ` + arg + `\)`), nil, true, insertTerm},
}

func exact(sql string, columns []string, run func(*session, []string) (result, *sqlError)) shape {
	return shape{match(regexp.QuoteMeta(sql)), columns, false, run}
}

func controlShape(sql string) *shape {
	for i := range controlShapes {
		if controlShapes[i].pattern.MatchString(sql) {
			return &controlShapes[i]
		}
	}
	return nil
}

func status(s *session, _ []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	return oneRow(
		pgBool(m.inRecovery),
		m.fenceText(),
		pgBool(m.streaming()),
		strconv.Itoa(int(m.timeline)),
		strconv.FormatUint(uint64(m.wal.logTerm()), 10),
		m.wal.received().String(),
		m.wal.replayed().String(),
	), nil
}

func pgBool(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func (m *Member) fenceText() string {
	if m.fence.Term == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(m.fence.Term), 10) + ":" + m.fence.Host
}

func promoteMember(s *session, _ []string) (result, *sqlError) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	if !s.member.promote() {
		return result{}, newError(postgres.CodeNotInPrerequisiteState, "recovery is not in progress")
	}
	return oneRow("t"), nil
}

func reloadMember(s *session, _ []string) (result, *sqlError) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.member.reload()
	return oneRow("t"), nil
}

func storedFence(s *session, _ []string) (result, *sqlError) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	return oneRow(s.member.fenceText()), nil
}

func tryOwnerLock(s *session, _ []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	key := strconv.Itoa(upstream.OwnerLock)
	if holder := m.advisory[key]; holder != nil && holder != s {
		return oneRow("f"), nil
	}
	m.advisory[key] = s
	return oneRow("t"), nil
}

func advisoryLock(s *session, args []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	return oneRow(""), m.lock(m.advisory, s, args[0], func() {})
}

func advisoryUnlock(s *session, args []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.advisory[args[0]] == s
	if held {
		delete(m.advisory, args[0])
		m.released.Broadcast()
	}
	return oneRow(pgBool(held)), nil
}

func alterSystem(s *session, args []string) (result, *sqlError) {
	if s.tx.open {
		return result{}, newError("25001", "ALTER SYSTEM cannot run inside a transaction block")
	}
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.member.settings[args[0]] = args[1]
	return result{tag: "ALTER SYSTEM"}, nil
}

func insertTerm(s *session, args []string) (result, *sqlError) {
	return result{tag: "INSERT 0 1"}, s.put(termKey, args[0])
}

func endOwner(s *session, _ []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	holder := m.advisory[strconv.Itoa(upstream.OwnerLock)]
	m.mu.Unlock()
	if holder == nil || holder == s {
		return result{tag: "SELECT"}, nil
	}
	holder.terminate()
	return oneRow("t"), nil
}

func endOthers(s *session, _ []string) (result, *sqlError) {
	for _, other := range s.member.lockedSessions() {
		if other != s {
			other.terminate()
		}
	}
	return oneRow("t"), nil
}

func listStrangers(s *session, args []string) (result, *sqlError) {
	prefix := strings.TrimSuffix(args[0], "%")
	var apps []string
	for _, other := range s.member.lockedSessions() {
		if strings.HasPrefix(other.app, prefix) && other.app != args[1] {
			apps = append(apps, other.app)
		}
	}
	return result{tag: "SELECT", rows: func(yield func([]string) bool) {
		for _, app := range apps {
			if !yield([]string{app}) {
				return
			}
		}
	}}, nil
}

func endApp(s *session, args []string) (result, *sqlError) {
	for _, other := range s.member.lockedSessions() {
		if other.app == args[0] && other != s {
			other.terminate()
		}
	}
	return oneRow("t"), nil
}

// lockedSessions returns the open sessions.
func (m *Member) lockedSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openSessions()
}

// terminate ends a session and waits until its locks are free.
func (s *session) terminate() {
	s.abort()
	<-s.gone
}

func parseConninfo(v string) (netip.AddrPort, error) {
	var host, port string
	for field := range strings.FieldsSeq(v) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "host":
			host = value
		case "port":
			port = value
		}
	}
	addr, err := netip.ParseAddrPort(host + ":" + port)
	return addr, errors.Wrapf(err, "primary_conninfo %q", v)
}
