package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Process is the host as operators see it.
type Process interface {
	// State returns the dump.
	State() State
	// Drain begins a graceful shutdown.
	Drain()
}

// Options says what a server needs.
type Options struct {
	Process Process
	Metrics metrics.Registry
	// Configuration is what the console and the command line change.
	Configuration Configuration
	// Login is who may change anything. Without one, nothing can be changed over
	// this address.
	Login Login
}

// Login is an operator's user and password.
type Login struct{ User, Password string }

// Server answers operators. Use NewServer.
type Server struct {
	http *http.Server
}

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 5 * time.Second

// NewServer returns a server. Serve makes it answer.
func NewServer(o Options) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Process.State()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(o.Metrics, w)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, o.Process.State()) })
	inner := http.NewServeMux()
	inner.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		o.Process.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	registerAPI(inner, o.Configuration)
	registerConsole(inner, o.Configuration)
	mux.Handle("/", requireLogin(o.Login, inner))
	return &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
}

// requireLogin lets only the operator pass, and no request that another site's page
// makes in the operator's browser.
func requireLogin(login Login, next http.Handler) http.Handler {
	next = http.NewCrossOriginProtection().Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if login.User == "" {
			http.Error(w, "changes are off: operator_login is not set in this host's settings", http.StatusForbidden)
			return
		}
		user, password, _ := r.BasicAuth()
		sameUser := subtle.ConstantTimeCompare([]byte(user), []byte(login.User))
		samePassword := subtle.ConstantTimeCompare([]byte(password), []byte(login.Password))
		if sameUser&samePassword != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="pearlatch"`)
			http.Error(w, "user or password is wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close ends the server at once.
func (s *Server) Close() { _ = s.http.Close() }

// serveReady answers the platform's balancer: 200 when callers are welcome.
func serveReady(w http.ResponseWriter, s State) {
	if s.Ready && !s.Draining {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, s.NotReady, http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
