package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// place is a machine of a fleet: its service and zone.
type place struct{ service, zone string }

// machine is a daemon, a process of its own, with the server beside it.
type machine struct {
	fleet    *fleet
	name     string
	ip       string
	place    place
	outbound string
	ready    string
	control  string
	settings string
	server   *server
	process  *exec.Cmd
	started  time.Time
	exited   chan struct{}
	log      *os.File
}

// fleet is the store and the machines, on loopback addresses of its own.
type fleet struct {
	rec      *recorder
	dir      string
	binary   string
	template string
	store    *store
	storeAt  string
	machines []*machine
}

const portOutbound, portReady, portControl, portApp, portDaemons, portAdmin, portStore = 8629, 8625, 8620, 8628, 7600, 7615, 8627

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// newFleet starts the store, the servers and the daemons.
func newFleet(rec *recorder, places []place, work func(*http.Request) time.Duration) (*fleet, error) {
	root, err := filepath.Abs(os.Getenv("PROJECT"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/daemon.ini"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, binary: filepath.Join(root, "target/marigoldwinch"), template: string(template), store: newStore(rec)}
	prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	f.storeAt = fmt.Sprintf("%s.1:%d", prefix, portStore)
	l, err := listen(f.storeAt)
	if err != nil {
		return nil, err
	}
	f.store.serve(l)
	for i, p := range places {
		if err := f.addMachine(i, fmt.Sprintf("%s.%d", prefix, 10+i), p, work); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addMachine(i int, ip string, p place, work func(*http.Request) time.Duration) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", p.zone, i+1), ip: ip, place: p, outbound: at(portOutbound), ready: at(portReady),
		control: at(portControl), settings: filepath.Join(f.dir, fmt.Sprintf("settings-%d.conf", i)),
	}
	l, err := listen(at(portApp))
	if err != nil {
		return err
	}
	m.server = &server{rec: f.rec, id: serverID(i), service: p.service, zone: p.zone, address: at(portApp), control: m.control, work: work}
	f.machines = append(f.machines, m)
	if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
		return err
	}
	if err := m.startDaemon(true); err != nil {
		return err
	}
	m.server.start(l)
	return nil
}

// writeSettings fills in the template of the deploy file, as the platform does at every start. bootstrap is true at the first start of the
// whole system only.
func (m *machine) writeSettings(bootstrap bool) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	fill := strings.NewReplacer("{{node_name}}", m.name, "{{service}}", m.place.service, "{{zone}}", m.place.zone,
		"{{region}}", "zoetendaal", "{{listen.outbound}}", m.outbound, "{{ip}}:{{port_range.0}}", at(portDaemons),
		"{{port_range.1}}", fmt.Sprint(portAdmin), "{{listen.control}}", m.control, "{{listen.ready}}", m.ready, "{{ip}}", m.ip,
		"{{app_addr}}", at(portApp), "{{platform.address}}", m.fleet.storeAt, "{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{limits.memory_mb}}", "284")
	text := fill.Replace(m.fleet.template)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has fields that are not known here: %s", text[strings.Index(text, "{{"):][:30])
	}
	// All daemons share this host, so that each needs a loopback address of its own here too.
	text = strings.Replace(text, "admin = 127.0.0.1:", "admin = "+m.ip+":", 1)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

func (m *machine) startDaemon(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	m.process = exec.Command(m.fleet.binary, "daemon")
	m.process.Env = append(os.Environ(), "MARIGOLDWINCH_CONFIG="+m.settings)
	m.process.Stdout, m.process.Stderr = m.log, m.log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.started, m.exited = time.Now(), make(chan struct{})
	process, exited := m.process, m.exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	m.fleet.rec.add("daemon %s started", m.name)
	return nil
}

// stopDaemon sends SIGTERM, then SIGKILL after grace.
func (m *machine) stopDaemon(grace time.Duration) {
	m.fleet.rec.add("daemon %s gets SIGTERM", m.name)
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.fleet.rec.add("daemon %s gets SIGKILL after its grace", m.name)
		_ = m.process.Process.Kill()
		<-m.exited
	}
	m.fleet.rec.add("daemon %s has ended", m.name)
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			f.rec.add("all %d daemons are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready within %v", within)
}

// close ends every process that the fleet has started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

func (m *machine) isRunning() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func serverID(machine int) string { return fmt.Sprintf("i-%d", machine+1) }
