// Package local runs a small but complete system in one process: a stand-in platform, stand-in servers in three availability
// zones, and a daemon beside each server.
package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	readyTimeout        = 20 * time.Second
	readyInterval       = 100 * time.Millisecond
	readHeaderTimeout   = 5 * time.Second
	platformStopTimeout = 2 * time.Second
	coldPeriod          = time.Second // short, so that users need not wait long for warm servers
)

// System is a local system. Set the exported fields before Run.
type System struct {
	Out io.Writer // where addresses and commands to try are printed
	Log logr.Logger

	platform netip.AddrPort
	nodes    []*node
}

// node is a daemon with the server beside it.
type node struct {
	service  string
	zone     string
	settings *opts.Settings
	listener net.Listener // of the server
}

type serviceSize struct {
	service string
	servers int
}

// The system is small enough for its dump to be readable, and large enough that every zone has a server of each service
// except the last one.
var serviceSizes = []serviceSize{{"stock-display", 3}, {"order-taking", 3}, {"catalogue-labels", 2}}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const configuration = `[service stock-display]
owner = counters
slots = 12
checks = GET /price/**, GET /allergens/**

[service order-taking]
owner = counters
class = write
slots = 12
claim = true

[service catalogue-labels]
owner = catalogue
slots = 12
uploads = POST /photos/**, PUT /photos/**
`

// Run starts the system, prints its addresses and commands to try, and stops it when ctx ends.
func (s *System) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(ctx)
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	if err := s.startPlatform(platformCtx, group); err != nil {
		return err
	}
	if err := s.writeConfiguration(ctx); err != nil {
		return err
	}
	if err := s.createNodes(ctx); err != nil {
		return err
	}
	s.startNodes(running, group, stopPlatform)
	if err := s.waitReady(running); err != nil && ctx.Err() == nil {
		return errors.CombineErrors(err, group.Wait())
	}
	s.printUsage()
	return group.Wait()
}

func (s *System) startPlatform(ctx context.Context, group *errgroup.Group) error {
	listener, err := listen(ctx)
	if err != nil {
		return err
	}
	s.platform = address(listener)
	handler := (&fake.Server{Platform: fake.NewPlatform(1)}).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve stand-in platform")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformStopTimeout)
		defer cancel()
		if err := server.Shutdown(stop); err != nil {
			return errors.Wrap(server.Close(), "stop stand-in platform") // the daemons have stopped, so that open connections can be cut
		}
		return nil
	})
	return nil
}

func (s *System) writeConfiguration(ctx context.Context) error {
	writer := &change.Writer{
		Store:    &table.HTTP{Client: rest.Client{Address: s.platform}},
		Objects:  &object.HTTP{Client: rest.Client{Address: s.platform}},
		Operator: "local",
		Log:      s.Log,
	}
	_, err := writer.Add(ctx, []files.File{{Name: "10-services.ini", Content: configuration}}, change.Options{})
	return errors.Wrap(err, "write the first configuration")
}

func (s *System) createNodes(ctx context.Context) error {
	for _, size := range serviceSizes {
		for i := range size.servers {
			created, err := s.newNode(ctx, size.service, zones[i%len(zones)])
			if err != nil {
				return err
			}
			s.nodes = append(s.nodes, created)
		}
	}
	return nil
}

func (s *System) newNode(ctx context.Context, service, zone string) (*node, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ctx, 3)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[daemon]\nservice = %s\nzone = %s\n[listen]\ncallers = %s\ndaemons = %s\nadmin = %s\n"+
		"[server]\naddress = %s\n[platform]\ntable = %s\nobjects = %s\n[stop]\ngrace = 500ms\ntimeout = 10s\n",
		service, zone, ports[0], ports[1], ports[2], address(listener), s.platform, s.platform)
	settings, err := opts.Parse("local", []byte(text))
	if err != nil {
		return nil, err
	}
	if len(s.nodes) > 0 {
		settings.Seeds = []netip.AddrPort{s.nodes[0].settings.Daemons}
	}
	return &node{service: service, zone: zone, settings: settings, listener: listener}, nil
}

// startNodes runs the nodes until ctx ends. The servers and the platform are stopped after the daemons, which need them
// until they have finished.
func (s *System) startNodes(ctx context.Context, group *errgroup.Group, stopPlatform context.CancelFunc) {
	daemons, _ := errgroup.WithContext(ctx)
	serversCtx, stopServers := context.WithCancel(context.WithoutCancel(ctx))
	for i, n := range s.nodes {
		server := &sample.Server{
			Name: fmt.Sprintf("%s-%d", n.service, i), Listener: n.listener, Daemon: "http://" + n.settings.Callers.String(),
			Slots: sample.DefaultSlots, ServiceTime: sample.DefaultServiceTime, ColdPeriod: coldPeriod, Log: s.Log,
		}
		group.Go(func() error { return server.Run(serversCtx) })
		daemons.Go(func() error { return (&daemon.Daemon{Settings: n.settings, Log: s.Log}).Run(ctx) })
	}
	group.Go(func() error {
		err := daemons.Wait()
		stopServers()
		stopPlatform()
		return err
	})
}

// waitReady returns when every daemon is healthy.
func (s *System) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range s.nodes {
		for !isReady(ctx, n.settings.Admin) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "daemon at %s is not ready", n.settings.Daemons)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, admin netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/health", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
