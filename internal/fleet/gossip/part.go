package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// receivedFiles holds files of folders that arrive in parts. Files that a later revision still has need not be sent again.
type receivedFiles struct {
	byDigest map[uint64]files.File
	bytes    int // of all contents
}

// add keeps a file and reports whether it is new.
func (f *receivedFiles) add(digest uint64, file files.File) bool {
	if _, found := f.byDigest[digest]; found {
		return false
	}
	if f.byDigest == nil {
		f.byDigest = make(map[uint64]files.File)
	}
	f.byDigest[digest] = file
	f.bytes += len(file.Content)
	return true
}

// exceedsLimits reports whether more is held than any folder may have.
func (f *receivedFiles) exceedsLimits() bool {
	return f.bytes > files.MaxFolderBytes || len(f.byDigest) > files.MaxFiles
}

// retain discards the files that the folder with the given digests does not have.
func (f *receivedFiles) retain(folder map[uint64]bool) {
	for digest, file := range f.byDigest {
		if !folder[digest] {
			f.remove(digest, file)
		}
	}
}

// discard discards the files with the given digests.
func (f *receivedFiles) discard(digests []uint64) {
	for _, digest := range digests {
		if file, found := f.byDigest[digest]; found {
			f.remove(digest, file)
		}
	}
}

func (f *receivedFiles) remove(digest uint64, file files.File) {
	delete(f.byDigest, digest)
	f.bytes -= len(file.Content)
}

// appendDigests returns the digests of the held folder and of the received files.
func (f *receivedFiles) appendDigests(held []uint64) []uint64 {
	digests := slices.Grow(slices.Clone(held), len(f.byDigest))
	for digest := range f.byDigest {
		digests = append(digests, digest)
	}
	return digests
}

func digestSet(digests []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(digests))
	for _, digest := range digests {
		set[digest] = true
	}
	return set
}

func digestsOf(set files.Set) []uint64 {
	digests := make([]uint64, len(set.Files))
	for i, file := range set.Files {
		digests[i] = file.Digest()
	}
	return digests
}

// part returns the first files of the folder that a peer lacks which holds files with the given digests.
func (r *revisions) part(set files.Set, digests, held []uint64) *proto.FolderPart {
	known := digestSet(held)
	part := &proto.FolderPart{Revision: set.Revision, Serial: set.Serial, Digests: digests}
	size := 0
	for i, file := range set.Files {
		if known[digests[i]] {
			continue
		}
		packed := proto.PackedFile{Name: file.Name, Content: r.pack(digests[i], file.Content)}
		size += fileOverhead + len(packed.Name) + len(packed.Content)
		if len(part.Files) > 0 && size > maxMessageBytes {
			break
		}
		part.Files = append(part.Files, packed)
	}
	return part
}

// pack returns the compressed content of the file with the digest. It is compressed once for all peers, without the lock.
func (r *revisions) pack(digest uint64, content string) []byte {
	r.mu.Lock()
	packed, found := r.packed[digest]
	r.mu.Unlock()
	if found {
		return packed
	}
	packed = compress(content)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepPacked(digest, packed)
	return packed
}

func (r *revisions) keepPacked(digest uint64, packed []byte) {
	if r.packed == nil {
		r.packed = make(map[uint64][]byte)
	}
	r.packed[digest] = packed
}

// discardPacked discards the compressed contents of files that are no longer held.
func (r *revisions) discardPacked() {
	held := digestSet(r.digests)
	for digest := range r.packed {
		if _, received := r.received.byDigest[digest]; !received && !held[digest] {
			delete(r.packed, digest)
		}
	}
}

// acceptPart keeps the files of a part, and puts the folder in force when all of its files are here.
func (n *Node) acceptPart(sender netip.AddrPort, part *proto.FolderPart) error {
	unpacked, err := unpack(part)
	if err != nil {
		return err
	}
	set, complete, err := n.revisions.addPart(part, unpacked)
	if err != nil || !complete {
		return err
	}
	if !sortedByName(set.Files) {
		return code.NotRunf(code.BadRequest, "files of revision %d are not in the order of their names", set.Revision)
	}
	return n.acceptSetFrom(sender, set)
}

// unpack returns the files of a part, all of which must belong to its folder.
func unpack(part *proto.FolderPart) ([]files.File, error) {
	folder, left := digestSet(part.Digests), files.MaxFolderBytes
	unpacked := make([]files.File, len(part.Files))
	for i, packed := range part.Files {
		content, err := decompress(packed.Content, left)
		if err != nil {
			return nil, errors.Wrapf(err, "unpack file %s of revision %d", packed.Name, part.Revision)
		}
		left -= len(content)
		unpacked[i] = files.File{Name: packed.Name, Content: content}
		if !folder[unpacked[i].Digest()] {
			return nil, code.NotRunf(code.BadRequest, "file %s is not in revision %d", packed.Name, part.Revision)
		}
	}
	return unpacked, nil
}

// addPart keeps the files of a part. It returns the folder and true when all of its files are here.
func (r *revisions) addPart(part *proto.FolderPart, unpacked []files.File) (files.Set, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.parts++
	if part.Revision <= r.set.Revision {
		return files.Set{}, false, nil
	}
	progressed := false
	for i, file := range unpacked {
		digest := file.Digest()
		if r.received.add(digest, file) {
			r.keepPacked(digest, part.Files[i].Content)
			progressed = true
		}
	}
	if r.received.exceedsLimits() {
		r.received.retain(digestSet(part.Digests))
		r.discardPacked()
	}
	if r.received.exceedsLimits() {
		r.received = receivedFiles{}
		r.discardPacked()
		return files.Set{}, false, code.NotRunf(code.BodyTooLarge, "revision %d is larger than a folder may be", part.Revision)
	}
	if progressed {
		r.progressed, r.requestedAt = true, time.Now()
	}
	set, complete := r.assemble(part)
	return set, complete, nil
}

// assemble returns the folder that a part belongs to, and whether all of its files are here.
func (r *revisions) assemble(part *proto.FolderPart) (files.Set, bool) {
	held := make(map[uint64]int, len(r.digests))
	for i, digest := range r.digests {
		held[digest] = i
	}
	set := files.Set{Revision: part.Revision, Serial: part.Serial, Files: make([]files.File, 0, len(part.Digests))}
	for _, digest := range part.Digests {
		file, found := r.received.byDigest[digest]
		if i, isHeld := held[digest]; isHeld {
			file, found = r.set.Files[i], true
		}
		if !found {
			return files.Set{}, false
		}
		set.Files = append(set.Files, file)
	}
	return set, true
}

func sortedByName(list []files.File) bool {
	for i := 1; i < len(list); i++ {
		if strings.Compare(list[i-1].Name, list[i].Name) >= 0 {
			return false
		}
	}
	return true
}

var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "the compression level is valid"))
	}
	return writer
}}

func compress(content string) []byte {
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	var buffer bytes.Buffer
	writer.Reset(&buffer)
	_, err := io.WriteString(writer, content)
	if err := errors.CombineErrors(err, writer.Close()); err != nil {
		panic(errors.Wrap(err, "a buffer takes all that is written"))
	}
	return buffer.Bytes()
}

// decompress returns the content of a packed file, which must not be larger than most bytes.
func decompress(packed []byte, most int) (string, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err != nil {
		return "", code.NotRunf(code.BadRequest, "malformed compressed file").WithCause(err)
	}
	if len(content) > most {
		return "", code.NotRunf(code.BodyTooLarge, "the files of a part are larger than a folder may be")
	}
	return string(content), nil
}
