package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/internal/yamlmap"
	"pearlatch/io/etcd"
)

// Configuration is the configuration as operators change it.
type Configuration interface {
	// InForce returns the revision in force on this host.
	InForce() config.Revision
	// Submit makes a document the next revision. The error is a
	// yamlmap.Mistakes, a *etcd.Conflict or one that says what failed.
	Submit(ctx context.Context, base uint64, author string, text []byte) (config.Revision, error)
	// History returns the revisions that the store keeps, newest first.
	History(ctx context.Context) ([]config.Revision, error)
	// HostRevisions asks all live hosts which revision they have in force.
	HostRevisions(ctx context.Context) []HostRevision
}

// HostRevision is the revision that a host has in force.
type HostRevision struct {
	Host     string
	Revision uint64
	// Answered is false for a host that did not say.
	Answered bool
}

// RevisionBody is a revision in the JSON interface.
type RevisionBody struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Document string    `json:"document,omitempty"`
}

// SubmitBody is a submission in the JSON interface.
type SubmitBody struct {
	Base     uint64 `json:"base"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

func newRevisionBody(r config.Revision, document bool) RevisionBody {
	out := RevisionBody{Revision: r.Number, Author: r.Author, At: r.At}
	if document {
		out.Document = string(r.Text)
	}
	return out
}

// maxBodySize bounds what a client may send, in bytes.
const maxBodySize = 16 << 20

// registerAPI adds the JSON interface that the command line uses.
func registerAPI(mux *http.ServeMux, c Configuration) {
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, newRevisionBody(c.InForce(), true))
	})
	mux.HandleFunc("GET /config/history", func(w http.ResponseWriter, r *http.Request) {
		list, err := c.History(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		out := make([]RevisionBody, len(list))
		for i, each := range list {
			out[i] = newRevisionBody(each, false)
		}
		writeJSON(w, out)
	})
	mux.HandleFunc("POST /config", func(w http.ResponseWriter, r *http.Request) {
		var in SubmitBody
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&in); err != nil {
			http.Error(w, "the submission is not a JSON object: "+err.Error(), http.StatusBadRequest)
			return
		}
		accepted, err := c.Submit(r.Context(), in.Base, in.Author, []byte(in.Document))
		if err != nil {
			http.Error(w, err.Error(), submitStatus(err))
			return
		}
		writeJSON(w, newRevisionBody(accepted, false))
	})
}

// submitStatus returns the HTTP status of a failed submission.
func submitStatus(err error) int {
	var conflict *etcd.Conflict
	var mistakes yamlmap.Mistakes
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &mistakes):
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadGateway
}
