package proto

import (
	"math"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

var (
	texts     = rapid.StringN(0, 20, 40)
	codes     = rapid.Map(rapid.IntRange(0, 60), func(n int) code.Code { return code.Code(n) })
	counts    = rapid.IntRange(0, 1<<20)
	positive  = rapid.IntRange(1, 1<<20)
	durations = rapid.Map(rapid.Int64(), func(n int64) time.Duration { return time.Duration(n) })
	bodies    = rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 100), nilIfEmpty[byte])
	addresses = rapid.OneOf(
		rapid.Just(netip.AddrPort{}),
		rapid.Map(rapid.Uint16(), func(port uint16) netip.AddrPort {
			return netip.AddrPortFrom(netip.MustParseAddr("fe80::1%zone"), port)
		}),
		rapid.Map(rapid.Uint32(), func(n uint32) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), uint16(n))
		}))
	headers = rapid.Map(rapid.MapOfN(texts, rapid.SliceOfN(texts, 1, 3), 0, 5), func(m map[string][]string) http.Header {
		if len(m) == 0 {
			return nil
		}
		return m
	})
	reports = rapid.Custom(func(t *rapid.T) Report {
		return Report{
			Server: addresses.Draw(t, "server"), InFlight: counts.Draw(t, "in-flight"), Queued: counts.Draw(t, "queued"),
			Limit: counts.Draw(t, "limit"), Latency: durations.Draw(t, "latency"), Warming: rapid.Bool().Draw(t, "warming"),
			Refusing: codes.Draw(t, "refusing"), Pace: counts.Draw(t, "pace"), Floor: counts.Draw(t, "floor"),
		}
	})
	attempts = rapid.Custom(func(t *rapid.T) ident.AttemptID {
		request := ident.RequestID{Router: ident.Incarnation(rapid.Uint64().Draw(t, "router")), Seq: rapid.Uint64().Draw(t, "seq")}
		return ident.AttemptID{Request: request, Attempt: rapid.Uint32().Draw(t, "attempt")}
	})
	answers = rapid.Custom(func(t *rapid.T) *Answer {
		return &Answer{
			Status: counts.Draw(t, "status"), Header: headers.Draw(t, "header"), Report: reports.Draw(t, "report"),
			ContentLength: rapid.Int64Range(-1, 1<<40).Draw(t, "length"), Body: bodies.Draw(t, "body"), End: rapid.Bool().Draw(t, "end"),
		}
	})
	failures = rapid.Custom(func(t *rapid.T) *Failure {
		return &Failure{
			Code: codes.Draw(t, "code"), Outcome: code.Outcome(rapid.IntRange(0, 1).Draw(t, "outcome")),
			Detail: texts.Draw(t, "detail"), Report: reports.Draw(t, "report"), RetryAfter: durations.Draw(t, "retry"),
		}
	})
	records = rapid.Custom(func(t *rapid.T) member.Record {
		return member.Record{
			Address: addresses.Draw(t, "address"), Front: addresses.Draw(t, "front"), Service: texts.Draw(t, "service"),
			Zone: texts.Draw(t, "zone"), Region: texts.Draw(t, "region"), Incarnation: ident.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			State: member.State(rapid.IntRange(0, int(member.Gone)).Draw(t, "state")), Version: rapid.Uint64().Draw(t, "version"),
		}
	})
	fileLists = rapid.Map(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) files.File {
		return files.File{Name: texts.Draw(t, "name"), Content: texts.Draw(t, "content")}
	}), 0, 3), nilIfEmpty[files.File])
	packedLists = rapid.Map(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) PackedFile {
		return PackedFile{Name: texts.Draw(t, "name"), Content: bodies.Draw(t, "content")}
	}), 0, 3), nilIfEmpty[PackedFile])
	digests = rapid.Map(rapid.SliceOfN(rapid.Uint64(), 0, 64), nilIfEmpty[uint64])
	changes = rapid.Custom(func(t *rapid.T) files.Change {
		return files.Change{
			Revision: rapid.Uint64().Draw(t, "revision"), ID: texts.Draw(t, "id"), Operator: texts.Draw(t, "operator"),
			At:  time.Unix(rapid.Int64Range(-1<<40, 1<<40).Draw(t, "at"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns")).UTC(),
			Put: fileLists.Draw(t, "put"), Remove: rapid.Map(rapid.SliceOfN(texts, 0, 3), nilIfEmpty[string]).Draw(t, "remove"),
		}
	})
	messages = rapid.OneOf(
		rapid.Map(answers, func(m *Answer) any { return m }),
		rapid.Map(failures, func(m *Failure) any { return m }),
		rapid.Custom(drawHead), rapid.Custom(drawSimple), rapid.Custom(drawResolution), rapid.Custom(drawExchange),
		rapid.Custom(drawRolloutRound), rapid.Custom(drawRolloutEvidence),
	)
	// messageLists draws several messages for each case, so that a run sets every field of the rarer ones.
	messageLists = rapid.SliceOfN(messages, 8, 8)
)

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func drawHead(t *rapid.T) any {
	return &Head{
		ID: attempts.Draw(t, "id"), Service: texts.Draw(t, "service"), Method: texts.Draw(t, "method"), Target: texts.Draw(t, "target"),
		Host: texts.Draw(t, "host"), Header: headers.Draw(t, "header"), ContentLength: rapid.Int64Range(-1, 1<<40).Draw(t, "length"),
		Remaining: durations.Draw(t, "remaining"), SentAt: durations.Draw(t, "sent-at"),
		Class: ident.Class(rapid.IntRange(0, ident.Classes-1).Draw(t, "class")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Depth: counts.Draw(t, "depth"), Revision: rapid.Uint64().Draw(t, "revision"), PeerLatency: durations.Draw(t, "peer-latency"),
		Body: bodies.Draw(t, "body"),
		End:  rapid.Bool().Draw(t, "end"), Objective: durations.Draw(t, "objective"), Priority: counts.Draw(t, "priority"),
		Organisation: texts.Draw(t, "organisation"), Dependent: rapid.Bool().Draw(t, "dependent"),
	}
}

func drawSimple(t *rapid.T) any {
	number := rapid.Uint64().Draw(t, "number")
	return rapid.SampledFrom([]any{
		&Ping{},
		&Hello{Version: uint32(number), Incarnation: ident.Incarnation(number), Address: addresses.Draw(t, "address"), Conn: number},
		&Welcome{Version: uint32(number), Incarnation: ident.Incarnation(number), Code: codes.Draw(t, "code")},
		&Piece{Data: bodies.Draw(t, "data"), End: number%2 == 0, Trailer: headers.Draw(t, "trailer")},
		&Ack{
			Verdict: Verdict(number % 3), Code: codes.Draw(t, "code"), Detail: texts.Draw(t, "detail"),
			RetryAfter: durations.Draw(t, "retry"), Report: reports.Draw(t, "report"),
		},
		&Resolve{
			ID: attempts.Draw(t, "id"), Conn: number, Incarnation: ident.Incarnation(number),
			Elapsed: durations.Draw(t, "elapsed"), Done: number%2 == 0,
		},
		&Probe{Service: texts.Draw(t, "service")},
		&ProbeReply{Code: codes.Draw(t, "code"), RetryAfter: durations.Draw(t, "next"), Report: reports.Draw(t, "report")},
		&Status{From: records.Draw(t, "from"), InForce: number, Serial: rapid.Uint64().Draw(t, "serial")},
		&PermitRequest{
			Organisation: texts.Draw(t, "organisation"), Wanted: positive.Draw(t, "wanted"), Returned: positive.Draw(t, "returned"),
			Revision: number, Rate: float64(positive.Draw(t, "rate")) / rateUnits, Burst: positive.Draw(t, "burst"),
		},
		&PermitReply{Granted: positive.Draw(t, "granted"), Next: durations.Draw(t, "until"), Owner: addresses.Draw(t, "owner")},
	}).Draw(t, "message")
}

func drawResolution(t *rapid.T) any {
	m := &Resolution{State: ResolveState(rapid.IntRange(0, 3).Draw(t, "state")), Report: reports.Draw(t, "report")}
	if rapid.Bool().Draw(t, "has-answer") {
		m.Answer = answers.Draw(t, "answer")
	}
	if rapid.Bool().Draw(t, "has-failure") {
		m.Failure = failures.Draw(t, "failure")
	}
	return m
}

func drawExchange(t *rapid.T) any {
	m := &Exchange{
		From: records.Draw(t, "from"), Seen: HeadSeen{Revision: rapid.Uint64().Draw(t, "seen"), Age: durations.Draw(t, "age")},
		InForce: rapid.Uint64().Draw(t, "in-force"),
		Digests: digests.Draw(t, "digests"), Held: digests.Draw(t, "held"), AcceptsParts: rapid.Bool().Draw(t, "accepts-parts"),
		IndirectTarget: addresses.Draw(t, "indirect-target"), TargetReached: rapid.Bool().Draw(t, "target-reached"),
		TargetIncarnation: ident.Incarnation(rapid.Uint64().Draw(t, "target-incarnation")),
		Members:           rapid.Map(rapid.SliceOfN(records, 0, 4), nilIfEmpty[member.Record]).Draw(t, "members"),
		Changes:           rapid.Map(rapid.SliceOfN(changes, 0, 4), nilIfEmpty[files.Change]).Draw(t, "changes"),
		Since:             rapid.Uint64().Draw(t, "since"), WantSince: rapid.Bool().Draw(t, "want"), More: rapid.Bool().Draw(t, "more"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "departures") {
		m.Departures = append(m.Departures, member.Departure{
			Daemon: addresses.Draw(t, "daemon"), Server: texts.Draw(t, "server"), Age: durations.Draw(t, "departure-age"),
			Born: time.UnixMilli(rapid.Int64Range(1, 1<<43).Draw(t, "born")),
		})
	}
	m.WantDepartures, m.KeptDepartures = rapid.Bool().Draw(t, "want-departures"), rapid.Bool().Draw(t, "kept-departures")
	m.AllDepartures = rapid.Bool().Draw(t, "all-departures")
	if rapid.Bool().Draw(t, "has-snapshot") {
		m.Snapshot = &files.Set{
			Revision: rapid.Uint64().Draw(t, "revision"), Serial: rapid.Uint64().Draw(t, "serial"), Files: fileLists.Draw(t, "files"),
		}
	}
	if rapid.Bool().Draw(t, "has-part") {
		m.Part = &FolderPart{
			Revision: rapid.Uint64().Draw(t, "part-revision"), Serial: rapid.Uint64().Draw(t, "part-serial"),
			Digests: digests.Draw(t, "file-digests"), Files: packedLists.Draw(t, "part-files"),
		}
	}
	return m
}

var tallies = rapid.Custom(func(t *rapid.T) *tally.Tally {
	drawn := new(tally.Tally)
	for range rapid.IntRange(0, 5).Draw(t, "responses") {
		drawn.Add(texts.Draw(t, "route"), rapid.Bool().Draw(t, "failed"), durations.Draw(t, "took"))
	}
	for range rapid.IntRange(0, 5).Draw(t, "steps") {
		drawn.Steps[rapid.IntRange(0, tally.Buckets-1).Draw(t, "step")] = rapid.Uint64().Draw(t, "count")
	}
	return drawn
})

func drawRolloutState(t *rapid.T) RolloutState {
	return RolloutState{
		Order: rapid.Uint64().Draw(t, "order"), Target: texts.Draw(t, "target"), Known: rapid.Bool().Draw(t, "known"),
		Phase: phase.Phase(rapid.IntRange(0, int(phase.RolledBack)).Draw(t, "phase")), Stored: rapid.Bool().Draw(t, "stored"),
		Elapsed: durations.Draw(t, "elapsed"), Granted: rapid.Uint64().Draw(t, "granted"),
	}
}

func drawRolloutRound(t *rapid.T) any {
	return &RolloutRound{
		Service: texts.Draw(t, "service"), State: drawRolloutState(t), Coordinator: addresses.Draw(t, "coordinator"),
		Yielding: rapid.Bool().Draw(t, "yielding"), Minority: rapid.Bool().Draw(t, "minority"),
		Receiver: ident.Incarnation(rapid.Uint64().Draw(t, "receiver")),
		Limit:    rapid.Uint64().Draw(t, "limit"), Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
		Announce: rapid.Bool().Draw(t, "announce"), Baseline: tallies.Draw(t, "baseline"),
		WantTally: rapid.Bool().Draw(t, "want-tally"),
	}
}

func drawRolloutEvidence(t *rapid.T) any {
	return &RolloutEvidence{
		State: drawRolloutState(t), Incarnation: ident.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Release: texts.Draw(t, "release"), Ready: rapid.Bool().Draw(t, "ready"), Slots: counts.Draw(t, "slots"),
		Received: rapid.Uint64().Draw(t, "received"), Admitted: rapid.Uint64().Draw(t, "admitted"),
		Limit: rapid.Uint64().Draw(t, "limit"), Running: rapid.Uint64().Draw(t, "running"),
		Old: tallies.Draw(t, "old"), New: tallies.Draw(t, "new"), Closed: rapid.Bool().Draw(t, "closed"),
	}
}

// decodeLike decodes into a new message of the same type, through an Envelope when it is a frame.
func decodeLike(buf []byte, message any) (any, error) {
	if _, isFrame := message.(Frame); isFrame {
		var envelope Envelope
		err := Codec{}.Unmarshal(buf, &envelope)
		return envelope.Frame, err
	}
	decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
	return decoded, Codec{}.Unmarshal(buf, decoded)
}

// Guards against a field of a message that TestEveryMessageSurvivesTheCodec never sets, and that may then be missing from the codec.
func TestEveryFieldIsDrawn(t *testing.T) {
	g := NewWithT(t)
	set := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		for _, message := range messageLists.Draw(t, "messages") {
			value := reflect.ValueOf(message).Elem()
			for i := range value.NumField() {
				name := value.Type().Name() + "." + value.Type().Field(i).Name
				set[name] = set[name] || !value.Field(i).IsZero()
			}
		}
	})
	for name, ever := range set {
		g.Expect(ever).To(BeTrue(), name)
	}
}

// Guards against a field that is lost or changed by encoding and decoding, against a decoded message that shares memory with
// drpc's receive buffer, and against failing on unknown fields, which a later protocol may add.
func TestEveryMessageSurvivesTheCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, message := range messageLists.Draw(t, "messages") {
			checkCodec(t, message)
		}
	})
}

