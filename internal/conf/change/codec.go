package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// Row keys in the table service and object names in the object store.
const (
	headKey        = "config/head"
	filePrefix     = "config/file/"
	logPrefix      = "config/log/"
	snapshotPrefix = "config/snapshot/"
)

// logKey pads the revision with zeros so that the log rows sort by revision.
func logKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, revision)
}

func snapshotName(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// The JSON encodings of the table rows and of the snapshot objects.
type (
	headRecord struct {
		Revision  uint64   `json:"revision"`
		ID        string   `json:"change-id"`
		Snapshots []uint64 `json:"snapshots,omitempty"`
	}
	fileRecord struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}
	changeRecord struct {
		Revision uint64       `json:"revision"`
		ID       string       `json:"change-id"`
		Operator string       `json:"operator"`
		At       time.Time    `json:"at"`
		Put      []fileRecord `json:"put,omitempty"`
		Remove   []string     `json:"remove,omitempty"`
	}
	snapshotRecord struct {
		Revision uint64       `json:"revision"`
		Files    []fileRecord `json:"files"`
	}
)

// marshal does not escape the HTML characters <, > and &. Escaping makes each of them six times as long, and the size limits
// of a transaction leave no room for that.
func marshal(document any) ([]byte, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(document)
	return body.Bytes(), err
}

func encodeHead(head Head) ([]byte, error) {
	body, err := marshal(headRecord{Revision: head.Revision, ID: head.ID, Snapshots: head.Snapshots})
	return body, errors.Wrap(err, "encode configuration head")
}

func decodeHead(body []byte) (Head, error) {
	var record headRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return Head{}, errors.Wrap(err, "decode configuration head")
	}
	return Head{Revision: record.Revision, ID: record.ID, Snapshots: record.Snapshots}, nil
}

func encodeChange(change files.Change) ([]byte, error) {
	body, err := marshal(changeRecord{
		Revision: change.Revision,
		ID:       change.ID,
		Operator: change.Operator,
		At:       change.At,
		Put:      recordsOf(change.Put),
		Remove:   change.Remove,
	})
	return body, errors.Wrap(err, "encode change")
}

func decodeChange(body []byte) (files.Change, error) {
	var record changeRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return files.Change{}, errors.Wrap(err, "decode change")
	}
	return files.Change{
		Revision: record.Revision,
		ID:       record.ID,
		Operator: record.Operator,
		At:       record.At,
		Put:      filesOf(record.Put),
		Remove:   record.Remove,
	}, nil
}

func encodeSet(set files.Set) ([]byte, error) {
	body, err := marshal(snapshotRecord{Revision: set.Revision, Files: recordsOf(set.Files)})
	return body, errors.Wrap(err, "encode snapshot")
}

func decodeSet(body []byte) (files.Set, error) {
	var record snapshotRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return files.Set{}, errors.Wrap(err, "decode snapshot")
	}
	return files.Set{Revision: record.Revision, Files: filesOf(record.Files)}, nil
}

func recordsOf(list []files.File) []fileRecord {
	var records []fileRecord
	for _, file := range list {
		records = append(records, fileRecord(file))
	}
	return records
}

func filesOf(records []fileRecord) []files.File {
	var list []files.File
	for _, record := range records {
		list = append(list, files.File(record))
	}
	return list
}
