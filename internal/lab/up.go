package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// labPort is where faults are asked for, on the platform's address.
const labPort = 8000

// UpResult is what "up" prints as one JSON line.
type UpResult struct {
	// Callers holds a URL for each host and route.
	Callers []CallerURL `json:"callers"`
	// Operators lists the hosts' operator addresses; the console is at "/".
	Operators []string `json:"operators"`
	// User and Password are what the console asks for.
	User     string `json:"user"`
	Password string `json:"password"`
	// Faults is where POST /fault is answered.
	Faults string `json:"faults"`
}

// CallerURL is where callers reach a route on a host.
type CallerURL struct {
	Host  string `json:"host"`
	Route string `json:"route"`
	URL   string `json:"url"`
}

// Up runs a site until ctx ends.
func Up(ctx context.Context, out io.Writer, logger log.Logger) error {
	t := Kyrikos()
	t.Hosts = 4
	c, err := StartCluster(t, logger)
	if err != nil {
		return err
	}
	defer c.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.Ready(ready); err != nil {
		return errors.Wrap(err, "the cluster did not become ready")
	}
	addr := t.addr(platformByte, labPort).String()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for faults")
	}
	server := &http.Server{Handler: faultHandler(c), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	line, err := json.Marshal(c.upResult(addr))
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(line))
	<-ctx.Done()
	return nil
}

func (c *Cluster) upResult(faults string) UpResult {
	out := UpResult{User: User, Password: Password, Faults: "http://" + faults + "/fault"}
	for i := range c.Topology.Hosts {
		out.Operators = append(out.Operators, "http://"+c.Topology.hostAddr(i, operatorPort).String())
		for g := range c.Groups {
			for _, kind := range []string{StrictRoute, DeskRoute, BrowseRoute} {
				route := c.Topology.RouteName(kind, g)
				out.Callers = append(out.Callers, CallerURL{hostID(i), route, c.URL(i, route)})
			}
		}
	}
	return out
}

// faultBody is a fault as POST /fault takes it. Groups, members and hosts count
// from 1; a member of 0 stands for the primary.
type faultBody struct {
	Fault  string  `json:"fault"`
	Group  int     `json:"group"`
	Member int     `json:"member"`
	Host   int     `json:"host"`
	By     string  `json:"by"`
	Share  float64 `json:"share"`
}

func (b faultBody) fault() (Fault, error) {
	kind, err := ParseFaultKind(b.Fault)
	if err != nil {
		return Fault{}, err
	}
	f := Fault{Kind: kind, Group: max(1, b.Group) - 1, Member: b.Member - 1, Host: max(1, b.Host) - 1, Share: b.Share}
	if b.By != "" {
		f.By, err = time.ParseDuration(b.By)
	}
	return f, errors.Wrap(err, "by")
}

func faultHandler(c *Cluster) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var body faultBody
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&body)
		var f Fault
		if err == nil {
			f, err = body.fault()
		}
		if err == nil {
			err = c.Cause(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
