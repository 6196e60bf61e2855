package watch

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"
)

// Guards against a new process that takes a row from an older copy of the store, or peers that have just started too, for proof that no
// departure was acknowledged.
func TestHistoryIsKnownFromRowAndPeers(t *testing.T) {
	datadriven.RunTest(t, "testdata/histories", func(t *testing.T, d *datadriven.TestData) string {
		var text strings.Builder
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(1)
			f.platform.change()
			f.era = firstEra
			f.peersFirst, f.startSpread = 20*time.Millisecond, 200*time.Millisecond
			f.onDepartureRestored = func(int, Departure) {}
			var known atomic.Bool // by the daemon of runDepartureStep
			f.onHistoryKnown = func(i int) {
				if i == 3 {
					known.Store(true)
				}
			}
			f.startAll(t, 5, true)
			time.Sleep(30 * time.Second)
			var restored atomic.Pointer[string]
			for step := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
				switch step {
				case "known":
					fmt.Fprintf(&text, "known: %t\n", known.Load())
				case "new-era":
					f.era++
				default:
					if strings.HasPrefix(step, "restart") {
						known.Store(false)
					}
					runDepartureStep(g, f, step, &restored)
				}
			}
		})
		return text.String()
	})
}
