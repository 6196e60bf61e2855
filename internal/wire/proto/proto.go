// Package proto defines the messages that daemons exchange, and their encoding.
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

// Size limits of the protocol, in bytes.
const (
	MaxFrame = 1 << 20  // a larger frame closes the connection
	MaxPiece = 32 << 10 // body bytes in one frame
)

// Hello is the first message on a connection.
type Hello struct {
	Version     uint32
	Incarnation ident.Incarnation // of the daemon that connects
	Address     netip.AddrPort    // its inner address
	Conn        uint64            // connection number; increases with every connection of an incarnation, never reused
}

// Welcome is the reply to Hello. Code is None if the connection is accepted.
type Welcome struct {
	Version     uint32
	Incarnation ident.Incarnation // of the daemon that accepts
	Code        code.Code
}

// Frame is a message on a call stream: Head, Piece, Ack, Answer or Failure.
type Frame interface{ isFrame() }

// Head is the first frame of a call, sent by the router.
type Head struct {
	ID            ident.AttemptID
	Service       string
	Method        string
	Target        string // path and query as sent to the server
	Host          string
	Header        http.Header
	ContentLength int64         // -1 if unknown
	Remaining     time.Duration // time left until the deadline at SentAt
	SentAt        time.Duration // monotonic time since the sender's start
	Class         ident.Class
	Idempotent    bool
	Depth         int
	Revision      uint64        // configuration revision of the router
	PeerLatency   time.Duration // median service time that the service's other servers report; 0 if unknown
	Body          []byte        // first part of the body, at most MaxPiece bytes
	End           bool          // no Piece follows
	// Objective is the time left until the latency objective at SentAt, negative if it has passed. It is 0 if the sender states neither
	// objective nor priority: it does not apply precedence, or the request has no route.
	Objective    time.Duration
	Priority     int    // of the organisation or the route; 0 is the highest
	Organisation string // name of the caller's organisation; empty if unknown
	Dependent    bool   // a running request made it, on a platform whose servers pass no call context on
}

// Piece is a further part of a request or response body.
type Piece struct {
	Data    []byte      // at most MaxPiece bytes
	End     bool        // the body is complete; a stream that ends without it is truncated
	Trailer http.Header // may be nil; set only together with End
}

// Verdict is the first decision of the admission role on a call.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota // admitted
	Queued                  // queued
	Refused                 // refused
)

// Ack is sent as soon as the verdict is known, before the server runs the request. If a queued call is refused later, a
// Failure with outcome NotRun follows.
type Ack struct {
	Verdict    Verdict
	Code       code.Code     // reason of a refusal
	Detail     string        // one line of text that explains a refusal
	RetryAfter time.Duration // after a refusal, the minimum delay before a retry at the same server; 0 if unknown
	Report     Report
}

// Answer is the server's response: the status, the header and the first part of the body.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 if unknown
	Report        Report
	Body          []byte // first part of the body
	End           bool   // no Piece follows; the response is complete
}

// Failure is the last frame of a call for which the server gave no complete response.
type Failure struct {
	Code    code.Code
	Outcome code.Outcome
	Detail  string
	Report  Report

	RetryAfter time.Duration // with outcome NotRun, the time after which a repetition may succeed; 0 if unknown
}

func (*Head) isFrame()    {}
func (*Piece) isFrame()   {}
func (*Ack) isFrame()     {}
func (*Answer) isFrame()  {}
func (*Failure) isFrame() {}

// Report is a server's load as measured by the admission role of the daemon beside it.
type Report struct {
	Server   netip.AddrPort // inner address of the daemon beside the server; the zero value if there is no report
	InFlight int            // requests running at the server
	Queued   int            // requests waiting for a slot
	Limit    int            // current concurrency limit; at most the number of configured slots
	Latency  time.Duration  // recent median of the time that the server itself took; 0 if unknown
	Warming  bool           // the warm-up limit is in force
	Refusing code.Code      // reason why all new requests are refused, or None
	Pace     int            // current time per unit of work at the server, in percent of the normal time; 0 if unknown
	Floor    int            // priority from which on new requests are refused, except nested ones; 0 if none
}