func checkCodec(t *rapid.T, message any) {
	buf, err := Codec{}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	buf = protowire.AppendTag(buf, 900, protowire.Fixed32Type)
	buf = protowire.AppendFixed32(buf, 1)
	buf = putElement(buf, 901, "later")
	decoded, err := decodeLike(buf, message)
	if err != nil {
		t.Fatal(err)
	}
	for i := range buf {
		buf[i] = 0xff
	}
	if !reflect.DeepEqual(message, decoded) {
		t.Fatalf("encoded %+v\ndecoded %+v", message, decoded)
	}
}

// Guards against a datagram that is decoded as another one, or with other fields.
func TestDatagramsSurviveTheCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := reports.Draw(t, "report")
		report.Server = netip.MustParseAddrPort("10.1.0.1:9000")
		sent := rapid.SampledFrom([]Datagram{
			LoadQuery{},
			report,
			NumberedPermitRequest{Number: rapid.Uint64().Draw(t, "number"), Request: PermitRequest{
				Organisation: texts.Draw(t, "organisation"), Wanted: counts.Draw(t, "wanted"), Rate: 2.5, Burst: counts.Draw(t, "burst"),
			}},
			NumberedPermitReply{Number: rapid.Uint64().Draw(t, "number"), Reply: PermitReply{
				Granted: counts.Draw(t, "granted"), Next: durations.Draw(t, "next"), Owner: addresses.Draw(t, "owner"),
			}},
		}).Draw(t, "message")
		received, err := DecodeDatagram(EncodeDatagram(sent))
		if err != nil || !reflect.DeepEqual(sent, received) {
			t.Fatalf("sent %+v\nreceived %+v, %v", sent, received, err)
		}
	})
}

