package operator

import (
	"context"
	"embed"
	"html/template"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"pearlatch/core/config"
	"pearlatch/io/etcd"
)

//go:embed templates/*.html
var templateFiles embed.FS

// templates holds the templates of each page: the frame and the page's content.
var templates = map[string]*template.Template{}

var pages = []string{"overview", "group", "route", "document", "preview", "conflict", "accepted", "history", "error"}

func init() {
	for _, page := range pages {
		templates[page] = template.Must(template.ParseFS(templateFiles, "templates/frame.html", "templates/"+page+".html"))
	}
}

// console serves the HTML pages with which operators change the configuration.
type console struct{ config Configuration }

// registerConsole registers the handlers of the console.
func registerConsole(mux *http.ServeMux, c Configuration) {
	s := &console{config: c}
	mux.HandleFunc("GET /{$}", s.overview)
	mux.HandleFunc("GET /groups/{name}", s.groupForm)
	mux.HandleFunc("POST /groups/{name}", s.previewGroup)
	mux.HandleFunc("GET /routes/{name}", s.routeForm)
	mux.HandleFunc("POST /routes/{name}", s.previewRoute)
	mux.HandleFunc("GET /document", s.documentForm)
	mux.HandleFunc("POST /preview", s.previewDocument)
	mux.HandleFunc("POST /submit", s.submit)
	mux.HandleFunc("GET /spread", s.spread)
	mux.HandleFunc("GET /history", s.history)
	mux.HandleFunc("GET /history/{number}", s.previewHistory)
}

// page is the data of the frame template.
type page struct {
	Title   string
	Content any
}

// renderPage writes the named page with the given HTTP status.
func renderPage(w http.ResponseWriter, status int, name, title string, content any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'")
	w.WriteHeader(status)
	_ = templates[name].ExecuteTemplate(w, "frame.html", page{Title: title, Content: content})
}

func renderError(w http.ResponseWriter, status int, err error) {
	renderPage(w, status, "error", "It did not work", strings.Split(err.Error(), "\n"))
}

// document returns the document in force and its revision. If there is none, the
// document is empty, so that operators can create the first one with the forms.
func (s *console) document() (*config.Document, config.Revision) {
	r := s.config.InForce()
	doc, err := config.Parse(r.Text)
	if err != nil {
		doc = &config.Document{}
	}
	return doc, r
}

type overviewContent struct {
	Revision config.Revision
	Document *config.Document
	Spread   spreadContent
}

func (s *console) overview(w http.ResponseWriter, r *http.Request) {
	doc, rev := s.document()
	renderPage(w, http.StatusOK, "overview", "Configuration", overviewContent{rev, doc, s.querySpread(r.Context(), rev.Number)})
}

// spreadContent shows which hosts have a revision in force. Reached is the number
// of hosts that have it or a later one.
type spreadContent struct {
	Revision uint64
	Reached  int
	Hosts    []HostRevision
}

// querySpread asks the hosts for the revisions that they have in force.
func (s *console) querySpread(ctx context.Context, revision uint64) spreadContent {
	out := spreadContent{Revision: revision, Hosts: s.config.HostRevisions(ctx)}
	for _, h := range out.Hosts {
		if h.Answered && h.Revision >= revision {
			out.Reached++
		}
	}
	return out
}

// Complete reports whether all hosts have the revision, or a later one, in force.
func (c spreadContent) Complete() bool { return c.Reached == len(c.Hosts) }

// previewContent is a changed document that is not submitted yet. Mistakes is
// empty if the document is valid.
type previewContent struct {
	Base     uint64
	Document string
	Diff     []diffLine
	Mistakes []string
}

// renderPreview shows how text differs from the document in force, with the
// mistakes of an invalid document.
func (s *console) renderPreview(w http.ResponseWriter, base uint64, text []byte) {
	rev := s.config.InForce()
	content := previewContent{Base: base, Document: string(text), Diff: diff(string(rev.Text), string(text))}
	status := http.StatusOK
	if _, err := config.Parse(text); err != nil {
		content.Mistakes = strings.Split(err.Error(), "\n")
		status = http.StatusUnprocessableEntity
	}
	renderPage(w, status, "preview", "Check the change", content)
}

