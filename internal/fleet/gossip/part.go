package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// receivedFiles holds the files of a folder that arrives in parts. Files that a later revision still has need not be sent again.
type receivedFiles struct {
	byDigest map[uint64]files.File
	bytes    int // of all names and contents; at most files.MaxFolderBytes and one file
}

// add keeps a file and reports whether it is new.
func (f *receivedFiles) add(digest uint64, file files.File) bool {
	if _, found := f.byDigest[digest]; found {
		return false
	}
	if f.byDigest == nil || f.bytes > files.MaxFolderBytes {
		*f = receivedFiles{byDigest: make(map[uint64]files.File)}
	}
	f.byDigest[digest] = file
	f.bytes += fileSize(file)
	return true
}

// appendDigests returns the digests of the held folder and of the received files.
func (f *receivedFiles) appendDigests(held []uint64) []uint64 {
	digests := slices.Grow(slices.Clone(held), len(f.byDigest))
	for digest := range f.byDigest {
		digests = append(digests, digest)
	}
	return digests
}

func digestsOf(set files.Set) []uint64 {
	digests := make([]uint64, len(set.Files))
	for i, file := range set.Files {
		digests[i] = file.Digest()
	}
	return digests
}

// part returns the first files of the folder that a peer lacks which holds files with the given digests.
func (r *revisions) part(held []uint64) *proto.FolderPart {
	known := make(map[uint64]bool, len(held))
	for _, digest := range held {
		known[digest] = true
	}
	part := &proto.FolderPart{Revision: r.set.Revision, Digests: r.digests}
	size := 0
	for i, file := range r.set.Files {
		if known[r.digests[i]] {
			continue
		}
		packed := proto.PackedFile{Name: file.Name, Content: r.pack(r.digests[i], file.Content)}
		size += fileOverhead + len(packed.Name) + len(packed.Content)
		if len(part.Files) > 0 && size > maxMessageBytes {
			break
		}
		part.Files = append(part.Files, packed)
	}
	return part
}

// pack returns the compressed content of the file with the digest. It is compressed once for all peers.
func (r *revisions) pack(digest uint64, content string) []byte {
	if packed, found := r.packed[digest]; found {
		return packed
	}
	packed := compress(content)
	r.keepPacked(digest, packed)
	return packed
}

func (r *revisions) keepPacked(digest uint64, packed []byte) {
	if r.packed == nil {
		r.packed = make(map[uint64][]byte)
	}
	r.packed[digest] = packed
}

// discardPacked discards the compressed contents of files that the folder no longer has.
func (r *revisions) discardPacked() {
	kept := make(map[uint64][]byte, len(r.packed))
	for _, digest := range r.digests {
		if packed, found := r.packed[digest]; found {
			kept[digest] = packed
		}
	}
	r.packed = kept
}

// acceptPart keeps the files of a part, and puts the folder in force when all of its files are here.
func (n *Node) acceptPart(part *proto.FolderPart) error {
	unpacked := make([]files.File, len(part.Files))
	for i, packed := range part.Files {
		content, err := decompress(packed.Content)
		if err != nil {
			return errors.Wrapf(err, "unpack file %s of revision %d", packed.Name, part.Revision)
		}
		unpacked[i] = files.File{Name: packed.Name, Content: content}
	}
	set, complete := n.revisions.addPart(part, unpacked)
	if !complete {
		return nil
	}
	if !sortedByName(set.Files) {
		return code.NotRunf(code.BadRequest, "files of revision %d are not in the order of their names", set.Revision)
	}
	return n.AcceptSet(set)
}

// addPart keeps the files of a part. It returns the folder and true when all of its files are here.
func (r *revisions) addPart(part *proto.FolderPart, unpacked []files.File) (files.Set, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.parts++
	if part.Revision <= r.set.Revision {
		return files.Set{}, false
	}
	for i, file := range unpacked {
		digest := file.Digest()
		if !r.received.add(digest, file) {
			continue
		}
		r.keepPacked(digest, part.Files[i].Content)
		r.mayContinue, r.requestedAt = true, time.Now()
	}
	return r.assemble(part)
}

// assemble returns the folder that a part belongs to, and whether all of its files are here.
func (r *revisions) assemble(part *proto.FolderPart) (files.Set, bool) {
	held := make(map[uint64]int, len(r.digests))
	for i, digest := range r.digests {
		held[digest] = i
	}
	set := files.Set{Revision: part.Revision, Files: make([]files.File, 0, len(part.Digests))}
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

func compress(content string) []byte {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err == nil {
		_, err = io.WriteString(writer, content)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		panic(errors.Wrap(err, "compress in memory")) // the level is valid and a buffer takes all that is written
	}
	return buffer.Bytes()
}

func decompress(packed []byte) (string, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), proto.MaxFrame+1))
	if err != nil {
		return "", code.NotRunf(code.BadRequest, "malformed compressed file").WithCause(err)
	}
	if len(content) > proto.MaxFrame {
		return "", code.NotRunf(code.BodyTooLarge, "a file is larger than %d bytes", proto.MaxFrame)
	}
	return string(content), nil
}
