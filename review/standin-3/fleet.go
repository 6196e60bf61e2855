package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The platform's bounds, as in sites/zoetendaal-mix.toml.
const (
	grace      = 6 * time.Second
	heartbeat  = 1500 * time.Millisecond
	reuseAfter = 2 * time.Second
)

// Fleet is a small deployment: the store, machines with a daemon and a server each.
type Fleet struct {
	Binary, Template, Dir string
	Store                 *Store
	Machines              []*Machine
	Rec                   *Recorder
	version               int
}

// Machine is a machine with its daemon, which is a process of the project, and its server, a stand-in.
type Machine struct {
	Name, Service, Zone, IP string
	Out, In, Ready, Control string
	App                     string // address of the server that the daemon is told
	PortRange               [2]int
	Server                  *Server
	settings                string

	mu     sync.Mutex
	daemon *exec.Cmd
	exited chan struct{}
	logs   *os.File
}

// nextPort is below the range from which the system takes the ports of outgoing connections, so that none of them takes it between two starts
// of a daemon.
var nextPort = 10000 + os.Getpid()*16%20000

// freePort returns a port of 127.0.0.1 that nobody listens on.
func freePort() int {
	for range 2000 {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			_ = l.Close()
			return nextPort
		}
	}
	panic("no free port")
}

// NewFleet starts the store; the machines are added by Add.
func NewFleet(binary, template, dir string, rec *Recorder) (*Fleet, error) {
	f := &Fleet{Binary: binary, Template: template, Dir: dir, Rec: rec}
	store, err := StartStore(fmt.Sprintf("127.0.0.1:%d", freePort()))
	f.Store = store
	return f, err
}

// Add adds a machine with a running server. Its daemon is started by Start.
func (f *Fleet) Add(service, zone string) *Machine {
	n := len(f.Machines) + 1
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
	m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, n), Service: service, Zone: zone, IP: ip}
	at := func(port int) string { return ip + ":" + strconv.Itoa(port) }
	m.Out, m.In, m.Ready, m.Control = at(8629), at(8624), at(8625), at(8620)
	m.App = at(8628)
	m.PortRange = [2]int{7600, freePort()}
	f.Machines = append(f.Machines, m)
	return m
}

var section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// Render fills the template of the deploy file in, as DEPLOY.md says.
func (f *Fleet) Render(m *Machine) error {
	raw, err := os.ReadFile(f.Template)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": m.Name, "service": m.Service, "zone": m.Zone, "region": "here", "ip": m.IP,
		"listen.outbound": m.Out, "listen.inbound": m.In, "listen.ready": m.Ready, "listen.control": m.Control,
		"port_range.0": strconv.Itoa(m.PortRange[0]), "port_range.1": strconv.Itoa(m.PortRange[1]),
		"app_addr": m.App, "platform.address": f.Store.Addr, "bootstrap": "false", "limits.memory_mb": "284",
	}
	text := section.ReplaceAllStringFunc(string(raw), func(found string) string {
		parts := section.FindStringSubmatch(found)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string { return values[placeholder.FindStringSubmatch(found)[1]] })
	m.settings = filepath.Join(f.Dir, m.Name+".conf")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// StartDaemon starts the daemon of a machine by the command of the deploy file.
func (f *Fleet) StartDaemon(m *Machine) error {
	if err := f.Render(m); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logs == nil {
		m.logs, _ = os.Create(filepath.Join(f.Dir, m.Name+".log"))
	}
	cmd := exec.Command(f.Binary, "daemon", "--kill-after="+grace.String())
	cmd.Env = []string{"MARIGOLDWINCH_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.Dir}
	cmd.Stdout, cmd.Stderr = m.logs, m.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.daemon, m.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	f.Rec.Note("daemon of %s started, pid %d", m.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the daemon of a machine.
func (f *Fleet) Signal(m *Machine, sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.Rec.Note("daemon of %s gets %s", m.Name, sig)
	_ = m.daemon.Process.Signal(sig)
}

// AwaitExit waits until the daemon has ended, and reports whether it has in time.
func (m *Machine) AwaitExit(d time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// Kill kills the daemon and waits for its end.
func (f *Fleet) Kill(m *Machine) {
	f.Signal(m, syscall.SIGKILL)
	m.AwaitExit(5 * time.Second)
}

// Stop kills all daemons that still run.
func (f *Fleet) Stop() {
	for _, m := range f.Machines {
		m.mu.Lock()
		cmd := m.daemon
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			m.AwaitExit(5 * time.Second)
		}
	}
}

// WriteConfig writes the operator's configuration with the next version.
func (f *Fleet) WriteConfig(routes, services []map[string]any) {
	f.version += 3
	f.Store.Put("op", "config", map[string]any{
		"version": fmt.Sprintf("r%d", f.version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "header_timeout": "5s", "idle_timeout": "10s"},
	})
	f.Rec.Note("configuration r%d acknowledged by the store", f.version)
}

// Route returns an entry of the configuration.
func Route(name, prefix, service, kind string, timeoutMs, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": "test.example", "prefix": prefix, "service": service, "kind": kind, "timeout": fmt.Sprintf("%dms", timeoutMs),
		"target_latency": fmt.Sprintf("%dms", timeoutMs/3), "max_attempts": 2, "priority": priority,
	}
}

// Service returns an entry of the configuration.
func Service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 260, "cold_per_s": 25.0}
}

// AwaitReady waits until all daemons answer the question whether they are ready.
func (f *Fleet) AwaitReady(d time.Duration) error {
	end := time.Now().Add(d)
	for _, m := range f.Machines {
		for {
			client := http.Client{Timeout: time.Second}
			response, err := client.Get("http://" + m.Ready + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("the daemon of %s is not ready: %v", m.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func joinLines(lines []string) string { return strings.Join(lines, "\n") }
