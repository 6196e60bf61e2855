package proc

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Ports on the loopback address of a fleet. They are below the ephemeral port range, so that no outgoing connection can
// take the port of a process that is about to listen.
const (
	platformPort      = 9000
	platformRelayPort = 9001
	callersPort       = 10000 // base port; node number n adds n, as for the ports below
	daemonsPort       = 11000
	adminPort         = 12000
	serverPort        = 13000
	forwardPort       = 14000 // where a daemon behind a relay listens for other daemons
	serverRelayPort   = 15000 // of the relay between a daemon and its server
)

const (
	readyInterval    = 50 * time.Millisecond
	maxReadyInterval = time.Second
	defaultStopGrace = time.Second
	firstConfigFile  = "10-services.ini"
	tailLines        = 40
)

// StopTimeout is how long a stopping daemon waits for its requests in flight.
const StopTimeout = 10 * time.Second

// Placement is the service and the availability zone of a node.
type Placement struct {
	Service string
	Zone    string
}

// Node is a daemon with the server beside it.
type Node struct {
	Placement
	Callers     netip.AddrPort
	Daemons     netip.AddrPort
	Admin       netip.AddrPort
	Server      netip.AddrPort
	Daemon      *Process
	Backend     *Process // nil if Fleet.Serve is set
	DaemonRelay *Relay   // between other daemons and this one; nil unless Fleet.Relays is set
	ServerRelay *Relay   // between the daemon and its server; nil unless Fleet.Relays is set
}

// Fleet is the stand-in platform, the daemons and their servers. Set the exported fields before Start.
type Fleet struct {
	Binary        string
	Dir           string // of settings, configuration files and logs
	Configuration string // content of the first configuration file
	Placements    []Placement
	ServiceTime   time.Duration     // mean service time of the servers; unused with Serve
	Serve         func(*Node) error // runs the server of a node; nil to start a process for each
	LogLevel      string
	LoadQueries   bool          // routers ask for load in datagrams; otherwise they probe
	Relays        bool          // put a relay in front of each daemon and of each server
	StopGrace     time.Duration // of the daemons at a planned stop; 1 s when 0
	KillAfter     time.Duration // from SIGTERM until a daemon is killed, as it is told; not known when 0

	Nodes           []*Node
	Platform        *Process
	PlatformAddress netip.AddrPort // of the platform itself, not of its relay
	PlatformRelay   *Relay         // in front of the platform; used by the daemons and by RunAs

	ip netip.Addr
}

var fleets atomic.Uint32

// nextIP returns a loopback address of its own for each fleet of a test process; the process ID separates test processes.
func nextIP() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8%250), byte(pid), byte(1 + fleets.Add(1)%250)})
}

// Start starts the platform with the first configuration, the servers and all daemons, and returns when every daemon is
// ready and sees all others as serving.
func (f *Fleet) Start(ctx context.Context) error {
	f.ip = nextIP()
	f.PlatformAddress = netip.AddrPortFrom(f.ip, platformPort)
	f.PlatformRelay = &Relay{Listen: netip.AddrPortFrom(f.ip, platformRelayPort), Target: f.PlatformAddress}
	f.Platform = f.process("platform", "stand-in", "platform", "--listen", f.PlatformAddress.String())
	if err := f.Platform.Start(); err != nil {
		return err
	}
	if err := f.PlatformRelay.Start(); err != nil {
		return err
	}
	if err := f.addFirstConfig(ctx); err != nil {
		return err
	}
	for _, place := range f.Placements {
		node, err := f.Add(place)
		if err != nil {
			return err
		}
		if err := node.Daemon.Start(); err != nil {
			return err
		}
	}
	return f.Ready(ctx, f.Nodes)
}

// addFirstConfig adds the first configuration as soon as the platform answers.
func (f *Fleet) addFirstConfig(ctx context.Context) error {
	file, err := f.Write(firstConfigFile, f.Configuration)
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		result := f.RunAs(ctx, "setup", "config", "add", file)
		if result.Status != 0 {
			return errors.Newf("first configuration: status %d: %s", result.Status, result.Stderr)
		}
		return nil
	})
}

// Add adds a node and starts its server. The daemon is left to the caller to start.
func (f *Fleet) Add(place Placement) (*Node, error) {
	number := uint16(len(f.Nodes))
	node := &Node{
		Placement: place,
		Callers:   netip.AddrPortFrom(f.ip, callersPort+number),
		Daemons:   netip.AddrPortFrom(f.ip, daemonsPort+number),
		Admin:     netip.AddrPortFrom(f.ip, adminPort+number),
		Server:    netip.AddrPortFrom(f.ip, serverPort+number),
	}
	if f.Relays {
		node.DaemonRelay = &Relay{Listen: node.Daemons, Target: netip.AddrPortFrom(f.ip, forwardPort+number)}
		node.ServerRelay = &Relay{Listen: netip.AddrPortFrom(f.ip, serverRelayPort+number), Target: node.Server}
		for _, relay := range []*Relay{node.DaemonRelay, node.ServerRelay} {
			if err := relay.Start(); err != nil {
				return nil, err
			}
		}
	}
	name := fmt.Sprintf("%s-%s-%d", place.Service, place.Zone, number)
	settings, err := f.Write(name+".settings", f.settings(node))
	if err != nil {
		return nil, err
	}
	node.Daemon = f.process(name, "daemon", "--settings", settings, "--kill-after", f.KillAfter.String())
	f.Nodes = append(f.Nodes, node)
	if f.Serve != nil {
		return node, f.Serve(node)
	}
	args := []string{
		"stand-in", "server", "--listen", node.Server.String(), "--name", name,
		"--service-time", f.ServiceTime.String(), "--daemon", "http://" + node.Callers.String(),
	}
	if f.Relays {
		args = append(args, "--record", filepath.Join(f.Dir, name+".runs")) // keeps the recorded runs when a server is killed
	}
	node.Backend = f.process(name+"-server", args...)
	return node, node.Backend.Start()
}