// Guards against messages that take unlimited memory. Each limit must be enforced when encoding and, for input from an encoder
// without limits, when decoding.
func TestSizeLimitsAreEnforced(t *testing.T) {
	manyValues := make(http.Header)
	manyValues["X"] = make([]string, MaxHeaderCount+1)
	longValue := http.Header{"X": {strings.Repeat("x", MaxHeader)}}
	cases := map[string]struct {
		message any
		want    code.Code
	}{
		"body of a head": {&Head{Body: make([]byte, MaxPiece+1)}, code.BodyTooLarge},
		"piece":          {&Piece{Data: make([]byte, MaxPiece+1)}, code.BodyTooLarge},
		"answer":         {&Answer{Body: make([]byte, MaxPiece+1)}, code.BodyTooLarge},
		"held response":  {&Resolution{Answer: &Answer{Body: make([]byte, MaxHeld+1)}}, code.BodyTooLarge},
		"frame":          {&Exchange{Snapshot: &files.Set{Files: []files.File{{Content: strings.Repeat("x", MaxFrame)}}}}, code.BodyTooLarge},
		"members":        {&Exchange{Members: make([]member.Record, maxMembers+1)}, code.BodyTooLarge},
		"target":         {&Head{Target: strings.Repeat("x", MaxTarget+1)}, code.HeaderTooLarge},
		"header values":  {&Head{Header: manyValues}, code.HeaderTooLarge},
		"trailer size":   {&Piece{Trailer: longValue}, code.HeaderTooLarge},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Codec{}.Marshal(tc.message)
			NewWithT(t).Expect(code.Of(err).Code).To(Equal(tc.want))
		})
	}
	received := map[string]struct {
		buf  []byte
		into any
		want code.Code
	}{
		"piece":              {putBytes([]byte{byte(kindPiece)}, 3, make([]byte, MaxPiece+1)), &Envelope{}, code.BodyTooLarge},
		"many header values": {putNested([]byte{byte(kindPiece)}, 2, manyValues, appendHeader), &Envelope{}, code.HeaderTooLarge},
		"long header value":  {putNested([]byte{byte(kindPiece)}, 2, longValue, appendHeader), &Envelope{}, code.HeaderTooLarge},
		"frame":              {make([]byte, MaxFrame+1), &Exchange{}, code.BodyTooLarge},
		"members":            {[]byte(strings.Repeat("\x2a\x00", maxMembers+1)), &Exchange{}, code.BadRequest},
		"departures":         {[]byte(strings.Repeat("\x8a\x01\x00", MaxDepartures+1)), &Exchange{}, code.BadRequest},
		"verdict":            {putUint([]byte{byte(kindAck)}, 1, 3), &Envelope{}, code.BadRequest},
		"class":              {putUint([]byte{byte(kindHead)}, 10, 4), &Envelope{}, code.BadRequest},
		"frame kind":         {[]byte{9}, &Envelope{}, code.BadRequest},
		"wire type":          {putUint([]byte{byte(kindHead)}, 2, 1), &Envelope{}, code.BadRequest},
		"phase":              {putNested(nil, 2, uint64(4), putPhase), &RolloutRound{}, code.BadRequest},
		"rate":               {putUint(nil, 7, math.Float64bits(math.NaN())), &RolloutRound{}, code.BadRequest},
		"routes":             {putTally(nil, 9, &tally.Tally{Routes: make([]tally.Route, 2)}), &RolloutRound{}, code.BadRequest},
		"buckets":            {putNested(nil, 9, make([]byte, tally.Buckets+1), putBuckets), &RolloutRound{}, code.BadRequest},
		"truncated":          {putElement(nil, 1, "service")[:4], &Probe{}, code.BadRequest},
	}
	for name, tc := range received {
		t.Run("received "+name, func(t *testing.T) {
			NewWithT(t).Expect(code.Of(Codec{}.Unmarshal(tc.buf, tc.into)).Code).To(Equal(tc.want))
		})
	}
}

