package local

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// printUsage prints the addresses of the nodes and commands to try. Output errors are ignored.
func (s *System) printUsage() {
	fmt.Fprintf(s.Out, "platform %s\n\n", s.platform)
	list := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(list, "service\tzone\tcallers\tdaemons\tadmin\tserver")
	for _, n := range s.nodes {
		settings := n.settings
		fmt.Fprintf(list, "%s\t%s\t%s\t%s\t%s\t%s\n",
			n.service, n.zone, settings.Callers, settings.Daemons, settings.Admin, settings.Server)
	}
	_ = list.Flush()
	first := s.nodes[0].settings
	fmt.Fprintf(s.Out, `
Commands to try:

  curl -i http://%[1]s/stock-display/jars/7
  curl -i -X POST -H 'Idempotency-Key: fair-1' -d licorice http://%[1]s/order-taking/orders
  curl -i http://%[1]s/stock-display/chain/order-taking/orders
  curl http://%[1]s/.well-known/marigoldwinch/daemons
  ./bin/marigoldwinch dump %[2]s admission
  ./bin/marigoldwinch zone out zone-a --operator me --platform-table %[3]s
  ./bin/marigoldwinch config wait %[2]s
  ./bin/marigoldwinch zone in zone-a --operator me --platform-table %[3]s

Ctrl-C stops the system.
`, first.Callers, first.Admin, s.platform)
}

func listen(ctx context.Context) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen on loopback")
}

func address(listener net.Listener) netip.AddrPort {
	parsed, _ := netip.ParseAddrPort(listener.Addr().String()) // the address of a TCP listener can always be parsed
	return parsed
}

// freePorts returns loopback addresses with ports that were free when it was called. Another process may take one before it
// is used.
func freePorts(ctx context.Context, count int) ([]netip.AddrPort, error) {
	ports := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		defer listener.Close() // on return only, so that no port is returned twice
		ports = append(ports, address(listener))
	}
	return ports, nil
}
