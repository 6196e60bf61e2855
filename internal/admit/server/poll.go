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

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
)

const (
	// maxPolled bounds what is read of an endpoint's response.
	maxPolled = 4 << 10
	// maxShown bounds what the dump shows of it.
	maxShown = 256
	// pollTimeout leaves time before the next poll.
	pollTimeout = 500 * time.Millisecond
	drainingNow = "draining"
	// pollRetry follows a failed poll of a server that checks in: until it answers, the server gets no work.
	pollRetry = 200 * time.Millisecond
	// pollGap is the least time between two polls that are asked for.
	pollGap = 150 * time.Millisecond
)

var errNoPath = errors.New("no health endpoint is configured yet")

// PollResult is the last response of an endpoint. When servers do not check in, nothing but a draining server follows from it:
// endpoints lag and misreport,
// and the admission role's own counts take precedence.
type PollResult struct {
	At     time.Time // zero when there was none
	Status int
	Body   string // cut to a bound
	Error  string // of the last poll, when it failed
	Failed uint64
	asked  time.Time
	header http.Header
}

type polls struct {
	ask      chan struct{} // a health response is wanted before the next poll; has room for one
	draining atomic.Bool
	mu       sync.Mutex
	health   PollResult
	load     PollResult
}

// Run polls the endpoints until ctx ends, each once per PollInterval however slow they are. A server that checks in is asked
// for its health again when Ask wants it.
func (c *Client) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	var group sync.WaitGroup
	if c.HealthPath != nil {
		group.Go(func() { c.pollEvery(ctx, c.HealthPath, c.sawHealth) })
	}
	if c.LoadPath != "" {
		group.Go(func() { c.pollEvery(ctx, func() string { return c.LoadPath }, c.sawLoad) })
	}
	group.Wait()
	c.Close()
	return nil
}

// PollHealth asks for a health response before the next poll is due.
func (c *Client) PollHealth() {
	c.once.Do(c.setUp)
	select {
	case c.polls.ask <- struct{}{}:
	default:
	}
}

func (c *Client) pollEvery(ctx context.Context, path func() string, saw func(PollResult)) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.PollInterval)
		asked := time.Now()
		seen := PollResult{Error: errNoPath.Error()}
		if at := path(); at != "" {
			seen = c.poll(ctx, at)
		}
		if ctx.Err() != nil {
			timer.Stop()
			return
		}
		saw(seen)
		c.pause(ctx, timer, asked, seen)
		timer.Stop()
	}
}

// pause waits for the next poll.
func (c *Client) pause(ctx context.Context, timer *time.Timer, asked time.Time, seen PollResult) {
	var ask chan struct{}
	if c.Status != nil {
		ask = c.polls.ask
	}
	if c.Status != nil && seen.Error != "" {
		timer.Reset(time.Until(asked.Add(pollRetry)))
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ask:
		sleep(ctx, time.Until(asked.Add(pollGap)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// poll sends one request to an endpoint. It goes to whichever server has the address.
func (c *Client) poll(ctx context.Context, path string) PollResult {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(pollTimeout, c.PollInterval))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+path, http.NoBody)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	req.Body = nil
	free, err := c.take(ctx)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	response, err := free.exchange(&Attempt{Request: req})
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // the rest of it has no use
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPolled))
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	return PollResult{At: time.Now(), Status: response.StatusCode, Body: string(body), asked: asked, header: response.Header}
}

// sawHealth keeps the last decision when a poll fails: a server that drains may close its endpoint early.
func (c *Client) sawHealth(seen PollResult) {
	c.polls.mu.Lock()
	c.polls.health.update(seen)
	c.polls.mu.Unlock()
	if seen.Error != "" {
		return
	}
	if c.Status != nil {
		c.tellOwn(seen)
		return
	}
	now := saysDraining(seen.Body)
	if c.polls.draining.Swap(now) != now {
		c.Log.Info("server-health-changed", "draining", now, "status", seen.Status)
	}
}

func (c *Client) tellOwn(seen PollResult) {
	if load, ok := c.Dialect.ParseLoad(seen.header); ok {
		c.Status.SetLoad(load)
	}
	c.Status.SetHealth(status.Health{
		ID:      seen.header.Get(c.Dialect.Identity),
		Healthy: seen.Status == http.StatusOK,
		ColdFor: c.Dialect.ParseCold(seen.header),
	}, seen.asked)
}

func (c *Client) sawLoad(seen PollResult) {
	c.polls.mu.Lock()
	defer c.polls.mu.Unlock()
	c.polls.load.update(seen)
}

func (s *PollResult) update(seen PollResult) {
	if seen.Error != "" {
		s.Error = seen.Error
		s.Failed++
		return
	}
	seen.Failed = s.Failed
	seen.Body = seen.Body[:min(len(seen.Body), maxShown)]
	*s = seen
}

func (p *polls) seen() (health, load PollResult) {
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
