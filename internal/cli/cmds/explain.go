package cmds

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID FILE...",
		Short: "Print the log lines about a request from the logs of daemons",
		Long: `Reads the logs of daemons and prints every line about the request, and about nested calls made on its behalf, in order of
time. Lines that concern no request follow, from two seconds before the first to two seconds after the last, because they can show the
cause. A request that was refused because of its key or of the cap of its organisation gets a note on what to look at. With - as FILE,
standard input is read.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := &requestLog{id: args[0]}
			for _, file := range args[1:] {
				if err := log.read(file, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			return log.print(cmd.OutOrStdout())
		},
	}
}

// nearbyWindow is how long before the first and after the last line of a request other events are printed that may explain it.
const nearbyWindow = 2 * time.Second

const maxLineBytes = 1 << 20

// requestLog collects the log lines that concern a request or may explain it.
type requestLog struct {
	id             string
	matches        []logLine // about the request or its nested calls
	withoutRequest []logLine // about no request
}

type logLine struct {
	at   time.Time
	text string
}

var (
	linePattern    = regexp.MustCompile(`time=(\S+) level=\S+ event=(\S+)(.*)`)
	requestPattern = regexp.MustCompile(`(?:^| )request=(\S+)`)
	codePattern    = regexp.MustCompile(` event=request-(?:failed|refused) .* code=(\S+) outcome=not-run`)
)

// codeNotes says what to look at for the codes of refusals that concern the organisation of a request.
var codeNotes = map[string]string{
	code.Unauthorized.String(): "answered with 401: the route needs a key, and the request had none, or one that belongs to no " +
		"organisation in the revision of the line. Compare the digest in the line with that of the caller's key (config digest) " +
		"and the revision with config log.",
	code.OverCap.String(): "answered with 429: the callers of the organisation have sent more than its rate and burst allow over all " +
		"daemons. See organisation_requests_total and organisation_refused_total of the daemons, and rate and burst in config show.",
}

func (l *requestLog) read(file string, stdin io.Reader) error {
	source := stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer opened.Close()
		source = opened
	}
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for lines.Scan() {
		l.add(lines.Text())
	}
	return errors.Wrapf(lines.Err(), "read log %s", file)
}

// add collects a line if it concerns the request or no request. Lines that a daemon did not write are ignored. Text before time=, such
// as a host name, is kept.
func (l *requestLog) add(text string) {
	match := linePattern.FindStringSubmatch(text)
	if match == nil {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, match[1])
	if err != nil {
		return
	}
	request := requestPattern.FindStringSubmatch(match[3])
	switch {
	case request == nil:
		l.withoutRequest = append(l.withoutRequest, logLine{at, text})
	case request[1] == l.id || strings.HasPrefix(request[1], l.id+"."):
		l.matches = append(l.matches, logLine{at, text})
	}
}

// note returns the note on the refusal of the request, or an empty string.
func (l *requestLog) note() string {
	for _, line := range l.matches {
		if found := codePattern.FindStringSubmatch(line.text); found != nil && codeNotes[found[1]] != "" {
			return codeNotes[found[1]]
		}
	}
	return ""
}

func (l *requestLog) print(out io.Writer) error {
	if len(l.matches) == 0 {
		return usagef("no log line about request %s; under load only a sample of the requests is logged, see event decisions-not-logged", l.id)
	}
	byTime := func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
	slices.SortStableFunc(l.matches, byTime)
	slices.SortStableFunc(l.withoutRequest, byTime)
	for _, line := range l.matches {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if note := l.note(); note != "" {
		_, _ = fmt.Fprintln(out, "\n"+note) // a write error shows in the next line
	}
	from, to := l.matches[0].at.Add(-nearbyWindow), l.matches[len(l.matches)-1].at.Add(nearbyWindow)
	first := true
	for _, line := range l.withoutRequest {
		if line.at.Before(from) || line.at.After(to) {
			continue
		}
		if first {
			_, _ = fmt.Fprintln(out, "\nother events around that time:") // a write error shows in the next line
			first = false
		}
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
