package cmds

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// maxKeyBytes is the length of the longest key that the command accepts. It fits into the smallest request header that daemons allow by
// default, together with other headers.
const maxKeyBytes = 4 << 10

func newDigest() *cobra.Command {
	return &cobra.Command{
		Use:   "digest",
		Short: "Print the digest of an organisation's key",
		Long: `Reads a key from the first line of standard input and prints its SHA-256 digest, for key-digests of [organisation NAME]. The key
is not an argument, because other users of the host can read arguments and shells keep them.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, err := bufio.NewReader(io.LimitReader(cmd.InOrStdin(), maxKeyBytes+2)).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return errors.Wrap(err, "read key")
			}
			key := strings.TrimRight(line, "\r\n")
			if !isKey(key) {
				return usagef("want a key of 1 to %d visible ASCII characters on the first line of standard input", maxKeyBytes)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), config.DigestKey(key))
			return errors.Wrap(err, "print")
		},
	}
}

// isKey reports whether callers can send the key in a header.
func isKey(key string) bool {
	unusable := func(r rune) bool { return r > unicode.MaxASCII || !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsFunc(key, unusable)
}
