package server

import (
	"bufio"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

var errHeaderLine = errors.New("a field of the server's response header has a blank before its name")

// headScan looks at the bytes of a response header as they arrive, for fields that http.ReadResponse takes for a folded part of the line
// before, as a blank stands before their name. It may be given bytes of the body too.
type headScan struct {
	position  scanPosition
	malformed bool
}

// scanPosition is where in a header the next byte stands.
type scanPosition int

const (
	inStatusLine scanPosition = iota
	inLine
	atLineStart
	afterReturn // of a line that is empty so far
	beforeWord  // behind the blanks at the start of a line
	inWord      // the first one of such a line
	behindHead
)

// add looks at the bytes that follow those of before.
func (s *headScan) add(p []byte) {
	for _, b := range p {
		if s.position == behindHead {
			return
		}
		s.next(b)
	}
}

func (s *headScan) next(b byte) {
	if b == '\n' {
		s.endLine()
		return
	}
	switch s.position {
	case atLineStart:
		s.startLine(b)
	case beforeWord, inWord:
		s.readFold(b)
	case afterReturn:
		s.position = inLine
	}
}

func (s *headScan) endLine() {
	if s.position == atLineStart || s.position == afterReturn {
		s.position = behindHead
		return
	}
	s.position = atLineStart
}

func (s *headScan) startLine(b byte) {
	s.position = inLine
	switch b {
	case '\r':
		s.position = afterReturn
	case ' ', '\t':
		s.position = beforeWord
	}
}

// readFold looks at a byte of the blanks that a line begins with, and of the word behind them.
func (s *headScan) readFold(b byte) {
	switch {
	case b == ':' && s.position == inWord:
		s.malformed = true
	case (b == ' ' || b == '\t') && s.position == beforeWord:
	case httpguts.IsTokenRune(rune(b)):
		s.position = inWord
	default:
		s.position = inLine
	}
}

// begin limits and scans a header, of which the reader holds the first bytes already.
func (l *headerLimit) begin(reader *bufio.Reader) {
	l.remaining, l.scan = maxHeader, headScan{}
	held, _ := reader.Peek(reader.Buffered()) // cannot fail
	l.scan.add(held)
}
