package operator

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"pearlatch/core/config"
)

// newSectionPath is the name under which forms for new sections are reached.
const newSectionPath = "new"

// formField is a field of a form.
type formField struct {
	Name, Label, Help, Value string
	// Options, if any, are the values to choose from.
	Options []string
}

// formContent is a form for a section of the document.
type formContent struct {
	Base    uint64
	Name    string
	Fields  []formField
	Members []memberRow
	// Groups are the groups that a route may lead to.
	Groups []string
}

// memberRow is a member in a group's form. Empty rows are left out.
type memberRow struct {
	Index               int
	Name, Address, Zone string
	Leaving             bool
}

// emptyMemberRows is how many empty rows a form offers for new members.
const emptyMemberRows = 2

func (s *console) groupForm(w http.ResponseWriter, r *http.Request) {
	doc, rev := s.document()
	g := &config.Group{Slots: 1, Timing: config.DefaultTiming()}
	if name := r.PathValue("name"); name != newSectionPath {
		var ok bool
		if g, ok = doc.Group(name); !ok {
			renderError(w, http.StatusNotFound, errors.Errorf("there is no group %q", name))
			return
		}
	}
	content := formContent{Base: rev.Number, Name: r.PathValue("name"), Fields: groupFields(g)}
	for i, m := range g.Members {
		content.Members = append(content.Members, memberRow{i, m.Name, m.Addr.String(), m.Zone, m.Leaving})
	}
	for range emptyMemberRows {
		content.Members = append(content.Members, memberRow{Index: len(content.Members)})
	}
	renderPage(w, http.StatusOK, "group", "Group "+g.Name, content)
}

func groupFields(g *config.Group) []formField {
	return []formField{
		{Name: "name", Label: "Name", Value: g.Name},
		{Name: "database", Label: "Database", Value: g.Database},
		{Name: "credential", Label: "Credential", Help: "name of an entry in the hosts' settings", Value: g.Credential},
		{Name: "slots", Label: "Slots", Help: "statements that a member runs at once", Value: strconv.Itoa(g.Slots)},
		{Name: "connections", Label: "Connections", Help: "budget over all members", Value: strconv.Itoa(g.Connections)},
		{Name: "timing.probe_interval", Label: "Probe interval", Value: g.Timing.ProbeInterval.String()},
		{Name: "timing.silence", Label: "Silence", Help: "after which a member counts as gone", Value: g.Timing.Silence.String()},
		{Name: "timing.lease", Label: "Lease", Value: g.Timing.Lease.String()},
		{Name: "timing.switchover_hold", Label: "Switchover hold", Help: "longest pause of a planned switchover", Value: g.Timing.SwitchoverHold.String()},
	}
}

func (s *console) previewGroup(w http.ResponseWriter, r *http.Request) {
	doc, _ := s.document()
	fields := postedFields(r, groupFields(&config.Group{}))
	var members [][]config.Field
	for i := 0; r.PostForm.Has(memberFieldName(i, "name")); i++ {
		if row := postedMember(r, i); row != nil {
			members = append(members, row)
		}
	}
	fields = append(fields, config.Field{Name: "members", Sections: members})
	s.previewEdit(w, r, doc, config.Edit{Group: sectionName(r), Fields: fields})
}

func memberFieldName(i int, name string) string { return fmt.Sprintf("members[%d].%s", i, name) }

// postedMember returns the fields of a member's row, or nil for an empty one.
func postedMember(r *http.Request, i int) []config.Field {
	value := func(name string) string { return r.PostForm.Get(memberFieldName(i, name)) }
	if value("name") == "" && value("address") == "" {
		return nil
	}
	row := []config.Field{
		{Name: "name", Value: value("name")},
		{Name: "address", Value: value("address")},
		{Name: "availability_zone", Value: value("availability_zone")},
	}
	if value("leaving") != "" {
		row = append(row, config.Field{Name: "leaving", Value: "true"})
	}
	return row
}

