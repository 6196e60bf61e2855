package table

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// The paths and headers of the table service's HTTP interface.
const (
	RowPath         = "/rows/"        // followed by the escaped key: GET, and PUT with If-Match or If-None-Match
	RangePath       = "/rows"         // GET with the parameters prefix, after and limit
	TransactionPath = "/transactions" // POST of a transaction
	OutcomeHeader   = "Platform-Outcome"
	NotApplied      = "not-run" // value of OutcomeHeader if the write was certainly not applied
)

// MaxTransactionBytes limits the body of a transaction. A change of the whole configuration folder contains its 4 MiB twice, in the
// file rows and in the log row, both in base64.
const MaxTransactionBytes = 24 << 20

// The JSON encoding, with values in base64. A condition without a version requires that the row does not exist.
type (
	rowJSON struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version string `json:"version"`
	}
	pageJSON struct {
		Rows []rowJSON `json:"rows"`
	}
	conditionJSON struct {
		Key     string `json:"key"`
		Version string `json:"version,omitempty"`
	}
	putJSON struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	txnJSON struct {
		Conditions []conditionJSON `json:"conditions,omitempty"`
		Puts       []putJSON       `json:"puts,omitempty"`
		Deletes    []string        `json:"deletes,omitempty"`
	}
)

// EncodeTxn returns the request body for a transaction.
func EncodeTxn(txn Txn) ([]byte, error) {
	encoded := txnJSON{Deletes: txn.Deletes}
	for _, condition := range txn.Conditions {
		encoded.Conditions = append(encoded.Conditions, conditionJSON(condition))
	}
	for _, put := range txn.Puts {
		encoded.Puts = append(encoded.Puts, putJSON(put))
	}
	body, err := json.Marshal(encoded)
	return body, errors.Wrap(err, "encode transaction")
}

// DecodeTxn parses the request body of a transaction.
func DecodeTxn(body []byte) (Txn, error) {
	var encoded txnJSON
	if err := json.Unmarshal(body, &encoded); err != nil {
		return Txn{}, errors.Wrap(err, "decode transaction")
	}
	txn := Txn{Deletes: encoded.Deletes}
	for _, condition := range encoded.Conditions {
		txn.Conditions = append(txn.Conditions, Condition(condition))
	}
	for _, put := range encoded.Puts {
		txn.Puts = append(txn.Puts, Put(put))
	}
	return txn, nil
}

// EncodePage returns the response body for a range of rows.
func EncodePage(rows []Row) ([]byte, error) {
	encoded := pageJSON{Rows: []rowJSON{}}
	for _, row := range rows {
		encoded.Rows = append(encoded.Rows, rowJSON(row))
	}
	body, err := json.Marshal(encoded)
	return body, errors.Wrap(err, "encode page")
}

// DecodePage parses the response body for a range of rows.
func DecodePage(body []byte) ([]Row, error) {
	var encoded pageJSON
	if err := json.Unmarshal(body, &encoded); err != nil {
		return nil, errors.Wrap(err, "decode page")
	}
	rows := make([]Row, 0, len(encoded.Rows))
	for _, row := range encoded.Rows {
		rows = append(rows, Row(row))
	}
	return rows, nil
}
