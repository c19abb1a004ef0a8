package host

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/yamlmap"
)

// Settings are what one host is told at its start.
type Settings struct {
	// Host is the host's identifier, unique among live hosts.
	Host string
	// Zone is the availability zone that the host runs in.
	Zone string
	// Callers, Peers and Operator are the addresses to listen on.
	Callers, Peers, Operator netip.AddrPort
	// Platform lists the endpoints of the platform's service, at least one.
	Platform []netip.AddrPort
	// Seeds lists peer addresses of other hosts to ask at the start. They are
	// needed only by a host that starts while the platform is out of reach.
	Seeds []netip.AddrPort
	// Credentials holds users and passwords by the names that the configuration
	// refers to them with.
	Credentials map[string]Credential
	// CallerTLS, PeerTLS and OperatorTLS are empty for no encryption.
	CallerTLS, PeerTLS, OperatorTLS TLSFiles
	// OperatorLogin is who may change the configuration. An empty user turns
	// changes off.
	OperatorLogin Credential
	// Drain bounds a graceful shutdown.
	Drain time.Duration
	// Startup bounds a caller's startup and authentication.
	Startup time.Duration
}

// Credential is a user with a password.
type Credential struct{ User, Password string }

// TLSFiles names PEM files. Authority is used between hosts only, where both
// sides show certificates.
type TLSFiles struct{ Certificate, Key, Authority string }

// Defaults of settings.
const (
	defaultDrainTimeout   = 30 * time.Second
	defaultStartupTimeout = 5 * time.Second
)

// ParseSettings reads and checks settings. The error is a yamlmap.Mistakes with
// every mistake found.
func ParseSettings(text []byte) (*Settings, error) {
	var wrong yamlmap.Mistakes
	m := yamlmap.Parse(text, &wrong)
	s := &Settings{
		Host:        m.String("host", true),
		Zone:        m.String("availability_zone", true),
		Callers:     m.AddrPort("callers"),
		Peers:       m.AddrPort("peers"),
		Operator:    m.AddrPort("operator"),
		Platform:    parseAddrs(m, "platform"),
		Seeds:       parseAddrs(m, "peer_seeds"),
		Credentials: parseCredentials(m.Map("credentials")),
		Drain:       m.Duration("drain", defaultDrainTimeout),
		Startup:     m.Duration("startup", defaultStartupTimeout),
	}
	parseTLS(m.Map("tls"), s)
	if m.Has("operator_login") {
		s.OperatorLogin = parseCredential(m.Map("operator_login"))
	}
	if s.Host != "" && strings.ContainsAny(s.Host, "/: '\"") {
		m.AddMistake("host", "%q must not contain '/', ':', quotes or spaces", s.Host)
	}
	if !m.Has("platform") || len(s.Platform) == 0 && len(wrong) == 0 {
		m.AddMistake("platform", "must list at least one endpoint of the form IP:PORT")
	}
	m.RejectUnknown()
	if err := wrong.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadSettings reads settings from a file.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(text)
	return s, errors.Wrapf(err, "settings %s", path)
}

func parseAddrs(m *yamlmap.Map, field string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range m.Strings(field) {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			m.AddMistake(field, "%q is not of the form IP:PORT", text)
			continue
		}
		out = append(out, addr)
	}
	return out
}

func parseCredentials(m *yamlmap.Map) map[string]Credential {
	out := map[string]Credential{}
	for _, name := range m.Names() {
		out[name] = parseCredential(m.Map(name))
	}
	return out
}

// parseCredential reads a user with a password or the file that holds it.
func parseCredential(m *yamlmap.Map) Credential {
	defer m.RejectUnknown()
	c := Credential{User: m.String("user", true), Password: m.String("password", false)}
	file := m.String("password_file", false)
	switch {
	case (c.Password == "") == (file == ""):
		m.AddMistake("password", "exactly one of password and password_file is required")
	case file != "":
		text, err := os.ReadFile(file)
		if err != nil {
			m.AddMistake("password_file", "%v", err)
		}
		c.Password = strings.TrimRight(string(text), "\r\n")
	}
	return c
}

func parseTLS(m *yamlmap.Map, s *Settings) {
	defer m.RejectUnknown()
	if m.Has("callers") {
		s.CallerTLS = parseTLSFiles(m.Map("callers"), false)
	}
	if m.Has("operator") {
		s.OperatorTLS = parseTLSFiles(m.Map("operator"), false)
	}
	if m.Has("peers") {
		s.PeerTLS = parseTLSFiles(m.Map("peers"), true)
	}
}

func parseTLSFiles(m *yamlmap.Map, authority bool) TLSFiles {
	defer m.RejectUnknown()
	f := TLSFiles{Certificate: m.String("certificate", true), Key: m.String("key", true)}
	if authority {
		f.Authority = m.String("authority", true)
	}
	return f
}
