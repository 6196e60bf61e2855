package call

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxReplay bounds the part of a body that is held for a retry. 250 uploads then hold 16 MiB.
const maxReplay = 64 << 10

// replay reads a body once and gives it to one attempt after the other, while all of it is still held. The attempt with
// the current turn may read past what is held; then there is no further attempt.
type replay struct {
	source io.Reader // nil without a body
	size   int       // of one read into held
	turn   atomic.Uint32
	spent  atomic.Bool // a part was given away without being held

	mu   sync.Mutex
	held []byte
	err  error // of the source, io.EOF at its end
}

func newReplay(source io.Reader, length int64) *replay {
	b := &replay{source: source, size: proto.MaxPiece}
	if length >= 0 && length < proto.MaxPiece {
		b.size = int(length) + 1 // the spare byte lets the read meet the end
	}
	if source == nil {
		b.err = io.EOF
	}
	return b
}

// rewind prepares for another attempt. It reports false when a part of the body is no longer held. It takes no lock,
// since a reader that waits for the caller holds it.
func (b *replay) rewind() bool {
	b.turn.Add(1)
	return !b.spent.Load()
}

// errStale ends the reading of an attempt that has been given up.
var errStale = io.ErrClosedPipe

// read reads up to a piece of the body at offset for the attempt with the turn. It returns io.EOF together with the last
// bytes when the end is already known.
func (b *replay) read(turn uint32, offset int64, piece []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.turn.Load() != turn {
			return 0, errStale
		}
		if offset < int64(len(b.held)) {
			n := copy(piece, b.held[offset:])
			if offset+int64(n) == int64(len(b.held)) {
				return n, b.err
			}
			return n, nil
		}
		if b.err != nil {
			return 0, b.err
		}
		if room := maxReplay - len(b.held); room > 0 && !b.spent.Load() {
			b.fill(min(room, b.size))
			continue
		}
		return b.pass(turn, piece)
	}
}

// fill reads a part of the source into the held bytes, for whichever attempt comes to need it.
func (b *replay) fill(n int) {
	start := len(b.held)
	b.held = slices.Grow(b.held, n)[:start+n]
	got, err := b.source.Read(b.held[start:])
	b.held = b.held[:start+got]
	b.err = err
}

// pass reads the source without holding the bytes. Declaring that before checking the turn, where rewind does it the
// other way round, makes sure that not both a pass and a further attempt go ahead.
func (b *replay) pass(turn uint32, piece []byte) (int, error) {
	b.spent.Store(true)
	if b.turn.Load() != turn {
		return 0, errStale
	}
	n, err := b.source.Read(piece)
	b.err = err
	return n, err
}
