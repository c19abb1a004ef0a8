package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"pearlatch/core/config"
	"pearlatch/io/etcd"
)

// memoryConfiguration is a Configuration held in memory.
type memoryConfiguration struct{ revisions []config.Revision }

func (m *memoryConfiguration) InForce() config.Revision { return m.revisions[len(m.revisions)-1] }

func (m *memoryConfiguration) Submit(_ context.Context, base uint64, author string, text []byte) (config.Revision, error) {
	if _, err := config.Parse(text); err != nil {
		return config.Revision{}, err
	}
	if now := m.InForce(); now.Number != base {
		return config.Revision{}, &etcd.Conflict{Current: now}
	}
	r := config.Revision{Number: base + 1, Author: author, Text: text}
	m.revisions = append(m.revisions, r)
	return r, nil
}

func (m *memoryConfiguration) History(context.Context) ([]config.Revision, error) {
	return m.revisions, nil
}

func (m *memoryConfiguration) HostRevisions(context.Context) []HostRevision {
	return []HostRevision{{"host-1", m.InForce().Number, true}, {"host-2", 1, true}, {"host-3", 0, false}}
}

type fakeProcess struct{ drained bool }

func (p *fakeProcess) State() State { return State{Host: "host-1", Ready: true} }
func (p *fakeProcess) Drain()       { p.drained = true }

var login = Login{User: "ops", Password: "secret"}

func newConsole(t *testing.T) (*memoryConfiguration, *httptest.Server) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "core", "config", "testdata", "valid.golden"))
	if err != nil {
		t.Fatal(err)
	}
	m := &memoryConfiguration{revisions: []config.Revision{{Number: 1, Author: "first", Text: text}}}
	s := NewServer(Options{Process: &fakeProcess{}, Metrics: metrics.NewRegistry(), Configuration: m, Login: login})
	server := httptest.NewServer(s.http.Handler)
	t.Cleanup(server.Close)
	return m, server
}

// sendRequest sends a request with the operator's login and returns the status and
// the body of the response. change, if not nil, modifies the request first.
func sendRequest(t *testing.T, method, target string, form url.Values, change func(*http.Request)) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, target, strings.NewReader(form.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.SetBasicAuth(login.User, login.Password)
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func routeFormValues(name, deadline string) url.Values {
	return url.Values{
		"base": {"1"}, "name": {name}, "group": {"allergen-core"}, "credential": {"app"}, "reads": {"own_writes"},
		"deadline": {deadline}, "patience": {"50ms"}, "priority": {"normal"}, "max_callers": {"10"},
		"idle_in_transaction": {"30s"}, "idempotent": {"false"},
	}
}

func TestFormsSubmitRevision(t *testing.T) {
	m, server := newConsole(t)
	for _, path := range []string{"/", "/groups/allergen-core", "/groups/new", "/routes/desk", "/routes/new", "/document", "/history", "/spread"} {
		if status, body := sendRequest(t, "GET", server.URL+path, nil, nil); status != http.StatusOK || !strings.Contains(body, "</html>") {
			t.Errorf("%s: status %d", path, status)
		}
	}
	status, body := sendRequest(t, "POST", server.URL+"/routes/desk", routeFormValues("desk", "7s"), nil)
	if status != http.StatusOK || !strings.Contains(body, "deadline: 7s") || !strings.Contains(body, "Submit on revision 1") {
		t.Fatalf("preview: status %d\n%s", status, body)
	}
	if len(m.revisions) != 1 {
		t.Fatal("a preview was accepted")
	}
	text := strings.Replace(string(m.revisions[0].Text), "deadline: 5s", "deadline: 7s", 1)
	status, body = sendRequest(t, "POST", server.URL+"/submit", url.Values{"base": {"1"}, "document": {strings.ReplaceAll(text, "\n", "\r\n")}}, nil)
	if status != http.StatusOK || !strings.Contains(body, "Revision 2 is in force on 1 of 3 hosts") {
		t.Fatalf("submit: status %d\n%s", status, body)
	}
	if got := m.InForce(); got.Author != "ops" || string(got.Text) != text {
		t.Errorf("revision %d by %s", got.Number, got.Author)
	}
}

func TestFormShowsValidationErrors(t *testing.T) {
	_, server := newConsole(t)
	status, body := sendRequest(t, "POST", server.URL+"/routes/desk", routeFormValues("desk", "soon"), nil)
	if status != http.StatusUnprocessableEntity || !strings.Contains(body, "is not a duration") {
		t.Errorf("status %d\n%s", status, body)
	}
	status, body = sendRequest(t, "POST", server.URL+"/routes/new", routeFormValues("desk", "5s"), nil)
	if status != http.StatusUnprocessableEntity || !strings.Contains(body, "is used twice") {
		t.Errorf("a new route replaced an existing one: status %d", status)
	}
}

func TestConflictShowsBothChanges(t *testing.T) {
	m, server := newConsole(t)
	theirs := strings.Replace(string(m.revisions[0].Text), "slots: 3", "slots: 4", 1)
	mine := strings.Replace(string(m.revisions[0].Text), "deadline: 5s", "deadline: 9s", 1)
	for i, text := range []string{theirs, mine} {
		status, body := sendRequest(t, "POST", server.URL+"/submit", url.Values{"base": {"1"}, "document": {text}}, nil)
		if i == 0 && status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if i == 1 && (status != http.StatusConflict || !strings.Contains(body, "slots: 4") || !strings.Contains(body, "deadline: 9s")) {
			t.Errorf("status %d\n%s", status, body)
		}
	}
}

func TestChangesRequireLogin(t *testing.T) {
	_, server := newConsole(t)
	for _, path := range []string{"/", "/config", "/history"} {
		if status, _ := sendRequest(t, "GET", server.URL+path, nil, func(r *http.Request) { r.SetBasicAuth("ops", "wrong") }); status != http.StatusUnauthorized {
			t.Errorf("%s: status %d", path, status)
		}
	}
	crossSite := func(r *http.Request) { r.Header.Set("Sec-Fetch-Site", "cross-site") }
	if status, _ := sendRequest(t, "POST", server.URL+"/drain", nil, crossSite); status != http.StatusForbidden {
		t.Errorf("cross-site request to drain: status %d", status)
	}
	if status, _ := sendRequest(t, "GET", server.URL+"/state", nil, func(r *http.Request) { r.Header.Del("Authorization") }); status != http.StatusOK {
		t.Errorf("state without login: status %d", status)
	}
}

// Guards against a diff that takes changed lines which begin with -- or ++ for the names of files.
func TestDiffShowsLinesThatBeginWithSigns(t *testing.T) {
	var changed []diffLine
	for _, l := range diff("a\n-- old\nb\n", "a\n++ new\nb\n") {
		if l.Sign == "-" || l.Sign == "+" {
			changed = append(changed, l)
		}
	}
	if want := []diffLine{{"-", "-- old"}, {"+", "++ new"}}; !slices.Equal(changed, want) {
		t.Errorf("changed lines %q, want %q", changed, want)
	}
}
