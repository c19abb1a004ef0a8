//go:build review

// Command standin runs one case of the review: a model of the platform, members and clients before hosts that run as
// separate processes with the command of deploy/system.toml. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns an error if it could not run.
var cases = map[string]func(e *env) error{}

// env is what a case runs in.
type env struct {
	rec     *recorder
	store   *store
	service *service
	hosts   []*host
	trouble bool
	folder  string
}

// host is a process of the system.
type host struct {
	name, callers, ready string
	command              *exec.Cmd
	exited               chan struct{}
}

const (
	serviceName = "huvo11a"
	// The databases, by the type of their routes.
	primaryDB, ownWritesDB, boundedDB = "lepu270", "fiti832ti23", "xapu221ny95"
)

// config is op/config as `fleetbench wire` shows it for the site.
const config = `{"version":7,"routes":[` +
	`{"name":"r-68k7b2e","host":"fiti832ti23","prefix":"/","type":"read_your_writes","timeout_ms":800,"target_latency_ms":250,"priority":2,"service":"huvo11a","max_attempts":2,"max_staleness_ms":2500},` +
	`{"name":"r-n2ctnfz","host":"lepu270","prefix":"/","type":"primary","timeout_ms":800,"target_latency_ms":150,"priority":1,"service":"huvo11a","max_attempts":2},` +
	`{"name":"r-nfqasnm","host":"xapu221ny95","prefix":"/","type":"bounded_staleness","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"huvo11a","max_attempts":2,"max_staleness_ms":1500}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":23,"protocol":"h1","tls":false,"sync_replicas":1}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}`

var zones = []string{"attica-marousi", "attica-peristeri", "attica-koropi"}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PEARLATCH RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(f func(*env) error, program, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &env{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	err = e.start(program)
	if err == nil {
		err = f(e)
	}
	e.stop()
	broken := rec.finish()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// start starts the platform's model and three hosts.
func (e *env) start(program string) (err error) {
	if e.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	e.store = newStore()
	if e.service, err = newService(serviceName, e.store, e.rec, zones, func() time.Duration { return 18 * time.Millisecond }); err != nil {
		return err
	}
	e.store.put("op/config", []byte(config))
	storeAddr, err := serveHTTP(e.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := serveHTTP(e.cloud())
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(4 * len(zones))
	if err != nil {
		return err
	}
	seeds, _ := json.Marshal([]string{addrs[2], addrs[6], addrs[10]})
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("frontend-%s-1", zone), callers: addrs[4*i], ready: addrs[4*i+1], exited: make(chan struct{})}
		// The fields of deploy/settings.yaml, filled in for a site of this size.
		settings := fmt.Sprintf("host: %q\navailability_zone: %q\ncallers: %q\nready: %q\npeers: %q\nseeds: %s\nmetrics: %q\nstore: %q\npromotions: %q\n"+
			"member_drain: 7000ms\ngrace: 6s\nprocessor_share: 0.4\nprocessor_cores: 1\nlease_floor: 1000ms\npromotion_tokens: true\n",
			h.name, zone, h.callers, h.ready, addrs[4*i+2], seeds, addrs[4*i+3], storeAddr, cloudAddr)
		path := filepath.Join(e.folder, h.name+".yaml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(e.folder, h.name+".log"))
		if err != nil {
			return err
		}
		h.command = exec.Command(program, "gateway")
		h.command.Env = []string{"PEARLATCH_SETTINGS=" + path, "GOGC=50", "PATH=" + os.Getenv("PATH"), "HOME=" + e.folder}
		h.command.Stdout, h.command.Stderr = log, log
		h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := h.command.Start(); err != nil {
			return err
		}
		go func() {
			_ = h.command.Wait()
			e.rec.note("process of %s has ended: %v", h.name, h.command.ProcessState)
			close(h.exited)
		}()
		e.hosts = append(e.hosts, h)
	}
	return e.awaitReady()
}

// awaitReady waits until all hosts are ready, and two seconds more.
func (e *env) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range e.hosts {
			if res, err := http.Get("http://" + h.ready + "/api/ready"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(e.hosts) {
			e.rec.note("all hosts are ready")
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after 20 s")
}

// stop ends all hosts and removes the folder.
func (e *env) stop() {
	for _, h := range e.hosts {
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	}
}

// cloud returns the handler of POST /promote.
func (e *env) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		var in struct{ Service, ID string }
		token, err := strconv.ParseInt(r.Header.Get("Pearlatch-Fence-Token"), 10, 64)
		if json.Unmarshal(body.Bytes(), &in) != nil || err != nil || in.Service != serviceName {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := e.service.promote(in.ID, token)
		e.rec.note("promote %s by %s with %d: %d", in.ID, r.Header.Get("Pearlatch-Duty-Holder"), token, status)
		answer(w, status, map[string]any{})
	})
	return mux
}

func serveHTTP(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(lis, h) }()
	return lis.Addr().String(), nil
}

// freeAddrs returns loopback addresses with free ports.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		out = append(out, lis.Addr().String())
	}
	return out, nil
}

// sleepUntil sleeps until d after the start of the record.
func (e *env) sleepUntil(d time.Duration) { time.Sleep(time.Until(e.rec.started.Add(d))) }

func plural(n int, what string) string {
	return strconv.Itoa(n) + " " + strings.TrimSuffix(what, "s") + "s"
}
