// Package proc runs the real binary as processes on loopback addresses, for tests and benchmarks of whole fleets: daemons,
// stand-in servers and the stand-in platform, TCP relays that inject network faults, and an HTTP transport that records
// every outcome.
package proc

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// BinaryVariable is the environment variable with the path of a binary to test instead of one built from the module.
const BinaryVariable = "MARIGOLDWINCH_BINARY"

// Binary returns the binary that BinaryVariable names, or builds the module at root into dir.
func Binary(ctx context.Context, root, dir string) (string, error) {
	if named := os.Getenv(BinaryVariable); named != "" {
		return named, nil
	}
	target := filepath.Join(dir, "marigoldwinch")
	build := exec.CommandContext(ctx, "go", "build", "-o", target, ".")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build the binary: %s", output)
	}
	return target, nil
}

// Process is a child process that can be signaled, killed and restarted. Set the exported fields before Start.
type Process struct {
	Name    string
	Binary  string
	Args    []string
	LogFile string // standard output and error; a restarted process appends to it

	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // of the ended process; read only after done
}

// Start starts the process. It can be called again after the process has ended.
func (p *Process) Start() error {
	output, err := os.OpenFile(p.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer output.Close()                         // the child has its own descriptor
	command := exec.Command(p.Binary, p.Args...) //nolint:noctx // ended by Kill or Signal, as the test chooses
	command.Stdout = output
	command.Stderr = output
	// The kernel kills the child when the test process is killed, so that no child outlives the test.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(command); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.command = command
	p.done = done
	go func() {
		p.err = command.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Wait waits for the end of the process and returns nil if it exited with status 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s is still running", p.Name)
	}
}

// Kill kills the process, even while it is paused, and waits until it has ended.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // fails only if the process has ended
	<-p.done
}

// Tail returns the last lines of the log.
func (p *Process) Tail(lines int) string {
	content, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// The kernel sends the parent death signal when the thread that started the process ends, so that all processes are
// started from one thread that never ends.
var (
	startOnce sync.Once
	starts    = make(chan startRequest)
)

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

func startOnThread(command *exec.Cmd) error {
	startOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for request := range starts {
				request.result <- request.command.Start()
			}
		}()
	})
	result := make(chan error)
	starts <- startRequest{command, result}
	return <-result
}