// Resolve asks for the outcome of an attempt. It is always sent over a new connection.
type Resolve struct {
	ID          ident.AttemptID
	Conn        uint64            // connection that the attempt was sent on, revoked unless Done is set; 0 to revoke none
	Incarnation ident.Incarnation // daemon that the attempt was sent to
	Elapsed     time.Duration     // since the attempt was sent
	Done        bool              // the router needs no response any longer: it has received it, or nobody waits for it
}

// ResolveState is the state of an attempt.
type ResolveState int

// States of an attempt.
const (
	StateUnknown  ResolveState = iota // unknown
	StateRevoked                      // revoked
	StateRunning                      // running
	StateFinished                     // finished
)

// Resolution is the reply to Resolve.
type Resolution struct {
	State   ResolveState
	Answer  *Answer  // set if the attempt finished and its response was kept: the complete body, with End set
	Failure *Failure // set if the attempt finished without such a response
	Report  Report
}

// Probe asks for a load report.
type Probe struct {
	Service string
}

// ProbeReply is the reply to Probe. If the probe exceeds the server's probe budget, it has code ProbeBudget and no report.
type ProbeReply struct {
	Code       code.Code
	RetryAfter time.Duration // minimum delay before the same router probes this server again
	Report     Report
}

// HeadSeen is the result of a read of the configuration head in the table service.
type HeadSeen struct {
	Revision uint64
	Age      time.Duration // time between the read and the sending of the message
}

// Exchange carries updates of the membership and the configuration, in both directions.
type Exchange struct {
	From           member.Record
	Seen           HeadSeen // highest revision read from the configuration head, with the age of the latest read
	InForce        uint64   // revision in force at the sender
	Digests        []uint64 // one per bucket of members; empty in an eager exchange
	Members        []member.Record
	Changes        []files.Change // in order of revision, starting after the receiver's revision
	Snapshot       *files.Set     // sent instead of Changes if the sender no longer has them and the receiver does not accept parts
	Part           *FolderPart    // sent instead of Changes if the sender no longer has them
	Since          uint64         // requests the changes after this revision
	WantSince      bool           // Since is set
	AcceptsParts   bool           // with WantSince: the sender merges parts of a folder; daemons of earlier versions do not
	Held           []uint64       // with WantSince: digests of the files that need not be sent
	More           bool           // the message had no room for all the records to be sent
	IndirectTarget netip.AddrPort // requests that the receiver exchanges with this member on behalf of the sender; the zero value if unused
	TargetReached  bool           // in the reply: the member at IndirectTarget answered
	// TargetIncarnation is that of the member that answered at IndirectTarget; 0 in the replies of earlier versions.
	TargetIncarnation ident.Incarnation
	// Departures are those that the receiver shall keep. Daemons of earlier versions skip this field and those below.
	Departures     []member.Departure
	WantDepartures bool // in a request: the sender is a new process that asks for the departures known
	KeptDepartures bool // in the reply: the receiver keeps the departures of the request
	AllDepartures  bool // in the reply to WantDepartures: the sender has learned the departures from before its own start
}

// FolderPart is a part of the configuration folder, so that a large folder takes a slow link only for a short time at once.
type FolderPart struct {
	Revision uint64
	Serial   uint64
	Digests  []uint64     // of all files of the folder, in the order of their names
	Files    []PackedFile // some of those that the receiver lacks; at least one if it lacks any
}

// PackedFile is a configuration file with its content compressed in the DEFLATE format.
type PackedFile struct {
	Name    string
	Content []byte
}

// Status asks a daemon for its configuration in force. The reply has the same type.
type Status struct {
	From    member.Record
	InForce uint64 // revision
	Serial  uint64
}

