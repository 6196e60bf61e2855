package logs

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// blocked is a reader of logs that has stopped reading until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a full pipe that blocks the one who logs, and against lines that are lost without a word.
func TestWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	to := &blocked{release: make(chan struct{})}
	w := NewWriter(to)
	log := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		for i := range 2 * queuedLines {
			log.Info("something", "n", i)
		}
		close(done)
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	close(to.release)
	w.Close()
	to.mu.Lock()
	defer to.mu.Unlock()
	g.Expect(to.text.String()).To(ContainSubstring("event=something n=0\n"))
	g.Expect(to.text.String()).To(ContainSubstring("event=log-lines-lost count="))
}

// Guards against a volume of lines that grows with the load, against stories of which parts are missing, and against lines that
// are left out without a word.
func TestSamplerBoundsLinesAndKeepsWholeRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var text bytes.Buffer
		d := &Sampler{Log: New(&text, slog.LevelInfo)}
		const seconds, perSecond = 5, 2000
		for second := range seconds {
			for i := range perSecond {
				id := fmt.Sprintf("%d-%d", second, i)
				d.Abnormal("attempt-failed", id)
				d.Abnormal("attempt-failed", id+".call")
				d.Abnormal("request-failed", id)
				d.Normal("request-answered", id)
				time.Sleep(time.Second / perSecond)
			}
		}
		lines := strings.Split(text.String(), "\n")
		g.Expect(len(lines)).To(BeNumerically("<=", seconds*(mostDecisions+usualRate+1)+1))
		count := map[string]int{}
		for _, line := range lines {
			if _, id, found := strings.Cut(line, "request="); found && !strings.Contains(line, "request-answered") {
				id, _, _ = strings.Cut(id, ".")
				count[strings.TrimSpace(id)]++
			}
		}
		whole := 0
		for id, n := range count {
			if n == 3 {
				whole++
			} else {
				g.Expect(id).To(HavePrefix("0-"), "only the first second is cut at its bound")
			}
		}
		g.Expect(whole).To(BeNumerically(">", 20))
		g.Expect(text.String()).To(ContainSubstring("event=decisions-not-logged"))
	})
}
