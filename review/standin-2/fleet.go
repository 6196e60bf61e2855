package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// program and template are those of deploy/system.toml, relative to the root of the repository.
const (
	program  = "target/marigoldwinch"
	template = "deploy/daemon.ini"
	grace    = 6 * time.Second // from SIGTERM to SIGKILL, terms.bounds.grace
)

// run holds everything that a case has started.
type run struct {
	rec      *recorder
	dir      string // temporary folder with settings and logs
	store    *store
	machines []*machine
	ports    map[int]bool // that were given out
}

func newRun(recordFile string) (*run, error) {
	for _, file := range []string{program, template} {
		if _, err := os.Stat(file); err != nil {
			return nil, fmt.Errorf("run it in the root of the repository, after the build of the deploy file: %w", err)
		}
	}
	rec, err := newRecorder(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &run{rec: rec, dir: dir, ports: make(map[int]bool)}, nil
}

// close ends all processes and servers that the case has started.
func (r *run) close() {
	for _, m := range r.machines {
		m.kill()
		if m.server != nil {
			m.server.stop()
		}
	}
	if r.store != nil {
		r.store.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// Ports are taken from below the range that systems give to outgoing connections, so that none is in use when its daemon starts.
const (
	firstPort = 15000
	portCount = 15000
)

// port returns a free port of the loopback address, each only once.
func (r *run) port() int {
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if r.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		r.ports[port] = true
		return port
	}
	return 0
}

func (r *run) address() string {
	return fmt.Sprintf("127.0.0.1:%d", r.port())
}

// machine is one machine of the deployment: a server and the daemon beside it.
type machine struct {
	run                 *run
	name, service, zone string
	outbound, ready     string // addresses of the daemon for callers, and for the question whether it is ready
	control, app        string // of the daemon for check-ins, and of the server
	fields              map[string]string
	server              *backend
	process             *exec.Cmd
	exited              chan struct{}
	starts              int
}

// addMachine starts a server and prepares its daemon.
func (r *run) addMachine(name, service, zone string) (*machine, error) {
	m := &machine{run: r, name: name, service: service, zone: zone}
	m.outbound, m.ready, m.control, m.app = r.address(), r.address(), r.address(), r.address()
	m.fields = map[string]string{
		"node_name": name, "service": service, "zone": zone, "region": "zoetendaal", "ip": "127.0.0.1",
		"listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready, "app_addr": m.app,
		"port_range.0": fmt.Sprint(r.port()), "port_range.1": fmt.Sprint(r.port()),
		"platform.address": r.store.listener.Addr().String(), "bootstrap": "true", "limits.memory_mb": "284",
		"metrics": fmt.Sprint(r.port()),
	}
	var err error
	m.server, err = startBackend(r.rec, "i-"+name, service, zone, m.app, m.control)
	r.machines = append(r.machines, m)
	return m, err
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}.*?\{\{/[a-z_.0-9]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template of the settings. Sections of terms that a small deployment does not have are left out. The fixed port for
// metrics is replaced, because all machines of a case share one address.
func (m *machine) render() (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	plain := sectionPattern.ReplaceAllString(string(text), "")
	plain = strings.ReplaceAll(plain, "{{ip}}:9464", "127.0.0.1:"+m.fields["metrics"])
	missing := ""
	plain = placeholderPattern.ReplaceAllStringFunc(plain, func(placeholder string) string {
		name := strings.Trim(placeholder, "{}")
		value, found := m.fields[name]
		if !found {
			missing = name
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the template has the unknown field %s", missing)
	}
	file := filepath.Join(m.run.dir, m.name+".conf")
	return file, os.WriteFile(file, []byte(plain), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	file, err := m.render()
	if err != nil {
		return err
	}
	m.fields["bootstrap"] = "false"
	m.starts++
	log, err := os.Create(filepath.Join(m.run.dir, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(program, "daemon", fmt.Sprintf("--kill-after=%s", grace))
	process.Env = []string{"MARIGOLDWINCH_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + m.run.dir}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		m.run.rec.line("daemon %s: process %d ended: %s", m.name, process.Process.Pid, process.ProcessState)
		close(exited)
	}()
	m.process, m.exited = process, exited
	m.run.rec.line("daemon %s: process %d started, callers at %s", m.name, process.Process.Pid, m.outbound)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.run.rec.line("daemon %s: %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// kill ends the daemon at once, if it runs.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.exited
}

// restart stops the daemon as the platform does, and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.kill()
	}
	return m.start()
}

// awaitReady waits until the daemon answers the platform's question with 200.
func (m *machine) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("daemon " + m.name + " did not get ready")
}

// startAll starts all daemons and waits until they are ready.
func (r *run) startAll() error {
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