// PermitRequest asks the owner of an organisation for permits. Without an organisation it only checks that the daemon replies.
type PermitRequest struct {
	Organisation string
	Wanted       int
	Returned     int     // permits of the same owner that expired unused
	Revision     uint64  // of the configuration at the router, which has the following cap
	Rate         float64 // requests per second, in thousandths
	Burst        int
}

// PermitReply is the reply to PermitRequest.
type PermitReply struct {
	Granted int
	Next    time.Duration  // until the next permit is probably available; 0 when all are granted
	Owner   netip.AddrPort // daemon that grants permits for the organisation instead; the zero value for the one that replies
}

// Peer is the daemon at the other end of an accepted connection.
type Peer struct {
	Hello   Hello
	revoked atomic.Bool
	transit transit
}

// Revoke marks the connection as revoked. No further call on it is admitted.
func (p *Peer) Revoke() {
	p.revoked.Store(true)
}

// Revoked reports whether the connection is revoked.
func (p *Peer) Revoked() bool {
	return p.revoked.Load()
}

// Stream is one call on a connection. Send and Recv may be called concurrently with each other.
type Stream interface {
	// Context returns a context that ends with the stream.
	Context() context.Context
	// Send does not retain the frame, nor any memory that the frame refers to, after it returns.
	Send(frame Frame) error
	// Recv returns io.EOF after the peer has sent its last frame.
	Recv() (Frame, error)
	CloseSend() error
	// Close ends the stream at once. If the stream is still open, the peer sees a cancellation.
	Close() error
	// Cancelled reports whether the peer has cancelled the stream. It is false for a stream that ended with its connection.
	Cancelled() bool
}

// CallHandler serves calls, resolves and probes. It is implemented by the admission role.
type CallHandler interface {
	// Call serves the call that head opened, and returns when it no longer uses the stream.
	Call(peer *Peer, head *Head, stream Stream) error
	Resolve(ctx context.Context, peer *Peer, req *Resolve) (*Resolution, error)
	Probe(ctx context.Context, peer *Peer, req *Probe) (*ProbeReply, error)
}

// FleetHandler serves exchanges and status requests. It is implemented by the membership.
type FleetHandler interface {
	Exchange(ctx context.Context, peer *Peer, req *Exchange) (*Exchange, error)
	Status(ctx context.Context, peer *Peer, req *Status) (*Status, error)
}

// PermitHandler serves requests for permits.
type PermitHandler interface {
	Permit(ctx context.Context, peer *Peer, req *PermitRequest) (*PermitReply, error)
}

// ClientStream is the router's side of a call.
type ClientStream interface {
	Stream
	// Conn returns the number of the connection that carries the call.
	Conn() uint64
	// Incarnation returns the incarnation of the daemon that serves the call.
	Incarnation() ident.Incarnation
	// Received returns the number of bytes that have arrived on the connection.
	Received() uint64
	// CloseSilent closes the whole connection. The router calls it when the peer has not answered in time.
	CloseSilent()
}

// CallClient is the part of the connection pool that the router uses. Its errors are of type *code.Error, with outcome
// NotRun if no byte of the call was sent.
type CallClient interface {
	// Call opens a stream and sends head on it. The stream ends with ctx.
	Call(ctx context.Context, to netip.AddrPort, head *Head) (ClientStream, error)
	// Resolve always opens a new connection.
	Resolve(ctx context.Context, to netip.AddrPort, req *Resolve) (*Resolution, error)
	Probe(ctx context.Context, to netip.AddrPort, req *Probe) (*ProbeReply, error)
}

// FleetClient is the part of the connection pool that the membership uses.
type FleetClient interface {
	Exchange(ctx context.Context, to netip.AddrPort, req *Exchange) (*Exchange, error)
	Status(ctx context.Context, to netip.AddrPort, req *Status) (*Status, error)
}

// PermitClient is the part of the connection pool that routers use to request permits.
type PermitClient interface {
	Permit(ctx context.Context, to netip.AddrPort, req *PermitRequest) (*PermitReply, error)
}