func putPhase(buf []byte, value uint64) []byte {
	return putUint(buf, 4, value)
}

// putBuckets encodes a tally with one route whose histogram has the given content.
func putBuckets(buf, content []byte) []byte {
	return putNested(buf, 1, content, func(buf, content []byte) []byte { return putBytes(buf, 4, content) })
}

// Guards against a panic on malformed input, an error without one of the expected codes, and a decoded message that cannot be
// encoded again without changes.
func FuzzUnmarshal(f *testing.F) {
	targets := []func() any{
		func() any { return new(Envelope) }, func() any { return new(Hello) }, func() any { return new(Welcome) },
		func() any { return new(Resolve) }, func() any { return new(Resolution) }, func() any { return new(Probe) },
		func() any { return new(ProbeReply) }, func() any { return new(Exchange) }, func() any { return new(Status) },
		func() any { return new(RolloutRound) }, func() any { return new(RolloutEvidence) },
		func() any { return new(PermitRequest) }, func() any { return new(PermitReply) },
	}
	f.Fuzz(func(t *testing.T, kind byte, buf []byte) {
		message := targets[int(kind)%len(targets)]()
		if err := (Codec{}).Unmarshal(buf, message); err != nil {
			if c := code.Of(err).Code; c != code.BadRequest && c != code.BodyTooLarge && c != code.HeaderTooLarge {
				t.Fatalf("error with code %v: %v", c, err)
			}
			return
		}
		if envelope, isFrame := message.(*Envelope); isFrame {
			message = envelope.Frame
		}
		reencoded, err := Codec{}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeLike(reencoded, message)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(message, decoded) {
			t.Fatalf("first decoded %+v\nafter encoding again %+v", message, decoded)
		}
	})
}
