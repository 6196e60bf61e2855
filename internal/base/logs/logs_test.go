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

// blockedWriter blocks every write until it is released, as a pipe does whose reader has stalled.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a full pipe that blocks the goroutine that logs, and against lines dropped without a message.
func TestWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		for i := range 2 * queueLength {
			log.Info("something", "n", i)
		}
		close(done)
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(out.text.String()).To(ContainSubstring("event=something n=0\n"))
	g.Expect(out.text.String()).To(ContainSubstring("event=log-lines-lost count="))
}

// Guards against a number of lines that grows with the load, against logged requests whose lines are incomplete, and against lines
// omitted without a message.
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
		g.Expect(len(lines)).To(BeNumerically("<=", seconds*(maxAbnormal+maxNormal+1)+1))
		count := map[string]int{}
		for _, line := range lines {
			if _, id, found := strings.Cut(line, "request="); found && !strings.Contains(line, "request-answered") {
				id, _, _ = strings.Cut(id, ".")
				count[strings.TrimSpace(id)]++
			}
		}
		complete := 0
		for id, n := range count {
			if n == 3 {
				complete++
			} else {
				g.Expect(id).To(HavePrefix("0-"), "only in the first second, before the level rises, the limit cuts off lines of a logged request")
			}
		}
		g.Expect(complete).To(BeNumerically(">", 20))
		g.Expect(text.String()).To(ContainSubstring("event=decisions-not-logged"))
	})
}
