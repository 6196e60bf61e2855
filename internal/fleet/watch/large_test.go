package watch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

const (
	slowLink      = 1_250_000 // bytes per second: 10 Mbit/s
	routesPerFile = 100
	filesPerStep  = 14 // of a change that adds 1,400 routes
	growthSteps   = 4
	newDaemons    = 8
	firstCopyTime = 3 * time.Second // for daemons without a configuration, whose links need 0.9 s for the whole folder
	controlRate   = 7_000           // bytes per second of a daemon at rest
)

// routeFiles returns the files that a step adds to the folder, and their size.
func routeFiles(step int) (added []files.File, size int) {
	random := rand.New(rand.NewPCG(uint64(step), 1))
	for n := range filesPerStep {
		file := step*filesPerStep + n
		var text strings.Builder
		for route := range routesPerFile {
			fmt.Fprintf(&text, "[route r%d]\nhost = shop-%x.example\nprefix = /%x/%x/\nservices = service-%d\nkind = idempotent\n"+
				"timeout = 3s\npriority = 2\nobjective = 800ms\nservers = 3\n\n",
				file*routesPerFile+route, random.Uint32(), random.Uint32(), random.Uint32(), random.IntN(20))
		}
		added = append(added, files.File{Name: fmt.Sprintf("routes-%03d.ini", file), Content: text.String()})
		size += text.Len()
	}
	return added, size
}

// Guards against a growing configuration that saturates slow links, so that it arrives late or never and delays all other messages.
func TestGrowingConfigurationLeavesSlowLinksFree(t *testing.T) {
	runFollowing(t, func(g *WithT, f *fleet) {
		f.mu.Lock()
		f.rate = slowLink
		f.mu.Unlock()
		for step := range growthSteps {
			before := f.traffic()
			added, size := routeFiles(step)
			revision := f.source.change(added...)
			g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound), "step %d", step)
			time.Sleep(2 * time.Second)
			g.Expect((f.traffic()-before)/2).To(BeNumerically("<", followSize*size), "bytes sent in step %d", step)
		}
		for i := range newDaemons {
			f.start(followSize+i, f.record(0), f.record(1), f.record(2))
		}
		folder, _ := f.source.now()
		g.Expect(until(firstCopyTime, f.inForce(folder.Revision))).To(BeNumerically("<", firstCopyTime), "daemons that join")
		time.Sleep(time.Second)
		before := f.traffic()
		time.Sleep(5 * time.Second)
		g.Expect((f.traffic()-before)/int64(5*(followSize+newDaemons))).To(BeNumerically("<", controlRate), "bytes per second at rest")
	})
}
