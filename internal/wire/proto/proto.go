// Package proto defines the messages between daemons and their codec.
package proto

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Verdict,ResolveState -linecomment -output=names.go

// Version is the version of the protocol. Daemons of different versions refuse each other in the handshake.
const Version = 1

// Bounds of the protocol in bytes.
const (
	MaxFrame = 1 << 20  // a larger frame closes the connection
	MaxPiece = 32 << 10 // body bytes in one frame
)

// Hello is the first message on a connection.
type Hello struct {
	Version     uint32
	Incarnation ident.Incarnation // of the daemon that connects
	Address     netip.AddrPort    // its inner address
	Conn        uint64            // rises with every connection of an incarnation; never reused
}

// Welcome answers Hello. Code is None when the connection is accepted.
type Welcome struct {
	Version     uint32
	Incarnation ident.Incarnation // of the daemon that accepts
	Code        code.Code
}

// Frame is a message on a call stream: Head, Piece, Ack, Answer or Failure.
type Frame interface{ isFrame() }

// Head opens a call. The router sends it first.
type Head struct {
	ID            ident.AttemptID
	Service       string
	Method        string
	Target        string // path and query as the server sees them
	Host          string
	Header        http.Header
	ContentLength int64         // -1 when unknown
	Remaining     time.Duration // until the deadline, at SentAt
	SentAt        time.Duration // sender's monotonic time since its start
	Class         ident.Class
	Idempotent    bool
	Depth         int
	Revision      uint64        // configuration revision of the router
	PeerLatency   time.Duration // median service time at the service's other servers by their reports; 0 when unknown
	Body          []byte        // first piece of the body, at most MaxPiece
	End           bool          // no Piece follows
}

// Piece is a further part of a body.
type Piece struct {
	Data    []byte      // at most MaxPiece
	End     bool        // the body is complete; a stream that ends without End is truncated
	Trailer http.Header // only with End; may be nil
}

// Verdict is the admission role's first word on a call.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota // admitted
	Queued                  // queued
	Refused                 // refused
)

// Ack is sent as soon as the verdict is known, before the server runs the request. A queued call that is refused later
// gets a Failure with outcome NotRun.
type Ack struct {
	Verdict    Verdict
	Code       code.Code     // why, when refused
	Detail     string        // one line for people, when refused
	RetryAfter time.Duration // refused: not sooner than this at the same server; 0 when unknown
	Report     Report
}

// Answer is the header of the server's response.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 when unknown
	Report        Report
	Body          []byte // first piece
	End           bool   // no Piece follows; the response is complete
}

// Failure ends a call that got no complete response from the server.
type Failure struct {
	Code    code.Code
	Outcome code.Outcome
	Detail  string
	Report  Report
}

func (*Head) isFrame()    {}
func (*Piece) isFrame()   {}
func (*Ack) isFrame()     {}
func (*Answer) isFrame()  {}
func (*Failure) isFrame() {}

// Report is a server's load as its admission role counts it.
type Report struct {
	Server   netip.AddrPort // inner address of the daemon beside the server; not valid when there is no report
	InFlight int            // requests running at the server
	Queued   int            // requests waiting for a slot
	Limit    int            // requests that may run at once now; at most the configured slots
	Latency  time.Duration  // recent median of the server's own time; 0 when unknown
	Warming  bool           // the warm-up limit is in force
	Refusing code.Code      // why all new work is refused, or None
	Pace     int            // time that work takes at the server now, in percent of the usual; 0 when unknown
}

// Resolve asks what became of an attempt. It is always sent over a new connection.
type Resolve struct {
	ID          ident.AttemptID
	Conn        uint64            // connection that the attempt was sent on
	Incarnation ident.Incarnation // daemon that the attempt was sent to
	Elapsed     time.Duration     // since the attempt was sent
	Done        bool              // the router has the response: it may be forgotten
}

// ResolveState is what became of an attempt.
type ResolveState int

// The states that Resolve can find.
const (
	StateUnknown  ResolveState = iota // unknown
	StateRevoked                      // revoked
	StateRunning                      // running
	StateFinished                     // finished
)

