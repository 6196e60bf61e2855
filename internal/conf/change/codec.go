package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// The keys and names in the platform's stores.
const (
	headKey        = "config/head"
	filePrefix     = "config/file/"
	logPrefix      = "config/log/"
	snapshotPrefix = "config/snapshot/"
)

// logKey orders the log rows by revision.
func logKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, revision)
}

func snapshotName(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// The JSON forms of the rows and objects.
type (
	headJSON struct {
		Revision  uint64   `json:"revision"`
		ID        string   `json:"change-id"`
		Snapshots []uint64 `json:"snapshots,omitempty"`
	}
	fileJSON struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}
	changeJSON struct {
		Revision uint64     `json:"revision"`
		ID       string     `json:"change-id"`
		Operator string     `json:"operator"`
		At       time.Time  `json:"at"`
		Put      []fileJSON `json:"put,omitempty"`
		Remove   []string   `json:"remove,omitempty"`
	}
	setJSON struct {
		Revision uint64     `json:"revision"`
		Files    []fileJSON `json:"files"`
	}
)

// marshal leaves the signs of HTML as they are. Escaping them makes them six times as long, which the bounds of a
// transaction don't allow for.
func marshal(form any) ([]byte, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(form)
	return body.Bytes(), err
}

func encodeHead(head Head) ([]byte, error) {
	body, err := marshal(headJSON{Revision: head.Revision, ID: head.ID, Snapshots: head.Snapshots})
	return body, errors.Wrap(err, "encode configuration head")
}

func decodeHead(body []byte) (Head, error) {
	var form headJSON
	if err := json.Unmarshal(body, &form); err != nil {
		return Head{}, errors.Wrap(err, "decode configuration head")
	}
	return Head{Revision: form.Revision, ID: form.ID, Snapshots: form.Snapshots}, nil
}

func encodeChange(change files.Change) ([]byte, error) {
	body, err := marshal(changeJSON{
		Revision: change.Revision,
		ID:       change.ID,
		Operator: change.Operator,
		At:       change.At,
		Put:      fileForms(change.Put),
		Remove:   change.Remove,
	})
	return body, errors.Wrap(err, "encode change")
}

func decodeChange(body []byte) (files.Change, error) {
	var form changeJSON
	if err := json.Unmarshal(body, &form); err != nil {
		return files.Change{}, errors.Wrap(err, "decode change")
	}
	return files.Change{
		Revision: form.Revision,
		ID:       form.ID,
		Operator: form.Operator,
		At:       form.At,
		Put:      formFiles(form.Put),
		Remove:   form.Remove,
	}, nil
}

func encodeSet(set files.Set) ([]byte, error) {
	body, err := marshal(setJSON{Revision: set.Revision, Files: fileForms(set.Files)})
	return body, errors.Wrap(err, "encode snapshot")
}

func decodeSet(body []byte) (files.Set, error) {
	var form setJSON
	if err := json.Unmarshal(body, &form); err != nil {
		return files.Set{}, errors.Wrap(err, "decode snapshot")
	}
	return files.Set{Revision: form.Revision, Files: formFiles(form.Files)}, nil
}

func fileForms(list []files.File) []fileJSON {
	var forms []fileJSON
	for _, file := range list {
		forms = append(forms, fileJSON(file))
	}
	return forms
}

func formFiles(forms []fileJSON) []files.File {
	var list []files.File
	for _, form := range forms {
		list = append(list, files.File(form))
	}
	return list
}
