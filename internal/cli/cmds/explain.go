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
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID FILE...",
		Short: "Tell the story of a request from the logs of daemons",
		Long: `Reads the logs of daemons and prints every line about the request, and about calls made on its behalf, in the order of
time. Lines about the daemons' servers and dependencies from shortly before to its end follow, because they can be the cause. With - as
FILE, standard input is read.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := &log{id: args[0]}
			for _, file := range args[1:] {
				if err := log.read(file, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			return log.print(cmd.OutOrStdout())
		},
	}
}

// nearbyWindow is how long before and after a request other events may explain it.
const nearbyWindow = 2 * time.Second

// maxLineBytes bounds a line of a log in bytes.
const maxLineBytes = 1 << 20

// log is what logs tell of a request.
type log struct {
	id      string
	matches []logLine // of the request
	nearby  []logLine // of no request
}

type logLine struct {
	at   time.Time
	text string
}

var (
	linePattern    = regexp.MustCompile(`time=(\S+) level=\S+ event=(\S+)(.*)`)
	requestPattern = regexp.MustCompile(`(?:^| )request=(\S+)`)
)

func (s *log) read(file string, stdin io.Reader) error {
	source := stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		defer opened.Close()
		source = opened
	}
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for lines.Scan() {
		s.add(lines.Text())
	}
	return errors.Wrapf(lines.Err(), "log %s", file)
}

// add keeps a line. Lines of other programs, and what stands before the time, are left as they are.
func (s *log) add(text string) {
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
		s.nearby = append(s.nearby, logLine{at, text})
	case request[1] == s.id || strings.HasPrefix(request[1], s.id+"."):
		s.matches = append(s.matches, logLine{at, text})
	}
}

func (s *log) print(out io.Writer) error {
	if len(s.matches) == 0 {
		return usagef("no line about request %s; under load only a part of the requests is followed, see decisions-not-logged", s.id)
	}
	byTime := func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
	slices.SortStableFunc(s.matches, byTime)
	slices.SortStableFunc(s.nearby, byTime)
	for _, line := range s.matches {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	from, to := s.matches[0].at.Add(-nearbyWindow), s.matches[len(s.matches)-1].at.Add(nearbyWindow)
	first := true
	for _, line := range s.nearby {
		if line.at.Before(from) || line.at.After(to) {
			continue
		}
		if first {
			_, _ = fmt.Fprintln(out, "\naround it:") // a failure shows in the next line
			first = false
		}
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