// Resolution answers Resolve.
type Resolution struct {
	State   ResolveState
	Answer  *Answer  // finished with a held response: whole body, End set
	Failure *Failure // finished without one
	Report  Report
}

// Probe asks for a load report.
type Probe struct {
	Service string
}

// ProbeReply answers Probe. Over the measuring budget it has the code ProbeBudget and no report.
type ProbeReply struct {
	Code       code.Code
	RetryAfter time.Duration // the asking router should not probe this server again sooner
	Report     Report
}

// HeadSeen is an observation of the configuration head in the platform's table.
type HeadSeen struct {
	Revision uint64
	Age      time.Duration // since the read, when the message was sent
}

// Exchange carries membership and configuration news both ways.
type Exchange struct {
	From           member.Record
	Seen           HeadSeen // highest revision seen at the head; Age of the latest read
	InForce        uint64   // revision in force at the sender
	Digests        []uint64 // per bucket, or empty for an eager exchange
	Members        []member.Record
	Changes        []files.Change // in the order of their revisions, following the receiver's one
	Snapshot       *files.Set     // instead of Changes when they are no longer held
	Since          uint64         // ask: changes after this revision
	WantSince      bool           // Since is set
	More           bool           // more records are due than the message may carry
	IndirectTarget netip.AddrPort // ask: the receiver makes an exchange with this member; not valid when unused
	TargetReached  bool           // reply to Try: the member answered
}

// Status asks a daemon for its revision; the reply has the same type.
type Status struct {
	From    member.Record
	InForce uint64
}

// Peer is the daemon at the other end of an accepted connection.
type Peer struct {
	Hello   Hello
	revoked atomic.Bool
	transit transit
}

// Revoke marks the connection so that no call on it is admitted any more.
func (p *Peer) Revoke() {
	p.revoked.Store(true)
}

// Revoked reports whether the connection is revoked.
func (p *Peer) Revoked() bool {
	return p.revoked.Load()
}

// Stream is one call on a connection. Send and Recv may run concurrently with each other.
type Stream interface {
	// Context ends with the stream.
	Context() context.Context
	// Send does not keep the frame or what it refers to after it returns.
	Send(frame Frame) error
	// Recv returns io.EOF after the other side has closed its sending direction.
	Recv() (Frame, error)
	CloseSend() error
	// Close ends the stream at once; the other side sees a cancellation.
	Close() error
}

// CallHandler serves calls, resolves and probes: the admission role.
type CallHandler interface {
	// Call serves the call that head opened and returns when its stream is done.
	Call(peer *Peer, head *Head, stream Stream) error
	Resolve(ctx context.Context, peer *Peer, ask *Resolve) (*Resolution, error)
	Probe(ctx context.Context, peer *Peer, ask *Probe) (*ProbeReply, error)
}

// FleetHandler serves exchanges and status requests: the membership.
type FleetHandler interface {
	Exchange(ctx context.Context, peer *Peer, ask *Exchange) (*Exchange, error)
	Status(ctx context.Context, peer *Peer, ask *Status) (*Status, error)
}

// ClientStream is a call as the router sees it.
type ClientStream interface {
	Stream
	// Conn is the number of the connection that carries the call.
	Conn() uint64
	// Incarnation is the daemon at the other end.
	Incarnation() ident.Incarnation
	// CloseSilent closes the whole connection, which the router takes to be silent.
	CloseSilent()
}

// CallClient is what the router uses of the connection pool. Errors are coded: outcome NotRun when no byte of a call
// left this daemon.
type CallClient interface {
	// Call opens a stream and sends head on it. The stream ends when ctx does.
	Call(ctx context.Context, to netip.AddrPort, head *Head) (ClientStream, error)
	// Resolve always uses a new connection.
	Resolve(ctx context.Context, to netip.AddrPort, ask *Resolve) (*Resolution, error)
	Probe(ctx context.Context, to netip.AddrPort, ask *Probe) (*ProbeReply, error)
}

// FleetClient is what the membership uses of the connection pool.
type FleetClient interface {
	Exchange(ctx context.Context, to netip.AddrPort, ask *Exchange) (*Exchange, error)
	Status(ctx context.Context, to netip.AddrPort, ask *Status) (*Status, error)
}
