package lab

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/membership"
	"pearlatch/internal/host"
	"pearlatch/internal/standin"
	"pearlatch/io/etcd"
)

// User and Password are what the lab's members and routes ask for.
const (
	User     = "app"
	Password = "secret"
)

// Cluster is a running site.
type Cluster struct {
	Topology Topology
	Network  *standin.Network
	Platform *standin.Platform
	Groups   []*standin.Group
	Hosts    []*host.Host // nil where a host was killed
	logger   log.Logger
	document *config.Document
	revision uint64
}

// StartCluster starts the stand-ins and the hosts of a site.
func StartCluster(t Topology, logger log.Logger) (*Cluster, error) {
	c := &Cluster{
		Topology: t,
		Network:  standin.NewNetwork(t.latency),
		Platform: standin.NewPlatform(t.HostListLag),
		logger:   logger,
	}
	if t.Plain {
		c.Network = standin.NewPlainNetwork()
	}
	for i := range t.Hosts {
		c.listHost(i)
	}
	if err := c.Platform.Start(t.addr(platformByte, platformPort)); err != nil {
		return nil, errors.Wrap(err, "start the platform")
	}
	for g := range t.Groups {
		group, err := c.startGroup(g)
		if err != nil {
			c.Close()
			return nil, errors.Wrapf(err, "start group %d", g)
		}
		c.Groups = append(c.Groups, group)
	}
	c.document = t.Document()
	if err := c.publish(); err != nil {
		c.Close()
		return nil, err
	}
	c.Hosts = make([]*host.Host, t.Hosts)
	for i := range t.Hosts {
		if err := c.StartHost(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startGroup(g int) (*standin.Group, error) {
	t := c.Topology
	o := standin.GroupOptions{
		Name: t.groupName(g), Slots: t.Slots, Connections: t.Connections, OpenDelay: t.OpenDelay,
		Service: t.Service, User: User, Password: Password, Network: c.Network,
	}
	for _, m := range t.Document().Groups[g].Members {
		o.Members = append(o.Members, standin.MemberOptions{
			Name: m.Name, Addr: m.Addr, Zone: m.Zone, ReceiveLag: t.ReceiveLag, ApplyLag: t.ApplyLag,
		})
	}
	return standin.StartGroup(o)
}

// publish puts the document into the platform's store as the next revision.
func (c *Cluster) publish() error {
	c.revision++
	text := config.Encode(c.document)
	if _, err := config.Parse(text); err != nil {
		return errors.Wrap(err, "the lab's document")
	}
	value, err := etcd.EncodeRevision(config.Revision{Number: c.revision, Author: "lab", At: time.Now(), Submission: "lab", Text: text})
	if err != nil {
		return err
	}
	c.Platform.Set(etcd.ConfigKey, value)
	return nil
}

func (c *Cluster) listHost(i int) {
	c.Platform.SetHost(membership.Host{
		ID: hostID(i), Zone: c.Topology.zone(i), Peer: c.Topology.hostAddr(i, peerPort),
	})
}

func hostID(i int) string { return fmt.Sprintf("host-%d", i+1) }

// StartHost starts the i-th host.
func (c *Cluster) StartHost(i int) error {
	t := c.Topology
	h, err := host.Start(host.Options{
		Settings: host.Settings{
			Host: hostID(i), Zone: t.zone(i),
			Callers: t.hostAddr(i, callerPort), Peers: t.hostAddr(i, peerPort), Operator: t.hostAddr(i, operatorPort),
			Platform:  c.endpoints(),
			CallerTLS: t.CallerTLS, PeerTLS: t.PeerTLS, OperatorTLS: t.OperatorTLS,
			Credentials:   map[string]host.Credential{"app": {User: User, Password: Password}},
			OperatorLogin: host.Credential{User: User, Password: Password},
			Drain:         10 * time.Second, Startup: 5 * time.Second,
		},
		Logger:          c.logger,
		Membership:      t.Membership,
		AllStoreReaders: t.AllRead,
		Binding:         t.Binding,
		Unsafe:          t.Unsafe,
		ListenPeers:     c.Network.Listen,
	})
	if err != nil {
		return errors.Wrapf(err, "start %s", hostID(i))
	}
	c.Hosts[i] = h
	return nil
}

// KillHost ends the i-th host as a crash does.
func (c *Cluster) KillHost(i int) {
	if h := c.Hosts[i]; h != nil {
		c.Hosts[i] = nil
		h.Kill()
	}
}

// endpoints returns where the platform answers.
func (c *Cluster) endpoints() []netip.AddrPort {
	return []netip.AddrPort{c.Topology.addr(platformByte, platformPort)}
}

// URL returns the address at which callers reach a route on the i-th host.
func (c *Cluster) URL(i int, route string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", User, Password, c.Topology.hostAddr(i, callerPort), route)
}

// Ready waits until every host serves every group.
func (c *Cluster) Ready(ctx context.Context) error {
	for i := range c.Hosts {
		for g := range c.Groups {
			if err := c.probe(ctx, i, g); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) probe(ctx context.Context, i, g int) error {
	for {
		err := c.tryWrite(ctx, i, g)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "%s, group %d", hostID(i), g+1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *Cluster) tryWrite(ctx context.Context, i, g int) error {
	conn, err := connect(ctx, c.URL(i, c.Topology.RouteName(DeskRoute, g)), "")
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(ctx, upsertSQL, "ready", "ready")
	return err
}

// Close stops everything.
func (c *Cluster) Close() {
	for i := range c.Hosts {
		c.KillHost(i)
	}
	for _, g := range c.Groups {
		g.Close()
	}
	c.Platform.Close()
}

// DrainHost shuts the i-th host down gracefully.
func (c *Cluster) DrainHost(i int) {
	h := c.Hosts[i]
	if h == nil {
		return
	}
	c.Hosts[i] = nil
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	h.Shutdown(ctx)
}

// drainTimeout bounds a graceful shutdown in the lab.
const drainTimeout = 10 * time.Second
