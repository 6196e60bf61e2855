package permit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
)

// maxDumped limits the stocks in a dump.
const maxDumped = 100

// Dump is the state of an Agent.
type Dump struct {
	Counts Counts
	Share  float64 // of the known members that this daemon reaches; 1 if it is not known
	Known  int     // members, with this daemon
	Owner  owner.Dump
	Stocks []StockDump
}

// StockDump is the stock of an organisation.
type StockDump struct {
	Organisation string
	Owners       []string // ranking, the owner first
	Held         int
	Waiting      int
	Demand       float64 // requests per second
	Denied       time.Duration
}

// Counts are the counts since the start.
type Counts struct {
	Taken       uint64 // requests that got a permit
	Refused     uint64 // requests above a cap
	Isolated    uint64 // requests refused because no daemon replied
	Returned    uint64 // permits whose request no server has run
	Asks        uint64 // requests for permits to other daemons
	Failed      uint64 // of these, without a reply in time
	Redirects   uint64 // replies that named another owner
	Local       uint64 // requests for permits to this daemon
	Served      uint64 // requests for permits of other daemons
	Substituted uint64 // organisations for which this daemon began to grant without history
	Pinged      uint64 // pings answered
}

// Counts returns the counts since the start.
func (a *Agent) Counts() Counts {
	n := &a.counters
	return Counts{
		Taken: n.taken.Load(), Refused: n.refused.Load(), Isolated: n.isolated.Load(), Returned: n.returned.Load(), Asks: n.asks.Load(),
		Failed: n.failed.Load(), Redirects: n.redirects.Load(), Local: n.local.Load(), Served: n.served.Load(),
		Substituted: n.substituted.Load(), Pinged: n.pinged.Load(),
	}
}

// Share returns the share of the known members that this daemon reaches, or 1 if it is not known.
func (a *Agent) Share() float64 {
	now := time.Now()
	share, _ := a.reach.Share(now, len(a.view(now).known))
	return share
}

// Dump returns the state for the state dump.
func (a *Agent) Dump() any {
	now := time.Now()
	v := a.view(now)
	dump := Dump{Counts: a.Counts(), Share: a.Share(), Known: len(v.known), Owner: a.Owner.Dump(now)}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.shelves {
		if len(dump.Stocks) == maxDumped {
			break
		}
		stocked := StockDump{Organisation: name}
		for _, address := range v.ranked(name) {
			stocked.Owners = append(stocked.Owners, address.String())
		}
		s.mu.Lock()
		stocked.Held, stocked.Waiting = s.stock.Held(now), len(s.waiting)
		stocked.Demand, stocked.Denied = s.stock.Demand(now), s.stock.Denied(now)
		s.mu.Unlock()
		dump.Stocks = append(dump.Stocks, stocked)
	}
	return dump
}
