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

// replayBuffer reads a body once and gives it to one attempt after the other, while all of it is still held. The attempt with
// the current turn may read past what is held; then there is no further attempt.
type replayBuffer struct {
	source     io.Reader // nil without a body
	readSize   int       // of one read into held
	generation atomic.Uint32
	overflowed atomic.Bool // a part was given away without being held

	mu       sync.Mutex
	buffered []byte
	err      error // of the source, io.EOF at its end
}

func newReplayBuffer(source io.Reader, length int64) *replayBuffer {
	b := &replayBuffer{source: source, readSize: proto.MaxPiece}
	if length >= 0 && length < proto.MaxPiece {
		b.readSize = int(length) + 1 // the spare byte lets the read meet the end
	}
	if source == nil {
		b.err = io.EOF
	}
	return b
}

// rewind prepares for another attempt. It reports false when a part of the body is no longer held. It takes no lock,
// since a reader that waits for the caller holds it.
func (b *replayBuffer) rewind() bool {
	b.generation.Add(1)
	return !b.overflowed.Load()
}

// errStale ends the reading of an attempt that has been given up.
var errStale = io.ErrClosedPipe

// read reads up to a piece of the body at offset for the attempt with the turn. It returns io.EOF together with the last
// bytes when the end is already known.
func (b *replayBuffer) read(generation uint32, offset int64, piece []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.generation.Load() != generation {
			return 0, errStale
		}
		if offset < int64(len(b.buffered)) {
			n := copy(piece, b.buffered[offset:])
			if offset+int64(n) == int64(len(b.buffered)) {
				return n, b.err
			}
			return n, nil
		}
		if b.err != nil {
			return 0, b.err
		}
		if room := maxReplay - len(b.buffered); room > 0 && !b.overflowed.Load() {
			b.fill(min(room, b.readSize))
			continue
		}
		return b.readThrough(generation, piece)
	}
}

// fill reads a part of the source into the held bytes, for whichever attempt comes to need it.
func (b *replayBuffer) fill(n int) {
	start := len(b.buffered)
	b.buffered = slices.Grow(b.buffered, n)[:start+n]
	got, err := b.source.Read(b.buffered[start:])
	b.buffered = b.buffered[:start+got]
	b.err = err
}

// readThrough reads the source without holding the bytes. Declaring that before checking the turn, where rewind does it the
// other way round, makes sure that not both a pass and a further attempt go ahead.
func (b *replayBuffer) readThrough(generation uint32, piece []byte) (int, error) {
	b.overflowed.Store(true)
	if b.generation.Load() != generation {
		return 0, errStale
	}
	n, err := b.source.Read(piece)
	b.err = err
	return n, err
}
