package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

const (
	adminTimeout     = 10 * time.Second
	maxAdminResponse = 256 << 20 // bytes; a dump lists every member
)

// adminFlags holds the flags of the commands that send requests to the administration API of a daemon.
type adminFlags struct {
	output
	tokenFile string
	timeout   time.Duration
}

func (a *adminFlags) addFlags(cmd *cobra.Command) {
	a.output.addFlags(cmd)
	cmd.Flags().StringVar(&a.tokenFile, "admin-token-file", "", "file whose first line is the administration token")
	cmd.Flags().DurationVar(&a.timeout, "admin-timeout", adminTimeout, "limit of one request to the daemon")
}

// get sends a GET request to the administration API at address and decodes its JSON response.
func (a *adminFlags) get(ctx context.Context, address, path string) (any, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usagef("%q: want IP:PORT of a daemon's administration API", address)
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if err := a.authorize(request); err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "request to the administration API at %s", address)
	}
	defer response.Body.Close()
	return decodeAdmin(response)
}

func (a *adminFlags) authorize(request *http.Request) error {
	if a.tokenFile == "" {
		return nil
	}
	content, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return errors.Wrap(err, "read administration token")
	}
	token, _, _ := strings.Cut(string(content), "\n")
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(token))
	return nil
}

func decodeAdmin(response *http.Response) (any, error) {
	var decoded any
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAdminResponse))
	if err := decoder.Decode(&decoded); err != nil {
		return nil, errors.Wrapf(err, "malformed response with status %d", response.StatusCode)
	}
	if response.StatusCode == http.StatusOK {
		return decoded, nil
	}
	problem, _ := decoded.(map[string]any)
	number, _ := problem["code"].(float64)
	detail, _ := problem["detail"].(string)
	return nil, &code.Error{Code: code.Code(number), Outcome: code.NotRun, Detail: detail}
}
