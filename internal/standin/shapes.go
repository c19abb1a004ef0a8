package standin

import (
	"fmt"
	"iter"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/core/group"
	"pearlatch/io/postgres"
)

// sqlError is an error that a member sends.
type sqlError struct{ code, message string }

func newError(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// result is what a statement returns. Rows may be nil.
type result struct {
	rows iter.Seq[[]string]
	tag  string // of CommandComplete; "SELECT" gets its number of rows appended
}

func oneRow(values ...string) result {
	return result{tag: "SELECT", rows: func(yield func([]string) bool) { yield(values) }}
}

// shape is a form of statement that the stand-in understands.
type shape struct {
	pattern *regexp.Regexp
	columns []string
	writes  bool
	run     func(s *session, args []string) (result, *sqlError)
}

// Tables and keys of the stand-in's state.
const (
	itemsTable    = "items/"
	printsTable   = "prints/"
	requestsTable = "requests/"
	termKey       = "terms/term"
	fenceSetting  = "pearlatch.term"
)

// arg is a parameter or a literal.
const arg = `(\$\d+|'(?:[^']|'')*')`

var shapes = []shape{
	{match(`SELECT value FROM items WHERE key = ` + arg), []string{"value"}, false, selectItem},
	{match(`INSERT INTO items \(key, value\) VALUES \(` + arg + `, ` + arg + `\) ON CONFLICT \(key\) DO UPDATE SET value = excluded\.value`), nil, true, upsertItem},
	{match(`UPDATE items SET value = value \|\| ` + arg + ` WHERE key = ` + arg + ` RETURNING value`), []string{"value"}, true, appendItem},
	{match(`INSERT INTO prints \(id\) VALUES \(` + arg + `\)`), nil, true, insertPrint},
	{match(`SELECT count\(\*\) FROM prints WHERE id = ` + arg), []string{"count"}, false, countPrints},
	{match(`SELECT generate_series\(1, (\d+)\)`), []string{"generate_series"}, false, series},
	{match(`SELECT pg_sleep\(([\d.]+)\)`), []string{"pg_sleep"}, false, sleep},
	{match(`SELECT 1`), []string{"?column?"}, false, func(*session, []string) (result, *sqlError) { return oneRow("1"), nil }},
	{match(`SELECT pg_backend_pid\(\)`), []string{"pg_backend_pid"}, false, backendPID},
	{match(`(?:BEGIN|START TRANSACTION)(?: ISOLATION LEVEL [A-Z ]+?)?( READ ONLY)?( READ WRITE)?`), nil, false, begin},
	{match(`COMMIT|END`), nil, false, commit},
	{match(`ROLLBACK|ABORT`), nil, false, rollback},
	{match(`SET (?:SESSION )?[\w.]+ (?:=|TO) .*`), nil, false, tagged("SET")},
	{match(`DISCARD ALL`), nil, false, discard},
	{match(`INSERT INTO pearlatch\.requests \(id\) VALUES \(` + arg + `\)`), nil, true, insertRequest},
	{match(`UPDATE pearlatch\.requests SET outcome = ` + arg + ` WHERE id = ` + arg), nil, true, updateRequest},
	{match(`SELECT outcome FROM pearlatch\.requests WHERE id = ` + arg), []string{"outcome"}, false, selectRequest},
	{match(`COPY items FROM STDIN`), nil, true, nil},
	{match(`COPY items TO STDOUT`), nil, false, nil},
}

func match(pattern string) *regexp.Regexp { return regexp.MustCompile(`(?i)^(?:` + pattern + `)$`) }

func tagged(tag string) func(*session, []string) (result, *sqlError) {
	return func(*session, []string) (result, *sqlError) { return result{tag: tag}, nil }
}

var (
	comments          = regexp.MustCompile(`/\*.*?\*/`)
	afterBracket      = regexp.MustCompile(`\(\s+`)
	beforePunctuation = regexp.MustCompile(`\s+([,)])`)

	spaces     = regexp.MustCompile(`\s+`)
	parameters = regexp.MustCompile(`\$(\d+)`)
)

// maxNormalized bounds the texts whose normal form is kept.
const maxNormalized = 4096

var normalized = struct {
	sync.Mutex
	known map[string]string
}{known: map[string]string{}}

// normalize returns the form of sql that patterns are matched with. It keeps the
// forms, so that the stand-in costs little beside what is measured.
func normalize(sql string) string {
	normalized.Lock()
	defer normalized.Unlock()
	if out, ok := normalized.known[sql]; ok {
		return out
	}
	if len(normalized.known) >= maxNormalized {
		clear(normalized.known)
	}
	out := normalForm(sql)
	normalized.known[sql] = out
	return out
}

func normalForm(sql string) string {
	sql = comments.ReplaceAllString(sql, " ")
	sql = beforePunctuation.ReplaceAllString(afterBracket.ReplaceAllString(sql, "("), "$1")
	return strings.TrimSuffix(strings.TrimSpace(spaces.ReplaceAllString(sql, " ")), ";")
}

// splitStatements cuts a simple query at its semicolons. A semicolon within a
// literal does not occur in the shapes that the stand-in knows.
func splitStatements(sql string) []string {
	var out []string
	for one := range strings.SplitSeq(sql, ";") {
		if one = normalize(one); one != "" {
			out = append(out, one)
		}
	}
	return out
}

func parameterCount(sql string) int {
	n := 0
	for _, m := range parameters.FindAllStringSubmatch(sql, -1) {
		i, _ := strconv.Atoi(m[1])
		n = max(n, i)
	}
	return n
}

// knownShapes keeps the shapes of texts that hold their parameters apart.
var knownShapes sync.Map

func shapeOf(sql string) (*shape, *sqlError) {
	if sh, ok := knownShapes.Load(sql); ok {
		return sh.(*shape), nil
	}
	sh, err := findShape(normalize(sql))
	if err == nil && !strings.Contains(sql, "'") {
		knownShapes.Store(sql, sh)
	}
	return sh, err
}

func findShape(sql string) (*shape, *sqlError) {
	if sh := controlShape(sql); sh != nil {
		return sh, nil
	}
	for i := range shapes {
		if shapes[i].pattern.MatchString(sql) {
			return &shapes[i], nil
		}
	}
	return nil, newError(postgres.CodeSyntaxError, "statement not known to the stand-in: %s", sql)
}

// arguments returns what the placeholders of a statement stand for.
func arguments(sh *shape, sql string, bound []string) []string {
	found := sh.pattern.FindStringSubmatch(normalize(sql))[1:]
	out := make([]string, len(found))
	for i, a := range found {
		switch {
		case strings.HasPrefix(a, "$"):
			if n, _ := strconv.Atoi(a[1:]); n >= 1 && n <= len(bound) {
				out[i] = bound[n-1]
			}
		case strings.HasPrefix(a, "'"):
			out[i] = strings.ReplaceAll(a[1:len(a)-1], "''", "'")
		default:
			out[i] = a
		}
	}
	return out
}

// execute runs one statement and sends its answer up to CommandComplete.
func (s *session) execute(sql string, bound []string, simple bool) *sqlError {
	sh, err := shapeOf(sql)
	if err != nil {
		return err
	}
	args := arguments(sh, sql, bound)
	if err := s.admit(sh, sql); err != nil {
		return err
	}
	if strings.HasPrefix(strings.ToUpper(normalize(sql)), "COPY ") {
		return s.copy(sh)
	}
	res, err := s.occupy(sh, args)
	if err != nil {
		return err
	}
	if simple && len(sh.columns) > 0 {
		s.sendColumns(sh.columns)
	}
	s.sendRows(res)
	return nil
}

// admit refuses statements that the session's or the member's state forbids.
func (s *session) admit(sh *shape, sql string) *sqlError {
	if s.tx.failed && !strings.HasPrefix(strings.ToUpper(sql), "ROLLBACK") && !strings.HasPrefix(strings.ToUpper(sql), "COMMIT") {
		return newError(postgres.CodeInFailedTransaction, "current transaction is aborted")
	}
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if sh.writes && (m.inRecovery || m.readOnly || s.tx.readOnly) {
		return newError(postgres.CodeReadOnly, "cannot execute statement in a read-only transaction")
	}
	return nil
}

// occupy runs the statement in one of the member's slots.
func (s *session) occupy(sh *shape, args []string) (result, *sqlError) {
	m := s.member
	m.mu.Lock()
	service := m.group.options.Service + m.slow
	m.mu.Unlock()
	if service > 0 && len(sh.columns) > 0 || sh.writes {
		m.slots <- struct{}{}
		time.Sleep(service)
		<-m.slots
		m.awake()
	}
	res, err := sh.run(s, args)
	if err == nil && sh.writes && !s.tx.open {
		err = s.commitWrites()
	}
	if err != nil && !s.tx.open {
		s.dropWrites()
	}
	return res, err
}

func (s *session) sendRows(res result) {
	n := 0
	if res.rows != nil {
		for row := range res.rows {
			values := make([][]byte, len(row))
			for i, v := range row {
				values[i] = []byte(v)
			}
			s.backend.Send(&pgproto3.DataRow{Values: values})
			if n++; n%1000 == 0 && s.flush() != nil {
				return
			}
		}
	}
	tag := res.tag
	if tag == "SELECT" {
		tag += " " + strconv.Itoa(n)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// parseFence reads the stored form "term:host" of a fence.
func parseFence(v string) group.Fence {
	term, host, _ := strings.Cut(v, ":")
	n, _ := strconv.ParseUint(term, 10, 64)
	return group.Fence{Term: group.Term(n), Host: host}
}
