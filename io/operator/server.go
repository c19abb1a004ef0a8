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

// Process is the host that a server reports on. Its methods may be called from
// several goroutines.
type Process interface {
	// State returns the current state of the host.
	State() State
	// Drain starts a graceful shutdown and returns at once.
	Drain()
}

// Options configures a Server.
type Options struct {
	Process Process
	Metrics metrics.Registry
	// Configuration is the configuration that the console and the command line
	// show and change.
	Configuration Configuration
	// Login is required by all requests except /state, /metrics and /ready. If it
	// has no user, those requests are refused.
	Login Login
}

// Login is the user name and password of operators.
type Login struct{ User, Password string }

// Server serves the operator interface over HTTP. Use NewServer.
type Server struct {
	http *http.Server
}

// headerTimeout is the time limit for a client to send the request headers.
const headerTimeout = 5 * time.Second

// NewServer returns a server. Call Serve to accept requests.
func NewServer(o Options) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Process.State()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(o.Metrics, w)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, o.Process.State()) })
	protected := http.NewServeMux()
	protected.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		o.Process.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	registerAPI(protected, o.Configuration)
	registerConsole(protected, o.Configuration)
	mux.Handle("/", requireLogin(o.Login, protected))
	return &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
}

// requireLogin passes on only requests with the operator's login. It refuses
// cross-origin requests that could change something, because a page of another
// site can make them in the operator's browser.
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

// Serve accepts requests from l until Close is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close stops the server at once, without waiting for open requests.
func (s *Server) Close() { _ = s.http.Close() }

// serveReady answers the health check of the platform's load balancer: with 200
// if the host accepts callers, otherwise with 503 and the reason.
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
