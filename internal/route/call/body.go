package call

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxReplay limits the part of a body that is buffered for retries. With this limit, 250 uploads buffer at most 16 MiB.
const maxReplay = 64 << 10

// replayBuffer reads a body once and provides it to successive attempts for as long as everything read so far is buffered. Only the
// attempt of the current generation may read. It may read beyond the buffer, after which no further attempt is possible.
type replayBuffer struct {
	source     io.Reader     // nil without a body
	readSize   int           // of a single read into buffered
	generation atomic.Uint32 // of the attempt that may read
	overflowed atomic.Bool   // a part was read without being buffered

	mu       sync.Mutex
	buffered []byte
	err      error // of the source, io.EOF at its end
}

func newReplayBuffer(source io.Reader, length int64) *replayBuffer {
	b := &replayBuffer{source: source, readSize: proto.MaxPiece}
	if length >= 0 && length < proto.MaxPiece {
		b.readSize = int(length) + 1 // with the additional byte, the first read may already return io.EOF
	}
	if source == nil {
		b.err = io.EOF
	}
	return b
}

// rewind starts the next generation. It reports false when a part of the body is not buffered. It takes no lock, because a read
// that waits for the caller's data holds it.
func (b *replayBuffer) rewind() bool {
	b.generation.Add(1)
	return !b.overflowed.Load()
}

// errStale ends the reads of an attempt that has been superseded by another one.
var errStale = io.ErrClosedPipe

// read reads a part of the body at offset into piece, for the attempt of the given generation. It returns io.EOF together with
// the last bytes when the end is already known.
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
		if free := maxReplay - len(b.buffered); free > 0 && !b.overflowed.Load() {
			b.fill(min(free, b.readSize))
			continue
		}
		return b.readThrough(generation, piece)
	}
}

// fill reads up to n bytes of the source into the buffer, where any attempt can use them.
func (b *replayBuffer) fill(n int) {
	start := len(b.buffered)
	b.buffered = slices.Grow(b.buffered, n)[:start+n]
	got, err := b.source.Read(b.buffered[start:])
	b.buffered = b.buffered[:start+got]
	b.err = err
}

// readThrough reads the source without buffering. It sets overflowed before it checks the generation, while rewind increments the
// generation before it checks overflowed. Hence a read without buffering and a further attempt cannot both go ahead.
func (b *replayBuffer) readThrough(generation uint32, piece []byte) (int, error) {
	b.overflowed.Store(true)
	if b.generation.Load() != generation {
		return 0, errStale
	}
	n, err := b.source.Read(piece)
	b.err = err
	return n, err
}