func (f *Fleet) settings(node *Node) string {
	var seeds []string
	for _, seed := range f.Nodes[:min(2, len(f.Nodes))] {
		seeds = append(seeds, seed.Daemons.String())
	}
	server := node.Server
	if node.ServerRelay != nil {
		server = node.ServerRelay.Listen
	}
	text := fmt.Sprintf("[daemon]\nservice = %s\nzone = %s\n"+
		"[server]\naddress = %s\n[platform]\ntable = %s\nobjects = %s\n[stop]\ngrace = %s\ntimeout = %s\n"+
		"[listen]\ncallers = %s\ndaemons = %s\nadmin = %s\n",
		node.Service, node.Zone, server, f.PlatformRelay.Listen, f.PlatformRelay.Listen, cmp.Or(f.StopGrace, defaultStopGrace), StopTimeout,
		node.Callers, node.Daemons, node.Admin)
	if node.DaemonRelay != nil {
		text += "daemons-at = " + node.DaemonRelay.Target.String() + "\n"
	}
	text += "[fleet]\nload-queries = " + onOff(f.LoadQueries) + "\n"
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	if f.LogLevel != "" {
		text += "[log]\nlevel = " + f.LogLevel + "\n"
	}
	return text
}

// Write writes a file into Dir and returns its path.
func (f *Fleet) Write(name, content string) (string, error) {
	path := filepath.Join(f.Dir, name)
	return path, errors.Wrap(os.WriteFile(path, []byte(content), 0o600), "write file")
}

func (f *Fleet) process(name string, args ...string) *Process {
	return &Process{Name: name, Binary: f.Binary, Args: args, LogFile: filepath.Join(f.Dir, name+".log")}
}

// Ready returns when the given daemons are healthy and see every daemon of the fleet as serving.
func (f *Fleet) Ready(ctx context.Context, nodes []*Node) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range nodes {
		group.Go(func() error {
			return errors.Wrapf(retry(ctx, func() error { return f.checkReady(ctx, node) }), "daemon %s", node.Daemon.Name)
		})
	}
	return group.Wait()
}

func (f *Fleet) checkReady(ctx context.Context, node *Node) error {
	var health any
	if err := getJSON(ctx, "http://"+node.Admin.String()+"/health", &health); err != nil {
		return err
	}
	members, err := node.Members(ctx)
	if err != nil {
		return err
	}
	if serving := members.Serving(); serving < len(f.Nodes) {
		return errors.Newf("sees %d of %d daemons as serving", serving, len(f.Nodes))
	}
	return nil
}

// Stop kills every process of the fleet and closes its relays.
func (f *Fleet) Stop() {
	for _, process := range f.processes() {
		process.Kill()
	}
	for _, relay := range f.relays() {
		relay.Refuse()
	}
}

// LogTails returns the last lines of all logs.
func (f *Fleet) LogTails() string {
	var text strings.Builder
	for _, process := range f.processes() {
		fmt.Fprintf(&text, "--- %s\n%s\n", process.Name, process.Tail(tailLines))
	}
	return text.String()
}

func (f *Fleet) relays() []*Relay {
	var all []*Relay
	if f.PlatformRelay != nil {
		all = append(all, f.PlatformRelay)
	}
	for _, node := range f.Nodes {
		if f.Relays {
			all = append(all, node.DaemonRelay, node.ServerRelay)
		}
	}
	return all
}

func (f *Fleet) processes() []*Process {
	var all []*Process
	for _, node := range f.Nodes {
		all = append(all, node.Daemon)
		if node.Backend != nil {
			all = append(all, node.Backend)
		}
	}
	if f.Platform != nil {
		all = append(all, f.Platform)
	}
	return all
}

// Output is the result of a command.
type Output struct {
	Status int
	Stdout string
	Stderr string
}

// RunAs runs a command that reads or changes the configuration on behalf of an operator, through the platform relay.
func (f *Fleet) RunAs(ctx context.Context, operator string, args ...string) Output {
	args = append(args, "--operator", operator, "--platform-table", f.PlatformRelay.Listen.String())
	return f.Run(ctx, args...)
}

// Run runs a command of the binary with --output json. Status is -1 if the process could not be started.
func (f *Fleet) Run(ctx context.Context, args ...string) Output {
	command := exec.CommandContext(ctx, f.Binary, append(args, "--output", "json")...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	if err := command.Run(); err != nil && command.ProcessState == nil {
		return Output{Status: -1, Stderr: err.Error()}
	}
	return Output{Status: command.ProcessState.ExitCode(), Stdout: stdout.String(), Stderr: stderr.String()}
}

// retry repeats action until it succeeds. The intervals grow, so that polling a large fleet does not slow down its start.
// When ctx ends, it returns the last error.
func retry(ctx context.Context, action func() error) error {
	for interval := readyInterval; ; interval = min(2*interval, maxReadyInterval) {
		err := action()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(interval):
		}
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
