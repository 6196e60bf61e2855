package proc_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

// Limits from the design: decisionBound until a zone or server that was taken out gets no new requests, changeBound until
// a change is in force everywhere.
const (
	decisionBound = 3 * time.Second
	changeBound   = 3 * time.Second
)

const (
	specTimeout  = 40 * time.Second // for a spec that hangs; a spec should take less than 15 s
	readyTimeout = 15 * time.Second
	serviceTime  = 40 * time.Millisecond // long enough that there are requests in flight when a fault occurs
)

const baseConfiguration = `[service stock-display]
slots = 12

[service order-taking]
class = write
slots = 12
claim = true
`

var binary string

func TestProc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

var _ = BeforeSuite(func(ctx SpecContext) {
	dir, err := os.MkdirTemp("", "marigoldwinch")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() error { return os.RemoveAll(dir) })
	binary, err = proc.Binary(ctx, moduleRoot(), dir)
	Expect(err).NotTo(HaveOccurred())
})

func moduleRoot() string {
	return filepath.Join("..", "..", "..")
}

// threeZones returns placements with two services in each of three zones.
func threeZones() []proc.Placement {
	var places []proc.Placement
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		places = append(places, proc.Placement{Service: "stock-display", Zone: zone}, proc.Placement{Service: "order-taking", Zone: zone})
	}
	return places
}

// startFleet starts a fleet that is stopped at the end of the spec. If the spec fails, the logs are printed.
func startFleet(ctx context.Context, content string, places []proc.Placement) *proc.Fleet {
	fleet := newFleet(content, places)
	startNew(ctx, fleet)
	return fleet
}

func newFleet(content string, places []proc.Placement) *proc.Fleet {
	return &proc.Fleet{Binary: binary, Dir: logDirectory(), Configuration: content, Placements: places, ServiceTime: serviceTime}
}

// logsVariable names a directory that keeps the logs and settings of the fleets.
const logsVariable = "PROC_LOGS"

func logDirectory() string {
	named := os.Getenv(logsVariable)
	if named == "" {
		return GinkgoT().TempDir()
	}
	Expect(os.MkdirAll(named, 0o755)).To(Succeed())
	dir, err := os.MkdirTemp(named, "fleet-")
	Expect(err).NotTo(HaveOccurred())
	return dir
}

func startNew(ctx context.Context, fleet *proc.Fleet) {
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(fleet.LogTails())
		}
		fleet.Stop()
	})
	starting, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	Expect(fleet.Start(starting)).To(Succeed())
}