func (s *console) routeForm(w http.ResponseWriter, r *http.Request) {
	doc, rev := s.document()
	route, err := defaultRoute(doc)
	if name := r.PathValue("name"); name != newSectionPath {
		var ok bool
		if route, ok = doc.Route(name); !ok {
			err = errors.Errorf("there is no route %q", name)
		}
	}
	if err != nil {
		renderError(w, http.StatusNotFound, err)
		return
	}
	content := formContent{Base: rev.Number, Name: r.PathValue("name"), Fields: routeFields(route)}
	for _, g := range doc.Groups {
		content.Groups = append(content.Groups, g.Name)
	}
	renderPage(w, http.StatusOK, "route", "Route "+route.Name, content)
}

// defaultRoute returns a route with the defaults that a document gives it.
func defaultRoute(doc *config.Document) (*config.Route, error) {
	if len(doc.Groups) == 0 {
		return nil, errors.New("there is no group yet that a route could lead to")
	}
	text := config.EncodeEdited(doc, config.Edit{Route: newSectionPath, Fields: []config.Field{
		{Name: "name", Value: newSectionPath}, {Name: "group", Value: doc.Groups[0].Name}, {Name: "credential", Value: newSectionPath},
	}})
	d, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	route, _ := d.Route(newSectionPath)
	route.Name, route.Credential = "", ""
	return route, nil
}

func routeFields(r *config.Route) []formField {
	reads := ""
	if r.Reads != nil {
		reads = r.Reads.String()
	}
	return []formField{
		{Name: "name", Label: "Name", Help: "callers give it as their database", Value: r.Name},
		{Name: "group", Label: "Group", Value: r.Group},
		{Name: "credential", Label: "Credential", Help: "name of an entry in the hosts' settings", Value: r.Credential},
		{Name: "reads", Label: "Reads accept", Help: "latest, own_writes or age <= 2s", Value: reads},
		{Name: "deadline", Label: "Deadline", Value: r.Deadline.String()},
		{Name: "patience", Label: "Patience", Help: "how long a read waits for a replica", Value: r.Patience.String()},
		{Name: "priority", Label: "Priority", Value: r.Priority.String(),
			Options: []string{config.High.String(), config.Normal.String(), config.Low.String()}},
		{Name: "max_callers", Label: "Callers at most", Help: "on one host", Value: strconv.Itoa(r.MaxCallers)},
		{Name: "idle_in_transaction", Label: "Idle in transaction", Help: "longest pause", Value: r.IdleInTransaction.String()},
		{Name: "idempotent", Label: "Idempotent", Help: "every statement may be repeated", Value: strconv.FormatBool(r.Idempotent),
			Options: []string{"false", "true"}},
	}
}

func (s *console) previewRoute(w http.ResponseWriter, r *http.Request) {
	doc, _ := s.document()
	fields := postedFields(r, routeFields(&config.Route{}))
	s.previewEdit(w, r, doc, config.Edit{Route: sectionName(r), Fields: fields})
}

// sectionName returns the name of the section that a form edits.
func sectionName(r *http.Request) string {
	if name := r.PathValue("name"); name != newSectionPath {
		return name
	}
	// A new section must not replace one that exists: its name may be taken, and
	// then the document says so.
	return noSectionName
}

// noSectionName is a name that no section can have.
const noSectionName = " "

// postedFields returns the form's fields as they were entered.
func postedFields(r *http.Request, known []formField) []config.Field {
	_ = r.ParseForm()
	var out []config.Field
	for _, f := range known {
		out = append(out, config.Field{Name: f.Name, Value: r.PostForm.Get(f.Name)})
	}
	return out
}

func (s *console) previewEdit(w http.ResponseWriter, r *http.Request, doc *config.Document, edit config.Edit) {
	base, err := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	if err != nil {
		renderError(w, http.StatusBadRequest, errors.New("the field base is not a revision number"))
		return
	}
	text := config.EncodeEdited(doc, edit)
	if clean, err := config.Parse(text); err == nil {
		text = config.Encode(clean)
	}
	s.renderPreview(w, base, text)
}