func (s *console) documentForm(w http.ResponseWriter, _ *http.Request) {
	rev := s.config.InForce()
	renderPage(w, http.StatusOK, "document", "Whole document", previewContent{Base: rev.Number, Document: string(rev.Text)})
}

func (s *console) previewDocument(w http.ResponseWriter, r *http.Request) {
	base, text, ok := postedDocument(w, r)
	if ok {
		s.renderPreview(w, base, text)
	}
}

// postedDocument reads the fields "base" and "document" of a form. If it returns
// false, it has sent an error page.
func postedDocument(w http.ResponseWriter, r *http.Request) (base uint64, text []byte, ok bool) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
	base, err := strconv.ParseUint(r.FormValue("base"), 10, 64)
	if err != nil {
		renderError(w, http.StatusBadRequest, errors.New("the field base is not a revision number"))
		return 0, nil, false
	}
	// Browsers end lines with CR LF.
	return base, []byte(strings.ReplaceAll(r.FormValue("document"), "\r\n", "\n")), true
}

// conflictContent shows both changes of a conflict, each as the difference from
// the base revision.
type conflictContent struct {
	Base     uint64
	Current  config.Revision
	Document string
	Theirs   []diffLine
	Mine     []diffLine
}

func (s *console) submit(w http.ResponseWriter, r *http.Request) {
	base, text, ok := postedDocument(w, r)
	if !ok {
		return
	}
	author, _, _ := r.BasicAuth()
	accepted, err := s.config.Submit(r.Context(), base, author, text)
	var conflict *etcd.Conflict
	switch {
	case err == nil:
		renderPage(w, http.StatusOK, "accepted", "Accepted", s.querySpread(r.Context(), accepted.Number))
	case errors.As(err, &conflict):
		renderPage(w, http.StatusConflict, "conflict", "Somebody else was faster", s.newConflictContent(r.Context(), base, text, conflict))
	default:
		renderError(w, submitStatus(err), err)
	}
}

// newConflictContent returns the content of the conflict page. If the store no
// longer keeps the base revision, both documents are shown as new.
func (s *console) newConflictContent(ctx context.Context, base uint64, text []byte, c *etcd.Conflict) conflictContent {
	out := conflictContent{Base: base, Current: c.Current, Document: string(text)}
	before := ""
	if list, err := s.config.History(ctx); err == nil {
		for _, r := range list {
			if r.Number == base {
				before = string(r.Text)
			}
		}
	}
	out.Theirs = diff(before, string(c.Current.Text))
	out.Mine = diff(before, string(text))
	return out
}

func (s *console) spread(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		number = s.config.InForce().Number
	}
	renderPage(w, http.StatusOK, "accepted", "Spread", s.querySpread(r.Context(), number))
}

func (s *console) history(w http.ResponseWriter, r *http.Request) {
	list, err := s.config.History(r.Context())
	if err != nil {
		renderError(w, http.StatusBadGateway, err)
		return
	}
	renderPage(w, http.StatusOK, "history", "History", list)
}

// previewHistory shows the change that returns to the document of an earlier
// revision. Submitting it creates a new revision.
func (s *console) previewHistory(w http.ResponseWriter, r *http.Request) {
	list, err := s.config.History(r.Context())
	if err != nil {
		renderError(w, http.StatusBadGateway, err)
		return
	}
	for _, each := range list {
		if strconv.FormatUint(each.Number, 10) == r.PathValue("number") {
			s.renderPreview(w, s.config.InForce().Number, each.Text)
			return
		}
	}
	renderError(w, http.StatusNotFound, errors.Errorf("the store keeps no revision %s", r.PathValue("number")))
}

// diffLine is a line of a unified diff. Sign is its first character: "+", "-", " ",
// or "@" for the header of a hunk.
type diffLine struct {
	Sign string
	Text string
}

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// diff returns the unified diff of two texts without the file headers.
func diff(before, after string) []diffLine {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after), Context: diffContext,
	})
	if err != nil {
		return nil
	}
	var out []diffLine
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\n")
		if line == "" {
			continue
		}
		out = append(out, diffLine{Sign: line[:1], Text: line[1:]})
	}
	return out
}
