package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPolled bounds what is read of an endpoint's response.
	maxPolled = 4 << 10
	// maxShown bounds what the dump shows of it.
	maxShown = 256
	// pollTimeout leaves time before the next poll.
	pollTimeout = 500 * time.Millisecond
	drainingNow = "draining"
)

// Seen is the last response of an endpoint. Nothing but a draining server follows from it: endpoints lag and misreport,
// and the admission role's own counts take precedence.
type Seen struct {
	At     time.Time // zero when there was none
	Status int
	Body   string // cut to a bound
	Error  string // of the last poll, when it failed
	Failed uint64
}

type polls struct {
	draining atomic.Bool
	mu       sync.Mutex
	health   Seen
	load     Seen
}

// Run polls the endpoints until ctx ends, each once per PollInterval however slow they are.
func (c *Client) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	var group sync.WaitGroup
	group.Go(func() { c.pollEvery(ctx, c.HealthPath, c.sawHealth) })
	group.Go(func() { c.pollEvery(ctx, c.LoadPath, c.sawLoad) })
	group.Wait()
	c.transport.CloseIdleConnections()
	return nil
}

func (c *Client) pollEvery(ctx context.Context, path string, saw func(Seen)) {
	if path == "" {
		return
	}
	ticker := time.NewTicker(c.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		seen := c.poll(ctx, path)
		if ctx.Err() != nil {
			return
		}
		saw(seen)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (c *Client) poll(ctx context.Context, path string) Seen {
	ctx, cancel := context.WithTimeout(ctx, min(pollTimeout, c.PollInterval))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+path, http.NoBody)
	if err != nil {
		return Seen{Error: err.Error()}
	}
	response, err := c.transport.RoundTrip(req)
	if err != nil {
		return Seen{Error: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // the rest of it has no use
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPolled))
	if err != nil {
		return Seen{Error: err.Error()}
	}
	return Seen{At: time.Now(), Status: response.StatusCode, Body: string(body)}
}

// sawHealth keeps the last decision when a poll fails: a server that drains may close its endpoint early.
func (c *Client) sawHealth(seen Seen) {
	c.polls.mu.Lock()
	c.polls.health.update(seen)
	c.polls.mu.Unlock()
	if seen.Error != "" {
		return
	}
	now := saysDraining(seen.Body)
	if c.polls.draining.Swap(now) != now {
		c.Log.Info("server-health-changed", "draining", now, "status", seen.Status)
	}
}

func (c *Client) sawLoad(seen Seen) {
	c.polls.mu.Lock()
	defer c.polls.mu.Unlock()
	c.polls.load.update(seen)
}

func (s *Seen) update(seen Seen) {
	if seen.Error != "" {
		s.Error = seen.Error
		s.Failed++
		return
	}
	seen.Failed = s.Failed
	seen.Body = seen.Body[:min(len(seen.Body), maxShown)]
	*s = seen
}

func (p *polls) seen() (health, load Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health, p.load
}

// saysDraining reads a health response: the word alone, or a JSON object with it as status.
func saysDraining(body string) bool {
	if strings.EqualFold(strings.TrimSpace(body), drainingNow) {
		return true
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		return false
	}
	status, isText := fields["status"].(string)
	return isText && strings.EqualFold(status, drainingNow)
}
